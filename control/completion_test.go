package control

import (
	"testing"
	"time"
)

// Guards against runs that hold their slots although their answers are already too late. If a queued request needs the
// slot, such a run is preempted and its caller is answered at once; otherwise the run continues. The run of a keyed
// request is never preempted. The time for which a preempted run held its slot updates the slot time estimate of its
// class.
func TestLateRunsArePreempted(t *testing.T) {
	tests := []struct {
		name                string
		class, queued, want int
	}{
		{"request queued", 0, 1, 1},
		{"queue empty", 0, 0, 0},
		{"keyed request", 1, 1, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			controller := newTestController(t, func(s *Settings) { s.Preemption = PreemptDiscard })
			controller.limiter.limit = 1
			late := RequestArrived{ID: 1, Class: tc.class, QueuedKB: 1, Age: 1500 * time.Millisecond}
			controller.Step(0, []Event{late})
			controller.Step(450*time.Millisecond, nil)
			before := controller.classes.all[tc.class].slot.value
			for i := range tc.queued {
				stepAfter(controller, 0, RequestArrived{ID: RequestID(2 + i), QueuedKB: 1})
			}
			actions := controller.Step(501*time.Millisecond, nil) // Just past the objective of two seconds.
			actions = append(actions, controller.Step(502*time.Millisecond, nil)...)
			if failures := countActions[Fail](actions); failures != tc.want {
				t.Errorf("%d requests failed, want %d", failures, tc.want)
			}
			if preempted := countActions[Preempt](actions); preempted != tc.want {
				t.Errorf("%d runs preempted, want %d", preempted, tc.want)
			}
			slot := controller.classes.all[tc.class].slot.value
			if increased := slot > before; increased != (tc.want == 1) {
				t.Errorf("slot time estimate %v, was %v; want an increase only after a preemption", slot, before)
			}
		})
	}
}
