package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
)

// caller is a core whose runs call; the test plays the runner and the vault. The classes are numbered by their effect.
type caller struct {
	*bench
	did []string // what the core had the vault and the runner do
}

func (c *caller) Call(k calls.Request) {
	c.did = append(c.did, fmt.Sprintf("ask %s %s %v", k.ID, k.Body, k.Idempotent))
}
func (c *caller) Abandon(id string) { c.did = append(c.did, "give up "+id) }
func (c *caller) DeliverReply(id string, r []byte) {
	c.did = append(c.did, fmt.Sprintf("supply %s %s", id, r))
}

func callingSettings() control.Settings {
	s := control.Settings{Cores: 2, Dependency: control.DependencyTier, Classes: []control.Class{
		{Name: "view", LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1, MakesCalls: true},
		{Name: "intake", LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 10, Idempotency: control.IdempotentByKey, RetentionWindow: 13 * time.Second, MakesCalls: true},
		{Name: "order", LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 10, Idempotency: control.NonIdempotent, MakesCalls: true},
	}}
	return s
}

func newCaller(t *testing.T) *caller {
	c := &caller{bench: &bench{t: t, now: 100 * microtime.Second}}
	var err error
	c.core, err = New(callingSettings(), c, t.Logf)
	require.NoError(t, err)
	c.core.UseDownstream(c)
	return c
}

// blocked has a request of a class run and come to its call.
func (c *caller) blocked(class int) (*reply, string, control.RequestID) {
	c.n++
	r, id := &reply{}, string(rune('a'+c.n))
	key, err := c.core.Submit(c.now, Request{RunID: id, Class: class, IdempotencyKey: id, ArrivedAt: c.now, QueuedKB: 1, Responder: r})
	require.NoError(c.t, err)
	c.step()
	c.core.RunBlocked(id, []byte("call"))
	c.step()
	return r, id, key
}

func (c *caller) step() {
	c.now += 20 * microtime.Millisecond
	c.core.Step(c.now)
}

// does is what the core did since the last time.
func (c *caller) does() []string {
	did := c.did
	c.did = nil
	return did
}

// A reply goes to the run that waits for it, once; whatever else comes for a call that is over goes nowhere.
func TestReplyGoesToItsRun(t *testing.T) {
	c := newCaller(t)
	got, id, _ := c.blocked(0)
	require.Equal(t, []string{"ask " + id + " call true"}, c.does())
	c.core.CallEnded(c.now, id, calls.Answered, []byte("reply"))
	c.core.CallEnded(c.now, id, calls.Answered, []byte("twice"))
	c.core.CallEnded(c.now, "zz", calls.Answered, []byte("nobody's"))
	require.Equal(t, []string{"supply " + id + " reply"}, c.does())
	c.core.RunFinished(id, RunSucceeded, []byte("done"))
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("done")}}, got.got)
}

// A call in hand is given up as soon as its request is over, however it ends; a late reply is dropped, and the run's own end is
// the end.
func TestCallOfARequestThatIsOver(t *testing.T) {
	for name, over := range map[string]func(c *caller, key control.RequestID){
		"caller left":  func(c *caller, key control.RequestID) { c.core.Abandon(key) },
		"due":          func(c *caller, _ control.RequestID) { c.now += 4 * microtime.Second },
		"process ends": func(c *caller, _ control.RequestID) { c.core.FailAll() },
		"drain": func(c *caller, _ control.RequestID) {
			c.core.Drain(c.now, c.now, c.now+microtime.Second)
			c.now += microtime.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCaller(t)
			_, id, key := c.blocked(2)
			c.does()
			over(c, key)
			c.step()
			require.Equal(t, []string{"give up " + id}, c.does())
			c.core.CallEnded(c.now, id, calls.Answered, []byte("late"))
			c.step()
			c.core.RunFinished(id, RunCancelled, nil)
			require.Empty(t, c.does())
			require.Zero(t, c.core.OpenRequests())
			require.Empty(t, c.core.runs)
		})
	}
}

