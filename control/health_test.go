package control

import (
	"testing"

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
			require.Equal(t, changed, line != "")
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
