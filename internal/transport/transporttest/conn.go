// Package transporttest provides a connection for tests of sessions, as net/http/httptest provides a response recorder
// for tests of handlers. A test opens a session with it, passes bytes to the session, and inspects what the session did
// with the connection. It uses no goroutine and no network, and is not part of the program.
package transporttest

import "pewterline/internal/transport"

// Conn is a transport.Conn that records what its session does. The zero value is an open connection.
type Conn struct {
	Session    transport.Session // of the connection; the test sets it
	Name       string            // returned by Remote
	Written    string            // all that the session has written; a test may reset it
	Closed     bool              // the session has closed it
	Identified bool              // the session has identified its peer
	Resumed    int               // how often the session has asked to be resumed
}

// Open opens a connection with the session that open returns, as an event loop does.
func Open(name string, open func(transport.Conn) transport.Session) *Conn {
	c := &Conn{Name: name}
	c.Session = open(c)
	return c
}

// Receive passes bytes of the peer to the session, and returns how many it has consumed.
func (c *Conn) Receive(in string) (int, error) { return c.Session.Receive([]byte(in)) }

// Disconnect notifies the session that the connection has ended.
func (c *Conn) Disconnect() { c.Session.Closed() }

// Write is part of transport.Conn.
func (c *Conn) Write(p []byte) { c.Written += string(p) }

// Close is part of transport.Conn.
func (c *Conn) Close() { c.Closed = true }

// Resume is part of transport.Conn.
func (c *Conn) Resume() { c.Resumed++ }

// MarkIdentified is part of transport.Conn.
func (c *Conn) MarkIdentified() { c.Identified = true }

// Remote is part of transport.Conn.
func (c *Conn) Remote() string { return c.Name }
