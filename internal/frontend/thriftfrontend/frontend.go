// Package thriftfrontend serves the platform's proxies over Thrift: they send requests, cancel them and check the
// server's health. Package server accepts the connections and calls the Frontend on its event loop. The package owns
// the sessions of these connections: the requests in flight on each, its health checks, and when its peer is asked to
// close it. It never decides whether or when a request runs: it parses the request, submits it to the core and writes
// the response.
package thriftfrontend

import (
	"pewterline/control"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Frontend holds the sessions of all proxies' connections. Its methods are called on the event loop.
type Frontend struct {
	server   frontend.Server
	sessions orderedset.Set[*session]
}

// New returns a frontend without connections.
func New(server frontend.Server) *Frontend { return &Frontend{server: server} }

// Accept returns the session of a new connection. If the server is draining, the peer is asked to close at once.
func (f *Frontend) Accept(conn transport.Conn) transport.Session {
	s := &session{
		frontend:   f,
		conn:       conn,
		inFlight:   map[int32]control.RequestID{},
		lastActive: f.server.Now(),
	}
	f.sessions.Add(s)
	if f.server.Draining() {
		s.sendFarewell(s.lastActive)
	}
	return s
}

// Len returns the number of connections.
func (f *Frontend) Len() int { return f.sessions.Len() }

// Drain asks all peers to send no new requests and to close their connections.
func (f *Frontend) Drain(now microtime.Time) {
	for _, s := range f.sessions.Items() {
		s.sendFarewell(now)
	}
}

// CloseIdle asks the peers of connections that have been idle for idleTimeout to close them; an idleTimeout of 0 keeps
// them open. The peer closes first, so that no request is in transit when the connection closes. A connection whose
// peer does not close it is closed after frontend.LingerTimeout.
func (f *Frontend) CloseIdle(now, idleTimeout microtime.Time) {
	for _, s := range f.sessions.Items() {
		if !s.Idle() {
			continue
		}
		idleTime := now - s.lastActive
		switch {
		case s.farewellSent && idleTime > frontend.LingerTimeout:
			s.conn.Close()
		case !s.farewellSent && idleTimeout > 0 && idleTime >= idleTimeout:
			s.sendFarewell(now)
		}
	}
}
