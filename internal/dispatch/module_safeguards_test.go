package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// scriptedController returns in its next step the actions that the test has set.
type scriptedController struct{ next []control.Action }

func (s *scriptedController) Step(time.Duration, []control.Event) []control.Action {
	actions := s.next
	s.next = nil
	return actions
}

func (s *scriptedController) Reconfigure(control.Settings) error        { return nil }
func (s *scriptedController) LearnedState() (none control.LearnedState) { return none }
func (s *scriptedController) RestoreLearned(control.LearnedState)       {}

// scriptedHarness is a harness whose test also sets the actions of the decision module.
type scriptedHarness struct {
	*harness
	controller *scriptedController
}

func newScriptedHarness(t *testing.T) *scriptedHarness {
	h := &scriptedHarness{newHarness(t), &scriptedController{}}
	h.core.UseController(func(control.Settings) (Controller, error) { return h.controller, nil })
	return h
}

// submit submits an attempt of a keyed request and makes the decision module return the actions for it.
func (h *scriptedHarness) submit(
	runID, key string, actions func(id control.RequestID) []control.Action,
) *recordingResponder {
	h.t.Helper()
	response := &recordingResponder{}
	id, err := h.core.Submit(h.now, Request{
		RunID: runID, Class: 1, IdempotencyKey: key, ArrivedAt: h.now, QueuedKB: 1, Responder: response,
	})
	require.NoError(h.t, err)
	h.decide(actions(id)...)
	return response
}

// decide makes the decision module return the actions. The tick is there because Step calls the module only with
// events.
func (h *scriptedHarness) decide(actions ...control.Action) {
	h.controller.next = actions
	h.core.events = append(h.core.events, control.Tick{})
	h.core.Step(h.now)
}

func startAndRetain(id control.RequestID) []control.Action {
	return []control.Action{control.RetainKey{ID: id, TTL: time.Minute}, control.Start{ID: id}}
}

// A key that runs or has run is not run again, even if the decision module starts a repeat: the repeat gets the result
// of the first run.
func TestKeyRunsOnceWhateverModuleDecides(t *testing.T) {
	env := newScriptedHarness(t)
	start := func(id control.RequestID) []control.Action { return []control.Action{control.Start{ID: id}} }
	first := env.submit("a", "k", startAndRetain)
	during := env.submit("b", "k", start)
	require.Equal(t, []string{"a"}, env.started)
	env.core.RunFinished("a", RunSucceeded, []byte("lot"))
	after := env.submit("c", "k", start)
	require.Equal(t, []string{"a"}, env.started)
	served := []Response{{Status: StatusSucceeded, Result: []byte("lot")}}
	require.Equal(t, served, first.responses)
	require.Equal(t, served, during.responses)
	require.Equal(t, served, after.responses)
}

// Guards against a second run of a key that the decision module releases while an attempt of it is queued: whether or
// not another attempt arrives before that one starts, later attempts get the result of the run.
func TestKeyReleasedWhileQueuedRunsOnce(t *testing.T) {
	for _, attemptBetween := range []bool{false, true} {
		t.Run(fmt.Sprintf("attempt between %v", attemptBetween), func(t *testing.T) {
			env := newScriptedHarness(t)
			var queued control.RequestID
			env.submit("a", "k", func(id control.RequestID) []control.Action {
				queued = id
				return []control.Action{control.RetainKey{ID: id, TTL: time.Minute}}
			})
			env.decide(control.ReleaseKey{ID: queued})
			if attemptBetween {
				env.submit("b", "k", func(id control.RequestID) []control.Action {
					return []control.Action{control.RetainKey{ID: id, TTL: time.Minute}}
				})
			}
			env.decide(control.Start{ID: queued})
			require.Equal(t, []string{"a"}, env.started)
			env.core.RunFinished("a", RunSucceeded, []byte("lot"))
			later := env.submit("c", "k", func(id control.RequestID) []control.Action {
				return []control.Action{control.Start{ID: id}}
			})
			require.Equal(t, []string{"a"}, env.started)
			require.Equal(t, []Response{{Status: StatusSucceeded, Result: []byte("lot")}}, later.responses)
		})
	}
}

