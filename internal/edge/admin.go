package edge

import (
	"pewterline/internal/operators"
	"pewterline/internal/protocol/upgrade"
)

const (
	// AdminListener is the index of the operators' listener.
	AdminListener = 3
	// AdminConns are the connections that operators may have open at once. They come out of the descriptors that are left
	// beside those of proxies.
	AdminConns = 16
)

// operatorServer is the server as operators see it: it implements operators.Server.
type operatorServer struct{ s *Server }

func (o operatorServer) State() operators.State {
	s := o.s
	return operators.State{Ready: true, InService: !s.out && !s.draining, Leaving: s.draining || s.handed}
}

func (o operatorServer) SetInService(in bool) error {
	s := o.s
	if in && s.draining {
		return operators.ErrLeaving
	}
	if s.out == in {
		s.out = !in
		s.logf("admin: in service: %v, %d requests are open", in, s.core.Open())
		if s.peer != nil { // the word is about the log server, not about this process
			s.peer.send(upgrade.Message{Kind: upgrade.Service, Out: s.out})
		}
	}
	return nil
}

func (o operatorServer) Counters() operators.Counters { return o.s.Counters() }

// healthy is the answer to health checks.
func (s *Server) healthy() bool { return !s.out && s.core.Health() }

// listed is what reports say. Where the platform's list tells only whether a server runs or drains, a doubt of its health is no
// reason to have it taken off: callers hear of it by refusals and by what the answers say.
func (s *Server) listed() bool {
	if s.cfg.Settings.ListIgnoresHealth && !s.draining {
		return !s.out
	}
	return s.healthy()
}

// Counters returns the figures as they are now.
func (s *Server) Counters() operators.Counters {
	c := operators.Counters{Passed: map[string]int{}, Dropped: map[string]int{}, BadGateway: map[string]int{}, InProgress: s.core.Open(),
		Loads: s.files.taken, LoadErrors: s.files.refused}
	for _, name := range s.core.Counted() {
		f := s.core.Figures(name)
		c.Passed[name], c.Dropped[name], c.BadGateway[name] = f.Passed, f.Dropped, f.Failed
		c.Tries += f.Tries
	}
	return c
}

// FileRefused notes a configuration that was read anew and turned down.
func (s *Server) FileRefused() { s.files.refused++ }
