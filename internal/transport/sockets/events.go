package sockets

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// ownSocket is the context of the loop's own socket, which captureEventLoop registers.
type ownSocket struct{}

// captureEventLoop gets gnet's event loop and begins the Loop. gnet exposes its event loop only through connections, so
// this registers a datagram socket of our own and closes it afterwards.
func (d *driver) captureEventLoop() error {
	conn, err := net.Dial("udp", d.listeners[0].addr.String()) // our own address: nothing is sent
	if err != nil {
		return fmt.Errorf("datagram socket: %w", err)
	}
	registered, err := d.engine.Register(
		gnet.NewContext(gnet.NewNetConnContext(context.Background(), conn), ownSocket{}))
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	result := <-registered
	if result.Err != nil {
		return fmt.Errorf("register: %w", result.Err)
	}
	return d.loop.Execute(func() { _ = d.eventLoop.Close(result.Conn) }) // it was never used
}

// OnBoot stores the engine and the listeners' addresses.
func (d *driver) OnBoot(engine gnet.Engine) gnet.Action {
	d.engine = engine
	for _, addr := range d.options.Listen {
		var found listener
		if addr != "" {
			var err error
			if found, err = findListener(engine, addr); err != nil {
				d.options.Logf("transport: address cannot be dialled: address=%s error=%v", addr, err)
			}
		}
		d.listeners = append(d.listeners, found)
	}
	return gnet.None
}

// OnTick is first called once the loop runs: from then on gnet can be given connections.
func (d *driver) OnTick() (time.Duration, gnet.Action) {
	if !d.ticked {
		d.ticked = true
		close(d.ready)
	}
	return unarmed, gnet.None
}

// OnOpen gives a new connection its session.
func (d *driver) OnOpen(gnetConn gnet.Conn) ([]byte, gnet.Action) {
	// A peer may connect as soon as the port listens, before captureEventLoop has registered its socket. So the first
	// connection of either kind begins the Loop.
	if d.eventLoop == nil {
		d.eventLoop = gnetConn.EventLoop()
		d.loop.Begin()
	}
	// Our own socket is recognized by its context, not by its network: on some systems a datagram socket that has sent
	// nothing has no address, and then gnet panics when asked for its network.
	if _, own := gnetConn.Context().(ownSocket); own {
		return nil, gnet.None
	}
	s, registered := gnetConn.Context().(*socket)
	if registered {
		_ = gnetConn.SetNoDelay(true) // as for accepted connections; an error does no harm
	} else {
		s = &socket{driver: d, listener: d.listenerOf(gnetConn)}
		gnetConn.SetContext(s)
	}
	if s.open(gnetConn) {
		return nil, gnet.None
	}
	return nil, gnet.Close
}

// OnTraffic passes the received bytes to the connection.
func (d *driver) OnTraffic(gnetConn gnet.Conn) gnet.Action {
	s, ok := gnetConn.Context().(*socket)
	if !ok || s.conn == nil {
		_, _ = gnetConn.Discard(-1) // -1 discards everything, which cannot fail
		return gnet.None
	}
	in, err := gnetConn.Next(-1)
	if err == nil && !s.conn.Received(in) {
		return gnet.Close
	}
	return gnet.None
}

// OnClose reports the end of the connection to the Loop.
func (d *driver) OnClose(gnetConn gnet.Conn, _ error) gnet.Action {
	if s, ok := gnetConn.Context().(*socket); ok && s.conn != nil {
		s.conn.Ended()
	}
	return gnet.None
}

// gnetLogger passes on gnet's warnings and errors.
type gnetLogger struct {
	logf func(string, ...any)
}

// Debugf is part of gnet's Logger.
func (gnetLogger) Debugf(string, ...any) {}

// Infof is part of gnet's Logger.
func (gnetLogger) Infof(string, ...any) {}

// Warnf is part of gnet's Logger.
func (g gnetLogger) Warnf(format string, args ...any) { g.logf("gnet: "+format, args...) }

// Errorf is part of gnet's Logger.
func (g gnetLogger) Errorf(format string, args ...any) { g.logf("gnet: "+format, args...) }

// Fatalf is part of gnet's Logger. It does not end the process.
func (g gnetLogger) Fatalf(format string, args ...any) { g.logf("gnet: "+format, args...) }
