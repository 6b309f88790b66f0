package execution

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// answers contains the actions that answer the waiting attempt.
var answers = map[Action]bool{
	ActionServe:               true,
	ActionReportFailed:        true,
	ActionReportIndeterminate: true,
	ActionReportUnrecorded:    true,
	ActionReject:              true,
}

// Every event in every state: a transition answers the waiting attempt at most once, leads only to the idle state if it
// has no actions, and leaves no attempt waiting after an answer.
func TestEveryEventInEveryState(t *testing.T) {
	for state := range State(stateCount) {
		for event := range Event(eventCount) {
			lifecycle := Lifecycle{State: state}
			actions := lifecycle.Step(event)
			answered := 0
			for _, action := range actions {
				if answers[action] {
					answered++
				}
			}
			require.LessOrEqual(t, answered, 1, "%v, %v", state, event)
			if len(actions) == 0 && lifecycle.State != state {
				require.Equal(t, StateIdle, lifecycle.State, "%v, %v: a transition without actions", state, event)
			}
			// After its answer, the attempt is not answered again, except with a result that is recorded late.
			if answered == 1 && lifecycle.State != StateUnrecorded && lifecycle.State != StateRecorded {
				require.Contains(t, []State{StateIdle, StateReleasing}, lifecycle.State, "%v, %v", state, event)
			}
		}
	}
}

// An attempt that waits for the lease or for a result is answered at its deadline.
func TestDeadlineEndsEachWait(t *testing.T) {
	for _, state := range []State{StateAcquiring, StateHeldByOther, StatePolling} {
		t.Run(state.String(), func(t *testing.T) {
			lifecycle := Lifecycle{State: state}
			require.NotEmpty(t, lifecycle.Step(EventDeadlineReached))
			require.Contains(t, []State{StateIdle, StateReleasing}, lifecycle.State)
		})
	}
}

// All values of each enum have distinct names.
func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for state := range State(stateCount) {
		seen[state.String()] = true
	}
	require.Len(t, seen, stateCount)
	clear(seen)
	for event := range Event(eventCount) {
		seen[event.String()] = true
	}
	require.Len(t, seen, eventCount)
	clear(seen)
	for action := ActionAcquireLease; action <= ActionReject; action++ {
		seen[action.String()] = true
	}
	require.Len(t, seen, actionCount-1)
	require.Equal(t, "Action(0)", Action(0).String())
	require.Equal(t, "State(99)", State(99).String())
}
