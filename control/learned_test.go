package control

import (
	"math"
	"testing"
	"time"
)

// A successor begins with what its predecessor found out; figures that make no sense, as they come from another process, are
// passed over one by one.
func TestLearnedGoesAlong(t *testing.T) {
	s := Settings{Cores: 2, Classes: []Class{{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second,
		Weight: 1}, {Name: "b", LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2}}}
	fresh := func(s Settings) *Controller {
		c, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	old := fresh(s)
	old.limiter.limit, old.lanes.priorityShare, old.slowdown.usual = 3.5, 0.7, runningMean{900, 1.4}
	old.classes.all[1].slot, old.classes.all[1].service = runningMean{500, 0.08}, runningMean{500, 0.1}
	old.classes.all[1].callsPerRequest, old.calls.meanCallSeconds = runningMean{300, 1.5}, runningMean{300, 0.06}
	s.Classes = append([]Class{{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second}},
		s.Classes...) // other places
	next := fresh(s)
	next.RestoreLearned(old.LearnedState())
	if next.limiter.limit != 3.5 || next.lanes.priorityShare != 0.7 || next.slowdown.usual != old.slowdown.usual ||
		next.classes.all[2].slot != old.classes.all[1].slot || next.classes.all[2].service != old.classes.all[1].service ||
		next.classes.all[2].callsPerRequest != old.classes.all[1].callsPerRequest || next.calls.meanCallSeconds != old.calls.meanCallSeconds {
		t.Errorf("learned %+v of %+v", next.LearnedState(), old.LearnedState())
	}
	before := next.LearnedState()
	next.RestoreLearned(LearnedState{ConcurrencyLimit: math.NaN(), PriorityShare: 7, LoadSignal: -1,
		UsualSlowdown: MeanEstimate{-1, 2}, SlotTime: MeanEstimate{5, math.Inf(1)},
		Classes: []LearnedClassState{{Name: "b", SlotTime: MeanEstimate{math.NaN(), 1}, ServiceTime: MeanEstimate{10,
			-1}}, {Name: "none", SlotTime: MeanEstimate{1, 1}}}})
	if got := next.LearnedState(); got.ConcurrencyLimit != before.ConcurrencyLimit ||
		got.PriorityShare != before.PriorityShare || got.UsualSlowdown != before.UsualSlowdown ||
		got.SlotTime != before.SlotTime || got.Classes[2] != before.Classes[2] {
		t.Errorf("took up nonsense: %+v", got)
	}
}

// The free value goes along within what its kind allows: an allowance may be over one, a level or a chance may not.
func TestLearnedValueKeepsItsKind(t *testing.T) {
	for kind, said := range map[LoadSignalKind][2]float64{LoadSignalThreshold: {0.5, 3}, LoadSignalWeight: {0.5, 3},
		LoadSignalAllowance: {3, 1e6}} {
		c := testController(t, func(s *Settings) { s.LoadSignal = kind })
		for _, unsound := range []float64{said[1], -1, math.NaN(), math.Inf(1)} {
			before := c.signal.value
			if c.RestoreLearned(LearnedState{LoadSignal: unsound}); c.signal.value != before {
				t.Errorf("kind %d took %v", kind, unsound)
			}
		}
		if c.RestoreLearned(LearnedState{LoadSignal: said[0]}); c.signal.value != said[0] {
			t.Errorf("kind %d: %v in place of %v", kind, c.signal.value, said[0])
		}
	}
}

// An allowance is found out over seconds, so it goes along like the limit; one above what the limit bears does not.
func TestAllowanceGoesAlong(t *testing.T) {
	next := allowanceController(t)
	next.RestoreLearned(LearnedState{ConcurrencyLimit: 6, LoadSignal: 5})
	if next.signal.value != 5 {
		t.Errorf("allowance %v after a predecessor's 5", next.signal.value)
	}
	next.RestoreLearned(LearnedState{ConcurrencyLimit: 6, LoadSignal: 1000})
	if next.signal.value != 5 {
		t.Errorf("took up an allowance of %v with a limit of %v", next.signal.value, next.limiter.limit)
	}
}
