package invariant

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

const (
	keyedClass = "lot-intake" // has an effect
	safeClass  = "block-view" // is safe
	firstID    = "00000000000000a1"
	secondID   = "00000000000000b2"
)

// block has the run of id wait for a call.
func (s *scene) block(id string) {
	s.notices++
	p := pool.AppendBlocked(nil, s.notices, id, []byte("call"))
	s.event(2, simnet.Written, "w0", "s0", false, p)
	s.event(2, simnet.Arrived, "s0", "w0", true, p)
}

// runToCall has a request come and run to its call.
func (s *scene) runToCall(id, class string) int32 {
	n := s.ask(id, class, id)
	s.spawn(id, class, "body")
	s.block(id)
	return n
}

func (s *scene) call(conn uint64, id string) {
	s.event(conn, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, id, 1000, []byte("call")))
}

func (s *scene) cancelCall(conn uint64, id string) {
	s.event(conn, simnet.Written, "s0", "v0", true, vault.AppendUnask(nil, id))
}

func (s *scene) reply(conn uint64, id string, status vault.Status) {
	s.event(conn, simnet.Arrived, "s0", "v0", true, vault.AppendReply(nil, id, status, []byte("reply "+id)))
}

func (s *scene) supply(id, body string) {
	s.event(2, simnet.Arrived, "w0", "s0", false, pool.AppendSupply(nil, id, []byte(body)))
}

// ends has the run of id end and be answered.
func (s *scene) ends(seq int32, id string) { s.served(seq, s.finish(id, pool.Pass)) }

