package workerpool

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/transport/transporttest"
)

// The current connection stays in use until the pool at the new address has bound the candidate. Other messages on the
// candidate are ignored before that.
func TestMigration(t *testing.T) {
	fixture := newHarness(t)
	old := fixture.conn
	fixture.backend.SetAddress("p2")
	require.True(t, fixture.backend.Status().Dialling)
	candidate := transporttest.Open("pool", fixture.open)
	require.Equal(t, "bind 0\r\n", candidate.Written)
	require.True(t, fixture.backend.Status().Migrating)
	_, err := candidate.Receive("polled sync1\r\n")
	require.NoError(t, err)
	require.False(t, old.Closed)

	fixture.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	require.Contains(t, old.Written, "spawn "+repeatableRun)
	_, err = candidate.Receive("bound LOADED 0\r\n")
	require.NoError(t, err)
	require.True(t, old.Closed)
	require.Equal(t, "bind 0\r\npoll sync2\r\n", candidate.Written)
	n, err := old.Receive(finished(1, repeatableRun, pool.Pass))
	require.NoError(t, err)
	require.Positive(t, n)
	require.Empty(t, fixture.coreEvents, "messages on the old connection are ignored")
	old.Disconnect()
	require.False(t, fixture.backend.Status().Dialling)
	require.False(t, fixture.backend.Status().Migrating)
}

// If the candidate is lost, it is dialled again, and the current connection stays in use. If the current connection is
// lost, the candidate replaces it before it is bound.
func TestConnectionLossDuringMigration(t *testing.T) {
	tests := map[string]struct {
		disconnect func(current, candidate *transporttest.Conn)
		dialling   bool
		current    int
	}{
		"the candidate": {
			disconnect: func(_, candidate *transporttest.Conn) { candidate.Disconnect() },
			dialling:   true,
			current:    1,
		},
		"the current connection": {
			disconnect: func(current, _ *transporttest.Conn) { current.Disconnect() },
			current:    2,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newHarness(t)
			fixture.backend.SetAddress("p2")
			tc.disconnect(fixture.conn, transporttest.Open("pool", fixture.open))
			status := fixture.backend.Status()
			require.Equal(t, tc.dialling, status.Dialling)
			require.Equal(t, tc.current, status.Connections)
			require.False(t, status.Migrating)
		})
	}
}

// Checks which commands are sent on a new connection for a run whose spawn command may have been lost with the previous
// connection.
func TestSpawnOnNewConnection(t *testing.T) {
	spawn := "spawn " + repeatableRun + " c 1\r\nb\r\n"
	suspend := "suspend " + repeatableRun + "\r\n"
	tests := map[string]struct {
		atMostOnce bool
		before     func(h *harness) // what happens on the first connection
		missed     string           // notices repeated on the new connection
		sent       string
		uncertain  int
	}{
		"repeatable":                         {sent: spawn},
		"at most once":                       {atMostOnce: true, uncertain: 1},
		"known to have been read":            {before: (*harness).pollGauges},
		"ended meanwhile":                    {missed: finished(1, repeatableRun, pool.Pass)},
		"cancelled, repeatable":              {before: (*harness).cancel, sent: spawn + suspend},
		"cancelled, at most once":            {atMostOnce: true, before: (*harness).cancel, sent: suspend, uncertain: 1},
		"cancelled, known to have been read": {before: (*harness).pollGaugesAndCancel, sent: suspend},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newHarness(t)
			fixture.backend.Start(dispatch.Run{
				ID: repeatableRun, Class: "c", Body: []byte("b"), AtMostOnce: tc.atMostOnce, Deadline: microtime.Second,
			})
			if tc.before != nil {
				tc.before(fixture)
			}
			fixture.disconnect()
			require.Equal(t, tc.sent, fixture.reconnect(tc.missed))
			require.Equal(t, tc.uncertain, fixture.backend.Status().Uncertain)
		})
	}
}

// pollGauges requests the gauges, and passes the answer of the pool to the backend.
func (h *harness) pollGauges() {
	h.backend.RequestGauges()
	h.receive("polled g\r\n")
}

func (h *harness) pollGaugesAndCancel() {
	h.pollGauges()
	h.cancel()
}

func (h *harness) cancel() { h.backend.Cancel(repeatableRun) }

// A run that is started and cancelled while there is no connection is never sent, and ends at once.
func TestCancelBeforeTheRunIsSent(t *testing.T) {
	fixture := newHarness(t)
	fixture.disconnect()
	fixture.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	fixture.cancel()
	require.Equal(t, []string{fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunCancelled)}, fixture.coreEvents)
	require.Empty(t, fixture.reconnect(""))
}

// The pool reports the commands that it does not carry out.
func TestUnknownCommands(t *testing.T) {
	t.Run("spawn", func(t *testing.T) {
		fixture := newHarness(t)
		fixture.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
		fixture.receive("unknown spawn " + repeatableRun + "\r\n")
		require.Equal(t, []string{fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunUnsupported)}, fixture.coreEvents)
	})
	t.Run("poll after the missed notices", func(t *testing.T) {
		fixture := newHarness(t)
		fixture.disconnect()
		fixture.conn = transporttest.Open("pool", fixture.open)
		fixture.receive("bound LOADED 0\r\n")
		require.False(t, fixture.backend.Status().Bound)
		fixture.receive("unknown poll sync2\r\n")
		require.True(t, fixture.backend.Status().Bound)
	})
	t.Run("verify", func(t *testing.T) {
		fixture := newHarness(t)
		var answers []bool
		fixture.backend.Verify(func(healthy bool) { answers = append(answers, healthy) })
		fixture.receive("unknown verify check1\r\n")
		require.Equal(t, []bool{true}, answers, "any answer proves that the connection works")
	})
}

// A notice out of order ends the connection. The next connection is bound with the last notice that was in order.
func TestNoticeOutOfOrder(t *testing.T) {
	fixture := newHarness(t)
	fixture.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	_, err := fixture.conn.Receive(finished(3, repeatableRun, pool.Pass))
	var gap *NoticeGapError
	require.ErrorAs(t, err, &gap)
	require.Empty(t, fixture.coreEvents)
	fixture.disconnect()
	next := transporttest.Open("pool", fixture.open)
	require.Equal(t, "bind 0\r\n", next.Written)
}
