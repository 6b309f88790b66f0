package dispatch

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// Guards the promise of the execution store: no response before the result is durable; and when it cannot be
// recorded, no response as if it were, and no second run.
func TestRecordBeforeResponse(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	first, id := env.try("k1")
	env.core.RunFinished(id, RunSucceeded, []byte("lot"))
	env.endTurn()
	require.Empty(t, first.got, "answered before it is on record")
	want := []KeyedRequest{{Class: 1, IdempotencyKey: "k1", ArrivedAt: env.now, Result: []byte("lot")}}
	require.Equal(t, want, env.recorded)
	waiting, _ := env.try("k1")
	env.recordDone[0](errors.New("disk full"))
	env.endTurn()
	require.Equal(t, StatusFailed, first.got[0].Status)
	require.Equal(t, StatusFailed, waiting.got[0].Status)

	again, _ := env.try("k1")
	require.Len(t, env.recorded, 2, "a repeat tries again to record")
	env.recordDone[1](nil)
	env.endTurn()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, again.got)
	later, _ := env.try("k1")
	require.Equal(t, StatusSucceeded, later.got[0].Status)
	require.Len(t, env.recorded, 2)
	require.Len(t, env.started, 1, "it ran once")
	require.Zero(t, env.core.OpenRequests())
}

// After a restart a repeat gets the recorded result, without a run; past its window the key is new.
func TestRestore(t *testing.T) {
	env := newHarness(t)
	env.core.Restore(KeyedRequest{
		Class: 1, IdempotencyKey: "k1", ArrivedAt: env.now - 5*microtime.Second, Result: []byte("lot"),
	})
	env.core.Restore(KeyedRequest{
		Class: 1, IdempotencyKey: "k2", ArrivedAt: env.now - 14*microtime.Second, Result: []byte("old"),
	})
	repeat, _ := env.try("k1")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, repeat.got)
	require.Empty(t, env.started)
	fresh, id := env.try("k2")
	env.core.RunFinished(id, RunSucceeded, []byte("new"))
	require.Equal(t, []byte("new"), fresh.got[0].Result)
	require.Zero(t, env.core.OpenRequests())
}

// Guards the rule that a key runs once where the pool says that an attempt never started and its repeat runs in its
// place: the window then counts from the repeat.
func TestWindowCountsFromTheAttemptThatRan(t *testing.T) {
	env := newHarness(t)
	_, one := env.try("k1")
	env.now += 3 * microtime.Second
	second, two := env.try("k1")
	env.core.RunFinished(one, RunNotStarted, nil)
	require.Equal(t, []string{one, two}, env.started)
	env.core.RunFinished(two, RunSucceeded, []byte("lot"))
	env.endTurn()
	require.Equal(t, StatusSucceeded, second.got[0].Status)
	env.now += 12 * microtime.Second // 15 s after the first attempt, 12 s after the one that ran
	late, _ := env.try("k1")
	require.Equal(t, StatusSucceeded, late.got[0].Status)
	require.Len(t, env.started, 2)
}

// Guards a keyed request against a second run by a later incarnation: none starts before it is on record that it may
// run, what cannot be put on record is rejected and has not run, and one that nobody waits for any more does not
// start late.
func TestLeaseBeforeRun(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.holdAcquires = true
	first, _ := env.try("k1")
	require.Len(t, env.acquired, 1)
	require.Empty(t, env.started, "started before it is on record")
	env.acquireDone[0](LeaseResult{})
	require.Len(t, env.started, 1)
	second, _ := env.try("k2")
	env.acquireDone[1](LeaseResult{Verdict: VerdictUnavailable, Err: errors.New("disk full")})
	env.endTurn()
	require.Equal(t, StatusRejected, second.got[0].Status)
	require.Positive(t, second.got[0].RetryAfter, "with when to come back")
	require.Equal(t, []string{"k2"}, env.releasedLeases)
	require.Len(t, env.started, 1)
	again, _ := env.try("k2")
	env.acquireDone[2](LeaseResult{})
	require.Len(t, env.started, 2, "it had not run: a repeat may")
	env.core.RunFinished(env.started[1], RunSucceeded, []byte("two"))
	env.recordDone[0](nil)
	env.endTurn()
	require.Equal(t, StatusSucceeded, again.got[0].Status)
	late, _ := env.try("k3")
	env.now += 5 * microtime.Second
	env.endTurn()
	require.NotEmpty(t, late.got, "past its deadline")
	env.acquireDone[3](LeaseResult{})
	env.endTurn()
	require.Len(t, env.started, 2)
	require.Equal(t, []string{"k2", "k3"}, env.releasedLeases)
	require.NotEmpty(t, first.got)
}

