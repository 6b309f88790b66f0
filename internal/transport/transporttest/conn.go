// Package transporttest provides a connection for tests of sessions, as net/http/httptest provides a response recorder
// for tests of handlers. A test opens a session with it, passes bytes to the session, and inspects how the session used
// the connection. It uses no goroutine and no network, and is not part of the program.
package transporttest

import "pewterline/internal/transport"

// Conn is a transport.Conn that records the calls of its session. The zero value is an open connection.
type Conn struct {
	Session    transport.Session // set by Open or by the test
	Name       string            // returned by Remote
	Written    string            // all bytes that the session has written; a test may reset it
	Closed     bool              // the session has closed the connection
	Identified bool              // the session has called MarkIdentified
	Resumed    int               // number of calls of Resume by the session
}

// Open opens a connection with the session that open returns, as an event loop does.
func Open(name string, open func(transport.Conn) transport.Session) *Conn {
	c := &Conn{Name: name}
	c.Session = open(c)
	return c
}

// Receive passes bytes of the peer to the session, and returns how many the session has consumed.
func (c *Conn) Receive(in string) (int, error) { return c.Session.Receive([]byte(in)) }

// Disconnect notifies the session that the connection has ended.
func (c *Conn) Disconnect() { c.Session.Closed() }

// Write implements transport.Conn.
func (c *Conn) Write(p []byte) { c.Written += string(p) }

// Close implements transport.Conn.
func (c *Conn) Close() { c.Closed = true }

// Resume implements transport.Conn.
func (c *Conn) Resume() { c.Resumed++ }

// MarkIdentified implements transport.Conn.
func (c *Conn) MarkIdentified() { c.Identified = true }

// Remote implements transport.Conn.
func (c *Conn) Remote() string { return c.Name }
