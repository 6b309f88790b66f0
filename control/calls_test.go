package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// If a request is not idempotent, a call that may have run is never repeated, and a call that is proved not to have run
// is repeated. The test covers every outcome, so that a new outcome must be added to the table.
func TestOnlyCallsThatNeverRanAreRepeated(t *testing.T) {
	repeated := map[Outcome]bool{
		OutcomeError:        false,
		OutcomeRejected:     true,
		OutcomeTimeout:      false,
		OutcomeUnreachable:  true,
		OutcomeReset:        false,
		OutcomeCancelled:    false,
		OutcomeAlreadyEnded: true,
	}
	for outcome := OutcomeError; outcome <= OutcomeAlreadyEnded; outcome++ {
		t.Run(outcome.String(), func(t *testing.T) {
			require.Contains(t, repeated, outcome, "not in the table")
			controller := newTestController(t, func(s *Settings) {
				s.Dependency, s.Classes[1].Idempotency = DependencyTier, NonIdempotent
			})
			controller.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 1}})
			first := controller.Step(tickInterval, []Event{CallNeeded{ID: 1}})
			require.Equal(t, 1, countActions[Call](first), "calls before the outcome")
			calls, failures := 0, 0
			event := Event(CallFinished{ID: 1, Outcome: outcome})
			for now := 2 * tickInterval; now < 500*time.Millisecond; now += tickInterval {
				actions := controller.Step(now, []Event{event})
				calls += countActions[Call](actions)
				failures += countActions[Fail](actions)
				event = Tick{}
			}
			require.Equal(t, repeated[outcome], calls == 1, "%d calls after the outcome", calls)
			require.Equal(t, repeated[outcome], failures == 0, "%d failures", failures)
		})
	}
}

// Incident i3d13bd: a call that the dependency rejects must not be repeated at every tick.
func TestRejectedCallsBackOff(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.Dependency = DependencyTier })
	controller.Step(0, []Event{RequestArrived{ID: 1, QueuedKB: 1}})
	calls := 0
	actions := controller.Step(0, []Event{CallNeeded{ID: 1}})
	for controller.now < 1500*time.Millisecond {
		events := []Event{Tick{}}
		if made := countActions[Call](actions); made > 0 {
			calls += made
			events = append(events, CallFinished{ID: 1, Outcome: OutcomeRejected})
		}
		actions = stepAfter(controller, tickInterval, events...)
	}
	if calls < 3 || calls > 6 { // The backoff is 50, 100, 200, 400 and 800 ms.
		t.Errorf("%d calls in 1.5 s to an overloaded dependency", calls)
	}
}

// If the dependency is slow, the most valuable requests get the calls.
func TestCallsGoToMostValuableRequests(t *testing.T) {
	controller := newTestController(t, func(s *Settings) {
		s.Dependency, s.CallConcurrencyShare, s.CallConcurrencyWindow = DependencyShared, 2, 5*time.Second
	})
	// One call in flight takes 0.9 s: a second one comes too late for an objective of 2 s.
	controller.calls.meanCallSeconds = runningMean{100, 0.9}
	actions := controller.Step(0, []Event{
		RequestArrived{ID: 1, QueuedKB: 1},
		RequestArrived{ID: 2, QueuedKB: 1},
		RequestArrived{ID: 3, QueuedKB: 1},
		RequestArrived{ID: 4, Class: 1, QueuedKB: 1},
	})
	if countActions[Reject](actions) == 0 {
		t.Error("nothing is rejected though the calls cannot be made in time")
	}
	if controller.requests.byID[4] == nil || controller.keys.keys[4] == nil {
		t.Error("the keyed request of the highest weight was rejected")
	}
}
