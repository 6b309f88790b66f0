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
