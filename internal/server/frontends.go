package server

import (
	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/frontend/ajpfrontend"
	"pewterline/internal/frontend/thriftfrontend"
	"pewterline/internal/microtime"
)

// clients holds the frontends, which own the client connections.
type clients struct {
	thrift    *thriftfrontend.Frontend
	ajp       *ajpfrontend.Frontend
	submitted int // the number of requests that the core has accepted so far
}

func newClients(server frontendServer, cfg config.AJP) clients {
	return clients{thrift: thriftfrontend.New(server), ajp: ajpfrontend.New(server, cfg)}
}

// connections counts the open connections.
func (c *clients) connections() int { return c.thrift.Len() + c.ajp.Len() }

// drain starts to close all connections: Thrift clients are asked to close theirs, and an AJP connection is closed once
// its last response is sent.
func (c *clients) drain(now microtime.Time) {
	c.thrift.Drain(now)
	c.ajp.Drain()
}

// frontendServer implements frontend.Server and ajpfrontend.Server.
type frontendServer struct{ server *Server }

func (f frontendServer) Now() microtime.Time { return f.server.loop.Now() }

func (f frontendServer) Rand() uint64 { return f.server.loop.Rand() }

func (f frontendServer) FromUnixMilli(ms int64) microtime.Time {
	return f.server.clock.FromUnixMilli(ms)
}

func (f frontendServer) Classes() []control.Class { return f.server.cfg.Settings.Classes }

func (f frontendServer) Class(name string) (index int, known bool) { return f.server.names.class(name) }

func (f frontendServer) Tenant(name string) (index int, known bool) {
	return f.server.names.tenant(name)
}

func (f frontendServer) Cancel(id control.RequestID) { f.server.core.Abandon(id) }

func (f frontendServer) Healthy() bool { return f.server.healthy() }

func (f frontendServer) AdmissionLevel() (value float64, known bool) {
	return f.server.core.AdvertisedValue()
}

func (f frontendServer) Draining() bool { return f.server.shutdown.closingClients }

func (f frontendServer) Logf(format string, args ...any) { f.server.logf(format, args...) }

func (f frontendServer) Submit(request dispatch.Request) (control.RequestID, error) {
	s := f.server
	id, err := s.core.Submit(s.loop.Now(), request)
	switch {
	case err == nil:
		s.clients.submitted++
	case request.Class >= 0 && request.Class < len(s.cfg.Settings.Classes):
		s.core.CountMalformed(request.Class)
	}
	return id, err
}

// CheckBackend checks that the worker pool can execute runs, and calls done with the result. Other backends have no
// such check and always count as healthy.
func (f frontendServer) CheckBackend(done func(healthy bool)) {
	if f.server.backends.pool == nil {
		done(true)
		return
	}
	f.server.backends.pool.Verify(done)
}
