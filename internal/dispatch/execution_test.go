package dispatch

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// Guards against a response that is sent before the result is durable. If the result cannot be recorded, the request
// fails and is not run again.
func TestRecordBeforeResponse(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	first, id := env.submitKeyed("k1")
	env.core.RunFinished(id, RunSucceeded, []byte("lot"))
	env.endTurn()
	require.Empty(t, first.responses, "answered before the result is recorded")
	want := []KeyedRequest{{Class: 1, IdempotencyKey: "k1", ArrivedAt: env.now, Result: []byte("lot")}}
	require.Equal(t, want, env.recorded)
	waiting, _ := env.submitKeyed("k1")
	env.recordDone[0](errors.New("disk full"))
	env.endTurn()
	require.Equal(t, StatusFailed, first.responses[0].Status)
	require.Equal(t, StatusFailed, waiting.responses[0].Status)

	again, _ := env.submitKeyed("k1")
	require.Len(t, env.recorded, 2, "a repeat causes another write")
	env.recordDone[1](nil)
	env.endTurn()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, again.responses)
	later, _ := env.submitKeyed("k1")
	require.Equal(t, StatusSucceeded, later.responses[0].Status)
	require.Len(t, env.recorded, 2)
	require.Len(t, env.started, 1, "the key runs once")
	require.Zero(t, env.core.OpenRequests())
}

// After a restart a repeat gets the recorded result without a run. After the retention window the key runs again.
func TestRestore(t *testing.T) {
	env := newHarness(t)
	env.core.Restore(KeyedRequest{
		Class: 1, IdempotencyKey: "k1", ArrivedAt: env.now - 5*microtime.Second, Result: []byte("lot"),
	})
	env.core.Restore(KeyedRequest{
		Class: 1, IdempotencyKey: "k2", ArrivedAt: env.now - 14*microtime.Second, Result: []byte("old"),
	})
	repeat, _ := env.submitKeyed("k1")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, repeat.responses)
	require.Empty(t, env.started)
	fresh, id := env.submitKeyed("k2")
	env.core.RunFinished(id, RunSucceeded, []byte("new"))
	require.Equal(t, []byte("new"), fresh.responses[0].Result)
	require.Zero(t, env.core.OpenRequests())
}

// Guards against a second run of a key whose first attempt was reported as not started, so that its repeat ran in place
// of it: the retention window then counts from the repeat.
func TestWindowCountsFromTheAttemptThatRan(t *testing.T) {
	env := newHarness(t)
	_, one := env.submitKeyed("k1")
	env.now += 3 * microtime.Second
	second, two := env.submitKeyed("k1")
	env.core.RunFinished(one, RunNotStarted, nil)
	require.Equal(t, []string{one, two}, env.started)
	env.core.RunFinished(two, RunSucceeded, []byte("lot"))
	env.endTurn()
	require.Equal(t, StatusSucceeded, second.responses[0].Status)
	env.now += 12 * microtime.Second // 15 s after the first attempt, 12 s after the one that ran
	late, _ := env.submitKeyed("k1")
	require.Equal(t, StatusSucceeded, late.responses[0].Status)
	require.Len(t, env.started, 2)
}

// Guards against a second run of a keyed request by a later incarnation of the server. No run starts before its lease
// is recorded. If the lease cannot be recorded, the request is rejected without a run. If the lease is recorded after
// the request has expired, the run does not start.
func TestLeaseBeforeRun(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.delayAcquire = true
	first, _ := env.submitKeyed("k1")
	require.Len(t, env.acquired, 1)
	require.Empty(t, env.started, "started before the lease is recorded")
	env.acquireDone[0](LeaseResult{})
	require.Len(t, env.started, 1)
	second, _ := env.submitKeyed("k2")
	env.acquireDone[1](LeaseResult{Verdict: VerdictUnavailable, Err: errors.New("disk full")})
	env.endTurn()
	require.Equal(t, StatusRejected, second.responses[0].Status)
	require.Positive(t, second.responses[0].RetryAfter, "Retry-After is missing")
	require.Equal(t, []string{"k2"}, env.releasedLeases)
	require.Len(t, env.started, 1)
	again, _ := env.submitKeyed("k2")
	env.acquireDone[2](LeaseResult{})
	require.Len(t, env.started, 2, "a repeat may run, as the request has not run")
	env.core.RunFinished(env.started[1], RunSucceeded, []byte("two"))
	env.recordDone[0](nil)
	env.endTurn()
	require.Equal(t, StatusSucceeded, again.responses[0].Status)
	late, _ := env.submitKeyed("k3")
	env.now += 5 * microtime.Second
	env.endTurn()
	require.NotEmpty(t, late.responses, "not answered at its deadline")
	env.acquireDone[3](LeaseResult{})
	env.endTurn()
	require.Len(t, env.started, 2)
	require.Equal(t, []string{"k2", "k3"}, env.releasedLeases)
	require.NotEmpty(t, first.responses)
}

// A later incarnation fails repeats of a request that the earlier incarnation was about to run, until the retention
// window is over: they are neither run nor rejected.
func TestLeaseOfAnEarlierIncarnation(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.core.RestoreLease(KeyedRequest{Class: 1, IdempotencyKey: "k1", ArrivedAt: env.now - 5*microtime.Second})
	repeat, _ := env.submitKeyed("k1")
	require.Equal(t, []Response{failed(reasonIndeterminate)}, repeat.responses)
	require.Empty(t, env.started)
	env.now += 9 * microtime.Second
	_, _ = env.submitKeyed("k1")
	require.Len(t, env.started, 1, "not run after the retention window")
}

