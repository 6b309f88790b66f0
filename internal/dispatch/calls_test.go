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

// callHarness is a core whose runs make calls, with a fake backend and a fake downstream service. The index of a class
// is its value of control.Idempotency.
type callHarness struct {
	*harness
	calls []string // requests of the core to the downstream service and the backend, in order
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

// blockedRun starts the run of a request and lets the run make its call.
func (h *callHarness) blockedRun(class int) (response *recordingResponder, runID string, id control.RequestID) {
	h.t.Helper()
	h.attempts++
	response, runID = &recordingResponder{}, string(rune('a'+h.attempts))
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

// takeCalls returns and clears the recorded requests of the core.
func (h *callHarness) takeCalls() []string {
	taken := h.calls
	h.calls = nil
	return taken
}

// A reply is delivered once, to the run that waits for it. A second reply and a reply to an unknown call are dropped.
func TestReplyIsDeliveredOnce(t *testing.T) {
	env := newCallHarness(t, callSettings())
	response, runID, _ := env.blockedRun(0)
	require.Equal(t, []string{"call " + runID + " body true"}, env.takeCalls())
	env.core.CallEnded(env.now, runID, calls.Answered, []byte("reply"))
	env.core.CallEnded(env.now, runID, calls.Answered, []byte("twice"))
	env.core.CallEnded(env.now, "zz", calls.Answered, []byte("unknown"))
	require.Equal(t, []string{"deliver " + runID + " reply"}, env.takeCalls())
	env.core.RunFinished(runID, RunSucceeded, []byte("done"))
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("done")}}, response.responses)
}

// A call in flight is abandoned as soon as its request ends, for whatever reason. A late reply is dropped, and the
// request is removed when its run ends.
func TestCallIsAbandonedWhenRequestEnds(t *testing.T) {
	tests := map[string]func(env *callHarness, id control.RequestID){
		"caller cancels":  func(env *callHarness, id control.RequestID) { env.core.Abandon(id) },
		"deadline passes": func(env *callHarness, _ control.RequestID) { env.now += 4 * microtime.Second },
		"process exits":   func(env *callHarness, _ control.RequestID) { env.core.FailAll() },
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

// Guards against repeating the effect of a call when the decision module errs or a worker pool reports a call twice: a
// call that may have run is not repeated for a request that is not idempotent, even if the decision module asks for it.
func TestCoreWithholdsCallThatMayHaveRun(t *testing.T) {
	for class, idempotent := range []bool{true, false, false} {
		for outcome := calls.Rejected; outcome <= calls.NotSent; outcome++ {
			t.Run(fmt.Sprintf("class %d, outcome %d", class, outcome), func(t *testing.T) {
				env := newCallHarness(t, callSettings())
				response, runID, id := env.blockedRun(class)
				env.core.CallEnded(env.now, runID, outcome, nil)
				env.core.RunBlocked(runID, []byte("body")) // reported again, without a reply in between
				env.takeCalls()
				env.core.makeCall(env.core.requests.byID[id], microtime.Second)
				if idempotent || outcome.Effect() == calls.NotExecuted {
					require.Equal(t, []string{fmt.Sprintf("call %s body %v", runID, idempotent)}, env.takeCalls())
					return
				}
				require.Empty(t, env.takeCalls())
				require.Equal(t, StatusFailed, response.responses[0].Status)
			})
		}
	}
}

// A run waits for one call at a time. If it reports a second call while the first is in flight, the first call is
// abandoned and may have run.
func TestBlockedWhileCalling(t *testing.T) {
	env := newCallHarness(t, callSettings())
	response, runID, _ := env.blockedRun(2)
	env.core.RunBlocked(runID, []byte("other"))
	env.step()
	require.Equal(t, []string{"call " + runID + " body false", "abandon " + runID}, env.takeCalls())
	require.Equal(t, StatusFailed, response.responses[0].Status)
}

// The core does not advertise a load signal after a reload has changed the meaning of the value, nor one that was never
// set.
func TestLoadSignalIsDroppedWhenItsMeaningChanges(t *testing.T) {
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
	require.False(t, known, "0 would make callers send nothing")
}

// When memory runs short, new requests are rejected, and a run that waits for a call still gets its reply.
func TestMemoryShortageWhileCalling(t *testing.T) {
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
		if len(response.responses) > 0 {
			require.Equal(t, StatusRejected, response.responses[0].Status)
			rejected++
		}
	}
	require.Positive(t, rejected)
	require.Equal(t, []string{"first"}, env.started)
	env.core.CallEnded(env.now, "first", calls.Answered, []byte("reply"))
	env.core.RunFinished("first", RunSucceeded, nil)
	require.Equal(t, []string{"call first body false", "deliver first reply"}, env.takeCalls())
	require.Equal(t, StatusSucceeded, first.responses[0].Status)
}

// A reload that removes the class and disables calls does not affect a request whose call is in flight.
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
	require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("done")}}, response.responses)
}

// New and Reload reject settings that enable calls if the backend does not support calls.
func TestCallsRequireCallingBackend(t *testing.T) {
	env := newHarness(t)
	_, err := New(Config{Settings: callSettings(), Backend: env, Logf: t.Logf})
	require.ErrorIs(t, err, ErrCallsUnsupported)
	_, err = env.core.Reload(callSettings(), func(int) bool { return false })
	require.ErrorIs(t, err, ErrCallsUnsupported)
}
