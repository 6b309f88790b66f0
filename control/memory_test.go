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

// A request uses QueuedKB while it is queued, a multiple of that while it runs, and nothing once it has ended.
func TestMemoryByRequestState(t *testing.T) {
	memory := newTestMemory(1000)
	memory.requestQueued(50)
	memory.requestQueued(30)
	require.InDelta(t, 0.08, memory.usedShare(0, 0), 1e-9)
	memory.requestStarted(50)
	require.InDelta(t, 0.23, memory.usedShare(0, 0), 1e-9)
	require.InDelta(t, 0.28, memory.usedShare(3, 20), 1e-9, "with three keys and 20 kB in addition")
	memory.runningEnded(50)
	memory.queuedEnded(30)
	require.Zero(t, memory.usedShare(0, 0))
}

// A request is started and a key is retained only below the high-water mark.
func TestMemoryHighWater(t *testing.T) {
	memory := newTestMemory(1000)
	memory.requestQueued(200)
	require.True(t, memory.fitsRun(15, 200), "800 kB for the run and 150 kB of keys")
	require.False(t, memory.fitsRun(16, 200), "800 kB for the run and 160 kB of keys")
	require.True(t, memory.fitsKey(74, 1), "200 kB for the request and 750 kB of keys")
	require.False(t, memory.fitsKey(75, 1), "200 kB for the request and 760 kB of keys")
}

// Retained keys leave enough memory to run one request per core.
func TestKeysLeaveMemoryToRun(t *testing.T) {
	memory := newTestMemory(1000)
	require.True(t, memory.fitsKey(14, 100), "150 kB of keys and two runs of 400 kB")
	require.False(t, memory.fitsKey(15, 100), "160 kB of keys and two runs of 400 kB")
}

// Memory is not limited if the settings do not state its size.
func TestMemoryWithoutLimit(t *testing.T) {
	memory := newTestMemory(0)
	memory.requestQueued(1e9)
	require.Zero(t, memory.usedShare(1000, 1e9))
	require.True(t, memory.fitsRun(1000, 1e9))
	require.True(t, memory.fitsKey(1000, 1e9))
}

// When keys fill the memory that is available for them, one request per core can still run.
func TestRetainedKeysLeaveMemoryToRun(t *testing.T) {
	controller := newTestController(t, nil)
	for id := RequestID(1); id < 400; id++ {
		actions := stepAfter(controller, tickInterval, Tick{}, RequestArrived{ID: id, Class: 1, QueuedKB: 200})
		if countActions[Start](actions) > 0 {
			stepAfter(controller, 0, RequestFinished{ID: id, Outcome: OutcomeOK})
		}
	}
	if controller.memory.usedShare(controller.keys.liveCount, 2*200*4) > memoryHighWater {
		t.Errorf("keys use %.2f of memory and do not leave enough to run one request per core", controller.memoryUse())
	}
	actions := stepAfter(controller, tickInterval, RequestArrived{ID: 1000, QueuedKB: 200})
	if countActions[Start](actions) != 1 {
		t.Error("an idempotent request does not start while keys are retained")
	}
}

// Guards against memory use by repeats that wait for a result. They cannot be rejected, as the original has started, so
// they fail at once when memory is used up.
func TestReplaysDoNotExhaustMemory(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.MemoryKB = 1000 })
	controller.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 50}})
	var events []Event
	for id := RequestID(2); id <= 30; id++ {
		events = append(events, RequestArrived{ID: id, Class: 1, QueuedKB: 50, Original: 1})
	}
	actions := controller.Step(tickInterval, events)
	replays, failures := countActions[ReplayResult](actions), countActions[Fail](actions)
	if controller.memoryUse() > 1 || failures+replays != 29 || countActions[Reject](actions) != 0 || replays < 10 {
		t.Errorf("%d replays and %d failures of 29 repeats, memory use %.2f", replays, failures, controller.memoryUse())
	}
}
