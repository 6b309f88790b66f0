package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The table counts requests by state and sums up the slot time of each.
func TestRequestTableCountsStates(t *testing.T) {
	table := newRequestTable()
	req := &request{RequestArrived: RequestArrived{ID: 1}}
	table.add(req)
	require.Equal(t, 1, table.counts[stateQueued])
	require.True(t, req.neverRan())
	table.setState(req, stateRunning, 2*time.Second)
	table.setState(req, stateAwaitingCall, 3*time.Second)
	table.setState(req, stateCalling, 5*time.Second)
	table.setState(req, stateRunning, 6*time.Second)
	require.Equal(t, time.Second, req.slotTime)
	require.Equal(t, [requestStates]int{stateRunning: 1}, table.counts)
	table.setState(req, stateEnded, 10*time.Second)
	require.Equal(t, 5*time.Second, req.slotTime)
	require.Equal(t, 10*time.Second, req.stateSince)
	require.False(t, req.neverRan())
}

// Open requests are returned in the order in which they were added.
func TestRequestTableListsOpenRequests(t *testing.T) {
	table := newRequestTable()
	for id := RequestID(3); id > 0; id-- {
		table.add(&request{RequestArrived: RequestArrived{ID: id}})
	}
	table.remove(table.byID[2])
	var ids []RequestID
	for _, req := range table.open() {
		ids = append(ids, req.ID)
	}
	require.Equal(t, []RequestID{3, 1}, ids)
	require.NotContains(t, table.byID, RequestID(2))
}