// Guards against a second run, and against a rejection, of an attempt that arrived just before the end of the retention
// window of a run, but is read after an attempt that arrived later and runs anew. It gets the result of the first run.
func TestLateReadAttemptGetsEarlierResult(t *testing.T) {
	env := newHarness(t)
	_, first := env.submitKeyed("k")
	env.core.RunFinished(first, RunSucceeded, []byte("lot"))
	env.endTurn()
	windowEnd := env.now + 13*microtime.Second
	env.now = windowEnd + microtime.Second
	env.submitKeyed("k")
	require.Len(t, env.started, 2)

	late := &recordingResponder{}
	_, err := env.core.Submit(env.now, Request{
		RunID: "late", Class: 1, IdempotencyKey: "k", ArrivedAt: windowEnd - 1, QueuedKB: 1, Responder: late,
	})
	require.NoError(t, err)
	env.endTurn()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, late.responses)
	require.Len(t, env.started, 2)
}

// Guards against a second run of a request that ran at another server: a repeat here gets the result or fails as
// indeterminate, and is not run. The core looks up only keys that it does not know.
func TestRunsOfOtherServers(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.lookupEnabled = true
	result := []byte("remote")
	served := Response{Status: StatusSucceeded, Result: result}
	tests := []struct {
		key   string
		lease LeaseResult
		want  Response
	}{
		{"succeeded", LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: env.now - microtime.Second, Result: result}, served},
		{"failed", LeaseResult{Verdict: VerdictFailed}, Response{Status: StatusFailed, Reason: "the run failed"}},
		{"indeterminate", LeaseResult{Verdict: VerdictIndeterminate}, failed(reasonIndeterminate)},
		{"unavailable", LeaseResult{Verdict: VerdictUnavailable}, failed(reasonIndeterminate)},
	}
	for i, tc := range tests {
		response, _ := env.submitKeyed(tc.key)
		require.Empty(t, response.responses, "answered before the lookup has ended")
		env.lookupDone[i](tc.lease)
		env.endTurn()
		require.Equal(t, []Response{tc.want}, response.responses, tc.key)
	}
	again, _ := env.submitKeyed("succeeded")
	require.Equal(t, []Response{served}, again.responses, "the core keeps the result of the lookup")
	require.Len(t, env.lookupDone, 4)
	require.Empty(t, env.started)
}

// A request that the lookup does not find is admitted. If another server acquires the lease first, the verdict of
// Acquire decides the response and the request is not run here.
func TestOtherServerAcquiresAfterLookup(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.lookupEnabled, env.delayAcquire = true, true
	result := []byte("remote")
	tests := []struct {
		key   string
		lease LeaseResult
		want  Response
	}{
		{"succeeded", LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: env.now, Result: result},
			Response{Status: StatusSucceeded, Result: result}},
		{"failed", LeaseResult{Verdict: VerdictFailed}, Response{Status: StatusFailed, Reason: "the run failed"}},
		{"indeterminate", LeaseResult{Verdict: VerdictIndeterminate}, failed(reasonIndeterminate)},
		{"unavailable", LeaseResult{Verdict: VerdictUnavailable, Err: errors.New("no majority")},
			Response{Status: StatusRejected, RetryAfter: storeRetryAfter}},
	}
	for i, tc := range tests {
		response, _ := env.submitKeyed(tc.key)
		env.lookupDone[i](LeaseResult{Verdict: VerdictUnknown})
		env.endTurn()
		require.Empty(t, response.responses, tc.key)
		env.acquireDone[i](tc.lease)
		env.endTurn()
		require.Equal(t, []Response{tc.want}, response.responses, tc.key)
	}
	require.Empty(t, env.started)

	response, id := env.submitKeyed("local")
	env.lookupDone[len(tests)](LeaseResult{Verdict: VerdictUnknown})
	env.endTurn()
	env.acquireDone[len(tests)](LeaseResult{})
	require.Equal(t, []string{id}, env.started)
	env.core.RunFinished(id, RunFailed, nil)
	env.endTurn()
	require.Equal(t, []string{"local"}, env.failedKeys, "the failure is not recorded for other servers")
	require.Equal(t, StatusFailed, response.responses[0].Status)
}

// The store may answer before Lookup returns. A request whose lookup is not answered expires at its deadline and gets
// one response, even if the answer arrives later.
func TestLookupAnsweredAtOnceOrLate(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.lookupEnabled = true
	result := []byte("remote")
	env.immediateLookup = &LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: env.now, Result: result}
	now, _ := env.submitKeyed("at once")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: result}}, now.responses)
	env.immediateLookup = nil

	late, _ := env.submitKeyed("late")
	env.now += 5 * microtime.Second
	env.endTurn()
	require.Equal(t, StatusExpired, late.responses[0].Status)
	env.lookupDone[0](LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: env.now, Result: result})
	env.endTurn()
	require.Len(t, late.responses, 1)
}

// When a run was not started, a waiting attempt runs in its place: the lease of the first attempt is released before
// the second acquires its own. Guards against an unused lease in a replication group, where other servers would wait
// for a run that does not exist.
func TestLeaseOfAttemptThatWasNotStarted(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	_, first := env.submitKeyed("k")
	env.now += 100 * microtime.Millisecond
	second, id := env.submitKeyed("k")
	require.Len(t, env.acquired, 1)
	env.core.RunFinished(first, RunNotStarted, nil)
	require.Equal(t, []string{"k"}, env.releasedLeases)
	require.Len(t, env.acquired, 2)
	require.Equal(t, env.now, env.acquired[1].ArrivedAt, "the window counts from the attempt that runs")
	env.endTurn()
	env.core.RunFinished(id, RunSucceeded, []byte("r"))
	require.Len(t, env.recorded, 1)
	env.recordDone[0](nil)
	env.endTurn()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("r")}}, second.responses)
}
