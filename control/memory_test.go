package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func newTestMemory(totalKB float64) *memoryBudget {
	memory := &memoryBudget{}
	memory.configure(&Settings{MemoryKB: totalKB, KeyKB: 10, RunningMemoryFactor: 4, Cores: 2})
	return memory
}

// A request costs its memory while it is queued, a multiple of it while it runs, and nothing once it has ended.
func TestMemoryFollowsARequest(t *testing.T) {
	memory := newTestMemory(1000)
	memory.requestQueued(50)
	memory.requestQueued(30)
	require.InDelta(t, 0.08, memory.use(0, 0), 1e-9)
	memory.requestStarted(50)
	require.InDelta(t, 0.23, memory.use(0, 0), 1e-9)
	require.InDelta(t, 0.28, memory.use(3, 20), 1e-9, "with three keys and 20 kB more")
	memory.runningEnded(50)
	memory.queuedEnded(30)
	require.Zero(t, memory.use(0, 0))
}

// What is started or retained stays below the high-water mark.
func TestMemoryHighWater(t *testing.T) {
	memory := newTestMemory(1000)
	memory.requestQueued(200)
	require.True(t, memory.fitsRun(15, 200), "800 kB and 150 of keys")
	require.False(t, memory.fitsRun(16, 200), "800 kB and 160 of keys")
	require.True(t, memory.fitsKey(74, 1), "200 kB and 750 of keys")
	require.False(t, memory.fitsKey(75, 1), "200 kB and 760 of keys")
}

// Keys leave the cores memory to run a request each.
func TestKeysLeaveMemoryToRun(t *testing.T) {
	memory := newTestMemory(1000)
	require.True(t, memory.fitsKey(14, 100), "150 kB of keys and two runs of 400")
	require.False(t, memory.fitsKey(15, 100), "160 kB of keys and two runs of 400")
}

// Where no memory is stated it is not limited.
func TestMemoryWithoutLimit(t *testing.T) {
	memory := newTestMemory(0)
	memory.requestQueued(1e9)
	require.Zero(t, memory.use(1000, 1e9))
	require.True(t, memory.fitsRun(1000, 1e9))
	require.True(t, memory.fitsKey(1000, 1e9))
}

// Retained keys that fill the memory leave some to run a request on each core.
func TestRetainedKeysLeaveMemoryToRun(t *testing.T) {
	controller := newTestController(t, nil)
	for id := RequestID(1); id < 400; id++ {
		actions := stepAfter(controller, tickInterval, Tick{}, RequestArrived{ID: id, Class: 1, QueuedKB: 200})
		if countActions[Start](actions) > 0 {
			stepAfter(controller, 0, RequestFinished{ID: id, Outcome: OutcomeOK})
		}
	}
	if controller.memory.use(controller.keys.live, 2*200*4) > memoryHighWater {
		t.Errorf("keys take %.2f of memory: none is left to run a request on each core", controller.memoryUse())
	}
	actions := stepAfter(controller, tickInterval, RequestArrived{ID: 1000, QueuedKB: 200})
	if countActions[Start](actions) != 1 {
		t.Error("an idempotent request does not run beside the keys")
	}
}

// Guards the memory against repeats that wait for a result: they must not be rejected any more, so beyond the memory
// they fail at once.
func TestReplaysLeaveMemory(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.MemoryKB = 1000 })
	controller.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 50}})
	var events []Event
	for id := RequestID(2); id <= 30; id++ {
		events = append(events, RequestArrived{ID: id, Class: 1, QueuedKB: 50, Original: 1})
	}
	actions := controller.Step(tickInterval, events)
	replays, failures := countActions[ReplayResult](actions), countActions[Fail](actions)
	if controller.memoryUse() > 1 || failures+replays != 29 || countActions[Reject](actions) != 0 || replays < 10 {
		t.Errorf("%d replays and %d failures of 29, memory %.2f", replays, failures, controller.memoryUse())
	}
}
