package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"pewterline/internal/transport"
)

// socket implements transport.RawConn on a connection of gnet, and is the context of that connection.
type socket struct {
	driver     *driver
	gnetConn   gnet.Conn
	conn       *transport.Connection
	dial       *transport.Dial // nil for an accepted connection
	listener   int             // index of the listener of an accepted connection
	halfClosed bool
}

// open registers the connection with the Loop. It returns false if the connection must be closed.
func (s *socket) open(gnetConn gnet.Conn) bool {
	s.gnetConn = gnetConn
	if s.dial != nil {
		s.conn = s.driver.loop.Connected(s.dial, s)
	} else {
		s.conn = s.driver.loop.Accept(s, s.listener)
	}
	return s.conn != nil
}

// Write implements transport.RawConn.
func (s *socket) Write(p []byte) error {
	_, err := s.gnetConn.Write(p)
	return err
}

// Unsent implements transport.RawConn.
func (s *socket) Unsent() int { return s.gnetConn.OutboundBuffered() }

// CloseWrite implements transport.RawConn.
func (s *socket) CloseWrite() {
	if s.halfClosed || s.gnetConn.OutboundBuffered() > 0 {
		return
	}
	s.halfClosed = true
	if unix.Shutdown(s.gnetConn.Fd(), unix.SHUT_WR) != nil {
		s.Close() // the peer has reset the connection
	}
}

// Close implements transport.RawConn. An error is ignored: it means that gnet has closed the connection already.
func (s *socket) Close() { _ = s.driver.eventLoop.Close(s.gnetConn) }

// Remote implements transport.RawConn.
func (s *socket) Remote() string {
	if addr := s.gnetConn.RemoteAddr(); addr != nil {
		return addr.String()
	}
	return "a closed connection"
}

// Dial implements transport.Driver. It dials on its own goroutine, which ends within transport.DialTimeout.
func (d *driver) Dial(dial *transport.Dial) {
	go func() {
		if d.connect(dial) != nil {
			_ = d.Queue(func() { d.loop.DialFailed(dial) }) // fails only if the loop has ended
		}
	}()
}

// connect opens the connection of a dial and registers it with the loop.
func (d *driver) connect(dial *transport.Dial) error {
	conn, err := net.DialTimeout("tcp", dial.Addr(), transport.DialTimeout)
	if err != nil {
		return err
	}
	return d.register(conn, &socket{driver: d, dial: dial})
}

// register passes a connection that was opened outside the loop to gnet. It must not be called on the loop, because it
// waits for the loop.
func (d *driver) register(conn net.Conn, s *socket) error {
	registered, err := d.engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), conn), s))
	if err != nil {
		return fmt.Errorf("register: %w", errors.Join(err, conn.Close())) // the connection was never used
	}
	return (<-registered).Err
}

// Adopt adds a connection that was opened outside the loop. open is called on the loop and returns its session.
func (l *Loop) Adopt(conn net.Conn, open func(transport.Conn) transport.Session) error {
	return l.driver.register(conn, &socket{driver: l.driver, dial: l.AdoptedDial(open)})
}

// Serve accepts connections of a listener that is not managed by gnet, under the given index. It exists because gnet
// cannot serve Unix sockets beside listeners with SO_REUSEPORT. It accepts on its own goroutine, which ends when the
// listener is closed.
func (l *Loop) Serve(ln net.Listener, index int) {
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if err := l.driver.register(conn, &socket{driver: l.driver, listener: index}); err != nil {
				l.driver.options.Logf("transport: error of the event loop: error=%v", err)
			}
		}
	}()
}

// SetDatagramPeer implements transport.Driver.
func (d *driver) SetDatagramPeer(addr string) error {
	var conn net.Conn
	if addr != "" {
		var err error
		if conn, err = net.Dial("udp", addr); err != nil {
			return fmt.Errorf("transport: datagrams: %w", err)
		}
	}
	if d.datagrams != nil {
		_ = d.datagrams.Close() // no unsent bytes can be lost
	}
	d.datagrams = conn
	return nil
}

// SendDatagram implements transport.Driver.
func (d *driver) SendDatagram(p []byte) {
	if d.datagrams == nil {
		return
	}
	// If the peer refused the previous datagram, this write fails without sending. The peer may be reachable again, so
	// the write is repeated once.
	if _, err := d.datagrams.Write(p); err != nil {
		_, _ = d.datagrams.Write(p) // a datagram may be lost
	}
}
