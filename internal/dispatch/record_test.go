package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// bench is a core with a runner and a recorder that the test plays.
type bench struct {
	t        *testing.T
	core     *Core
	now      microtime.Time
	started  []string
	recorded []KeyedRequest
	done     []func(error)
	intended []KeyedRequest
	voided   []string
	failed   []string
	find     bool // the recorder asks others
	found    []func(LeaseResult)
	word     *LeaseResult // the recorder's, at once
	begin    []func(LeaseResult)
	hold     bool // intents are not durable before the test says so
	n        int
}

func (b *bench) Start(r Run)                   { b.started = append(b.started, r.ID) }
func (b *bench) Cancel(string)                 {}
func (b *bench) RequestGauges()                {}
func (b *bench) Release(in KeyedRequest)       { b.voided = append(b.voided, in.IdempotencyKey) }
func (b *bench) RecordFailure(in KeyedRequest) { b.failed = append(b.failed, in.IdempotencyKey) }
func (b *bench) Lookup(in KeyedRequest, f func(LeaseResult)) bool {
	switch {
	case b.word != nil:
		f(*b.word)
	case b.find:
		b.found = append(b.found, f)
	}
	return b.find
}
func (b *bench) Acquire(in KeyedRequest, f func(LeaseResult)) {
	if b.intended = append(b.intended, in); b.hold {
		b.begin = append(b.begin, f)
		return
	}
	f(LeaseResult{})
}
func (b *bench) RecordResult(in KeyedRequest, f func(error)) {
	b.recorded, b.done = append(b.recorded, in), append(b.done, f)
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: 100 * microtime.Second}
	var err error
	b.core, err = New(control.Settings{Cores: 2, MaxRetryAfter: time.Second, Classes: []control.Class{
		{Name: "view", LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{Name: "intake", LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 10, Idempotency: control.IdempotentByKey, RetentionWindow: 13 * time.Second},
	}}, b, t.Logf)
	require.NoError(t, err)
	return b
}

type reply struct{ got []Response }

func (r *reply) Respond(a Response) { r.got = append(r.got, a) }

// try sends one try of an intake and ends the turn.
func (b *bench) try(once string) (*reply, string) {
	b.n++
	r, id := &reply{}, string(rune('a'+b.n))
	_, err := b.core.Submit(b.now, Request{RunID: id, Class: 1, IdempotencyKey: once, ArrivedAt: b.now, QueuedKB: 1, Responder: r})
	require.NoError(b.t, err)
	b.step()
	return r, id
}

func (b *bench) step() {
	for range 3 {
		b.core.Step(b.now)
	}
}

// Guards the promise of the store of record: no answer before the result is durable; and when it cannot be
// recorded, no answer as if it were, and no second run.
func TestRecordBeforeAnswer(t *testing.T) {
	b := newBench(t)
	b.core.UseExecutionStore(b)
	first, id := b.try("k1")
	b.core.RunFinished(id, RunSucceeded, []byte("lot"))
	b.step()
	require.Empty(t, first.got, "answered before it is on record")
	require.Equal(t, []KeyedRequest{{Class: 1, IdempotencyKey: "k1", ArrivedAt: b.now, Result: []byte("lot")}}, b.recorded)
	waiting, _ := b.try("k1")
	b.done[0](errors.New("disk full"))
	b.step()
	require.Equal(t, StatusFailed, first.got[0].Status)
	require.Equal(t, StatusFailed, waiting.got[0].Status)

	again, _ := b.try("k1")
	require.Len(t, b.recorded, 2, "a repeat tries again to record")
	b.done[1](nil)
	b.step()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, again.got)
	later, _ := b.try("k1")
	require.Equal(t, StatusSucceeded, later.got[0].Status)
	require.Len(t, b.recorded, 2)
	require.Len(t, b.started, 1, "it ran once")
	require.Zero(t, b.core.OpenRequests())
}

