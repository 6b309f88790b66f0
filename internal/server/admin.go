package server

import (
	"pewterline/internal/admin"
	"pewterline/internal/protocol/upgrade"
)

const (
	// AdminListener is the index of the operators' listener.
	AdminListener = 3
	// MaxAdminConns are the connections that operators may have open at once. They come out of the descriptors that are left
	// beside those of proxies.
	MaxAdminConns = 16
)

// operatorServer is the server as operators see it: it implements operators.Server.
type operatorServer struct{ s *Server }

func (o operatorServer) State() admin.State {
	s := o.s
	return admin.State{Ready: true, InService: !s.out && !s.draining, Draining: s.draining || s.handed}
}

func (o operatorServer) SetInService(in bool) error {
	s := o.s
	if in && s.draining {
		return admin.ErrDraining
	}
	if s.out == in {
		s.out = !in
		s.logf("admin: in service: %v, %d requests are open", in, s.core.OpenRequests())
		if s.peer != nil { // the word is about the log server, not about this process
			s.peer.send(upgrade.Message{Kind: upgrade.ServiceChanged, OutOfService: s.out})
		}
	}
	return nil
}

func (o operatorServer) Counters() admin.Counters { return o.s.Counters() }

// healthy is the answer to health checks.
func (s *Server) healthy() bool { return !s.out && s.core.Healthy() }

// listed is what reports say. Where the platform's list tells only whether a server runs or drains, a doubt of its health is no
// reason to have it taken off: callers hear of it by refusals and by what the answers say.
func (s *Server) listed() bool {
	if s.cfg.Settings.EndpointListIgnoresHealth && !s.draining {
		return !s.out
	}
	return s.healthy()
}

// Counters returns the figures as they are now.
func (s *Server) Counters() admin.Counters {
	c := admin.Counters{Succeeded: map[string]int{}, Rejected: map[string]int{}, Failed: map[string]int{}, InProgress: s.core.OpenRequests(),
		Reloads: s.files.taken, ReloadErrors: s.files.refused}
	for _, name := range s.core.CountedClasses() {
		f := s.core.Counters(name)
		c.Succeeded[name], c.Rejected[name], c.Failed[name] = f.Succeeded, f.Rejected, f.Failed
		c.Attempts += f.Attempts
	}
	return c
}

// ReloadRejected notes a configuration that was read anew and turned down.
func (s *Server) ReloadRejected() { s.files.refused++ }
