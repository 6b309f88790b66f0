// Package ajpfrontend serves web servers over AJP 1.3: it converts each forwarded HTTP request into a request to the
// core, and the core's response into an HTTP response. Package server accepts the connections and calls the Frontend on
// its event loop. The package owns the sessions of these connections and their timeouts. It never decides whether or
// when a request runs: it fills in defaults for the fields that a web server does not send, submits the request to the
// core and writes the response.
package ajpfrontend

import (
	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Server is the log server as this frontend sees it. It adds to frontend.Server the inputs for the defaults of absent
// fields.
type Server interface {
	frontend.Server
	// Rand returns a random number, which need not be cryptographically secure.
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

// Accept returns the session of a new connection, which is closed if config.AJP.MaxConnections are open already.
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

// ExpireTimeouts handles the sessions whose deadline has passed. It returns the next deadline, or microtime.Never.
func (f *Frontend) ExpireTimeouts(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, s := range f.sessions.Items() {
		next = min(next, s.expire(now))
	}
	return next
}

// Drain closes all connections without a request in flight. The others are closed after their response, because
// Server.Draining is true.
func (f *Frontend) Drain() {
	for _, s := range f.sessions.Items() {
		s.drain()
	}
}

// middleRank returns the default rank of a class's requests. The interval from 0 to 1 is divided into bands of equal
// width, one per class, ordered by the classes' weights; the default is the middle of the class's band.
func middleRank(classes []control.Class, class int) float64 {
	below, own := 0, classes[class]
	for i, other := range classes {
		if other.Weight < own.Weight || other.Weight == own.Weight && i < class {
			below++
		}
	}
	return (float64(below) + 0.5) / float64(len(classes))
}