// After a restart a repeat gets the recorded result, without a run; past its window the key is new.
func TestRestore(t *testing.T) {
	b := newBench(t)
	b.core.Restore(KeyedRequest{Class: 1, IdempotencyKey: "k1", ArrivedAt: b.now - 5*microtime.Second, Result: []byte("lot")})
	b.core.Restore(KeyedRequest{Class: 1, IdempotencyKey: "k2", ArrivedAt: b.now - 14*microtime.Second, Result: []byte("old")})
	repeat, _ := b.try("k1")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, repeat.got)
	require.Empty(t, b.started)
	fresh, id := b.try("k2")
	b.core.RunFinished(id, RunSucceeded, []byte("new"))
	require.Equal(t, []byte("new"), fresh.got[0].Result)
	require.Zero(t, b.core.OpenRequests())
}

// Guards the once-only rule where the pool says that a try never started and its repeat runs in its place: the
// window then counts from the repeat.
func TestWindowCountsFromTheTryThatRan(t *testing.T) {
	b := newBench(t)
	_, one := b.try("k1")
	b.now += 3 * microtime.Second
	second, two := b.try("k1")
	b.core.RunFinished(one, RunNotStarted, nil)
	require.Equal(t, []string{one, two}, b.started)
	b.core.RunFinished(two, RunSucceeded, []byte("lot"))
	b.step()
	require.Equal(t, StatusSucceeded, second.got[0].Status)
	b.now += 12 * microtime.Second // 15 s after the first try, 12 s after the one that ran
	late, _ := b.try("k1")
	require.Equal(t, StatusSucceeded, late.got[0].Status)
	require.Len(t, b.started, 2)
}

// Guards an intake against a second run by a later life: none starts before it is on record that it may run, what can't be
// put on record is turned away and has not run, and one that nobody waits for any more does not start late.
func TestIntentBeforeRun(t *testing.T) {
	b := newBench(t)
	b.core.UseExecutionStore(b)
	b.hold = true
	first, _ := b.try("k1")
	require.Len(t, b.intended, 1)
	require.Empty(t, b.started, "started before it is on record")
	b.begin[0](LeaseResult{})
	require.Len(t, b.started, 1)
	second, _ := b.try("k2")
	b.begin[1](LeaseResult{Verdict: VerdictUnavailable, Err: errors.New("disk full")})
	b.step()
	require.Equal(t, StatusRejected, second.got[0].Status)
	require.Positive(t, second.got[0].RetryAfter, "with when to come back")
	require.Equal(t, []string{"k2"}, b.voided)
	require.Len(t, b.started, 1)
	again, _ := b.try("k2")
	b.begin[2](LeaseResult{})
	require.Len(t, b.started, 2, "it had not run: a repeat may")
	b.core.RunFinished(b.started[1], RunSucceeded, []byte("two"))
	b.done[0](nil)
	b.step()
	require.Equal(t, StatusSucceeded, again.got[0].Status)
	late, _ := b.try("k3")
	b.now += 5 * microtime.Second
	b.step()
	require.NotEmpty(t, late.got, "past its deadline")
	b.begin[3](LeaseResult{})
	b.step()
	require.Len(t, b.started, 2)
	require.Equal(t, []string{"k2", "k3"}, b.voided)
	require.NotEmpty(t, first.got)
}

// A later life fails what the one before was about to run, until its window is over: it is neither run nor refused.
func TestIntentOfAnEarlierLife(t *testing.T) {
	b := newBench(t)
	b.core.UseExecutionStore(b)
	b.core.RestoreLease(KeyedRequest{Class: 1, IdempotencyKey: "k1", ArrivedAt: b.now - 5*microtime.Second})
	repeat, _ := b.try("k1")
	require.Equal(t, []Response{notKnown}, repeat.got)
	require.Empty(t, b.started)
	b.now += 9 * microtime.Second
	_, _ = b.try("k1")
	require.Len(t, b.started, 1, "its window is over")
}

