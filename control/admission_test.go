package control

import (
	"testing"
	"time"
)

// Guards the cores against work whose answer comes after its objective: with 1.4 mean services left too many would be
// late.
func TestNoStartThatWouldBeLate(t *testing.T) {
	for _, tc := range []struct {
		meansLeft  float64
		wantStarts int
	}{{1.4, 0}, {1.6, 1}} {
		controller := newTestController(t, nil)
		age := 2*time.Second - seconds(tc.meansLeft*controller.slowdown.slotSeconds.value)
		actions := controller.Step(time.Minute, []Event{RequestArrived{ID: 1, QueuedKB: 1, Age: age}})
		if starts := countActions[Start](actions); starts != tc.wantStarts {
			t.Errorf("%d starts with %v mean services left", starts, tc.meansLeft)
		}
	}
}

// Incident i7444c3: a server that is overloaded by itself, as retries are few, lets its callers retry elsewhere; where
// the fleet is overloaded, or its own reading late, it asks them not to.
func TestNoRetryFollowsTheFleet(t *testing.T) {
	rejections := func(retries bool, age time.Duration) (noRetry, all int) {
		controller := newTestController(t, func(s *Settings) { s.RetriesMarked = true })
		for i := range 400 {
			arrived := RequestArrived{ID: RequestID(i + 1), QueuedKB: 1, Age: age, Retry: retries && i%2 == 0}
			for _, action := range stepAfter(controller, tickInterval, Tick{}, arrived) {
				if reject, ok := action.(Reject); ok && i > 200 {
					all++
					if reject.NoRetry {
						noRetry++
					}
				}
			}
		}
		return noRetry, all
	}
	if noRetry, all := rejections(false, 0); all == 0 || noRetry > all/2 {
		t.Errorf("%d of %d rejections forbid a retry though no other server is overloaded", noRetry, all)
	}
	if noRetry, all := rejections(true, 0); all == 0 || noRetry < all {
		t.Errorf("%d of %d rejections forbid a retry though every second request is one", noRetry, all)
	}
	if noRetry, all := rejections(false, 500*time.Millisecond); all == 0 || noRetry < all {
		t.Errorf("%d of %d rejections forbid a retry though reading is late", noRetry, all)
	}
}

// Guards against callers that make requests up: what the host could not run, as nobody had asked for it, leaves no
// trace in the counts by which a server judges its load, nor in the quotas of the tenants that it was sent for.
func TestMadeUpRequestsAreNotCounted(t *testing.T) {
	controller := newTestController(t, func(s *Settings) {
		s.Tenants, s.Peers, s.OverQuotaWeightShare = []Tenant{{"hill", 10}}, 1, 0.05
	})
	controller.Step(0, nil)
	controller.Step(time.Second, nil)
	tokens, priorityLoad := controller.quotas.tokens[0], controller.demand.priorityLoad
	stepAfter(controller, 0,
		RequestArrived{ID: 1, Class: 1, QueuedKB: 1}, RequestArrived{ID: 2, QueuedKB: 1, Retry: true})
	stepAfter(controller, 0,
		RequestFinished{ID: 1, Outcome: OutcomeRejected}, RequestFinished{ID: 2, Outcome: OutcomeRejected})
	counts := map[string]float64{
		"arrivals":                     controller.demand.arrivals,
		"arrivals for the load signal": controller.signal.arrivals,
		"retries":                      controller.demand.retries,
		"outcomes of the class":        controller.classes.all[1].recentOutcomes,
		"runs":                         controller.health.recentRuns,
	}
	for name, count := range counts {
		if count != 0 {
			t.Errorf("%s: %v, want none", name, count)
		}
	}
	if got := controller.quotas.tokens[0]; got != tokens {
		t.Errorf("%v tokens, were %v", got, tokens)
	}
	if got := controller.demand.priorityLoad; got != priorityLoad {
		t.Errorf("priority load %v, was %v", got, priorityLoad)
	}
}

// The objective counts from the first attempt. A retry has less of it left: one that could only just be in time, had
// it been a first attempt, is not run.
func TestRetriesHaveLessTime(t *testing.T) {
	for _, retry := range []bool{false, true} {
		controller := newTestController(t, nil)
		arrived := RequestArrived{ID: 1, QueuedKB: 1, Age: 1550 * time.Millisecond, Retry: retry}
		actions := controller.Step(0, []Event{arrived})
		if started := countActions[Start](actions) == 1; started == retry {
			t.Errorf("retry %v: %v", retry, actions)
		}
	}
}

// Guards the most valuable work where all servers are slow: what has a fair chance to be in time is run, as the best
// effort in its place is worth far less; best effort itself must be fairly sure to be.
func TestPriorityWorkIsGivenItsChance(t *testing.T) {
	for class, want := range []int{0, 1} {
		controller := newTestController(t, nil)
		age := 2*time.Second - seconds(0.8*controller.classes.all[class].slot.value)
		arrived := RequestArrived{ID: 1, Class: class, QueuedKB: 1, Age: age}
		if starts := countActions[Start](controller.Step(0, []Event{arrived})); starts != want {
			t.Errorf("class %d with four fifths of its mean service left: %d starts, want %d", class, starts, want)
		}
	}
}
