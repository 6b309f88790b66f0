package edge

import (
	"fmt"

	"pewterline/internal/decide/handover"
	"pewterline/internal/micro"
	"pewterline/internal/protocol/upgrade"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

const (
	// HandoverListener is the index of the listener for a successor.
	HandoverListener = 4
	// HandoverConns are the connections of successors that may be open at once.
	HandoverConns = 4
	// The platform's figures: an old process has the longest deadline, three seconds at most, and this until it is killed.
	handMost  = 3 * micro.Second
	handAfter = 700 * micro.Millisecond
	// What was in the listener's queue at the hand-over is read within this, and what crosses a farewell.
	handLinger = 200 * micro.Millisecond
	connsEvery = 100 * micro.Millisecond
	// A successor is ready within 6 s or given up by its operators: one that has not heard all keys by then has hung.
	hearMost = 6 * micro.Second
)

// Host is what a hand-over needs of the process. Its methods are called on the loop.
type Host interface {
	// Steer has new connections go to the process that listened at that place: 0 for the old one, 1 for its successor.
	Steer(place int)
	// Share has this process keep to what the limits leave beside the other process with so many connections; negative: it
	// is alone.
	Share(others int)
	// Orphaned says that the predecessor is out of reach and has not handed over.
	Orphaned()
}

// UseHost lets the server hand over to a successor, and take over.
func (s *Server) UseHost(h Host) { s.host = h }

// peerProcess is the link between an old process and its successor.
type peerProcess struct {
	s         *Server
	conn      transport.Link
	successor bool // the other one is the successor
	greeted   bool
	keys      []routing.KeyName // to be told yet
	synced    bool
	yours     bool // ownership has passed
	told      int  // connections, last
	since     micro.Time
	next      micro.Time
	out       []byte
}

func (s *Server) acceptHandover(c transport.Link) transport.Session {
	return &peerProcess{s: s, conn: c, successor: true}
}

// Inherit takes up what a predecessor has told before the loop runs. It comes before Attach.
func (s *Server) Inherit(told []upgrade.Message) error {
	s.peer = &peerProcess{s: s, greeted: true, synced: true}
	s.core.Join(s.peer, handover.Asker)
	for _, m := range told {
		if err := s.peer.take(m); err != nil {
			return err
		}
	}
	s.logf("edge: %d messages of the predecessor taken up; it owns the keys until it hands over", len(told))
	return nil
}

// Predecessor is the session of the link to the predecessor.
func (s *Server) Predecessor(c transport.Link) transport.Session {
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
	s.core.LostOther()
	s.host.Share(-1)
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
	in := routing.Intake{Once: m.Once, At: s.wall.FromUnixMilli(m.AtMS), Result: m.Result}
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
		s.out = m.Out
		if m.Learned != nil {
			s.core.Learn(*m.Learned)
		}
	case upgrade.More:
		k.more()
	case upgrade.Yours:
		k.yours = true
		s.logf("edge: the predecessor has handed over")
		s.core.TakeOver()
	case upgrade.Service:
		s.out = m.Out
		s.logf("edge: in service: %v, as the %s was told", !m.Out, k.who())
	case upgrade.Conns:
		s.host.Share(m.Conns)
	case upgrade.Claim:
		s.core.Claimed(in)
	case upgrade.Grant:
		s.core.Granted(in)
	case upgrade.Began:
		s.core.BeganThere(in)
	case upgrade.Passed:
		s.core.EndedThere(in, routing.Passed)
	case upgrade.Failed:
		s.core.EndedThere(in, routing.Errored)
	case upgrade.Freed:
		s.core.FreedThere(in)
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
	k.conn.Vouch()
	if why != "" {
		s.logf("edge: a successor is refused: %s", why)
		k.send(upgrade.Message{Kind: upgrade.Refuse, Text: why})
		k.conn.Close()
		return nil
	}
	s.peer, k.since = k, s.loop.Now()
	s.logf("edge: a successor has come")
	s.host.Steer(0)
	s.host.Share(0) // it gets no connections yet
	s.core.Join(k, handover.Owner)
	learned := s.core.Learned()
	k.send(upgrade.Message{Kind: upgrade.Welcome, Out: s.out, Learned: &learned})
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
	n := min(len(k.keys), upgrade.Chunk)
	for _, name := range k.keys[:n] {
		k.s.core.TellKey(name)
	}
	k.keys = k.keys[n:]
	if n > 0 {
		k.send(upgrade.Message{Kind: upgrade.More})
		return
	}
	k.synced = true
	k.send(upgrade.Message{Kind: upgrade.Synced})
}

// check does what is due; it returns when to look again. Guards the next upgrade against a successor that hangs while it is
// told: it would keep its place for as long as it lives.
func (k *peerProcess) check(now micro.Time) micro.Time {
	if !k.synced && now >= k.since+hearMost {
		k.s.logf("edge: the successor has not heard all keys within %v", hearMost.Duration())
		k.conn.Close()
		return micro.Never
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
		k.send(upgrade.Message{Kind: upgrade.Conns, Conns: n})
	}
}

func (k *peerProcess) key(kind upgrade.Kind, in routing.Intake) {
	m := upgrade.Message{Kind: kind, Class: k.s.cfg.Settings.Classes[in.Class].Name, Once: in.Once, AtMS: k.s.wall.UnixMilli(in.At)}
	if in.Tenant < len(k.s.cfg.Settings.Tenants) {
		m.Tenant = k.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	if kind == upgrade.Passed {
		m.Result = in.Result
	}
	k.send(m)
}

// Claim is part of routing.Other.
func (k *peerProcess) Claim(in routing.Intake) { k.key(upgrade.Claim, in) }

// Grant is part of routing.Other.
func (k *peerProcess) Grant(in routing.Intake) { k.key(upgrade.Grant, in) }

// Began is part of routing.Other.
func (k *peerProcess) Began(in routing.Intake) { k.key(upgrade.Began, in) }

// Freed is part of routing.Other.
func (k *peerProcess) Freed(in routing.Intake) { k.key(upgrade.Freed, in) }

// Ended is part of routing.Other.
func (k *peerProcess) Ended(in routing.Intake, end routing.End) {
	// A result that no message holds has run all the same: the other process must not run it, and can't serve it.
	if end == routing.Passed && len(in.Result) <= upgrade.MaxResult {
		k.key(upgrade.Passed, in)
		return
	}
	k.key(upgrade.Failed, in)
}

// Leave is SIGTERM, which came at a time up to now: a hand-over where a successor stands ready, else the notice to drain.
func (s *Server) Leave(at micro.Time) {
	if s.peer == nil || !s.peer.successor || !s.peer.synced || s.draining || s.handed {
		s.Drain(at)
		return
	}
	now := s.loop.Now()
	longest := micro.Time(0)
	for _, c := range s.cfg.Settings.Classes {
		longest = max(longest, micro.Of(c.Deadline))
	}
	stop := min(s.cfg.Stop, min(longest, handMost)+handAfter)
	s.handed, s.farewell, s.handedAt = true, true, now
	s.stopWithin(at, stop)
	s.host.Steer(1)
	s.closeListeners()
	s.core.HandOver()
	s.peer.yours = true
	s.peer.send(upgrade.Message{Kind: upgrade.Yours})
	s.sayFarewell(now)
	s.logf("edge: handed over with %d requests and %d connections open, to stop within %v", s.core.Open(), s.connections(), (s.stopAt - now).Duration())
}

// leaveHanded ends an old process once all that it read is answered and its keyed runs have ended. Its peers have closed by
// then, as farewell asks of them, or are cut off at the end.
func (s *Server) leaveHanded(now micro.Time) micro.Time {
	if s.stopped {
		return micro.Never
	}
	if now >= s.stopAt-stopLead/2 {
		s.core.EndAll()
	}
	quiet := s.listening == 0 && s.core.Open() == 0 && s.core.KeyedRuns() == 0 && s.connections() == 0
	if now >= s.handedAt+handLinger && quiet || now >= s.stopAt {
		s.logf("edge: gone after %d requests, %d are open", s.requests, s.core.Open())
		s.shutdown(now)
		return micro.Never
	}
	for _, at := range []micro.Time{s.handedAt + handLinger, s.stopAt - stopLead/2} {
		if now < at {
			return at
		}
	}
	return s.stopAt
}
