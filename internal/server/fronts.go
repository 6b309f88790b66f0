package server

import (
	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// frontendServer is the server as its fronts see it: it implements front.Server and ajpfront.Server.
type frontendServer struct{ s *Server }

func (f frontendServer) Now() microtime.Time                   { return f.s.loop.Now() }
func (f frontendServer) Rand() uint64                          { return f.s.loop.Rand() }
func (f frontendServer) FromUnixMilli(ms int64) microtime.Time { return f.s.wall.FromUnixMilli(ms) }
func (f frontendServer) Classes() []control.Class              { return f.s.cfg.Settings.Classes }
func (f frontendServer) Cancel(id control.RequestID)           { f.s.core.Abandon(id) }
func (f frontendServer) Healthy() bool                         { return f.s.healthy() }
func (f frontendServer) AdmissionLevel() (value float64, known bool) {
	return f.s.core.AdvertisedValue()
}
func (f frontendServer) Draining() bool                  { return f.s.farewell }
func (f frontendServer) Logf(format string, args ...any) { f.s.logf(format, args...) }

func (f frontendServer) Class(name string) (place int, known bool) {
	place, known = f.s.classes[name]
	return place, known
}

func (f frontendServer) Tenant(name string) (place int, known bool) {
	place, known = f.s.tenants[name]
	return place, known || len(f.s.tenants) == 0
}

func (f frontendServer) Submit(request dispatch.Request) (control.RequestID, error) {
	s := f.s
	id, err := s.core.Submit(s.loop.Now(), request)
	switch {
	case err == nil:
		s.requests++
	case request.Class >= 0 && request.Class < len(s.cfg.Settings.Classes):
		s.core.CountMalformed(request.Class)
	}
	return id, err
}

// CheckBackend asks the worker pool. Where log servers or an AJP server do the work, there is nobody to ask.
func (f frontendServer) CheckBackend(done func(good bool)) {
	if f.s.pool == nil {
		done(true)
		return
	}
	f.s.pool.Verify(done)
}

// connections counts those of callers.
func (s *Server) connections() int { return s.thrift.Len() + s.ajp.Len() }

// sayFarewell has the callers' connections end: the peers are told to close them, or they are closed once they owe no answer.
func (s *Server) sayFarewell(now microtime.Time) {
	s.thrift.Drain(now)
	s.ajp.Drain()
}
