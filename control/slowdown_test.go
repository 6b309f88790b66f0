package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The factor is the slot time spent divided by the slot time expected, and 1 before the first sample.
func TestSlowdownFactor(t *testing.T) {
	slowdown := newSlowdownEstimate()
	slowdown.configure(4)
	require.Equal(t, 1.0, slowdown.factor)
	slowdown.advance(1, 1, 7)
	slowdown.completed(3, time.Second)
	slowdown.advance(0, 1, 0)
	require.InDelta(t, 2, slowdown.factor, 1e-9, "7 and 3 slot seconds, and a prior of 1")
	slowdown.advance(0, 0.5, 0)
	require.InDelta(t, 1.8, slowdown.factor, 1e-9, "3.5 and 1.5 slot seconds, and a prior of 1")
	slowdown.advance(1e6, 1, 7)
	require.Equal(t, maxSlowdown, slowdown.factor)
}

// Slot times in a slow period are converted to the usual speed before they are learned.
func TestSlotTimeAtUsualSpeed(t *testing.T) {
	slowdown := newSlowdownEstimate()
	slowdown.configure(1)
	for range int(usualSlowdownSamples) {
		require.InDelta(t, 0.1, slowdown.completed(0.1, 100*time.Millisecond), 1e-9)
	}
	slowdown.factor = 10
	require.InDelta(t, 0.1, slowdown.completed(0.1, time.Second), 1e-3)
	require.InDelta(t, 0.1, slowdown.slotSeconds.value, 1e-3)
}

// Guards against rejections of the class of highest weight after a slow period. Slot times must be learned at the usual
// speed, or the period would count twice, in the slot times and in the slowdown factor, and for long after its end.
func TestSlowPeriodIsNotLearned(t *testing.T) {
	controller := newTestController(t, nil)
	id := RequestID(0)
	run := func(ticks int) {
		id += 2
		stepAfter(controller, tickInterval,
			Tick{}, RequestArrived{ID: id, QueuedKB: 1}, RequestArrived{ID: id + 1, QueuedKB: 1})
		for range ticks {
			stepAfter(controller, tickInterval, Tick{})
		}
		stepAfter(controller, 0,
			RequestFinished{ID: id, Outcome: OutcomeOK}, RequestFinished{ID: id + 1, Outcome: OutcomeOK})
	}
	for range 300 {
		run(5)
	}
	usual := controller.classes.all[0].slot.value
	for range 20 {
		run(50)
	}
	slot := controller.classes.all[0].slot.value
	if controller.slowdown.factor < 3 || slot > 1.3*usual {
		t.Errorf("slowdown %v, slot time %v after a period at a tenth of the speed, %v before it",
			controller.slowdown.factor, slot, usual)
	}
}