// A later incarnation fails what the one before was about to run, until its window is over: it is neither run nor
// rejected.
func TestLeaseOfAnEarlierIncarnation(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.core.RestoreLease(KeyedRequest{Class: 1, IdempotencyKey: "k1", ArrivedAt: env.now - 5*microtime.Second})
	repeat, _ := env.try("k1")
	require.Equal(t, []Response{failed(reasonIndeterminate)}, repeat.got)
	require.Empty(t, env.started)
	env.now += 9 * microtime.Second
	_, _ = env.try("k1")
	require.Len(t, env.started, 1, "its window is over")
}

// Guards a run of another server's: a repeat of it here gets its result, or hears that nobody knows, and is not run;
// what is rejected elsewhere may run here. A request that this core knows is not asked about.
func TestRunsOfOtherServers(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.lookups = true
	result := []byte("theirs")
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
		response, _ := env.try(tc.key)
		require.Empty(t, response.got, "it waits for the others' word")
		env.lookupDone[i](tc.lease)
		env.endTurn()
		require.Equal(t, []Response{tc.want}, response.got, tc.key)
	}
	again, _ := env.try("succeeded")
	require.Equal(t, []Response{served}, again.got, "it is known here now")
	require.Len(t, env.lookupDone, 4)
	require.Empty(t, env.started)
}

// Where nothing is known of a request it goes on as any other, and the others may still have been quicker.
func TestOtherServersAreQuicker(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.lookups, env.holdAcquires = true, true
	result := []byte("theirs")
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
		response, _ := env.try(tc.key)
		env.lookupDone[i](LeaseResult{Verdict: VerdictUnknown})
		env.endTurn()
		require.Empty(t, response.got, tc.key)
		env.acquireDone[i](tc.lease)
		env.endTurn()
		require.Equal(t, []Response{tc.want}, response.got, tc.key)
	}
	require.Empty(t, env.started)

	response, id := env.try("mine")
	env.lookupDone[len(tests)](LeaseResult{Verdict: VerdictUnknown})
	env.endTurn()
	env.acquireDone[len(tests)](LeaseResult{})
	require.Equal(t, []string{id}, env.started)
	env.core.RunFinished(id, RunFailed, nil)
	env.endTurn()
	require.Equal(t, []string{"mine"}, env.failureOfKeys, "others hear that it failed")
	require.Equal(t, StatusFailed, response.got[0].Status)
}

// The store's word may come before the question has returned; whoever waits for a word that never comes is answered
// when due, once.
func TestLookupAnsweredAtOnceOrLate(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	env.lookups = true
	result := []byte("theirs")
	env.lookupAtOnce = &LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: env.now, Result: result}
	now, _ := env.try("at once")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: result}}, now.got)
	env.lookupAtOnce = nil

	late, _ := env.try("late")
	env.now += 5 * microtime.Second
	env.endTurn()
	require.Equal(t, StatusExpired, late.got[0].Status)
	env.lookupDone[0](LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: env.now, Result: result})
	env.endTurn()
	require.Len(t, late.got, 1)
}

// A run that was not started is passed on to an attempt that waits: the lease of the first one is released before the
// other acquires its own. Guards a group of servers against a lease that nobody uses, behind which all others would
// wait for a run that there is none of.
func TestLeaseOfAttemptThatWasNotStarted(t *testing.T) {
	env := newHarness(t)
	env.core.UseExecutionStore(env)
	_, first := env.try("k")
	env.now += 100 * microtime.Millisecond
	second, id := env.try("k")
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
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("r")}}, second.got)
}
