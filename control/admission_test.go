package control

import (
	"testing"
	"time"
)

// Guards against using the cores for answers that come after the latency objective: with only 1.4 mean service times
// left, too many answers would be late.
func TestRequestThatWouldEndLateIsNotStarted(t *testing.T) {
	for _, tc := range []struct {
		serviceTimesLeft float64
		wantStarts       int
	}{{1.4, 0}, {1.6, 1}} {
		controller := newTestController(t, nil)
		age := 2*time.Second - seconds(tc.serviceTimesLeft*controller.slowdown.slotSeconds.value)
		actions := controller.Step(time.Minute, []Event{RequestArrived{ID: 1, QueuedKB: 1, Age: age}})
		if starts := countActions[Start](actions); starts != tc.wantStarts {
			t.Errorf("%d starts with %v mean service times left", starts, tc.serviceTimesLeft)
		}
	}
}

// Incident i7444c3: few retries show that the fleet is not overloaded, so an overloaded server lets its callers retry
// at other servers. If the fleet is overloaded, or if the server reads its connections late, it asks them not to retry.
func TestNoRetryReflectsFleetLoad(t *testing.T) {
	countRejections := func(retries bool, age time.Duration) (noRetry, total int) {
		controller := newTestController(t, func(s *Settings) { s.RetriesMarked = true })
		for i := range 400 {
			arrived := RequestArrived{ID: RequestID(i + 1), QueuedKB: 1, Age: age, Retry: retries && i%2 == 0}
			for _, action := range stepAfter(controller, tickInterval, Tick{}, arrived) {
				if reject, ok := action.(Reject); ok && i > 200 {
					total++
					if reject.NoRetry {
						noRetry++
					}
				}
			}
		}
		return noRetry, total
	}
	if noRetry, total := countRejections(false, 0); total == 0 || noRetry > total/2 {
		t.Errorf("%d of %d rejections forbid a retry though no other server is overloaded", noRetry, total)
	}
	if noRetry, total := countRejections(true, 0); total == 0 || noRetry < total {
		t.Errorf("%d of %d rejections forbid a retry though every second request is a retry", noRetry, total)
	}
	if noRetry, total := countRejections(false, 500*time.Millisecond); total == 0 || noRetry < total {
		t.Errorf("%d of %d rejections forbid a retry though connections are read late", noRetry, total)
	}
}

// Guards against callers that send fabricated requests: a request whose run the host rejected must affect neither the
// counts by which a server judges its load nor the quota of the tenant in whose name it was sent.
func TestRequestsRejectedByHostAreNotCounted(t *testing.T) {
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
			t.Errorf("%s: %v, want 0", name, count)
		}
	}
	if got := controller.quotas.tokens[0]; got != tokens {
		t.Errorf("%v tokens, want %v as before", got, tokens)
	}
	if got := controller.demand.priorityLoad; got != priorityLoad {
		t.Errorf("priority load %v, want %v as before", got, priorityLoad)
	}
}

// The latency objective is measured from the first attempt, so a retry has less time left. At an age at which a first
// attempt can just be answered in time, a retry is not started.
func TestRetriesHaveLessTime(t *testing.T) {
	for _, retry := range []bool{false, true} {
		controller := newTestController(t, nil)
		arrived := RequestArrived{ID: 1, QueuedKB: 1, Age: 1550 * time.Millisecond, Retry: retry}
		actions := controller.Step(0, []Event{arrived})
		if started := countActions[Start](actions) == 1; started == retry {
			t.Errorf("retry %v: actions %v", retry, actions)
		}
	}
}

// Guards against losing the most valuable requests while all servers are slow. A priority request is started if it has
// a moderate chance to be answered in time, as a best-effort request in its place is worth far less. A best-effort
// request is started only if it is likely to be answered in time.
func TestPriorityRequestsStartWithLessTimeLeft(t *testing.T) {
	for class, want := range []int{0, 1} {
		controller := newTestController(t, nil)
		age := 2*time.Second - seconds(0.8*controller.classes.all[class].slot.value)
		arrived := RequestArrived{ID: 1, Class: class, QueuedKB: 1, Age: age}
		if starts := countActions[Start](controller.Step(0, []Event{arrived})); starts != want {
			t.Errorf("class %d with 0.8 mean service times left: %d starts, want %d", class, starts, want)
		}
	}
}
