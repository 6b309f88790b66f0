package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that a stalled connection delivers late during a drain: a request that is read after the
// drain grace is not run, even if it was sent before the drain. Found by the search over fault scripts, with seed 2172
// of the profile "worst".
func TestRequestsReadAfterDrainGraceAreNotRun(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.DrainGrace = 2500 * time.Millisecond })
	controller.Step(0, []Event{DrainRequested{StopAt: 10 * time.Second}})
	actions := controller.Step(2400*time.Millisecond, []Event{RequestArrived{ID: 1, QueuedKB: 1}})
	if starts := countActions[Start](actions); starts != 1 {
		t.Errorf("request read within the grace: %d starts, want 1", starts)
	}
	actions = controller.Step(2600*time.Millisecond, []Event{
		RequestArrived{ID: 2, QueuedKB: 1, Age: time.Second},
		RequestArrived{ID: 3, QueuedKB: 1},
	})
	if starts, rejections := countActions[Start](actions), countActions[Reject](actions); starts != 0 || rejections != 2 {
		t.Errorf("requests read after the grace: %d starts, want 0; %d rejections, want 2", starts, rejections)
	}
}

// During a drain, a request is not started if it was read after the grace or would end after the process is stopped.
// From two ticks before the process is stopped, every open request must be answered.
func TestDrainLimits(t *testing.T) {
	drain := drainState{grace: time.Second}
	require.False(t, drain.forbids(time.Hour, time.Hour), "before the drain")
	require.False(t, drain.mustAnswerAll(time.Hour), "before the drain")
	drain.start(10*time.Second, 20*time.Second)
	require.False(t, drain.forbids(11*time.Second, 20*time.Second))
	require.True(t, drain.forbids(11*time.Second+1, 12*time.Second))
	require.True(t, drain.forbids(11*time.Second, 20*time.Second+1))
	require.False(t, drain.mustAnswerAll(20*time.Second-2*tickInterval-1))
	require.True(t, drain.mustAnswerAll(20*time.Second-2*tickInterval))
}