// A request gets one response, even if the decision module fails it twice and its run ends after that.
func TestOneResponseWhateverModuleDecides(t *testing.T) {
	env := newScriptedHarness(t)
	var running control.RequestID
	response := env.submit("a", "k", func(id control.RequestID) []control.Action {
		running = id
		return startAndRetain(id)
	})
	env.decide(control.Fail{ID: running}, control.Fail{ID: running})
	env.core.RunFinished("a", RunSucceeded, []byte("lot"))
	env.core.RunFinished("a", RunFailed, nil)
	env.decide()
	require.Equal(t, []Response{failed(reasonGivenUp)}, response.responses)
	require.Equal(t, Counters{Failed: 1, Attempts: 1}, env.core.Counters("intake"))
	require.Zero(t, env.core.OpenRequests())
}

// A request that runs is not rejected, even if the decision module rejects it: its caller would retry it at another
// server.
func TestRunningRequestIsNotRejected(t *testing.T) {
	env := newScriptedHarness(t)
	var running control.RequestID
	response := env.submit("a", "k", func(id control.RequestID) []control.Action {
		running = id
		return startAndRetain(id)
	})
	env.decide(control.Reject{ID: running}, control.Start{ID: running})
	require.Empty(t, response.responses)
	require.Equal(t, []string{"a"}, env.started)
	env.core.RunFinished("a", RunSucceeded, nil)
	require.Equal(t, StatusSucceeded, response.responses[0].Status)
}

// An attempt whose key may have run fails and is not rejected until the retention window is over: its caller would
// retry a rejected attempt at another server.
func TestIndeterminateKeyIsNotRejected(t *testing.T) {
	env := newScriptedHarness(t)
	reject := func(id control.RequestID) []control.Action { return []control.Action{control.Reject{ID: id}} }
	lost := env.submit("a", "k", startAndRetain)
	env.core.RunFinished("a", RunIndeterminate, nil)
	require.Equal(t, []Response{failed(reasonIndeterminate)}, lost.responses)
	repeat := env.submit("b", "k", reject)
	require.Equal(t, []Response{failed(reasonIndeterminate)}, repeat.responses)
	another := env.submit("c", "other", reject)
	require.Equal(t, []Response{{Status: StatusRejected}}, another.responses)
}

// An attempt that was read after the grace of a drain does not run in place of an attempt that was not started.
func TestLateWaiterIsNotStartedDuringDrain(t *testing.T) {
	tests := []struct {
		name    string
		drained bool
		want    []string
	}{
		{"serving", false, []string{"a", "b"}},
		{"draining", true, []string{"a"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			env := newScriptedHarness(t)
			env.submit("a", "k", startAndRetain)
			if tc.drained {
				env.core.Drain(env.now, env.now, env.now+1)
			}
			env.now++
			waiter := env.submit("b", "k", func(id control.RequestID) []control.Action {
				return []control.Action{control.ReplayResult{ID: id}}
			})
			env.core.RunFinished("a", RunNotStarted, nil)
			require.Equal(t, tc.want, env.started)
			if tc.drained {
				require.Equal(t, []Response{failed(reasonRunNotStarted)}, waiter.responses)
			}
		})
	}
}

// The core logs an action of an unknown kind and carries out the others.
func TestUnknownActionIsLogged(t *testing.T) {
	env := newScriptedHarness(t)
	var logged int
	env.core.logf = func(string, ...any) { logged++ }
	response := env.submit("a", "k", func(id control.RequestID) []control.Action {
		return []control.Action{nil, control.Reject{ID: id, NoRetry: true}}
	})
	require.Equal(t, 1, logged)
	require.Equal(t, []Response{{Status: StatusRejected, NoRetry: true}}, response.responses)
}
