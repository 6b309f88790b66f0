// Package ajpfrontend serves web servers over AJP 1.3: each forwarded HTTP request becomes a request to the core, and
// its answer an HTTP response. The server accepts the connections and calls the Frontend on its event loop.
//
// The package owns the sessions of these connections and their timeouts. It never decides about a request; it fills in
// what a web server does not know, hands the request to the core and writes the response.
package ajpfrontend

import (
	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Server is the log server as this frontend sees it. A request may leave out what a web server does not know, so the
// frontend needs more of the server than others do.
type Server interface {
	frontend.Server
	// Rand returns a random number, which need not be secret.
	Rand() uint64
	// Classes returns the settings' classes, by index.
	Classes() []control.Class
}

// Frontend holds the sessions of all web servers' connections. Its methods are called on the event loop.
type Frontend struct {
	server   Server
	config   config.AJP
	sessions orderedset.Set[*session]
}

// New returns a frontend without connections.
func New(server Server, cfg config.AJP) *Frontend { return &Frontend{server: server, config: cfg} }

// Accept gives a new connection its session. One over config.AJP.MaxConnections is closed.
func (f *Frontend) Accept(conn transport.Conn) transport.Session {
	s := &session{frontend: f, conn: conn, deadline: f.server.Now() + idleTimeout}
	if f.sessions.Len() >= f.config.MaxConnections {
		f.server.Logf("ajp: connection rejected, too many are open: peer=%s open=%d", conn.Remote(), f.sessions.Len())
		s.phase = awaitClose
		conn.Close()
	}
	f.sessions.Add(s)
	return s
}

// Len returns the number of connections.
func (f *Frontend) Len() int { return f.sessions.Len() }

// ExpireTimeouts ends the waits whose deadline has come. It returns the next deadline, or microtime.Never.
func (f *Frontend) ExpireTimeouts(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, s := range f.sessions.Items() {
		next = min(next, s.expire(now))
	}
	return next
}

// Drain closes all connections that have no request in flight. The others end with their answers, as the server is
// draining.
func (f *Frontend) Drain() {
	for _, s := range f.sessions.Items() {
		s.drain()
	}
}

// middleRank returns the middle of a class's band of ranks. The bands are equal in width and ordered by the classes'
// weights.
func middleRank(classes []control.Class, class int) float64 {
	below, own := 0, classes[class]
	for i, other := range classes {
		if other.Weight < own.Weight || other.Weight == own.Weight && i < class {
			below++
		}
	}
	return (float64(below) + 0.5) / float64(len(classes))
}
