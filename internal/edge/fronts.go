package edge

import (
	"pewterline/control"
	"pewterline/internal/micro"
	"pewterline/internal/routing"
)

// frontServer is the server as its fronts see it: it implements front.Server and ajpfront.Server.
type frontServer struct{ s *Server }

func (f frontServer) Now() micro.Time                        { return f.s.loop.Now() }
func (f frontServer) Rand() uint64                           { return f.s.loop.Rand() }
func (f frontServer) FromUnixMilli(ms int64) micro.Time      { return f.s.wall.FromUnixMilli(ms) }
func (f frontServer) Classes() []control.Class               { return f.s.cfg.Settings.Classes }
func (f frontServer) GiveUp(id control.ID)                   { f.s.core.GiveUp(id) }
func (f frontServer) Healthy() bool                          { return f.s.healthy() }
func (f frontServer) FreeValue() (value float64, known bool) { return f.s.core.Say() }
func (f frontServer) Leaving() bool                          { return f.s.farewell }
func (f frontServer) Logf(format string, args ...any)        { f.s.logf(format, args...) }

func (f frontServer) Class(name string) (place int, known bool) {
	place, known = f.s.classes[name]
	return place, known
}

func (f frontServer) Tenant(name string) (place int, known bool) {
	place, known = f.s.tenants[name]
	return place, known || len(f.s.tenants) == 0
}

func (f frontServer) Submit(request routing.Request) (control.ID, error) {
	s := f.s
	id, err := s.core.Submit(s.loop.Now(), request)
	switch {
	case err == nil:
		s.requests++
	case request.Class >= 0 && request.Class < len(s.cfg.Settings.Classes):
		s.core.Malformed(request.Class)
	}
	return id, err
}

// Verify asks the worker pool. Where log servers or an AJP server do the work, there is nobody to ask.
func (f frontServer) Verify(done func(good bool)) {
	if f.s.pool == nil {
		done(true)
		return
	}
	f.s.pool.Verify(done)
}

// connections counts those of callers.
func (s *Server) connections() int { return s.thrift.Len() + s.ajp.Len() }

// sayFarewell has the callers' connections end: the peers are told to close them, or they are closed once they owe no answer.
func (s *Server) sayFarewell(now micro.Time) {
	s.thrift.Farewell(now)
	s.ajp.Leave()
}
