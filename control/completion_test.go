package control

import (
	"testing"
	"time"
)

// Guards the slots against runs that have come past their use: one whose slot work waits for is preempted, and its
// caller answered at once; without work that waits it goes on, and keyed work always does. Their time is learned from.
func TestRunsInVainArePreempted(t *testing.T) {
	tests := []struct {
		name                 string
		class, waiting, want int
	}{
		{"work waits", 0, 1, 1},
		{"nothing waits", 0, 0, 0},
		{"keyed work", 1, 1, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			controller := newTestController(t, func(s *Settings) { s.Preemption = PreemptDiscard })
			controller.limiter.limit = 1
			late := RequestArrived{ID: 1, Class: tc.class, QueuedKB: 1, Age: 1500 * time.Millisecond}
			controller.Step(0, []Event{late})
			controller.Step(450*time.Millisecond, nil)
			before := controller.classes.all[tc.class].slot.value
			for i := range tc.waiting {
				stepAfter(controller, 0, RequestArrived{ID: RequestID(2 + i), QueuedKB: 1})
			}
			actions := controller.Step(501*time.Millisecond, nil) // The objective is two seconds.
			actions = append(actions, controller.Step(502*time.Millisecond, nil)...)
			if failures := countActions[Fail](actions); failures != tc.want {
				t.Errorf("%d failed, want %d", failures, tc.want)
			}
			if preempted := countActions[Preempt](actions); preempted != tc.want {
				t.Errorf("%d preempted, want %d", preempted, tc.want)
			}
			slot := controller.classes.all[tc.class].slot.value
			if learned := slot > before; learned != (tc.want == 1) {
				t.Errorf("slot time %v, before %v", slot, before)
			}
		})
	}
}
