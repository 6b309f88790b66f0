package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is wrong with a machine shows in its errors, in the lack of progress, and in what is rejected of the class of
// most weight while it is slow.
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
		{name: "nothing known", factor: 1},
		{name: "too few errors", runs: 2, errors: 2, factor: 1},
		{name: "few errors of many runs", runs: 100, errors: 30, factor: 1},
		{name: "failing", runs: 100, errors: 31, factor: 1, wantReason: reasonFailing},
		{name: "slow", running: 2, stalledSeconds: 2.4, factor: 1},
		{name: "hung", running: 2, stalledSeconds: 2.5, factor: 1, wantReason: reasonHung},
		{name: "nothing runs", stalledSeconds: 2.5, factor: 1},
		{name: "overloaded at the usual pace", factor: 2.5, outcomes: 10, rejections: 10},
		{name: "slow and of use", factor: 2.6, outcomes: 10, rejections: 6},
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
			require.False(t, changed, "told twice")
		})
	}
}

// Progress begins the stall time anew, and a slow machine is given the more time.
func TestProgressEndsAStall(t *testing.T) {
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

// The evidence of errors fades.
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

// One error in three runs is chance; a machine that fails is not told from it by share alone.
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
		t.Error("six errors in a row are not seen")
	}
	for range 600 {
		stepAfter(controller, tickInterval, Tick{})
	}
	if controller.health.reason != reasonNone {
		t.Error("a machine without evidence stays unhealthy")
	}
}

// Guards against a machine taken for hung as it slows down: its callers would all go elsewhere, and its keyed work be
// rejected. Two runs that take eight times the mean each are no hang; one without end is.
func TestSlowIsNotHung(t *testing.T) {
	controller := newTestController(t, nil)
	controller.Step(0, []Event{RequestArrived{ID: 1, QueuedKB: 1}, RequestArrived{ID: 2, QueuedKB: 1}})
	mean := seconds(controller.slowdown.slotSeconds.value)
	for controller.now < 8*mean {
		stepAfter(controller, tickInterval, Tick{})
	}
	running := controller.requests.counts[stateRunning]
	if controller.health.reason != reasonNone || running != 2 {
		t.Errorf("%q with %d running after 16 mean services of slot time", controller.health.reason, running)
	}
	for controller.now < 20*mean {
		stepAfter(controller, tickInterval, Tick{})
	}
	if controller.health.reason != reasonHung {
		t.Error("a machine that gets nowhere is not seen")
	}
}

// Guards the most valuable work against a machine that is far too slow for it: it rejects that at once, which draws
// callers that count outstanding requests, so they must be told to go elsewhere. Without evidence it is asked again.
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
	arrive := func(age time.Duration) Event {
		id++
		return RequestArrived{ID: id, Class: 1, QueuedKB: 1, Age: age}
	}
	tooLate := 2 * time.Second // Wherever it is run.
	for range 50 {
		step(arrive(0))
		step(RequestFinished{ID: id, Outcome: OutcomeOK})
		if step(arrive(tooLate)); !healthy {
			t.Fatal("unhealthy though half of its work is done")
		}
	}
	for range 50 {
		if step(arrive(tooLate)); !healthy {
			t.Fatal("overload at the usual pace is taken for a slow machine")
		}
	}
	slowdown = 5
	for range 50 {
		step(arrive(tooLate))
	}
	if healthy || controller.signal.value != 1 {
		t.Fatalf("healthy %v, threshold %v, while all of the most valuable work is rejected",
			healthy, controller.signal.value)
	}
	for range 250 {
		step()
	}
	if !healthy {
		t.Error("a machine that nobody asks stays unhealthy")
	}
}
