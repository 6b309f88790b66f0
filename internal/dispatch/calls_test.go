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

// callHarness is a core whose runs make calls; the test plays the backend and the service downstream. The classes are
// numbered by their idempotency.
type callHarness struct {
	*harness
	calls []string // what the core had the service downstream and the backend do
}

func (h *callHarness) Call(request calls.Request) {
	h.calls = append(h.calls, fmt.Sprintf("call %s %s %v", request.ID, request.Body, request.Idempotent))
}

func (h *callHarness) Abandon(id string) { h.calls = append(h.calls, "abandon "+id) }

func (h *callHarness) DeliverReply(id string, reply []byte) {
	h.calls = append(h.calls, fmt.Sprintf("deliver %s %s", id, reply))
}

func callSettings() control.Settings {
	class := control.Class{
		LatencyObjective: time.Second, Deadline: 4 * time.Second, MakesCalls: true,
	}
	view, intake, order := class, class, class
	view.Name, view.Weight = "view", 1
	intake.Name, intake.Weight = "intake", 10
	intake.Idempotency, intake.RetentionWindow = control.IdempotentByKey, 13*time.Second
	order.Name, order.Weight = "order", 10
	order.Idempotency = control.NonIdempotent
	return control.Settings{
		Cores: 2, Dependency: control.DependencyTier, Classes: []control.Class{view, intake, order},
	}
}

func newCallHarness(t *testing.T, settings control.Settings) *callHarness {
	h := &callHarness{harness: &harness{t: t, now: 100 * microtime.Second}}
	var err error
	h.core, err = New(Config{Settings: settings, Backend: h, Logf: t.Logf})
	require.NoError(t, err)
	h.core.UseDownstream(h)
	return h
}

// blockedRun has a request of a class run and come to its call.
func (h *callHarness) blockedRun(class int) (response *recordingResponder, runID string, id control.RequestID) {
	h.t.Helper()
	h.tried++
	response, runID = &recordingResponder{}, string(rune('a'+h.tried))
	id, err := h.core.Submit(h.now, Request{
		RunID: runID, Class: class, IdempotencyKey: runID, ArrivedAt: h.now, QueuedKB: 1, Responder: response,
	})
	require.NoError(h.t, err)
	h.step()
	h.core.RunBlocked(runID, []byte("body"))
	h.step()
	return response, runID, id
}

func (h *callHarness) step() {
	h.now += 20 * microtime.Millisecond
	h.core.Step(h.now)
}

// takeCalls is what the core did since the last time.
func (h *callHarness) takeCalls() []string {
	taken := h.calls
	h.calls = nil
	return taken
}

// A reply goes to the run that waits for it, once; whatever else comes for a call that is over goes nowhere.
func TestReplyGoesToItsRun(t *testing.T) {
	env := newCallHarness(t, callSettings())
	response, runID, _ := env.blockedRun(0)
	require.Equal(t, []string{"call " + runID + " body true"}, env.takeCalls())
	env.core.CallEnded(env.now, runID, calls.Answered, []byte("reply"))
	env.core.CallEnded(env.now, runID, calls.Answered, []byte("twice"))
	env.core.CallEnded(env.now, "zz", calls.Answered, []byte("nobody's"))
	require.Equal(t, []string{"deliver " + runID + " reply"}, env.takeCalls())
	env.core.RunFinished(runID, RunSucceeded, []byte("done"))
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("done")}}, response.got)
}

// A call in flight is abandoned as soon as its request is over, however it ends; a late reply is dropped, and the run's
// own end is the end.
func TestCallOfRequestThatIsOver(t *testing.T) {
	tests := map[string]func(env *callHarness, id control.RequestID){
		"caller left":  func(env *callHarness, id control.RequestID) { env.core.Abandon(id) },
		"due":          func(env *callHarness, _ control.RequestID) { env.now += 4 * microtime.Second },
		"process ends": func(env *callHarness, _ control.RequestID) { env.core.FailAll() },
		"drain": func(env *callHarness, _ control.RequestID) {
			env.core.Drain(env.now, env.now, env.now+microtime.Second)
			env.now += microtime.Second
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			env := newCallHarness(t, callSettings())
			_, runID, id := env.blockedRun(2)
			env.takeCalls()
			end(env, id)
			env.step()
			require.Equal(t, []string{"abandon " + runID}, env.takeCalls())
			env.core.CallEnded(env.now, runID, calls.Answered, []byte("late"))
			env.step()
			env.core.RunFinished(runID, RunCancelled, nil)
			require.Empty(t, env.takeCalls())
			require.Zero(t, env.core.OpenRequests())
			require.Empty(t, env.core.requests.byRunID)
		})
	}
}

