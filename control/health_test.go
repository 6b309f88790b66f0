package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A machine is unhealthy if too many runs fail, if runs make no progress, or if it is slow and rejects most requests of
// the class of highest weight.
func TestHealthDiagnosis(t *testing.T) {
	tests := []struct {
		name            string
		runs, errors    float64
		running         int
		stalledSeconds  float64
		factor          float64
		outcomes        float64
		rejections      float64
		wantReason      unhealthyReason
		wantOverwhelmed bool
	}{
		{name: "no evidence", factor: 1},
		{name: "too few errors", runs: 2, errors: 2, factor: 1},
		{name: "few errors of many runs", runs: 100, errors: 30, factor: 1},
		{name: "failing", runs: 100, errors: 31, factor: 1, wantReason: reasonFailing},
		{name: "slow", running: 2, stalledSeconds: 2.4, factor: 1},
		{name: "hung", running: 2, stalledSeconds: 2.5, factor: 1, wantReason: reasonHung},
		{name: "no running requests", stalledSeconds: 2.5, factor: 1},
		{name: "overloaded at the usual speed", factor: 2.5, outcomes: 10, rejections: 10},
		{name: "slow but useful", factor: 2.6, outcomes: 10, rejections: 6},
		{name: "overwhelmed", factor: 2.6, outcomes: 10, rejections: 7, wantOverwhelmed: true},
		{name: "too few rejections", factor: 2.6, outcomes: 3, rejections: 3},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			health := newHealthMonitor()
			health.recentRuns, health.recentErrors, health.stalledSeconds = tc.runs, tc.errors, tc.stalledSeconds
			slowdown := &slowdownEstimate{factor: tc.factor, slotSeconds: runningMean{1, 0.1}}
			top := &classState{recentOutcomes: tc.outcomes, recentRejections: tc.rejections}
			changed, line := health.check(tc.running, slowdown, top)
			require.Equal(t, tc.wantReason, health.reason)
			require.Equal(t, tc.wantOverwhelmed, health.overwhelmed)
			require.Equal(t, tc.wantReason == reasonNone && !tc.wantOverwhelmed, health.healthy())
			require.Equal(t, !health.healthy(), changed)
			require.Equal(t, changed, line.Text != "")
			changed, _ = health.check(tc.running, slowdown, top)
			require.False(t, changed, "change reported twice")
		})
	}
}

// Progress resets the stall time, and a slow machine is given more time.
func TestProgressResetsStall(t *testing.T) {
	health := newHealthMonitor()
	slowdown := &slowdownEstimate{factor: 3, slotSeconds: runningMean{1, 0.1}}
	health.advance(2, 1, 2)
	health.progressed(3)
	health.advance(3.5, 1, 2)
	require.Equal(t, reasonNone, health.diagnose(2, slowdown), "7 slot seconds of 7.2")
	health.advance(0.5, 1, 2)
	require.Equal(t, reasonHung, health.diagnose(2, slowdown))
	health.progressed(0.5)
	require.Equal(t, 1.0, health.slowdownAtProgress)
	require.Equal(t, reasonNone, health.diagnose(2, slowdown))
}

// The recent errors fade, so that a failing machine is tried again.
func TestErrorsFade(t *testing.T) {
	health := newHealthMonitor()
	for range 4 {
		health.runFailed()
	}
	health.runSucceeded()
	require.Equal(t, reasonFailing, health.diagnose(0, newSlowdownEstimate()))
	health.advance(1, 0.5, 0)
	require.Equal(t, reasonNone, health.diagnose(0, newSlowdownEstimate()))
}

// One error in three runs may be chance, so the share of errors alone does not show that a machine is failing.
func TestOneErrorIsNotFailing(t *testing.T) {
	controller := newTestController(t, nil)
	run := func(id RequestID, outcome Outcome) {
		stepAfter(controller, tickInterval, Tick{}, RequestArrived{ID: id, QueuedKB: 1})
		stepAfter(controller, tickInterval, RequestFinished{ID: id, Outcome: outcome}, Tick{})
	}
	run(1, OutcomeOK)
	run(2, OutcomeError)
	run(3, OutcomeOK)
	if controller.health.reason != reasonNone {
		t.Fatalf("%s after one error", controller.health.reason)
	}
	for id := RequestID(4); id < 10; id++ {
		run(id, OutcomeError)
	}
	if controller.health.reason != reasonFailing {
		t.Error("six errors in a row are not detected")
	}
	for range 600 {
		stepAfter(controller, tickInterval, Tick{})
	}
	if controller.health.reason != reasonNone {
		t.Error("still unhealthy after the errors have faded")
	}
}

// Guards against mistaking a machine that slows down for a hung one: all its callers would use other servers, and its
// keyed requests would be rejected. Two runs that each take eight times the mean are not a hang; runs that do not end
// are.
func TestSlowIsNotHung(t *testing.T) {
	controller := newTestController(t, nil)
	controller.Step(0, []Event{RequestArrived{ID: 1, QueuedKB: 1}, RequestArrived{ID: 2, QueuedKB: 1}})
	mean := seconds(controller.slowdown.slotSeconds.value)
	for controller.now < 8*mean {
		stepAfter(controller, tickInterval, Tick{})
	}
	running := controller.requests.counts[stateRunning]
	if controller.health.reason != reasonNone || running != 2 {
		t.Errorf("reason %q with %d running after 16 mean service times of slot time", controller.health.reason, running)
	}
	for controller.now < 20*mean {
		stepAfter(controller, tickInterval, Tick{})
	}
	if controller.health.reason != reasonHung {
		t.Error("a hung machine is not detected")
	}
}

// Guards the most valuable requests against a machine that is far too slow for them. It rejects them at once, which
// attracts callers that balance by outstanding requests, so it must report itself unhealthy. Once the evidence has
// faded, it is tried again.
func TestOverwhelmedServerIsUnhealthy(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.LoadSignal = LoadSignalThreshold })
	healthy := true
	slowdown := 1.0
	step := func(events ...Event) {
		controller.slowdown.spentSeconds, controller.slowdown.expectedSeconds = 100*slowdown, 100
		for _, action := range stepAfter(controller, tickInterval, append(events, Tick{})...) {
			if health, ok := action.(SetHealth); ok {
				healthy = health.Healthy
			}
		}
	}
	id := RequestID(0)
	arrival := func(age time.Duration) Event {
		id++
		return RequestArrived{ID: id, Class: 1, QueuedKB: 1, Age: age}
	}
	tooLate := 2 * time.Second // Too late to be run at any speed.
	for range 50 {
		step(arrival(0))
		step(RequestFinished{ID: id, Outcome: OutcomeOK})
		if step(arrival(tooLate)); !healthy {
			t.Fatal("unhealthy though half of the requests succeed")
		}
	}
	for range 50 {
		if step(arrival(tooLate)); !healthy {
			t.Fatal("overload at the usual speed is mistaken for a slow machine")
		}
	}
	slowdown = 5
	for range 50 {
		step(arrival(tooLate))
	}
	if healthy || controller.signal.value != 1 {
		t.Fatalf("healthy %v, threshold %v, though all of the most valuable requests are rejected",
			healthy, controller.signal.value)
	}
	for range 250 {
		step()
	}
	if !healthy {
		t.Error("a machine that gets no requests stays unhealthy")
	}
}
