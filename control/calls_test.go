package control

import (
	"testing"
	"time"
)

// A call that may have run is never made again for a request with an effect; one that is proved unrun is. Every outcome is
// asked, so that one added later must be placed here.
func TestOnlyProvedUnrunCallsAreRepeated(t *testing.T) {
	repeated := map[Outcome]bool{OutcomeError: false, OutcomeRejected: true, OutcomeTimeout: false,
		OutcomeUnreachable: true,
		OutcomeReset:       false, OutcomeCancelled: false, OutcomeAlreadyEnded: true}
	for outcome := OutcomeError; outcome <= OutcomeAlreadyEnded; outcome++ {
		want, known := repeated[outcome]
		if !known {
			t.Fatalf("outcome %d is not in the table", outcome)
		}
		c := testController(t, func(s *Settings) {
			s.Dependency, s.Classes[1].Idempotency = DependencyTier, NonIdempotent
		})
		c.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 1}})
		if first := c.Step(tickInterval, []Event{CallNeeded{ID: 1}}); count[Call](first) != 1 {
			t.Fatalf("outcome %d: %d first calls", outcome, count[Call](first))
		}
		calls, fails := 0, 0
		event := Event(CallFinished{ID: 1, Outcome: outcome})
		for now := 2 * tickInterval; now < 500*time.Millisecond; now += tickInterval {
			as := c.Step(now, []Event{event})
			calls, fails, event = calls+count[Call](as), fails+count[Fail](as), Tick{}
		}
		if (calls == 1) != want || (fails == 0) != want {
			t.Errorf("outcome %d: %d calls more and %d failures, proved unrun: %v", outcome, calls, fails, want)
		}
	}
}