// Guards effects against decisions that are wrong and pools that tell twice: a call that may have run is not made
// again for a request that may run once, though the decision module asks for it.
func TestCoreWithholdsCallThatMayHaveRun(t *testing.T) {
	for class, idempotent := range []bool{true, false, false} {
		for outcome := calls.Rejected; outcome <= calls.NotSent; outcome++ {
			t.Run(fmt.Sprintf("class %d, outcome %d", class, outcome), func(t *testing.T) {
				env := newCallHarness(t, callSettings())
				response, runID, id := env.blockedRun(class)
				env.core.CallEnded(env.now, runID, outcome, nil)
				env.core.RunBlocked(runID, []byte("body")) // told again, with no reply between
				env.takeCalls()
				env.core.makeCall(env.core.requests.byID[id], microtime.Second)
				if idempotent || outcome.Effect() == calls.NotExecuted {
					require.Equal(t, []string{fmt.Sprintf("call %s body %v", runID, idempotent)}, env.takeCalls())
					return
				}
				require.Empty(t, env.takeCalls())
				require.Equal(t, StatusFailed, response.got[0].Status)
			})
		}
	}
}

// A run that tells of a call while another is in flight cannot wait for both: the first is abandoned, and may have run.
func TestBlockedWhileCalling(t *testing.T) {
	env := newCallHarness(t, callSettings())
	response, runID, _ := env.blockedRun(2)
	env.core.RunBlocked(runID, []byte("other"))
	env.step()
	require.Equal(t, []string{"call " + runID + " body false", "abandon " + runID}, env.takeCalls())
	require.Equal(t, StatusFailed, response.got[0].Status)
}

// A load signal is not told under another meaning than it was set for, nor one that was never set.
func TestLoadSignalKeepsItsMeaning(t *testing.T) {
	env := newCallHarness(t, callSettings())
	allowance := callSettings()
	allowance.LoadSignal = control.LoadSignalAllowance
	env.core.RestoreLearned(control.LearnedState{})
	env.core.Start(env.now, 0, false)
	env.core.signal = loadSignal{value: 0.35, known: true}
	_, err := env.core.Reload(allowance, func(int) bool { return false })
	require.NoError(t, err)
	_, known := env.core.AdvertisedValue()
	require.False(t, known)

	next, err := New(Config{Settings: allowance, Backend: env, Logf: t.Logf})
	require.NoError(t, err)
	next.RestoreLearned(control.LearnedState{})
	next.Start(env.now, 0, false)
	_, known = next.AdvertisedValue()
	require.False(t, known, "0 would have callers send nothing")
}

// Memory that runs short turns newcomers away and leaves a run at its call alone: its reply still goes to it.
func TestMemoryShortWhileCalling(t *testing.T) {
	const heldKB, memoryKB = 100, 1000
	settings := callSettings()
	settings.MemoryKB, settings.RunningMemoryFactor = memoryKB, 8
	env := newCallHarness(t, settings)
	submit := func(runID string) *recordingResponder {
		response := &recordingResponder{}
		_, err := env.core.Submit(env.now, Request{
			RunID: runID, Class: 2, ArrivedAt: env.now, QueuedKB: heldKB, Responder: response,
		})
		require.NoError(t, err)
		return response
	}
	first := submit("first") // 800 KB while it runs
	env.step()
	env.core.RunBlocked("first", []byte("body"))
	env.step()
	var rejected int
	for n := range 5 {
		response := submit(fmt.Sprint(n))
		env.step()
		if len(response.got) > 0 {
			require.Equal(t, StatusRejected, response.got[0].Status)
			rejected++
		}
	}
	require.Positive(t, rejected)
	require.Equal(t, []string{"first"}, env.started)
	env.core.CallEnded(env.now, "first", calls.Answered, []byte("reply"))
	env.core.RunFinished("first", RunSucceeded, nil)
	require.Equal(t, []string{"call first body false", "deliver first reply"}, env.takeCalls())
	require.Equal(t, StatusSucceeded, first.got[0].Status)
}

// Settings that drop the class, and all calls, while a call is in flight change nothing for its request.
func TestReloadWhileCalling(t *testing.T) {
	env := newCallHarness(t, callSettings())
	response, runID, _ := env.blockedRun(2)
	next := callSettings()
	next.Dependency, next.Classes = control.DependencyNone, next.Classes[:1]
	_, err := env.core.Reload(next, func(int) bool { return false })
	require.NoError(t, err)
	env.step()
	env.core.CallEnded(env.now, runID, calls.Answered, []byte("reply"))
	env.core.RunFinished(runID, RunSucceeded, []byte("done"))
	require.Equal(t, []string{"call " + runID + " body false", "deliver " + runID + " reply"}, env.takeCalls())
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("done")}}, response.got)
}

// Settings whose calls the backend cannot carry out are turned down at the start and by a reload.
func TestCallsNeedBackendThatCalls(t *testing.T) {
	env := newHarness(t)
	_, err := New(Config{Settings: callSettings(), Backend: env, Logf: t.Logf})
	require.ErrorIs(t, err, ErrCallsUnsupported)
	_, err = env.core.Reload(callSettings(), func(int) bool { return false })
	require.ErrorIs(t, err, ErrCallsUnsupported)
}
