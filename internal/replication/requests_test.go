package replication

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
)

// The pause between polls doubles up to a bound.
func TestScheduleRetry(t *testing.T) {
	table := newRequestTable()
	request := table.create(keyOne)
	now := microtime.Second
	for _, want := range []microtime.Time{50, 100, 200, 400, 400, 400} {
		request.scheduleRetry(now)
		require.Equal(t, now+want*microtime.Millisecond, request.retryAt)
	}
}

// What a request waits for depends on its state.
func TestNextEvent(t *testing.T) {
	const retryAt, deadline = 1 * microtime.Second, 2 * microtime.Second
	cases := []struct {
		name    string
		state   execution.State
		next    microtime.Time
		between execution.Event // due behind retryAt and before the deadline
		late    execution.Event // due behind the deadline
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
			require.Equal(t, tc.next, request.nextEvent())
			require.Equal(t, tc.between, request.dueEvent(retryAt))
			require.Equal(t, tc.late, request.dueEvent(deadline))
		})
	}
}

// Requests that are due come in the order of their creation; those that wait for nothing are not among them.
func TestDueRequests(t *testing.T) {
	table := newRequestTable()
	require.Equal(t, microtime.Never, table.nextEvent())
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
	require.Equal(t, microtime.Second, table.nextEvent())
}

// The end of a proposal concerns the request that waits for it, and none that has begun another one since.
func TestFinishedProposals(t *testing.T) {
	table := newRequestTable()
	request := table.findOrCreate(keyOne)
	table.proposed(1, request)
	table.proposed(2, request)
	require.Nil(t, table.finished(1), "superseded")
	require.Same(t, request, table.finished(2))
	require.Nil(t, table.finished(2), "once")
	require.Empty(t, table.byProposal)
}

// A request of which nothing is known that the register does not hold takes no memory; one whose run has started
// does.
func TestForgottenRequests(t *testing.T) {
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
			request := table.findOrCreate(keyOne)
			request.lifecycle = execution.Lifecycle{State: tc.state, Started: tc.started}
			table.update(request)
			require.Equal(t, tc.kept, table.byKey[keyOne] == request)
		})
	}
}

// Requests at rest are dropped once their last attempt is old; those in progress stay.
func TestExpiredRequests(t *testing.T) {
	const before = 1000
	cases := []struct {
		name    string
		state   execution.State
		arrival int64
		kept    bool
	}{
		{"recorded, old", execution.StateRecorded, before - 1, false},
		{"unrecorded, old", execution.StateUnrecorded, before - 1, false},
		{"idle, old", execution.StateIdle, before - 1, false},
		{"running, old", execution.StateRunning, before - 1, true},
		{"recorded, recent", execution.StateRecorded, before, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := newRequestTable()
			request := table.findOrCreate(keyOne)
			request.lifecycle = execution.Lifecycle{State: tc.state, Started: true}
			request.lastArrival = tc.arrival
			table.update(request)
			table.expire(before)
			require.Equal(t, tc.kept, table.byKey[keyOne] == request)
			if !tc.kept {
				require.Empty(t, table.waiting)
			}
		})
	}
}