// Guards a run of another server's: a repeat of it here gets its result, or hears that nobody knows, and is not run; what is
// refused elsewhere may run here. An intake that this core knows is not asked about.
func TestOthersRuns(t *testing.T) {
	b := newBench(t)
	b.core.UseExecutionStore(b)
	b.find = true
	result := []byte("theirs")
	for i, c := range []struct {
		leave LeaseResult
		want  Response
	}{
		{LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: b.now - microtime.Second, Result: result}, Response{Status: StatusSucceeded, Result: result}},
		{LeaseResult{Verdict: VerdictFailed}, Response{Status: StatusFailed, Reason: "the run failed"}},
		{LeaseResult{Verdict: VerdictIndeterminate}, notKnown},
		{LeaseResult{Verdict: VerdictUnavailable}, notKnown},
	} {
		r, _ := b.try("before" + string(rune('a'+i)))
		require.Empty(t, r.got, "it waits for the others' word")
		b.found[i](c.leave)
		b.step()
		require.Equal(t, []Response{c.want}, r.got)
	}
	again, _ := b.try("beforea")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: result}}, again.got, "it is known here now")
	require.Len(t, b.found, 4)
	require.Empty(t, b.started)

	// Nothing is known: it goes on as any other, and the others may still have been quicker.
	b.hold = true
	for i, c := range []struct {
		leave LeaseResult
		want  Response
	}{
		{LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: b.now, Result: result}, Response{Status: StatusSucceeded, Result: result}},
		{LeaseResult{Verdict: VerdictFailed}, Response{Status: StatusFailed, Reason: "the run failed"}},
		{LeaseResult{Verdict: VerdictIndeterminate}, notKnown},
		{LeaseResult{Verdict: VerdictUnavailable, Err: errors.New("no majority")}, Response{Status: StatusRejected, RetryAfter: storeAfter}},
	} {
		r, _ := b.try("raced" + string(rune('a'+i)))
		b.found[4+i](LeaseResult{})
		b.step()
		require.Empty(t, r.got)
		b.begin[i](c.leave)
		b.step()
		require.Equal(t, []Response{c.want}, r.got)
	}
	require.Empty(t, b.started)
	r, id := b.try("mine")
	b.found[8](LeaseResult{})
	b.step()
	b.begin[4](LeaseResult{})
	require.Equal(t, []string{id}, b.started)
	b.core.RunFinished(id, RunFailed, nil)
	b.step()
	require.Equal(t, []string{"mine"}, b.failed, "others hear that it failed")
	require.Equal(t, StatusFailed, r.got[0].Status)
	// The word may come before the question has returned.
	b.word = &LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: b.now, Result: result}
	now, _ := b.try("at once")
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: result}}, now.got)
	b.word = nil
	// Whoever waits for a word that never comes is answered when due, once.
	late, _ := b.try("late")
	b.now += 5 * microtime.Second
	b.step()
	require.Equal(t, StatusExpired, late.got[0].Status)
	b.found[9](LeaseResult{Verdict: VerdictSucceeded, ArrivedAt: b.now, Result: result})
	b.step()
	require.Len(t, late.got, 1)
}

// A run that was not started is passed on to a try that waits: the leave of the first one is taken back before the other asks for its
// own. Guards a group of servers against a leave that nobody uses, behind which all others would wait for a run that there is none of.
func TestPassedOnLeave(t *testing.T) {
	b := newBench(t)
	b.core.UseExecutionStore(b)
	_, first := b.try("k")
	b.now += 100 * microtime.Millisecond
	second, id := b.try("k")
	require.Len(t, b.intended, 1)
	b.core.RunFinished(first, RunNotStarted, nil)
	require.Equal(t, []string{"k"}, b.voided)
	require.Len(t, b.intended, 2)
	require.Equal(t, b.now, b.intended[1].ArrivedAt, "the window counts from the try that runs")
	b.step()
	b.core.RunFinished(id, RunSucceeded, []byte("r"))
	require.Len(t, b.recorded, 1)
	b.done[0](nil)
	b.step()
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("r")}}, second.got)
}
