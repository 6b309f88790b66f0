package server

import (
	"fmt"

	"pewterline/internal/decide/handoff"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/upgrade"
	"pewterline/internal/transport"
)

const (
	// HandoffListener is the index of the listener for a successor.
	HandoffListener = 4
	// MaxHandoffConns are the connections of successors that may be open at once.
	MaxHandoffConns = 4
	// The platform's figures: an old process has the longest deadline, three seconds at most, and this until it is killed.
	handMost  = 3 * microtime.Second
	handAfter = 700 * microtime.Millisecond
	// What was in the listener's queue at the hand-over is read within this, and what crosses a farewell.
	handLinger = 200 * microtime.Millisecond
	connsEvery = 100 * microtime.Millisecond
	// A successor is ready within 6 s or given up by its operators: one that has not heard all keys by then has hung.
	hearMost = 6 * microtime.Second
)

// ProcessHost is what a hand-over needs of the process. Its methods are called on the loop.
type ProcessHost interface {
	// Steer has new connections go to the process that listened at that place: 0 for the old one, 1 for its successor.
	SteerListeners(place int)
	// Share has this process keep to what the limits leave beside the other process with so many connections; negative: it
	// is alone.
	ShareLimits(others int)
	// Orphaned says that the predecessor is out of reach and has not handed over.
	Orphaned()
}

// UseProcessHost lets the server hand over to a successor, and take over.
func (s *Server) UseProcessHost(h ProcessHost) { s.host = h }

// peerProcess is the link between an old process and its successor.
type peerProcess struct {
	s         *Server
	conn      transport.Conn
	successor bool // the other one is the successor
	greeted   bool
	keys      []dispatch.IdempotencyKey // to be told yet
	synced    bool
	yours     bool // ownership has passed
	told      int  // connections, last
	since     microtime.Time
	next      microtime.Time
	out       []byte
}

func (s *Server) acceptHandover(c transport.Conn) transport.Session {
	return &peerProcess{s: s, conn: c, successor: true}
}

// Inherit takes up what a predecessor has told before the loop runs. It comes before Attach.
func (s *Server) Inherit(told []upgrade.Message) error {
	s.peer = &peerProcess{s: s, greeted: true, synced: true}
	s.core.JoinPeer(s.peer, handoff.Requester)
	for _, m := range told {
		if err := s.peer.take(m); err != nil {
			return err
		}
	}
	s.logf("edge: %d messages of the predecessor taken up; it owns the keys until it hands over", len(told))
	return nil
}

// AcceptPredecessor is the session of the link to the predecessor.
func (s *Server) AcceptPredecessor(c transport.Conn) transport.Session {
	s.peer.conn = c
	return s.peer
}

