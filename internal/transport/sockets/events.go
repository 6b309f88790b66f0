package sockets

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// ownSocket is the context of the datagram socket that captureEventLoop registers.
type ownSocket struct{}

// captureEventLoop obtains gnet's event loop and begins the Loop. gnet exposes its event loop only through connections,
// so this registers a datagram socket and closes it afterwards.
func (d *driver) captureEventLoop() error {
	conn, err := net.Dial("udp", d.listeners[0].addr.String()) // the process's own address; nothing is sent
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
	return d.loop.Execute(func() { _ = d.eventLoop.Close(result.Conn) }) // the socket was never used
}

// OnBoot stores the engine and the listeners' addresses.
func (d *driver) OnBoot(engine gnet.Engine) gnet.Action {
	d.engine = engine
	for _, addr := range d.options.Listen {
		var found listener
		if addr != "" {
			var err error
			if found, err = findListener(engine, addr); err != nil {
				d.options.Logf("transport: listener not identified: address=%s error=%v", addr, err)
			}
		}
		d.listeners = append(d.listeners, found)
	}
	return gnet.None
}

// OnTick signals on its first call that the loop runs, so that connections can be registered with gnet.
func (d *driver) OnTick() (time.Duration, gnet.Action) {
	if !d.ticked {
		d.ticked = true
		close(d.ready)
	}
	return idleInterval, gnet.None
}

// OnOpen opens a new connection on the Loop, which opens its session.
func (d *driver) OnOpen(gnetConn gnet.Conn) ([]byte, gnet.Action) {
	// A peer may connect as soon as the port listens, before captureEventLoop has registered its socket. Therefore the
	// first connection begins the Loop, whether it is the peer's or that socket.
	if d.eventLoop == nil {
		d.eventLoop = gnetConn.EventLoop()
		d.loop.Begin()
	}
	// The socket of captureEventLoop is recognized by its context, not by its network: on some systems a datagram socket
	// that has sent nothing has no address, and gnet panics when asked for its network.
	if _, own := gnetConn.Context().(ownSocket); own {
		return nil, gnet.None
	}
	s, registered := gnetConn.Context().(*socket)
	if registered {
		_ = gnetConn.SetNoDelay(true) // as for accepted connections; an error can be ignored
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
		_, _ = gnetConn.Discard(-1) // -1 discards all bytes, which cannot fail
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

// gnetLogger writes gnet's warnings and errors to the log.
type gnetLogger struct {
	logf func(string, ...any)
}

// Debugf implements gnet's Logger.
func (gnetLogger) Debugf(string, ...any) {}

// Infof implements gnet's Logger.
func (gnetLogger) Infof(string, ...any) {}

// Warnf implements gnet's Logger.
func (g gnetLogger) Warnf(format string, args ...any) { g.logf("gnet: "+format, args...) }

// Errorf implements gnet's Logger.
func (g gnetLogger) Errorf(format string, args ...any) { g.logf("gnet: "+format, args...) }

// Fatalf implements gnet's Logger. It does not end the process.
func (g gnetLogger) Fatalf(format string, args ...any) { g.logf("gnet: "+format, args...) }
