package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The factor is the slot time spent over the slot time expected; without either, all is as usual.
func TestSlowdownFactor(t *testing.T) {
	slowdown := newSlowdownEstimate()
	slowdown.configure(4)
	require.Equal(t, 1.0, slowdown.factor)
	slowdown.advance(1, 1, 7)
	slowdown.completed(3, time.Second)
	slowdown.advance(0, 1, 0)
	require.InDelta(t, 2, slowdown.factor, 1e-9, "7 and 3 slot seconds beside a prior of 1")
	slowdown.advance(0, 0.5, 0)
	require.InDelta(t, 1.8, slowdown.factor, 1e-9, "3.5 and 1.5 slot seconds beside a prior of 1")
	slowdown.advance(1e6, 1, 7)
	require.Equal(t, maxSlowdown, slowdown.factor)
}

// A slot time that a slow spell made longer is learned as it would be at the usual pace.
func TestSlotTimeAtTheUsualPace(t *testing.T) {
	slowdown := newSlowdownEstimate()
	slowdown.configure(1)
	for range int(usualSlowdownSamples) {
		require.InDelta(t, 0.1, slowdown.completed(0.1, 100*time.Millisecond), 1e-9)
	}
	slowdown.factor = 10
	require.InDelta(t, 0.1, slowdown.completed(0.1, time.Second), 1e-3)
	require.InDelta(t, 0.1, slowdown.slotSeconds.value, 1e-3)
}

// Guards the class of most weight against being given up: slots that a slow spell makes longer are learned at the usual
// pace, or the spell would count twice, in them and in the slowdown, and for long after it.
func TestSlowSpellIsNotLearned(t *testing.T) {
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
		t.Errorf("slowdown %v, slot time %v after a spell ten times as slow, %v before it",
			controller.slowdown.factor, slot, usual)
	}
}
