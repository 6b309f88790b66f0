package invariant

import (
	"testing"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

// TestEachRuleOfCalls shows that each broken rule on calls and health checks is seen, and that its like that breaks
// none is not.
func TestEachRuleOfCalls(t *testing.T) {
	again := func(status vault.Status, class string) func(s *scene) {
		return func(s *scene) {
			n := s.runToCall(firstID, class)
			s.call(firstVaultConn, firstID)
			s.reply(status)
			s.call(firstVaultConn, firstID)
			s.reply(vault.Yes)
			s.supply(firstID, "reply "+firstID)
			s.ends(n, firstID)
		}
	}
	playEach(t, 4000, []ruleCase{
		{"again after notnow", "", again(vault.NotNow, keyedClass)},
		{"again after pointless", "", again(vault.Pointless, keyedClass)},
		{"again after failed", "call/made twice", again(vault.Failed, keyedClass)},
		{"again after overdue", "call/made twice", again(vault.Overdue, keyedClass)},
		{"again after overdue, safe", "", again(vault.Overdue, safeClass)},
		{"again after its connection broke", "call/made twice", func(s *scene) {
			s.runToCall(firstID, keyedClass)
			s.call(firstVaultConn, firstID)
			s.event(firstVaultConn, simnet.Closed, "s0", "v0", true, nil)
			s.call(secondVaultConn, firstID)
		}},
		{"again after unask", "call/made twice", func(s *scene) {
			s.runToCall(firstID, keyedClass)
			s.call(firstVaultConn, firstID)
			s.cancelCall(firstVaultConn)
			s.call(secondVaultConn, firstID)
		}},
		{"again after notnow crossed unask", "", func(s *scene) {
			n := s.runToCall(firstID, keyedClass)
			s.call(firstVaultConn, firstID)
			s.cancelCall(firstVaultConn)
			s.reply(vault.NotNow)
			s.call(secondVaultConn, firstID)
			s.cancelCall(secondVaultConn)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"a second call of the run", "", func(s *scene) {
			n := s.runToCall(firstID, keyedClass)
			for range 2 {
				s.call(firstVaultConn, firstID)
				s.reply(vault.Yes)
				s.supply(firstID, "reply "+firstID)
				s.block(firstID)
			}
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.finish(firstID, pool.Killed)
		}},
		{"two open", "call/two open", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.call(secondVaultConn, firstID)
		}},
		{"for no run", "call/for no run", func(s *scene) {
			s.giveUp(s.ask(firstID, safeClass, ""))
			s.call(firstVaultConn, firstID)
		}},
		{"body changed", "call/body changed", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.event(firstVaultConn, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, firstID, 1000, []byte("calm")))
		}},
		{"reply changed", "call/reply changed, or another's", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.reply(vault.Yes)
			s.supply(firstID, "reply")
		}},
		{"reply of the first call to the second", "call/reply changed, or another's", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.reply(vault.Yes)
			s.supply(firstID, "reply "+firstID)
			s.block(firstID)
			s.supply(firstID, "reply "+firstID)
		}},
		{"another's reply", "call/reply changed, or another's", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.runToCall(secondID, safeClass)
			s.call(firstVaultConn, firstID)
			s.call(firstVaultConn, secondID)
			s.reply(vault.Yes)
			s.supply(secondID, "reply "+firstID)
		}},
		{"supplied after the run's end", "", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.reply(vault.Yes)
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.finish(firstID, pool.Killed)
			s.supply(firstID, "reply "+firstID)
		}},
		{"called though answered", "call/for what is over", func(s *scene) {
			s.answer(thrift.AppendBroken(nil, s.runToCall(firstID, safeClass), nil))
			s.advance(30 * microtime.Millisecond)
			s.call(firstVaultConn, firstID)
		}},
		{"called though given up", "call/for what is over", func(s *scene) {
			s.giveUp(s.runToCall(firstID, safeClass))
			s.advance(30 * microtime.Millisecond)
			s.call(firstVaultConn, firstID)
		}},
		{"called as the giveUp comes", "", func(s *scene) {
			s.giveUp(s.runToCall(firstID, safeClass))
			s.call(firstVaultConn, firstID)
			s.cancelCall(firstVaultConn)
		}},
		{"called though the caller has left", "call/for what is over", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.event(callerConn, simnet.Closed, "s0", "p0", false, nil)
			s.advance(30 * microtime.Millisecond)
			s.call(firstVaultConn, firstID)
		}},
		{"not given up though answered", "call/not given up", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"not given up though its run has ended", "call/not given up", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.finish(firstID, pool.Killed)
		}},
		{"not given up by its time", "call/not given up", func(s *scene) {
			s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.advance(1200 * microtime.Millisecond)
		}},
		{"given up by its connection's end", "", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
			s.answer(thrift.AppendBroken(nil, n, nil))
			s.event(firstVaultConn, simnet.Closed, "s0", "v0", true, nil)
		}},
		{"to the address before", "call/to another address", func(s *scene) {
			s.observer.CallsRoutedTo("s0", "v0/b")
			s.advance(30 * microtime.Millisecond)
			s.runToCall(firstID, safeClass)
			s.call(firstVaultConn, firstID)
		}},
		{"as the address changes", "", func(s *scene) {
			n := s.runToCall(firstID, safeClass)
			s.observer.CallsRoutedTo("s0", "v0/b")
			s.call(firstVaultConn, firstID)
			s.reply(vault.Yes)
			s.supply(firstID, "reply "+firstID)
			s.ends(n, firstID)
		}},
		{"deep check answered", "", func(s *scene) {
			s.event(callerConn, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
			s.advance(microtime.Second)
			s.answer(thrift.AppendAnswer(nil, thrift.Answer{MethodName: "probe", SequenceID: 7}))
		}},
		{"deep check unanswered", "check/deep check unanswered", func(s *scene) {
			s.event(callerConn, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
		}},
		{"as many as may run, and more that wait", "", func(s *scene) {
			for i := range 12 {
				id := firstID[:14] + string([]byte{'0', "0123456789ab"[i]})
				s.giveUp(s.ask(id, safeClass, ""))
				s.spawn(id, safeClass, "body")
				s.block(id)
			}
		}},
	})
}
