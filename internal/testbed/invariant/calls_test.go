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
	order   = "lot-intake" // has an effect
	view    = "block-view" // is safe
	callBig = "00000000000000a1"
	callTwo = "00000000000000b2"
)

// block has the run of id wait for a call.
func (s *scene) block(id string) {
	s.made++
	p := pool.AppendBlocked(nil, s.made, id, []byte("call"))
	s.event(2, simnet.Written, "w0", "s0", false, p)
	s.event(2, simnet.Arrived, "s0", "w0", true, p)
}

// waiting has a request come and run to its call.
func (s *scene) waiting(id, class string) int32 {
	n := s.ask(id, class, id)
	s.spawn(id, class, "body")
	s.block(id)
	return n
}

func (s *scene) call(conn uint64, id string) {
	s.event(conn, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, id, 1000, []byte("call")))
}

func (s *scene) unask(conn uint64, id string) {
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
			n := s.waiting(callBig, class)
			s.call(4, callBig)
			s.reply(4, callBig, status)
			s.call(4, callBig)
			s.reply(4, callBig, vault.Yes)
			s.supply(callBig, "reply "+callBig)
			s.ends(n, callBig)
		}
	}
	for _, c := range []struct {
		name, want string // the violation's key; "" for none
		play       func(s *scene)
	}{
		{"again after notnow", "", again(vault.NotNow, order)},
		{"again after pointless", "", again(vault.Pointless, order)},
		{"again after failed", "call/made twice", again(vault.Failed, order)},
		{"again after overdue", "call/made twice", again(vault.Overdue, order)},
		{"again after overdue, safe", "", again(vault.Overdue, view)},
		{"again after its connection broke", "call/made twice", func(s *scene) {
			s.waiting(callBig, order)
			s.call(4, callBig)
			s.event(4, simnet.Closed, "s0", "v0", true, nil)
			s.call(5, callBig)
		}},
		{"again after unask", "call/made twice", func(s *scene) {
			s.waiting(callBig, order)
			s.call(4, callBig)
			s.unask(4, callBig)
			s.call(5, callBig)
		}},
		{"again after notnow crossed unask", "", func(s *scene) {
			n := s.waiting(callBig, order)
			s.call(4, callBig)
			s.unask(4, callBig)
			s.reply(4, callBig, vault.NotNow)
			s.call(5, callBig)
			s.unask(5, callBig)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"a second call of the run", "", func(s *scene) {
			n := s.waiting(callBig, order)
			for range 2 {
				s.call(4, callBig)
				s.reply(4, callBig, vault.Yes)
				s.supply(callBig, "reply "+callBig)
				s.block(callBig)
			}
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.finish(callBig, pool.Killed)
		}},
		{"two open", "call/two open", func(s *scene) {
			s.waiting(callBig, view)
			s.call(4, callBig)
			s.call(5, callBig)
		}},
		{"for no run", "call/for no run", func(s *scene) { s.giveUp(s.ask(callBig, view, "")); s.call(4, callBig) }},
		{"body changed", "call/body changed", func(s *scene) {
			s.waiting(callBig, view)
			s.event(4, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, callBig, 1000, []byte("calm")))
		}},
		{"reply changed", "call/reply changed, or another's", func(s *scene) {
			s.waiting(callBig, view)
			s.call(4, callBig)
			s.reply(4, callBig, vault.Yes)
			s.supply(callBig, "reply")
		}},
		{"reply of the first call to the second", "call/reply changed, or another's", func(s *scene) {
			s.waiting(callBig, view)
			s.call(4, callBig)
			s.reply(4, callBig, vault.Yes)
			s.supply(callBig, "reply "+callBig)
			s.block(callBig)
			s.supply(callBig, "reply "+callBig)
		}},
		{"another's reply", "call/reply changed, or another's", func(s *scene) {
			s.waiting(callBig, view)
			s.waiting(callTwo, view)
			s.call(4, callBig)
			s.call(4, callTwo)
			s.reply(4, callBig, vault.Yes)
			s.supply(callTwo, "reply "+callBig)
		}},
		{"supplied after the run's end", "", func(s *scene) {
			n := s.waiting(callBig, view)
			s.call(4, callBig)
			s.reply(4, callBig, vault.Yes)
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.finish(callBig, pool.Killed)
			s.supply(callBig, "reply "+callBig)
		}},
		{"called though answered", "call/for what is over", func(s *scene) {
			s.answer(thrift.AppendBroken(nil, s.waiting(callBig, view), nil))
			s.after(30 * microtime.Millisecond)
			s.call(4, callBig)
		}},
		{"called though given up", "call/for what is over", func(s *scene) {
			s.giveUp(s.waiting(callBig, view))
			s.after(30 * microtime.Millisecond)
			s.call(4, callBig)
		}},
		{"called as the giveUp comes", "", func(s *scene) {
			s.giveUp(s.waiting(callBig, view))
			s.call(4, callBig)
			s.unask(4, callBig)
		}},
		{"called though the caller has left", "call/for what is over", func(s *scene) {
			s.waiting(callBig, view)
			s.event(1, simnet.Closed, "s0", "p0", false, nil)
			s.after(30 * microtime.Millisecond)
			s.call(4, callBig)
		}},
		{"not given up though answered", "call/not given up", func(s *scene) {
			n := s.waiting(callBig, view)
			s.call(4, callBig)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"not given up though its run has ended", "call/not given up", func(s *scene) {
			s.waiting(callBig, view)
			s.call(4, callBig)
			s.finish(callBig, pool.Killed)
		}},
		{"not given up by its time", "call/not given up", func(s *scene) {
			s.waiting(callBig, view)
			s.call(4, callBig)
			s.after(1200 * microtime.Millisecond)
		}},
		{"given up by its connection's end", "", func(s *scene) {
			n := s.waiting(callBig, view)
			s.call(4, callBig)
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.event(4, simnet.Closed, "s0", "v0", true, nil)
		}},
		{"to the address before", "call/to another address", func(s *scene) {
			s.o.CallsRoutedTo("s0", "v0/b")
			s.after(30 * microtime.Millisecond)
			s.waiting(callBig, view)
			s.call(4, callBig)
		}},
		{"as the address changes", "", func(s *scene) {
			n := s.waiting(callBig, view)
			s.o.CallsRoutedTo("s0", "v0/b")
			s.call(4, callBig)
			s.reply(4, callBig, vault.Yes)
			s.supply(callBig, "reply "+callBig)
			s.ends(n, callBig)
		}},
		{"deep check answered", "", func(s *scene) {
			s.event(1, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
			s.after(microtime.Second)
			s.answer(thrift.AppendAnswer(nil, thrift.Answer{MethodName: "probe", SequenceID: 7}))
		}},
		{"deep check unanswered", "check/deep check unanswered", func(s *scene) {
			s.event(1, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
		}},
		{"as many as may run, and more that wait", "", func(s *scene) {
			for i := range 12 {
				id := callBig[:14] + string([]byte{'0', "0123456789ab"[i]})
				s.giveUp(s.ask(id, view, ""))
				s.spawn(id, view, "body")
				s.block(id)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(t)
			s.o.Limits.MemoryKB = 4000
			s.open(4, "v0/a", "s0")
			s.open(5, "v0/b", "s0")
			c.play(s)
			s.after(5 * microtime.Second)
			if c.want == "" {
				require.Empty(t, s.o.Violations)
				return
			}
			require.NotEmpty(t, s.o.Violations)
			require.Equal(t, c.want, s.o.Violations[0].Key(), s.o.Violations[0].String())
		})
	}
}
