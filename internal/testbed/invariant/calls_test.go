package invariant

import (
	"testing"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

// TestEachRuleOfCalls checks that each rule on calls and health checks reports its violation, and reports none in a
// similar case that is allowed.
func TestEachRuleOfCalls(t *testing.T) {
	again := func(status vault.Status, class string) func(f *fixture) {
		return func(f *fixture) {
			n := f.runToCall(firstID, class)
			f.writeCall(firstVaultConn, firstID)
			f.replyToFirstCall(status)
			f.writeCall(firstVaultConn, firstID)
			f.replyToFirstCall(vault.Yes)
			f.supplyReply(firstID, "reply "+firstID)
			f.finishAndAnswer(n, firstID)
		}
	}
	runCases(t, 4000, []ruleCase{
		{"again after notnow", "", again(vault.NotNow, keyedClass)},
		{"again after pointless", "", again(vault.Pointless, keyedClass)},
		{"again after failed", "call/made twice", again(vault.Failed, keyedClass)},
		{"again after overdue", "call/made twice", again(vault.Overdue, keyedClass)},
		{"again after overdue, idempotent class", "", again(vault.Overdue, idempotentClass)},
		{"again after its connection broke", "call/made twice", func(f *fixture) {
			f.runToCall(firstID, keyedClass)
			f.writeCall(firstVaultConn, firstID)
			f.observe(firstVaultConn, simnet.Closed, "s0", "v0", true, nil)
			f.writeCall(secondVaultConn, firstID)
		}},
		{"again after unask", "call/made twice", func(f *fixture) {
			f.runToCall(firstID, keyedClass)
			f.writeCall(firstVaultConn, firstID)
			f.cancelCall(firstVaultConn)
			f.writeCall(secondVaultConn, firstID)
		}},
		{"again after notnow crossed unask", "", func(f *fixture) {
			n := f.runToCall(firstID, keyedClass)
			f.writeCall(firstVaultConn, firstID)
			f.cancelCall(firstVaultConn)
			f.replyToFirstCall(vault.NotNow)
			f.writeCall(secondVaultConn, firstID)
			f.cancelCall(secondVaultConn)
			f.writeReply(thrift.AppendBroken(nil, n, nil))
		}},
		{"a second call of the run", "", func(f *fixture) {
			n := f.runToCall(firstID, keyedClass)
			for range 2 {
				f.writeCall(firstVaultConn, firstID)
				f.replyToFirstCall(vault.Yes)
				f.supplyReply(firstID, "reply "+firstID)
				f.blockRun(firstID)
			}
			f.writeReply(thrift.AppendBroken(nil, n, nil))
			f.finishRun(firstID, pool.Killed)
		}},
		{"two open calls", "call/two open", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.writeCall(secondVaultConn, firstID)
		}},
		{"call for no run", "call/for no run", func(f *fixture) {
			f.cancelRequest(f.sendRequest(firstID, idempotentClass, ""))
			f.writeCall(firstVaultConn, firstID)
		}},
		{"body changed", "call/body changed", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.observe(firstVaultConn, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, firstID, 1000, []byte("calm")))
		}},
		{"reply changed", "call/reply changed, or another's", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.replyToFirstCall(vault.Yes)
			f.supplyReply(firstID, "reply")
		}},
		{"reply of the first call to the second", "call/reply changed, or another's", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.replyToFirstCall(vault.Yes)
			f.supplyReply(firstID, "reply "+firstID)
			f.blockRun(firstID)
			f.supplyReply(firstID, "reply "+firstID)
		}},
		{"reply to another run", "call/reply changed, or another's", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.runToCall(secondID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.writeCall(firstVaultConn, secondID)
			f.replyToFirstCall(vault.Yes)
			f.supplyReply(secondID, "reply "+firstID)
		}},
		{"supplied after the run's end", "", func(f *fixture) {
			n := f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.replyToFirstCall(vault.Yes)
			f.writeReply(thrift.AppendBroken(nil, n, nil))
			f.finishRun(firstID, pool.Killed)
			f.supplyReply(firstID, "reply "+firstID)
		}},
		{"called after the answer", "call/after the request's end", func(f *fixture) {
			f.writeReply(thrift.AppendBroken(nil, f.runToCall(firstID, idempotentClass), nil))
			f.advance(30 * microtime.Millisecond)
			f.writeCall(firstVaultConn, firstID)
		}},
		{"called after a cancellation", "call/after the request's end", func(f *fixture) {
			f.cancelRequest(f.runToCall(firstID, idempotentClass))
			f.advance(30 * microtime.Millisecond)
			f.writeCall(firstVaultConn, firstID)
		}},
		{"called as the cancellation arrives", "", func(f *fixture) {
			f.cancelRequest(f.runToCall(firstID, idempotentClass))
			f.writeCall(firstVaultConn, firstID)
			f.cancelCall(firstVaultConn)
		}},
		{"called after the caller disconnected", "call/after the request's end", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.observe(callerConn, simnet.Closed, "s0", "p0", false, nil)
			f.advance(30 * microtime.Millisecond)
			f.writeCall(firstVaultConn, firstID)
		}},
		{"not cancelled after the answer", "call/not given up", func(f *fixture) {
			n := f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.writeReply(thrift.AppendBroken(nil, n, nil))
		}},
		{"not cancelled after the end of its run", "call/not given up", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.finishRun(firstID, pool.Killed)
		}},
		{"not cancelled after its timeout", "call/not given up", func(f *fixture) {
			f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.advance(1200 * microtime.Millisecond)
		}},
		{"abandoned by the end of its connection", "", func(f *fixture) {
			n := f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
			f.writeReply(thrift.AppendBroken(nil, n, nil))
			f.observe(firstVaultConn, simnet.Closed, "s0", "v0", true, nil)
		}},
		{"to the previous address", "call/to another address", func(f *fixture) {
			f.observer.CallsRoutedTo("s0", "v0/b")
			f.advance(30 * microtime.Millisecond)
			f.runToCall(firstID, idempotentClass)
			f.writeCall(firstVaultConn, firstID)
		}},
		{"to the previous address as it changes", "", func(f *fixture) {
			n := f.runToCall(firstID, idempotentClass)
			f.observer.CallsRoutedTo("s0", "v0/b")
			f.writeCall(firstVaultConn, firstID)
			f.replyToFirstCall(vault.Yes)
			f.supplyReply(firstID, "reply "+firstID)
			f.finishAndAnswer(n, firstID)
		}},
		{"deep check answered", "", func(f *fixture) {
			f.observe(callerConn, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
			f.advance(microtime.Second)
			f.writeReply(thrift.AppendAnswer(nil, thrift.Answer{MethodName: "probe", SequenceID: 7}))
		}},
		{"deep check unanswered", "check/deep check unanswered", func(f *fixture) {
			f.observe(callerConn, simnet.Arrived, "s0", "p0", false, thrift.AppendProbe(nil, 7, true))
		}},
		{"as many runs as allowed, and blocked ones", "", func(f *fixture) {
			for i := range 12 {
				id := firstID[:14] + string([]byte{'0', "0123456789ab"[i]})
				f.cancelRequest(f.sendRequest(id, idempotentClass, ""))
				f.spawnRun(id, idempotentClass, "body")
				f.blockRun(id)
			}
		}},
	})
}
