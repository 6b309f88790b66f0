package server

import (
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/upgrade"
	"pewterline/internal/transport"
)

// MaxHandoffConns is how many connections of successors may be open at once.
const MaxHandoffConns = 4

// The times of a handoff. The platform gives an old process the longest deadline of a request, and a while beyond that,
// until it kills it.
const (
	// maxHandoffDeadline bounds the longest deadline that the old process waits for.
	maxHandoffDeadline = 3 * microtime.Second
	// handoffKillDelay is the time beyond the longest deadline.
	handoffKillDelay = 700 * microtime.Millisecond
	// handoffLinger is the time in which everything is read that was in the listener's queue at the handoff, or that
	// crosses the final messages to clients.
	handoffLinger = 200 * microtime.Millisecond
)

// ProcessHost is what a handoff needs of the process. Its methods are called on the loop.
type ProcessHost interface {
	// SteerListeners directs new connections to one of the processes that listen: 0 is the old one, 1 its successor.
	SteerListeners(place int)
	// ShareLimits has this process keep to what the limits leave beside the other process, which has that many
	// connections. A negative number says that there is no other process.
	ShareLimits(others int)
	// Orphaned says that the predecessor is out of reach and has not handed over.
	Orphaned()
}

// handoffState is this process's part in a hot restart.
type handoffState struct {
	host ProcessHost
	peer *peerSession // The link to the other process; nil if there is none.
}

// UseProcessHost lets the server hand over to a successor, and take over from a predecessor.
func (s *Server) UseProcessHost(host ProcessHost) { s.handoff.host = host }

// Inherit takes up the messages that a predecessor sent before the loop runs. It must be called before Attach.
func (s *Server) Inherit(messages []upgrade.Message) error {
	s.handoff.peer = &peerSession{server: s, preambleRead: true, keysSent: true}
	s.core.JoinPeer(s.handoff.peer, handoff.Requester)
	for _, message := range messages {
		if err := s.handoff.peer.handle(message); err != nil {
			return err
		}
	}
	s.logf("server: %d messages of the predecessor taken up; it owns the keys until it hands over", len(messages))
	return nil
}

// AcceptPredecessor is the session of the link to the predecessor, whose first messages Inherit has taken up.
func (s *Server) AcceptPredecessor(conn transport.Conn) transport.Session {
	s.handoff.peer.conn = conn
	return s.handoff.peer
}

func (s *Server) acceptSuccessor(conn transport.Conn) transport.Session {
	return &peerSession{server: s, conn: conn, successor: true}
}

// Shutdown ends the process after a notice that came at a time up to now: it hands over to a successor that stands
// ready, or else drains.
func (s *Server) Shutdown(notifiedAt microtime.Time) {
	if !s.successorReady() || s.shutdown.stage != serving {
		s.Drain(notifiedAt)
		return
	}
	now := s.loop.Now()
	s.shutdown.stage, s.shutdown.handedOverAt = handedOver, now
	s.shutdown.closingClients = true
	s.shutdown.stopWithin(notifiedAt, min(s.cfg.ShutdownTimeout, s.longestHandoff()))
	s.handoff.host.SteerListeners(1)
	s.closeListeners()
	s.core.PassOwnership()
	s.handoff.peer.ownershipPassed = true
	s.handoff.peer.send(upgrade.Message{Kind: upgrade.OwnershipTransferred})
	s.clients.drain(now)
	s.logf("server: handed over with %d requests and %d connections open, to stop within %v",
		s.core.OpenRequests(), s.clients.connections(), (s.shutdown.stopAt - now).Duration())
}

// successorReady reports whether a successor knows all idempotency keys.
func (s *Server) successorReady() bool {
	peer := s.handoff.peer
	return peer != nil && peer.successor && peer.keysSent
}

// longestHandoff is the time that the platform gives a process that has handed over.
func (s *Server) longestHandoff() microtime.Time {
	var longestDeadline microtime.Time
	for _, class := range s.cfg.Settings.Classes {
		longestDeadline = max(longestDeadline, microtime.FromDuration(class.Deadline))
	}
	return min(longestDeadline, maxHandoffDeadline) + handoffKillDelay
}

// checkSuccessor does what is due towards a successor. It returns when to check again.
func (s *Server) checkSuccessor(now microtime.Time) microtime.Time {
	if s.handoff.peer == nil || !s.handoff.peer.successor {
		return microtime.Never
	}
	return s.handoff.peer.check(now)
}

// finishHandoff ends a process that has handed over, once everything that it read is answered and its runs with
// idempotency keys have ended. By then its clients have closed their connections, as they were told to; those that
// have not are cut off at the end. It returns when it has to be called again.
func (s *Server) finishHandoff(now microtime.Time) microtime.Time {
	if s.shutdown.stage != handedOver || s.shutdown.loopStopped {
		return microtime.Never
	}
	failOpenAt := s.shutdown.stopAt - maxKillMargin/2
	if now >= failOpenAt {
		s.core.FailAll()
	}
	lingerEnd := s.shutdown.handedOverAt + handoffLinger
	if now >= lingerEnd && s.idle() || now >= s.shutdown.stopAt {
		s.logf("server: stopping after the handoff and %d requests, %d are open",
			s.clients.submitted, s.core.OpenRequests())
		s.stopLoop(now)
		return microtime.Never
	}
	switch {
	case now < lingerEnd:
		return lingerEnd
	case now < failOpenAt:
		return failOpenAt
	}
	return s.shutdown.stopAt
}

// idle reports whether a process that has handed over has nothing left to do.
func (s *Server) idle() bool {
	return s.shutdown.openListeners == 0 && s.core.OpenRequests() == 0 && s.core.KeyedRuns() == 0 &&
		s.clients.connections() == 0
}
