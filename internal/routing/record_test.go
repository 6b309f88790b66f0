package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/micro"
)

// bench is a core with a runner and a recorder that the test plays.
type bench struct {
	t        *testing.T
	core     *Core
	now      micro.Time
	started  []string
	recorded []Intake
	done     []func(error)
	intended []Intake
	voided   []string
	failed   []string
	find     bool // the recorder asks others
	found    []func(Leave)
	word     *Leave // the recorder's, at once
	begin    []func(Leave)
	hold     bool // intents are not durable before the test says so
	n        int
}

func (b *bench) Start(r Run)    { b.started = append(b.started, r.ID) }
func (b *bench) Stop(string)    {}
func (b *bench) Poll()          {}
func (b *bench) Void(in Intake) { b.voided = append(b.voided, in.Once) }
func (b *bench) Fail(in Intake) { b.failed = append(b.failed, in.Once) }
func (b *bench) Find(in Intake, f func(Leave)) bool {
	switch {
	case b.word != nil:
		f(*b.word)
	case b.find:
		b.found = append(b.found, f)
	}
	return b.find
}
func (b *bench) Intend(in Intake, f func(Leave)) {
	if b.intended = append(b.intended, in); b.hold {
		b.begin = append(b.begin, f)
		return
	}
	f(Leave{})
}
func (b *bench) Record(in Intake, f func(error)) {
	b.recorded, b.done = append(b.recorded, in), append(b.done, f)
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: 100 * micro.Second}
	var err error
	b.core, err = New(control.Settings{Cores: 2, MaxRetryAfter: time.Second, Classes: []control.Class{
		{Name: "view", Aim: time.Second, Deadline: 4 * time.Second, Worth: 1},
		{Name: "intake", Aim: time.Second, Deadline: 4 * time.Second, Worth: 10, Effect: control.Keyed, Window: 13 * time.Second},
	}}, b, t.Logf)
	require.NoError(t, err)
	return b
}

type reply struct{ got []Answer }

func (r *reply) Reply(a Answer) { r.got = append(r.got, a) }

// try sends one try of an intake and ends the turn.
func (b *bench) try(once string) (*reply, string) {
	b.n++
	r, id := &reply{}, string(rune('a'+b.n))
	_, err := b.core.Submit(b.now, Request{RunID: id, Class: 1, Once: once, At: b.now, HeldKB: 1, Reply: r})
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
	b.core.UseRecorder(b)
	first, id := b.try("k1")
	b.core.Finished(id, Passed, []byte("lot"))
	b.step()
	require.Empty(t, first.got, "answered before it is on record")
	require.Equal(t, []Intake{{Class: 1, Once: "k1", At: b.now, Result: []byte("lot")}}, b.recorded)
	waiting, _ := b.try("k1")
	b.done[0](errors.New("disk full"))
	b.step()
	require.Equal(t, Failed, first.got[0].Status)
	require.Equal(t, Failed, waiting.got[0].Status)

	again, _ := b.try("k1")
	require.Len(t, b.recorded, 2, "a repeat tries again to record")
	b.done[1](nil)
	b.step()
	require.Equal(t, []Answer{{Status: Served, Result: []byte("lot")}}, again.got)
	later, _ := b.try("k1")
	require.Equal(t, Served, later.got[0].Status)
	require.Len(t, b.recorded, 2)
	require.Len(t, b.started, 1, "it ran once")
	require.Zero(t, b.core.Open())
}

// After a restart a repeat gets the recorded result, without a run; past its window the key is new.
func TestRestore(t *testing.T) {
	b := newBench(t)
	b.core.Restore(Intake{Class: 1, Once: "k1", At: b.now - 5*micro.Second, Result: []byte("lot")})
	b.core.Restore(Intake{Class: 1, Once: "k2", At: b.now - 14*micro.Second, Result: []byte("old")})
	repeat, _ := b.try("k1")
	require.Equal(t, []Answer{{Status: Served, Result: []byte("lot")}}, repeat.got)
	require.Empty(t, b.started)
	fresh, id := b.try("k2")
	b.core.Finished(id, Passed, []byte("new"))
	require.Equal(t, []byte("new"), fresh.got[0].Result)
	require.Zero(t, b.core.Open())
}

// Guards the once-only rule where the pool says that a try never started and its repeat runs in its place: the
// window then counts from the repeat.
func TestWindowCountsFromTheTryThatRan(t *testing.T) {
	b := newBench(t)
	_, one := b.try("k1")
	b.now += 3 * micro.Second
	second, two := b.try("k1")
	b.core.Finished(one, Unneeded, nil)
	require.Equal(t, []string{one, two}, b.started)
	b.core.Finished(two, Passed, []byte("lot"))
	b.step()
	require.Equal(t, Served, second.got[0].Status)
	b.now += 12 * micro.Second // 15 s after the first try, 12 s after the one that ran
	late, _ := b.try("k1")
	require.Equal(t, Served, late.got[0].Status)
	require.Len(t, b.started, 2)
}

