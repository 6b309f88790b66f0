package control

import (
	"math"
	"testing"
	"time"
)

// A successor begins with what its predecessor found out; figures that make no sense, as they come from another process, are
// passed over one by one.
func TestLearnedGoesAlong(t *testing.T) {
	s := Settings{Cores: 2, Classes: []Class{{Name: "a", LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 1}, {Name: "b", LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 2}}}
	fresh := func(s Settings) *Controller {
		c, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	old := fresh(s)
	old.limit, old.alpha, old.usual = 3.5, 0.7, mean{900, 1.4}
	old.classes[1].slot, old.classes[1].service = mean{500, 0.08}, mean{500, 0.1}
	old.classes[1].calls, old.callTime = mean{300, 1.5}, mean{300, 0.06}
	s.Classes = append([]Class{{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second}}, s.Classes...) // other places
	next := fresh(s)
	next.RestoreLearned(old.LearnedState())
	if next.limit != 3.5 || next.alpha != 0.7 || next.usual != old.usual || next.classes[2].slot != old.classes[1].slot || next.classes[2].service != old.classes[1].service ||
		next.classes[2].calls != old.classes[1].calls || next.callTime != old.callTime {
		t.Errorf("learned %+v of %+v", next.LearnedState(), old.LearnedState())
	}
	before := next.LearnedState()
	next.RestoreLearned(LearnedState{Limit: math.NaN(), Alpha: 7, Said: -1, Usual: MeanEstimate{-1, 2}, SlotTime: MeanEstimate{5, math.Inf(1)},
		Classes: []LearnedClassState{{Name: "b", Slot: MeanEstimate{math.NaN(), 1}, Service: MeanEstimate{10, -1}}, {Name: "none", Slot: MeanEstimate{1, 1}}}})
	if got := next.LearnedState(); got.Limit != before.Limit || got.Alpha != before.Alpha || got.Usual != before.Usual || got.SlotTime != before.SlotTime || got.Classes[2] != before.Classes[2] {
		t.Errorf("took up nonsense: %+v", got)
	}
}

// The free value goes along within what its kind allows: an allowance may be over one, a level or a chance may not.
func TestLearnedValueKeepsItsKind(t *testing.T) {
	for kind, said := range map[LoadSignalKind][2]float64{LoadSignalThreshold: {0.5, 3}, LoadSignalWeight: {0.5, 3}, LoadSignalAllowance: {3, 1e6}} {
		c := testController(t, func(s *Settings) { s.LoadSignal = kind })
		for _, unsound := range []float64{said[1], -1, math.NaN(), math.Inf(1)} {
			before := c.said
			if c.RestoreLearned(LearnedState{Said: unsound}); c.said != before {
				t.Errorf("kind %d took %v", kind, unsound)
			}
		}
		if c.RestoreLearned(LearnedState{Said: said[0]}); c.said != said[0] {
			t.Errorf("kind %d: %v in place of %v", kind, c.said, said[0])
		}
	}
}

// An allowance is found out over seconds, so it goes along like the limit; one above what the limit bears does not.
func TestAllowanceGoesAlong(t *testing.T) {
	next := allowanceController(t)
	next.RestoreLearned(LearnedState{Limit: 6, Said: 5})
	if next.said != 5 {
		t.Errorf("allowance %v after a predecessor's 5", next.said)
	}
	next.RestoreLearned(LearnedState{Limit: 6, Said: 1000})
	if next.said != 5 {
		t.Errorf("took up an allowance of %v with a limit of %v", next.said, next.limit)
	}
}