// Receive is part of transport.Session.
func (k *peerProcess) Receive(in []byte) (int, error) {
	n := 0
	if !k.greeted {
		ok, err := upgrade.CheckPreamble(in)
		if err != nil || !ok {
			return 0, err
		}
		k.greeted, n = true, len(upgrade.Preamble)
		k.conn.Write(upgrade.Preamble[:])
	}
	for {
		m, size, err := upgrade.Parse(in[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		if err := k.take(m); err != nil {
			return n, err
		}
	}
}

// Idle is part of transport.Session.
func (k *peerProcess) Idle() bool { return false }

// Closed is part of transport.Session: the other process is gone, or as good as gone.
func (k *peerProcess) Closed() {
	s := k.s
	if s.peer != k {
		return
	}
	s.peer = nil
	s.logf("edge: the %s is gone, hand-over done: %v", k.who(), k.yours)
	s.core.PeerLost()
	s.host.ShareLimits(-1)
	if !k.successor && !k.yours {
		s.host.Orphaned()
	}
}

func (k *peerProcess) who() string {
	if k.successor {
		return "successor"
	}
	return "predecessor"
}

func (k *peerProcess) send(m upgrade.Message) {
	if k.conn != nil {
		k.out = upgrade.Append(k.out[:0], m)
		k.conn.Write(k.out)
	}
}

func (k *peerProcess) take(m upgrade.Message) error {
	s := k.s
	if s.peer != k { // a stranger until it has said hello
		if m.Kind != upgrade.Hello || !k.successor {
			return fmt.Errorf("%w: kind %d before hello", upgrade.ErrFrame, m.Kind)
		}
		return k.greet(m)
	}
	in := dispatch.KeyedRequest{IdempotencyKey: m.IdempotencyKey, ArrivedAt: s.wall.FromUnixMilli(m.ArrivedAtMilli), Result: m.Result}
	if m.Kind >= upgrade.Claim {
		var class, tenant bool
		in.Class, class = s.classes[m.Class]
		in.Tenant, tenant = s.tenants[m.Tenant]
		if !class || !tenant && len(s.tenants) > 0 {
			return nil // of settings that this process does not have: no try of it can come here
		}
	}
	switch m.Kind {
	case upgrade.Welcome:
		s.out = m.OutOfService
		if m.Learned != nil {
			s.core.RestoreLearned(*m.Learned)
		}
	case upgrade.NextChunk:
		k.more()
	case upgrade.OwnershipTransferred:
		k.yours = true
		s.logf("edge: the predecessor has handed over")
		s.core.TakeOwnership()
	case upgrade.ServiceChanged:
		s.out = m.OutOfService
		s.logf("edge: in service: %v, as the %s was told", !m.OutOfService, k.who())
	case upgrade.ConnectionCount:
		s.host.ShareLimits(m.Connections)
	case upgrade.Claim:
		s.core.PeerClaimed(in)
	case upgrade.Grant:
		s.core.PeerGranted(in)
	case upgrade.Started:
		s.core.PeerStarted(in)
	case upgrade.Succeeded:
		s.core.PeerFinished(in, dispatch.RunSucceeded)
	case upgrade.Failed:
		s.core.PeerFinished(in, dispatch.RunFailed)
	case upgrade.Released:
		s.core.PeerReleased(in)
	}
	return nil
}

// greet takes a process for the successor, unless this one leaves or has an other already.
func (k *peerProcess) greet(m upgrade.Message) error {
	s := k.s
	why := ""
	switch {
	case m.Name != s.cfg.Name:
		why = fmt.Sprintf("this is %s", s.cfg.Name)
	case s.draining || s.handed:
		why = "leaving"
	case s.peer != nil:
		why = "an upgrade is under way"
	}
	k.conn.MarkIdentified()
	if why != "" {
		s.logf("edge: a successor is refused: %s", why)
		k.send(upgrade.Message{Kind: upgrade.Reject, Reason: why})
		k.conn.Close()
		return nil
	}
	s.peer, k.since = k, s.loop.Now()
	s.logf("edge: a successor has come")
	s.host.SteerListeners(0)
	s.host.ShareLimits(0) // it gets no connections yet
	s.core.JoinPeer(k, handoff.Owner)
	learned := s.core.LearnedState()
	k.send(upgrade.Message{Kind: upgrade.Welcome, OutOfService: s.out, Learned: &learned})
	k.conns()
	k.keys = s.core.Keys()
	k.more()
	return nil
}

// more tells the next keys, or that these were all.
func (k *peerProcess) more() {
	if k.synced {
		return
	}
	n := min(len(k.keys), upgrade.ChunkKeys)
	for _, name := range k.keys[:n] {
		k.s.core.AnnounceKey(name)
	}
	k.keys = k.keys[n:]
	if n > 0 {
		k.send(upgrade.Message{Kind: upgrade.NextChunk})
		return
	}
	k.synced = true
	k.send(upgrade.Message{Kind: upgrade.Synced})
}

// check does what is due; it returns when to look again. Guards the next upgrade against a successor that hangs while it is
// told: it would keep its place for as long as it lives.
func (k *peerProcess) check(now microtime.Time) microtime.Time {
	if !k.synced && now >= k.since+hearMost {
		k.s.logf("edge: the successor has not heard all keys within %v", hearMost.Duration())
		k.conn.Close()
		return microtime.Never
	}
	if now >= k.next {
		k.next = now + connsEvery
		k.conns()
	}
	return k.next
}

// conns tells the successor how many connections are open, so that both keep to one limit.
func (k *peerProcess) conns() {
	n := k.s.connections()
	if k.told != n {
		k.told = n
		k.send(upgrade.Message{Kind: upgrade.ConnectionCount, Connections: n})
	}
}

func (k *peerProcess) key(kind upgrade.Kind, in dispatch.KeyedRequest) {
	m := upgrade.Message{Kind: kind, Class: k.s.cfg.Settings.Classes[in.Class].Name, IdempotencyKey: in.IdempotencyKey, ArrivedAtMilli: k.s.wall.UnixMilli(in.ArrivedAt)}
	if in.Tenant < len(k.s.cfg.Settings.Tenants) {
		m.Tenant = k.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	if kind == upgrade.Succeeded {
		m.Result = in.Result
	}
	k.send(m)
}

// Claim is part of routing.Other.
func (k *peerProcess) Claim(in dispatch.KeyedRequest) { k.key(upgrade.Claim, in) }

// Grant is part of routing.Other.
func (k *peerProcess) Grant(in dispatch.KeyedRequest) { k.key(upgrade.Grant, in) }

// NotifyStarted is part of routing.Other.
func (k *peerProcess) NotifyStarted(in dispatch.KeyedRequest) { k.key(upgrade.Started, in) }

// NotifyReleased is part of routing.Other.
func (k *peerProcess) NotifyReleased(in dispatch.KeyedRequest) { k.key(upgrade.Released, in) }

// NotifyFinished is part of routing.Other.
func (k *peerProcess) NotifyFinished(in dispatch.KeyedRequest, end dispatch.RunOutcome) {
	// A result that no message holds has run all the same: the other process must not run it, and can't serve it.
	if end == dispatch.RunSucceeded && len(in.Result) <= upgrade.MaxResult {
		k.key(upgrade.Succeeded, in)
		return
	}
	k.key(upgrade.Failed, in)
}

// Shutdown is SIGTERM, which came at a time up to now: a hand-over where a successor stands ready, else the notice to drain.
func (s *Server) Shutdown(at microtime.Time) {
	if s.peer == nil || !s.peer.successor || !s.peer.synced || s.draining || s.handed {
		s.Drain(at)
		return
	}
	now := s.loop.Now()
	longest := microtime.Time(0)
	for _, c := range s.cfg.Settings.Classes {
		longest = max(longest, microtime.FromDuration(c.Deadline))
	}
	stop := min(s.cfg.ShutdownTimeout, min(longest, handMost)+handAfter)
	s.handed, s.farewell, s.handedAt = true, true, now
	s.stopWithin(at, stop)
	s.host.SteerListeners(1)
	s.closeListeners()
	s.core.PassOwnership()
	s.peer.yours = true
	s.peer.send(upgrade.Message{Kind: upgrade.OwnershipTransferred})
	s.sayFarewell(now)
	s.logf("edge: handed over with %d requests and %d connections open, to stop within %v", s.core.OpenRequests(), s.connections(), (s.stopAt - now).Duration())
}

// leaveHanded ends an old process once all that it read is answered and its keyed runs have ended. Its peers have closed by
// then, as farewell asks of them, or are cut off at the end.
func (s *Server) leaveHanded(now microtime.Time) microtime.Time {
	if s.stopped {
		return microtime.Never
	}
	if now >= s.stopAt-stopLead/2 {
		s.core.FailAll()
	}
	quiet := s.listening == 0 && s.core.OpenRequests() == 0 && s.core.KeyedRuns() == 0 && s.connections() == 0
	if now >= s.handedAt+handLinger && quiet || now >= s.stopAt {
		s.logf("edge: gone after %d requests, %d are open", s.requests, s.core.OpenRequests())
		s.shutdown(now)
		return microtime.Never
	}
	for _, at := range []microtime.Time{s.handedAt + handLinger, s.stopAt - stopLead/2} {
		if now < at {
			return at
		}
	}
	return s.stopAt
}
