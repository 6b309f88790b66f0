// Package ajpfrontend is the front for web servers that speak AJP 1.3.
package ajpfrontend

import (
	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Server is what this front needs of the log server: a request may leave out what a web server does not know.
type Server interface {
	frontend.Server
	// Rand draws a number, which need not be secret.
	Rand() uint64
	// Classes are the settings' classes, by place.
	Classes() []control.Class
}

// Frontend holds the sessions of all web servers' connections. Its methods are called on the loop.
type Frontend struct {
	server   Server
	config   config.AJP
	sessions orderedset.Set[*session]
}

// New returns a front without connections.
func New(server Server, cfg config.AJP) *Frontend { return &Frontend{server: server, config: cfg} }

// Accept gives a connection its session. One connection too many is closed.
func (f *Frontend) Accept(conn transport.Conn) transport.Session {
	s := &session{front: f, conn: conn, due: f.server.Now() + idleTimeout}
	if f.sessions.Len() >= f.config.MaxConnections {
		f.server.Logf("ajp: %s turned away: %d connections are open", conn.Remote(), f.sessions.Len())
		s.phase = awaitClose
		conn.Close()
	}
	f.sessions.Add(s)
	return s
}

// Len returns the number of connections.
func (f *Frontend) Len() int { return f.sessions.Len() }

// ExpireTimeouts ends the waits whose time is over; it returns when the next one's is.
func (f *Frontend) ExpireTimeouts(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, s := range f.sessions.Items() {
		next = min(next, s.check(now))
	}
	return next
}

// Drain closes all connections that have no request in hand. The others end with their answers, as the server is leaving.
func (f *Frontend) Drain() {
	for _, s := range f.sessions.Items() {
		s.leave()
	}
}

// middleRank is the middle of a class's band of ranks: equal bands, by worth.
func middleRank(classes []control.Class, class int) float64 {
	below, own := 0, classes[class]
	for i, c := range classes {
		if c.Weight < own.Weight || c.Weight == own.Weight && i < class {
			below++
		}
	}
	return (float64(below) + 0.5) / float64(len(classes))
}
