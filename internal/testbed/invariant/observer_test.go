package invariant

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/simnet"
)

// TestEachRule checks that each rule reports its violation, and reports none in a similar case that is allowed.
func TestEachRule(t *testing.T) {
	runCases(t, 2000, []ruleCase{
		{"served by its run", "", func(f *fixture) {
			n := f.sendRequest("a", idempotentClass, "")
			f.writeResult(n, f.completeRun("a", idempotentClass))
		}},
		{"never answered", "lost/unanswered", func(f *fixture) { f.sendRequest("a", idempotentClass, "") }},
		{"cancelled and not answered", "", func(f *fixture) { f.cancelRequest(f.sendRequest("a", idempotentClass, "")) }},
		{"cancelled and answered once", "", func(f *fixture) {
			n := f.sendRequest("a", idempotentClass, "")
			f.cancelRequest(n)
			f.writeReply(thrift.AppendBroken(nil, n, nil))
		}},
		{"answered late", "lost/answered late", func(f *fixture) {
			n := f.sendAgedRequest("a", idempotentClass, "", 4*microtime.Second)
			f.advance(140 * microtime.Millisecond)
			f.clock.Run(f.clock.Now() + 100*microtime.Millisecond) // no steps, so that nothing is checked meanwhile
			f.writeReply(thrift.AppendBroken(nil, n, nil))
		}},
		{"answered late after a pause of the process", "", func(f *fixture) {
			n := f.sendRequest("a", idempotentClass, "")
			f.observer.ServerPaused("s0", f.clock.Now()+6*microtime.Second)
			f.advance(6100 * microtime.Millisecond)
			f.writeReply(thrift.AppendBroken(nil, n, nil))
		}},
		{"answered twice", "duplicate/answered twice", func(f *fixture) {
			n := f.sendRequest("a", idempotentClass, "")
			f.writeResult(n, f.completeRun("a", idempotentClass))
			f.writeReply(thrift.AppendBroken(nil, n, nil))
		}},
		{"answer to no request", "duplicate/answer to no request", func(f *fixture) { f.writeResult(9, nil) }},
		{"unreadable answer", "lost/unreadable answer", func(f *fixture) { f.writeReply([]byte{0, 0, 0, 2, 1, 2}) }},
		{"result of another request", "result/served what no run made for it", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			n := f.sendRequest("b", idempotentClass, "")
			f.spawnRun("b", idempotentClass, "body")
			f.writeResult(n, f.completeRun("a", idempotentClass))
		}},
		{"result before its run has ended", "result/served what no run made for it", func(f *fixture) {
			n := f.sendRequest("a", idempotentClass, "")
			f.spawnRun("a", idempotentClass, "body")
			f.writeResult(n, Result([]byte("body"), 1))
		}},
		{"another body", "result/body changed", func(f *fixture) {
			f.cancelRequest(f.sendRequest("a", idempotentClass, ""))
			f.spawnRun("a", idempotentClass, "bodi")
		}},
		{"another class", "result/class changed", func(f *fixture) {
			f.cancelRequest(f.sendRequest("a", idempotentClass, ""))
			f.spawnRun("a", keyedClass, "body")
		}},
		{"retry gets the result", "", func(f *fixture) {
			n, r := f.sendRequest("a", keyedClass, "k"), f.completeRun("a", keyedClass)
			f.writeResult(n, r)
			f.writeResult(f.sendRequest("b", keyedClass, "k"), r)
		}},
		{"run twice", "duplicate/run twice within its window", func(f *fixture) {
			f.writeResult(f.sendRequest("a", keyedClass, "k"), f.completeRun("a", keyedClass))
			f.advance(9 * microtime.Second)
			f.writeResult(f.sendRequest("b", keyedClass, "k"), f.completeRun("b", keyedClass))
		}},
		{"run again after its window", "", func(f *fixture) {
			f.writeResult(f.sendRequest("a", keyedClass, "k"), f.completeRun("a", keyedClass))
			f.advance(11 * microtime.Second)
			f.writeResult(f.sendRequest("b", keyedClass, "k"), f.completeRun("b", keyedClass))
		}},
		{"retention window starts at the attempt that ran", "duplicate/run twice within its window", func(f *fixture) {
			f.cancelRequest(f.sendRequest("a", keyedClass, "k"))
			f.advance(8 * microtime.Second)
			f.writeResult(f.sendRequest("b", keyedClass, "k"), f.completeRun("b", keyedClass))
			f.advance(8 * microtime.Second)
			f.writeResult(f.sendRequest("c", keyedClass, "k"), f.completeRun("c", keyedClass))
		}},
		{"run after an attempt that was not started", "", func(f *fixture) {
			f.cancelRequest(f.sendRequest("a", keyedClass, "k"))
			f.spawnRun("a", keyedClass, "body")
			f.finishRun("a", pool.Noop)
			f.writeResult(f.sendRequest("b", keyedClass, "k"), f.completeRun("b", keyedClass))
		}},
		{"spawned again after its end", "duplicate/run twice", func(f *fixture) {
			f.writeResult(f.sendRequest("a", keyedClass, "k"), f.completeRun("a", keyedClass))
			f.spawnRun("a", keyedClass, "body")
		}},
		{"spawned again while it runs", "", func(f *fixture) {
			n := f.sendRequest("a", keyedClass, "k")
			f.spawnRun("a", keyedClass, "body")
			f.writeResult(n, f.completeRun("a", keyedClass))
		}},
		{"recorded and run in a later incarnation", "duplicate/run again although recorded", func(f *fixture) {
			f.writeResult(f.sendRequest("a", keyedClass, "k"), f.completeRun("a", keyedClass))
			f.observer.ServerStopped("s0", false)
			f.observer.ServerStarted("s0", 2)
			f.openConn(laterWorkerConn, "w0/a", "s0")
			f.openConn(callerConn, "s0/thrift", "p0")
			f.sequenceID = 0
			f.sendRequest("b", keyedClass, "k")
			f.observe(laterWorkerConn, simnet.Arrived, "w0", "s0", false, pool.AppendSpawn(nil, "b", keyedClass, []byte("body")))
		}},
		{"refused after a run", "duplicate/refused after a run", func(f *fixture) {
			n := f.sendRequest("a", idempotentClass, "")
			f.completeRun("a", idempotentClass)
			f.writeReply(thrift.AppendThrottled(nil, n, nil))
		}},
		{"retry refused after a run", "duplicate/refused after a run of its key", func(f *fixture) {
			f.writeResult(f.sendRequest("a", keyedClass, "k"), f.completeRun("a", keyedClass))
			f.writeReply(thrift.AppendThrottled(nil, f.sendRequest("b", keyedClass, "k"), nil))
		}},
		{"refused", "", func(f *fixture) {
			f.writeReply(thrift.AppendThrottled(nil, f.sendRequest("a", keyedClass, "k"), nil))
		}},
		{"run past the drain's limit", "drain/run past the limit", func(f *fixture) {
			f.observer.DrainSent("s0")
			f.advance(2600 * microtime.Millisecond)
			f.writeResult(f.sendRequest("a", idempotentClass, ""), f.completeRun("a", idempotentClass))
		}},
		{"run within the drain's limit", "", func(f *fixture) {
			f.observer.DrainSent("s0")
			f.advance(2400 * microtime.Millisecond)
			f.writeResult(f.sendRequest("a", idempotentClass, ""), f.completeRun("a", idempotentClass))
		}},
		{"exited with a request open", "drain/unanswered at the end", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			f.advance(60 * microtime.Millisecond)
			f.observer.ServerStopped("s0", true)
		}},
		{"killed with a request open", "", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			f.advance(60 * microtime.Millisecond)
			f.observer.ServerStopped("s0", false)
		}},
		{"closed with a request open", "lost/closed by the server", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			f.advance(60 * microtime.Millisecond)
			f.observe(callerConn, simnet.Closed, "s0", "p0", false, nil)
		}},
		{"half-closed with a request open", "lost/closed by the server", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			f.advance(60 * microtime.Millisecond)
			f.observe(callerConn, simnet.HalfClosed, "s0", "p0", false, nil)
		}},
		{"cut by the network with a request open", "", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			f.advance(60 * microtime.Millisecond)
			f.observer.Tap(simnet.Event{
				At:    f.clock.Now(),
				Kind:  simnet.HalfClosed,
				Cause: simnet.CauseCut,
				Conn:  callerConn,
				Node:  "s0",
				Peer:  "p0",
			})
		}},
		{"half-closed as a request arrives", "", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			f.observe(callerConn, simnet.HalfClosed, "s0", "p0", false, nil)
			f.sendRequest("b", idempotentClass, "")
			f.advance(60 * microtime.Millisecond)
			f.observe(callerConn, simnet.Closed, "s0", "p0", false, nil)
			f.observer.ServerStopped("s0", true)
		}},
		{"disconnected by the caller", "", func(f *fixture) {
			f.sendRequest("a", idempotentClass, "")
			f.observe(callerConn, simnet.Closed, "p0", "s0", true, nil)
		}},
		{"bound after a notice not received", "result/notices passed over", func(f *fixture) {
			f.writeResult(f.sendRequest("a", idempotentClass, ""), f.completeRun("a", idempotentClass))
			f.observe(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendBind(nil, 2))
		}},
		{"bound after the last notice", "", func(f *fixture) {
			f.writeResult(f.sendRequest("a", idempotentClass, ""), f.completeRun("a", idempotentClass))
			f.observe(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendBind(nil, 1))
		}},
		{"no dial of the worker pool", "recovery/no try to reach the worker pool", func(f *fixture) {
			f.observe(workerConn, simnet.Closed, "s0", "w0", true, nil)
		}},
		{"too many runs", "fall-over/concurrency", func(f *fixture) {
			for i := range 9 {
				f.cancelRequest(f.sendRequest(fmt.Sprint(i), idempotentClass, ""))
				f.spawnRun(fmt.Sprint(i), idempotentClass, "body")
			}
		}},
		{"as many runs as allowed", "", func(f *fixture) {
			for i := range 6 {
				f.cancelRequest(f.sendRequest(fmt.Sprint(i), idempotentClass, ""))
				f.spawnRun(fmt.Sprint(i), idempotentClass, "body")
			}
		}},
		{"too much memory", "fall-over/memory", func(f *fixture) {
			for i := range 13 { // 160 kB each
				f.sendRequest(fmt.Sprint(i), idempotentClass, "")
				f.spawnRun(fmt.Sprint(i), idempotentClass, "body")
			}
			f.advance(200 * microtime.Millisecond)
			for i := range 13 {
				f.writeResult(int32(i+1), f.finishRun(fmt.Sprint(i), pool.Pass))
			}
		}},
		{"AJP", "", func(f *fixture) { f.exchangeByAJP("b", http.StatusOK, f.exchangeByAJP("a", http.StatusOK, nil)) }},
		{"AJP, refused after a run", "duplicate/refused after a run of its key", func(f *fixture) {
			f.exchangeByAJP("a", http.StatusOK, nil)
			f.exchangeByAJP("b", http.StatusServiceUnavailable, nil)
		}},
	})
}

// TestHistoryHasAllAttempts checks that a violation has the history of all attempts with the request's idempotency key.
func TestHistoryHasAllAttempts(t *testing.T) {
	setup := newFixture(t, 2000)
	setup.writeResult(setup.sendRequest("a", keyedClass, "k"), setup.completeRun("a", keyedClass))
	setup.advance(microtime.Second)
	setup.sendRequest("b", keyedClass, "k")
	setup.spawnRun("b", keyedClass, "body")
	require.Len(t, setup.observer.Violations, 1)
	require.Equal(t, []string{
		"0s a lot-intake read, asked at 0s, due at 4s",
		"0s a run",
		"0s a run ended: 1",
		"0s a served",
		"1s b lot-intake read, asked at 1s, due at 5s",
		"1s b run",
	}, setup.observer.Violations[0].History)
}
