// Package thriftfrontend is the platform's front: proxies send requests, give them up and check the server's health over Thrift.
package thriftfrontend

import (
	"pewterline/control"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Frontend holds the sessions of all proxies' connections. Its methods are called on the loop.
type Frontend struct {
	server   frontend.Server
	sessions orderedset.Set[*session]
}

// New returns a front without connections.
func New(server frontend.Server) *Frontend { return &Frontend{server: server} }

// Accept gives a connection its session.
func (f *Frontend) Accept(conn transport.Conn) transport.Session {
	s := &session{front: f, conn: conn, open: map[int32]control.RequestID{}, lastActive: f.server.Now()}
	f.sessions.Add(s)
	if f.server.Draining() {
		s.sendFarewell(s.lastActive)
	}
	return s
}

// Len returns the number of connections.
func (f *Frontend) Len() int { return f.sessions.Len() }

// Drain tells all peers to send nothing new and to close.
func (f *Frontend) Drain(now microtime.Time) {
	for _, s := range f.sessions.Items() {
		s.sendFarewell(now)
	}
}

// CloseIdle tells the peers of connections that have been idle for that long to close them, so that no request crosses the close;
// 0 keeps them. One that does not close is closed after front.LingerTimeout.
func (f *Frontend) CloseIdle(now, after microtime.Time) {
	for _, s := range f.sessions.Items() {
		if !s.Idle() {
			continue
		}
		if idle := now - s.lastActive; s.farewellSent && idle > frontend.LingerTimeout {
			s.conn.Close()
		} else if !s.farewellSent && after > 0 && idle >= after {
			s.sendFarewell(now)
		}
	}
}