// Guards an intake against a second run by a later life: none starts before it is on record that it may run, what can't be
// put on record is turned away and has not run, and one that nobody waits for any more does not start late.
func TestIntentBeforeRun(t *testing.T) {
	b := newBench(t)
	b.core.UseRecorder(b)
	b.hold = true
	first, _ := b.try("k1")
	require.Len(t, b.intended, 1)
	require.Empty(t, b.started, "started before it is on record")
	b.begin[0](Leave{})
	require.Len(t, b.started, 1)
	second, _ := b.try("k2")
	b.begin[1](Leave{Word: NoRecord, Err: errors.New("disk full")})
	b.step()
	require.Equal(t, Refused, second.got[0].Status)
	require.Positive(t, second.got[0].After, "with when to come back")
	require.Equal(t, []string{"k2"}, b.voided)
	require.Len(t, b.started, 1)
	again, _ := b.try("k2")
	b.begin[2](Leave{})
	require.Len(t, b.started, 2, "it had not run: a repeat may")
	b.core.Finished(b.started[1], Passed, []byte("two"))
	b.done[0](nil)
	b.step()
	require.Equal(t, Served, again.got[0].Status)
	late, _ := b.try("k3")
	b.now += 5 * micro.Second
	b.step()
	require.NotEmpty(t, late.got, "past its deadline")
	b.begin[3](Leave{})
	b.step()
	require.Len(t, b.started, 2)
	require.Equal(t, []string{"k2", "k3"}, b.voided)
	require.NotEmpty(t, first.got)
}

// A later life fails what the one before was about to run, until its window is over: it is neither run nor refused.
func TestIntentOfAnEarlierLife(t *testing.T) {
	b := newBench(t)
	b.core.UseRecorder(b)
	b.core.RestoreIntent(Intake{Class: 1, Once: "k1", At: b.now - 5*micro.Second})
	repeat, _ := b.try("k1")
	require.Equal(t, []Answer{notKnown}, repeat.got)
	require.Empty(t, b.started)
	b.now += 9 * micro.Second
	_, _ = b.try("k1")
	require.Len(t, b.started, 1, "its window is over")
}

// Guards a run of another server's: a repeat of it here gets its result, or hears that nobody knows, and is not run; what is
// refused elsewhere may run here. An intake that this core knows is not asked about.
func TestOthersRuns(t *testing.T) {
	b := newBench(t)
	b.core.UseRecorder(b)
	b.find = true
	result := []byte("theirs")
	for i, c := range []struct {
		leave Leave
		want  Answer
	}{
		{Leave{Word: HasRun, At: b.now - micro.Second, Result: result}, Answer{Status: Served, Result: result}},
		{Leave{Word: HasFailed}, Answer{Status: Failed, Reason: "the run failed"}},
		{Leave{Word: NotKnown}, notKnown},
		{Leave{Word: NoRecord}, notKnown},
	} {
		r, _ := b.try("before" + string(rune('a'+i)))
		require.Empty(t, r.got, "it waits for the others' word")
		b.found[i](c.leave)
		b.step()
		require.Equal(t, []Answer{c.want}, r.got)
	}
	again, _ := b.try("beforea")
	require.Equal(t, []Answer{{Status: Served, Result: result}}, again.got, "it is known here now")
	require.Len(t, b.found, 4)
	require.Empty(t, b.started)

	// Nothing is known: it goes on as any other, and the others may still have been quicker.
	b.hold = true
	for i, c := range []struct {
		leave Leave
		want  Answer
	}{
		{Leave{Word: HasRun, At: b.now, Result: result}, Answer{Status: Served, Result: result}},
		{Leave{Word: HasFailed}, Answer{Status: Failed, Reason: "the run failed"}},
		{Leave{Word: NotKnown}, notKnown},
		{Leave{Word: NoRecord, Err: errors.New("no majority")}, Answer{Status: Refused, After: storeAfter}},
	} {
		r, _ := b.try("raced" + string(rune('a'+i)))
		b.found[4+i](Leave{})
		b.step()
		require.Empty(t, r.got)
		b.begin[i](c.leave)
		b.step()
		require.Equal(t, []Answer{c.want}, r.got)
	}
	require.Empty(t, b.started)
	r, id := b.try("mine")
	b.found[8](Leave{})
	b.step()
	b.begin[4](Leave{})
	require.Equal(t, []string{id}, b.started)
	b.core.Finished(id, Errored, nil)
	b.step()
	require.Equal(t, []string{"mine"}, b.failed, "others hear that it failed")
	require.Equal(t, Failed, r.got[0].Status)
	// The word may come before the question has returned.
	b.word = &Leave{Word: HasRun, At: b.now, Result: result}
	now, _ := b.try("at once")
	require.Equal(t, []Answer{{Status: Served, Result: result}}, now.got)
	b.word = nil
	// Whoever waits for a word that never comes is answered when due, once.
	late, _ := b.try("late")
	b.now += 5 * micro.Second
	b.step()
	require.Equal(t, Expired, late.got[0].Status)
	b.found[9](Leave{Word: HasRun, At: b.now, Result: result})
	b.step()
	require.Len(t, late.got, 1)
}

// A run that was not started is passed on to a try that waits: the leave of the first one is taken back before the other asks for its
// own. Guards a group of servers against a leave that nobody uses, behind which all others would wait for a run that there is none of.
func TestPassedOnLeave(t *testing.T) {
	b := newBench(t)
	b.core.UseRecorder(b)
	_, first := b.try("k")
	b.now += 100 * micro.Millisecond
	second, id := b.try("k")
	require.Len(t, b.intended, 1)
	b.core.Finished(first, Unneeded, nil)
	require.Equal(t, []string{"k"}, b.voided)
	require.Len(t, b.intended, 2)
	require.Equal(t, b.now, b.intended[1].At, "the window counts from the try that runs")
	b.step()
	b.core.Finished(id, Passed, []byte("r"))
	require.Len(t, b.recorded, 1)
	b.done[0](nil)
	b.step()
	require.Equal(t, []Answer{{Status: Served, Result: []byte("r")}}, second.got)
}