// Guards effects against decisions that are wrong and pools that tell twice: a call that may have run is not made again for a
// request that may run once, though the module asks for it.
func TestCoreWithholdsACallThatMayHaveRun(t *testing.T) {
	for class, repeatable := range []bool{true, false, false} {
		for outcome := calls.Rejected; outcome <= calls.NotSent; outcome++ {
			c := newCaller(t)
			got, id, key := c.blocked(class)
			c.core.CallEnded(c.now, id, outcome, nil)
			c.core.RunBlocked(id, []byte("call")) // told again, with no reply between
			c.does()
			c.core.makeCall(c.core.live[key], microtime.Second)
			if repeatable || outcome.Effect() == calls.NotExecuted {
				require.Equal(t, []string{fmt.Sprintf("ask %s call %v", id, repeatable)}, c.does(), "class %d, outcome %d", class, outcome)
				continue
			}
			require.Empty(t, c.does(), "class %d, outcome %d", class, outcome)
			require.Equal(t, StatusFailed, got.got[0].Status)
		}
	}
}

// A run that tells of a call while another is in hand cannot wait for both: the first is given up, and may have run.
func TestBlockedWhileCalling(t *testing.T) {
	c := newCaller(t)
	got, id, _ := c.blocked(2)
	c.core.RunBlocked(id, []byte("other"))
	c.step()
	require.Equal(t, []string{"ask " + id + " call false", "give up " + id}, c.does())
	require.Equal(t, StatusFailed, got.got[0].Status)
}

// A free value is not told under another meaning than it was set for, nor one that was never set.
func TestFreeValueKeepsItsMeaning(t *testing.T) {
	c := newCaller(t)
	allowance := callingSettings()
	allowance.LoadSignal = control.LoadSignalAllowance
	c.core.RestoreLearned(control.LearnedState{})
	c.core.Start(c.now, 0, false)
	c.core.say, c.core.saying = 0.35, true
	_, err := c.core.Reload(allowance, func(int) bool { return false })
	require.NoError(t, err)
	_, says := c.core.AdvertisedValue()
	require.False(t, says)

	next, err := New(allowance, c, t.Logf)
	require.NoError(t, err)
	next.RestoreLearned(control.LearnedState{})
	next.Start(c.now, 0, false)
	_, says = next.AdvertisedValue()
	require.False(t, says, "0 would have callers send nothing")
}

// Memory that runs short turns newcomers away and leaves a run at its call alone: its reply still goes to it.
func TestMemoryShortWhileCalling(t *testing.T) {
	const held, memory = 100, 1000 // KB
	c := &caller{bench: &bench{t: t, now: 100 * microtime.Second}}
	s := callingSettings()
	s.MemoryKB, s.RunningMemoryFactor = memory, 8
	var err error
	c.core, err = New(s, c, t.Logf)
	require.NoError(t, err)
	c.core.UseDownstream(c)
	submit := func(id string) *reply {
		r := &reply{}
		_, err := c.core.Submit(c.now, Request{RunID: id, Class: 2, ArrivedAt: c.now, QueuedKB: held, Responder: r})
		require.NoError(t, err)
		return r
	}
	first := submit("first") // 800 KB while it runs
	c.step()
	c.core.RunBlocked("first", []byte("call"))
	c.step()
	var refused int
	for n := range 5 {
		r := submit(fmt.Sprint(n))
		c.step()
		if len(r.got) > 0 {
			require.Equal(t, StatusRejected, r.got[0].Status)
			refused++
		}
	}
	require.Positive(t, refused)
	require.Equal(t, []string{"first"}, c.started)
	c.core.CallEnded(c.now, "first", calls.Answered, []byte("reply"))
	c.core.RunFinished("first", RunSucceeded, nil)
	require.Equal(t, []string{"ask first call false", "supply first reply"}, c.does())
	require.Equal(t, StatusSucceeded, first.got[0].Status)
}

// Settings that drop the class, and all calls, while a call is in hand change nothing for its request.
func TestRetuneWhileCalling(t *testing.T) {
	c := newCaller(t)
	got, id, _ := c.blocked(2)
	next := callingSettings()
	next.Dependency, next.Classes = control.DependencyNone, next.Classes[:1]
	_, err := c.core.Reload(next, func(int) bool { return false })
	require.NoError(t, err)
	c.step()
	c.core.CallEnded(c.now, id, calls.Answered, []byte("reply"))
	c.core.RunFinished(id, RunSucceeded, []byte("done"))
	require.Equal(t, []string{"ask " + id + " call false", "supply " + id + " reply"}, c.does())
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("done")}}, got.got)
}
