package server

import (
	"pewterline/internal/admin"
	"pewterline/internal/protocol/upgrade"
)

// MaxAdminConns is how many connections operators may have open at once. The connection limit
// for clients leaves file descriptors for them.
const MaxAdminConns = 16

// operatorServer implements admin.Server.
type operatorServer struct{ server *Server }

func (o operatorServer) State() admin.State {
	stage := o.server.shutdown.stage
	return admin.State{Ready: true, InService: !o.server.outOfService && stage != draining, Draining: stage != serving}
}

func (o operatorServer) SetInService(inService bool) error {
	s := o.server
	if inService && s.shutdown.stage == draining {
		return admin.ErrDraining
	}
	if s.outOfService != inService {
		return nil
	}
	s.outOfService = !inService
	s.logf("admin: service state set: in_service=%v open=%d", inService, s.core.OpenRequests())
	if s.handoff.peer != nil { // the command concerns the log server, not just this process
		s.handoff.peer.send(upgrade.Message{Kind: upgrade.ServiceChanged, OutOfService: s.outOfService})
	}
	return nil
}

func (o operatorServer) Counters() admin.Counters { return o.server.Counters() }

// Counters returns the current values of the server's counters.
func (s *Server) Counters() admin.Counters {
	total := admin.Counters{
		Succeeded:    map[string]int{},
		Rejected:     map[string]int{},
		Failed:       map[string]int{},
		InProgress:   s.core.OpenRequests(),
		Reloads:      s.reloads.applied,
		ReloadErrors: s.reloads.rejected,
	}
	for _, class := range s.core.CountedClasses() {
		counters := s.core.Counters(class)
		total.Succeeded[class] = counters.Succeeded
		total.Rejected[class] = counters.Rejected
		total.Failed[class] = counters.Failed
		total.Attempts += counters.Attempts
	}
	return total
}
