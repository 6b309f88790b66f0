package server

import (
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/upgrade"
	"pewterline/internal/transport"
)

// MaxHandoffConns is how many connections of successors may be open at once.
const MaxHandoffConns = 4

// The times of a handoff. The platform kills the old process handoffKillDelay after the longest request deadline, or
// after maxHandoffDeadline if that is shorter.
const (
	// maxHandoffDeadline is the longest request deadline that the old process waits for.
	maxHandoffDeadline = 3 * microtime.Second
	// handoffKillDelay is the time between the longest deadline and the kill.
	handoffKillDelay = 700 * microtime.Millisecond
	// handoffLinger is how long the old process keeps reading after the handoff. It covers connections that were
	// already in the listener's queue, and requests that clients sent before they read the request to close their
	// connection.
	handoffLinger = 200 * microtime.Millisecond
)

// ProcessHost is the part of the program around the server that a handoff needs. Its methods are called on the loop.
type ProcessHost interface {
	// SteerListeners directs new connections to one of the two processes that listen: 0 is the old one, 1 its
	// successor.
	SteerListeners(process int)
	// ShareLimits reduces this process's connection limit by peerConnections, the number of connections that the other
	// process has open. A negative number means that there is no other process.
	ShareLimits(peerConnections int)
	// Orphaned reports that the link to the predecessor was lost before the predecessor handed over.
	Orphaned()
}

// handoffState is this process's part in a hot restart.
type handoffState struct {
	host ProcessHost
	peer *peerSession // the link to the other process, or nil
}

// UseProcessHost enables the server to hand over to a successor and to take over from a predecessor.
func (s *Server) UseProcessHost(host ProcessHost) { s.handoff.host = host }

// Inherit restores the predecessor's state from the messages that it sent before this process's loop runs. It must be
// called before Attach.
func (s *Server) Inherit(messages []upgrade.Message) error {
	s.handoff.peer = &peerSession{server: s, preambleRead: true, keysSent: true}
	s.core.JoinPeer(s.handoff.peer, handoff.Requester)
	for _, message := range messages {
		if err := s.handoff.peer.handle(message); err != nil {
			return err
		}
	}
	s.logf("server: messages of the predecessor applied, it owns the keys until it hands over: messages=%d", len(messages))
	return nil
}

// AcceptPredecessor returns the session of the link to the predecessor. Inherit must be called first.
func (s *Server) AcceptPredecessor(conn transport.Conn) transport.Session {
	s.handoff.peer.conn = conn
	return s.handoff.peer
}

func (s *Server) acceptSuccessor(conn transport.Conn) transport.Session {
	return &peerSession{server: s, conn: conn, successor: true}
}

// Shutdown ends the process after a shutdown notice. It hands over to the successor if one is ready, and drains
// otherwise. notifiedAt, at most now, is when the notice was sent: the shutdown timeout counts from then.
func (s *Server) Shutdown(notifiedAt microtime.Time) {
	if !s.successorReady() || s.shutdown.stage != serving {
		s.Drain(notifiedAt)
		return
	}
	now := s.loop.Now()
	s.shutdown.stage, s.shutdown.handedOverAt = handedOver, now
	s.shutdown.closingClients = true
	s.shutdown.stopWithin(notifiedAt, min(s.cfg.ShutdownTimeout, s.handoffTimeout()))
	s.handoff.host.SteerListeners(1)
	s.closeListeners()
	s.core.PassOwnership()
	s.handoff.peer.ownershipPassed = true
	s.handoff.peer.send(upgrade.Message{Kind: upgrade.OwnershipTransferred})
	s.clients.drain(now)
	s.logf("server: handed over: open_requests=%d open_connections=%d stop_within=%v",
		s.core.OpenRequests(), s.clients.connections(), (s.shutdown.stopAt - now).Duration())
}

// successorReady reports whether there is a successor that has received all idempotency keys.
func (s *Server) successorReady() bool {
	peer := s.handoff.peer
	return peer != nil && peer.successor && peer.keysSent
}

// handoffTimeout is the time from the shutdown notice until the platform kills a process that has handed over.
func (s *Server) handoffTimeout() microtime.Time {
	var longestDeadline microtime.Time
	for _, class := range s.cfg.Settings.Classes {
		longestDeadline = max(longestDeadline, microtime.FromDuration(class.Deadline))
	}
	return min(longestDeadline, maxHandoffDeadline) + handoffKillDelay
}

// checkSuccessor runs the timers of the link to a successor. It returns when to check again.
func (s *Server) checkSuccessor(now microtime.Time) microtime.Time {
	if s.handoff.peer == nil || !s.handoff.peer.successor {
		return microtime.Never
	}
	return s.handoff.peer.check(now)
}

// finishHandoff ends a process that has handed over, once every request that it read is answered and its runs with
// idempotency keys have ended. Its clients were asked to close their connections; connections that are still open at
// stopAt are closed. It returns when it has to be called again.
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
		s.logf("server: stopping after the handoff: requests=%d open=%d",
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
