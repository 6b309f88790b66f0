package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The shares are those of the recent arrivals. Without arrivals they are 0.
func TestDemandShares(t *testing.T) {
	demand := demand{}
	require.Zero(t, demand.rejectedShare())
	require.Zero(t, demand.retryRatio())
	for i := range 12 {
		demand.requestArrived(i%3 == 0)
	}
	demand.rejections = 3
	require.InDelta(t, 0.25, demand.rejectedShare(), 1e-9)
	require.InDelta(t, 0.5, demand.retryRatio(), 1e-9, "four retries for eight first attempts")
	demand.advance(0.5)
	require.InDelta(t, 0.25, demand.rejectedShare(), 1e-9)
	demand.requestArrived(false)
	require.InDelta(t, 1.5/7, demand.rejectedShare(), 1e-9)
}

// Undoing an arrival reverts all counts, and makes none negative if the arrival has already faded.
func TestUndoArrivalRevertsCounts(t *testing.T) {
	demand := demand{}
	demand.requestArrived(true)
	demand.priorityRequestArrived(0.5)
	require.InDelta(t, 0.25, demand.priorityLoad, 1e-9, "0.5 slot seconds over fadeTime")
	demand.undoArrival(true)
	demand.undoPriorityArrival(0.5)
	require.Zero(t, demand)
	demand.undoArrival(true)
	demand.undoPriorityArrival(0.5)
	require.Zero(t, demand)
}
