package control

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A successor starts with the estimates of its predecessor, matched to its classes by name. Each estimate that is out
// of range is ignored, as it comes from another process.
func TestLearnedStateIsRestored(t *testing.T) {
	settings := Settings{Cores: 2, Classes: []Class{
		{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 1},
		{Name: "b", LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2},
	}}
	predecessor, err := New(settings)
	require.NoError(t, err)
	predecessor.limiter.limit = 3.5
	predecessor.lanes.priorityShare = 0.7
	predecessor.slowdown.usual = runningMean{900, 1.4}
	predecessor.calls.meanCallSeconds = runningMean{300, 0.06}
	before := predecessor.classes.all[1]
	before.slot, before.service = runningMean{500, 0.08}, runningMean{500, 0.1}
	before.callsPerRequest = runningMean{300, 1.5}

	other := Class{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second}
	settings.Classes = append([]Class{other}, settings.Classes...) // This changes the index of each class.
	successor, err := New(settings)
	require.NoError(t, err)
	successor.RestoreLearned(predecessor.LearnedState())
	after := successor.classes.all[2]
	require.Equal(t, 3.5, successor.limiter.limit)
	require.Equal(t, 0.7, successor.lanes.priorityShare)
	require.Equal(t, predecessor.slowdown.usual, successor.slowdown.usual)
	require.Equal(t, predecessor.calls.meanCallSeconds, successor.calls.meanCallSeconds)
	require.Equal(t, before.slot, after.slot)
	require.Equal(t, before.service, after.service)
	require.Equal(t, before.callsPerRequest, after.callsPerRequest)

	want := successor.LearnedState()
	successor.RestoreLearned(LearnedState{
		ConcurrencyLimit: math.NaN(),
		PriorityShare:    7,
		LoadSignal:       -1,
		UsualSlowdown:    MeanEstimate{-1, 2},
		SlotTime:         MeanEstimate{5, math.Inf(1)},
		Classes: []LearnedClassState{
			{Name: "b", SlotTime: MeanEstimate{math.NaN(), 1}, ServiceTime: MeanEstimate{10, -1}},
			{Name: "none", SlotTime: MeanEstimate{1, 1}},
		},
	})
	require.Equal(t, want, successor.LearnedState(), "restored estimates that are out of range")
}

// The range of a restored load signal depends on its kind: an allowance may be over one, a threshold or a weight may
// not.
func TestRestoredLoadSignalRange(t *testing.T) {
	tests := []struct {
		kind           LoadSignalKind
		valid, invalid float64
	}{
		{LoadSignalThreshold, 0.5, 3},
		{LoadSignalWeight, 0.5, 3},
		{LoadSignalAllowance, 3, 1e6},
	}
	for _, tc := range tests {
		t.Run(tc.kind.String(), func(t *testing.T) {
			controller := newTestController(t, func(s *Settings) { s.LoadSignal = tc.kind })
			for _, invalid := range []float64{tc.invalid, -1, math.NaN(), math.Inf(1)} {
				before := controller.signal.value
				if controller.RestoreLearned(LearnedState{LoadSignal: invalid}); controller.signal.value != before {
					t.Errorf("restored %v, which is out of range", invalid)
				}
			}
			if controller.RestoreLearned(LearnedState{LoadSignal: tc.valid}); controller.signal.value != tc.valid {
				t.Errorf("load signal %v, want %v", controller.signal.value, tc.valid)
			}
		})
	}
}

// An allowance takes seconds to learn, so it is restored like the concurrency limit. One that is too large for the
// limit is ignored.
func TestAllowanceIsRestored(t *testing.T) {
	successor := newAllowanceController(t)
	successor.RestoreLearned(LearnedState{ConcurrencyLimit: 6, LoadSignal: 5})
	if successor.signal.value != 5 {
		t.Errorf("allowance %v, want the predecessor's 5", successor.signal.value)
	}
	successor.RestoreLearned(LearnedState{ConcurrencyLimit: 6, LoadSignal: 1000})
	if successor.signal.value != 5 {
		t.Errorf("restored an allowance of %v with a limit of %v", successor.signal.value, successor.limiter.limit)
	}
}