// Each broken rule on calls and deep checks is seen, and its like that breaks none is not.
func TestEachRuleOfCalls(t *testing.T) {
	again := func(status vault.Status, class string) func(s *scene) {
		return func(s *scene) {
			n := s.runToCall(firstID, class)
			s.call(4, firstID)
			s.reply(4, firstID, status)
			s.call(4, firstID)
			s.reply(4, firstID, vault.Yes)
			s.supply(firstID, "reply "+firstID)
			s.ends(n, firstID)
		}
	}
	for _, c := range []struct {
		name, want string // the violation's key; "" for none
		play       func(s *scene)
	}{
		{"again after notnow", "", again(vault.NotNow, keyedClass)},
		{"again after pointless", "", again(vault.Pointless, keyedClass)},
		{"again after failed", "call/made twice", again(vault.Failed, keyedClass)},
		{"again after overdue", "call/made twice", again(vault.Overdue, keyedClass)},
		{"again after overdue, safe", "", again(vault.Overdue, safeClass)},
		{"again after its connection broke", "call/made twice", func(s *scene) {
			s.runToCall(firstID, keyedClass)
			s.call(4, firstID)
			s.event(4, simnet.Closed, "s0", "v0", true, nil)
			s.call(5, firstID)
		}},
		{"again after unask", "call/made twice", func(s *scene) {
			s.runToCall(firstID, keyedClass)
			s.call(4, firstID)
			s.cancelCall(4, firstID)
			s.call(5, firstID)
		}},
		{"again after notnow crossed unask", "", func(s *scene) {
			n := s.runToCall(firstID, keyedClass)
			s.call(4, firstID)
			s.cancelCall(4, firstID)
			s.reply(4, firstID, vault.NotNow)
			s.call(5, firstID)
			s.cancelCall(5, firstID)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"a second call of the run", "", func(s *scene) {
			n := s.runToCall(firstID, keyedClass)
			for range 2 {
				s.call(4, firstID)
				s.reply(4, firstID, vault.Yes)
				s.supply(firstID, "reply "+firstID)
				s.block(firstID)
			}
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.finish(firstID, pool.Killed)
		}},
		{"two open", "call/two open", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.call(5, firstID)
		}},
		{"for no run", "call/for no run", func(s *scene) { s.giveUp(s.ask(firstID, safeClass, "")); s.call(4, firstID) }},
		{"body changed", "call/body changed", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.event(4, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, firstID, 1000, []byte("calm")))
		}},
		{"reply changed", "call/reply changed, or another's", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.reply(4, firstID, vault.Yes)
			s.supply(firstID, "reply")
		}},
		{"reply of the first call to the second", "call/reply changed, or another's", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.reply(4, firstID, vault.Yes)
			s.supply(firstID, "reply "+firstID)
			s.block(firstID)
			s.supply(firstID, "reply "+firstID)
		}},
		{"another's reply", "call/reply changed, or another's", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.runToCall(secondID, safeClass)
			s.call(4, firstID)
			s.call(4, secondID)
			s.reply(4, firstID, vault.Yes)
			s.supply(secondID, "reply "+firstID)
		}},
		{"supplied after the run's end", "", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.reply(4, firstID, vault.Yes)
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.finish(firstID, pool.Killed)
			s.supply(firstID, "reply "+firstID)
		}},
		{"called though answered", "call/for what is over", func(s *scene) {
			s.answer(thrift.AppendBroken(nil, s.runToCall(firstID, safeClass), nil))
			s.advance(30 * microtime.Millisecond)
			s.call(4, firstID)
		}},
		{"called though given up", "call/for what is over", func(s *scene) {
			s.giveUp(s.runToCall(firstID, safeClass))
			s.advance(30 * microtime.Millisecond)
			s.call(4, firstID)
		}},
		{"called as the giveUp comes", "", func(s *scene) {
			s.giveUp(s.runToCall(firstID, safeClass))
			s.call(4, firstID)
			s.cancelCall(4, firstID)
		}},
		{"called though the caller has left", "call/for what is over", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.event(1, simnet.Closed, "s0", "p0", false, nil)
			s.advance(30 * microtime.Millisecond)
			s.call(4, firstID)
		}},
		{"not given up though answered", "call/not given up", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"not given up though its run has ended", "call/not given up", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.finish(firstID, pool.Killed)
		}},
		{"not given up by its time", "call/not given up", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.advance(1200 * microtime.Millisecond)
		}},
		{"given up by its connection's end", "", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.call(4, firstID)
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.event(4, simnet.Closed, "s0", "v0", true, nil)
		}},
		{"to the address before", "call/to another address", func(s *scene) {
			s.observer.CallsRoutedTo("s0", "v0/b")
			s.advance(30 * microtime.Millisecond)
			s.runToCall(firstID, safeClass)
			s.call(4, firstID)
		}},
		{"as the address changes", "", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.observer.CallsRoutedTo("s0", "v0/b")
			s.call(4, firstID)
			s.reply(4, firstID, vault.Yes)
			s.supply(firstID, "reply "+firstID)
			s.ends(n, firstID)
		}},
		{"deep check answered", "", func(s *scene) {
			s.event(1, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
			s.advance(microtime.Second)
			s.answer(thrift.AppendAnswer(nil, thrift.Answer{MethodName: "probe", SequenceID: 7}))
		}},
		{"deep check unanswered", "check/deep check unanswered", func(s *scene) {
			s.event(1, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
		}},
		{"as many as may run, and more that wait", "", func(s *scene) {
			for i := range 12 {
				id := firstID[:14] + string([]byte{'0', "0123456789ab"[i]})
				s.giveUp(s.ask(id, safeClass, ""))
				s.spawn(id, safeClass, "body")
				s.block(id)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(t)
			s.observer.Limits.MemoryKB = 4000
			s.open(4, "v0/a", "s0")
			s.open(5, "v0/b", "s0")
			c.play(s)
			s.advance(5 * microtime.Second)
			if c.want == "" {
				require.Empty(t, s.observer.Violations)
				return
			}
			require.NotEmpty(t, s.observer.Violations)
			require.Equal(t, c.want, s.observer.Violations[0].Key(), s.observer.Violations[0].String())
		})
	}
}
