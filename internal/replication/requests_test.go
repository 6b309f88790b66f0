package replication

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
)

// The interval between polls doubles up to maxPollInterval.
func TestScheduleRetry(t *testing.T) {
	table := newRequestTable()
	request := table.create(testKey)
	now := microtime.Second
	for _, want := range []microtime.Time{50, 100, 200, 400, 400, 400} {
		request.scheduleRetry(now)
		require.Equal(t, now+want*microtime.Millisecond, request.retryAt)
	}
}

// The next event of a request, and when it is due, depend on the request's state.
func TestNextEventAt(t *testing.T) {
	const retryAt, deadline = 1 * microtime.Second, 2 * microtime.Second
	cases := []struct {
		name    string
		state   execution.State
		next    microtime.Time
		between execution.Event // due after retryAt and before the deadline
		late    execution.Event // due after the deadline
	}{
		{"held by another server", execution.StateHeldByOther, retryAt, execution.EventRetryDue,
			execution.EventDeadlineReached},
		{"unrecorded", execution.StateUnrecorded, retryAt, execution.EventRetryDue, execution.EventRetryDue},
		{"acquiring", execution.StateAcquiring, deadline, execution.EventRetryDue, execution.EventDeadlineReached},
		{"polling", execution.StatePolling, deadline, execution.EventRetryDue, execution.EventDeadlineReached},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			request := &keyedRequest{retryAt: retryAt, attempt: Attempt{Deadline: deadline}}
			request.lifecycle.State = tc.state
			require.Equal(t, tc.next, request.nextEventAt())
			require.Equal(t, tc.between, request.dueEvent(retryAt))
			require.Equal(t, tc.late, request.dueEvent(deadline))
		})
	}
}

// Due requests are returned in order of creation. Requests without a timer are not returned.
func TestDueRequests(t *testing.T) {
	table := newRequestTable()
	require.Equal(t, microtime.Never, table.nextEventAt())
	var want []*keyedRequest
	for i := range 20 {
		request := table.findOrCreate(string(rune('z' - i)))
		require.Same(t, request, table.findOrCreate(request.key))
		request.lifecycle.State = execution.StateAcquiring
		request.attempt.Deadline = microtime.Second
		if i == 5 {
			request.lifecycle.State = execution.StateRunning
		} else {
			want = append(want, request)
		}
		table.update(request)
	}
	require.Empty(t, table.due(microtime.Second-1))
	require.Equal(t, want, table.due(microtime.Second))
	require.Equal(t, microtime.Second, table.nextEventAt())
}

// The end of a proposal is reported to the request that waits for it, but not if the request has started another
// proposal since.
func TestEndProposal(t *testing.T) {
	table := newRequestTable()
	request := table.findOrCreate(testKey)
	table.addProposal(1, request)
	table.addProposal(2, request)
	require.Nil(t, table.endProposal(1), "superseded")
	require.Same(t, request, table.endProposal(2))
	require.Nil(t, table.endProposal(2), "already ended")
	require.Empty(t, table.byProposal)
}

// An idle request is dropped from memory, unless its run has started: the register does not hold that information.
func TestIdleRequestsAreDropped(t *testing.T) {
	cases := []struct {
		name    string
		state   execution.State
		started bool
		kept    bool
	}{
		{"idle", execution.StateIdle, false, false},
		{"idle, its run has started", execution.StateIdle, true, true},
		{"running", execution.StateRunning, true, true},
		{"recorded", execution.StateRecorded, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := newRequestTable()
			request := table.findOrCreate(testKey)
			request.lifecycle = execution.Lifecycle{State: tc.state, Started: tc.started}
			table.update(request)
			require.Equal(t, tc.kept, table.byKey[testKey] == request)
		})
	}
}

// Requests whose last attempt arrived before the cutoff are dropped, unless they are in progress.
func TestExpiredRequests(t *testing.T) {
	const cutoff = 1000
	cases := []struct {
		name    string
		state   execution.State
		arrival int64
		kept    bool
	}{
		{"recorded, old", execution.StateRecorded, cutoff - 1, false},
		{"unrecorded, old", execution.StateUnrecorded, cutoff - 1, false},
		{"idle, old", execution.StateIdle, cutoff - 1, false},
		{"running, old", execution.StateRunning, cutoff - 1, true},
		{"recorded, recent", execution.StateRecorded, cutoff, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := newRequestTable()
			request := table.findOrCreate(testKey)
			request.lifecycle = execution.Lifecycle{State: tc.state, Started: true}
			request.lastArrival = tc.arrival
			table.update(request)
			table.expire(cutoff)
			require.Equal(t, tc.kept, table.byKey[testKey] == request)
			if !tc.kept {
				require.Empty(t, table.waiting)
			}
		})
	}
}
