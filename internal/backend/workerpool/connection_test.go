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

// The current connection serves until the pool at the new address has bound the candidate, whatever that sends before.
func TestMigration(t *testing.T) {
	bench := newBench(t)
	old := bench.conn
	bench.backend.SetAddress("p2")
	require.True(t, bench.backend.Status().Dialling)
	candidate := transporttest.Open("pool", bench.open)
	require.Equal(t, "bind 0\r\n", candidate.Written)
	require.True(t, bench.backend.Status().Migrating)
	_, err := candidate.Receive("polled sync1\r\n")
	require.NoError(t, err)
	require.False(t, old.Closed)

	bench.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	require.Contains(t, old.Written, "spawn "+repeatableRun)
	_, err = candidate.Receive("bound LOADED 0\r\n")
	require.NoError(t, err)
	require.True(t, old.Closed)
	require.Equal(t, "bind 0\r\npoll sync2\r\n", candidate.Written)
	n, err := old.Receive(finished(1, repeatableRun, pool.Pass))
	require.NoError(t, err)
	require.Positive(t, n)
	require.Empty(t, bench.reported, "what the old connection brings comes again on the new one")
	old.Disconnect()
	require.False(t, bench.backend.Status().Dialling)
	require.False(t, bench.backend.Status().Migrating)
}

// A candidate that breaks is dialled again; the current connection goes on. Where the current one breaks, the candidate
// takes its place before it is bound.
func TestMigrationThatBreaks(t *testing.T) {
	tests := map[string]struct {
		breaks   func(current, candidate *transporttest.Conn)
		dialling bool
		current  int
	}{
		"the candidate": {
			breaks:   func(_, candidate *transporttest.Conn) { candidate.Disconnect() },
			dialling: true,
			current:  1,
		},
		"the current connection": {
			breaks:  func(current, _ *transporttest.Conn) { current.Disconnect() },
			current: 2,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t)
			bench.backend.SetAddress("p2")
			tc.breaks(bench.conn, transporttest.Open("pool", bench.open))
			status := bench.backend.Status()
			require.Equal(t, tc.dialling, status.Dialling)
			require.Equal(t, tc.current, status.Connections)
			require.False(t, status.Migrating)
		})
	}
}

// What is sent on a new connection, of a run whose spawn command may have been lost with the one before.
func TestSpawnOnANewConnection(t *testing.T) {
	spawn := "spawn " + repeatableRun + " c 1\r\nb\r\n"
	suspend := "suspend " + repeatableRun + "\r\n"
	tests := map[string]struct {
		atMostOnce bool
		before     func(b *testBench) // on the connection that breaks
		missed     string             // notices that come on the new one
		sent       string
		uncertain  int
	}{
		"repeatable":                {sent: spawn},
		"at most once":              {atMostOnce: true, uncertain: 1},
		"known to have been read":   {before: (*testBench).pollGauges},
		"ended meanwhile":           {missed: finished(1, repeatableRun, pool.Pass)},
		"cancelled, repeatable":     {before: (*testBench).cancel, sent: spawn + suspend},
		"cancelled, at most once":   {atMostOnce: true, before: (*testBench).cancel, sent: suspend, uncertain: 1},
		"cancelled, and known read": {before: (*testBench).pollGaugesAndCancel, sent: suspend},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t)
			bench.backend.Start(dispatch.Run{
				ID: repeatableRun, Class: "c", Body: []byte("b"), AtMostOnce: tc.atMostOnce, Deadline: microtime.Second,
			})
			if tc.before != nil {
				tc.before(bench)
			}
			bench.disconnect()
			require.Equal(t, tc.sent, bench.reconnect(tc.missed))
			require.Equal(t, tc.uncertain, bench.backend.Status().Uncertain)
		})
	}
}

// pollGauges has the pool answer a poll for the gauges.
func (b *testBench) pollGauges() {
	b.backend.RequestGauges()
	b.sends("polled g\r\n")
}

func (b *testBench) pollGaugesAndCancel() {
	b.pollGauges()
	b.cancel()
}

func (b *testBench) cancel() { b.backend.Cancel(repeatableRun) }

// A run that was started and cancelled while there was no connection was never sent, and ends at once.
func TestCancelBeforeTheRunIsSent(t *testing.T) {
	bench := newBench(t)
	bench.disconnect()
	bench.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	bench.cancel()
	require.Equal(t, []string{fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunCancelled)}, bench.reported)
	require.Empty(t, bench.reconnect(""))
}

// The pool says which commands it does not carry out.
func TestUnknownCommands(t *testing.T) {
	t.Run("spawn", func(t *testing.T) {
		bench := newBench(t)
		bench.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
		bench.sends("unknown spawn " + repeatableRun + "\r\n")
		require.Equal(t, []string{fmt.Sprintf("finished %s %d", repeatableRun, dispatch.RunUnsupported)}, bench.reported)
	})
	t.Run("the poll behind the missed notices", func(t *testing.T) {
		bench := newBench(t)
		bench.disconnect()
		bench.conn = transporttest.Open("pool", bench.open)
		bench.sends("bound LOADED 0\r\n")
		require.False(t, bench.backend.Status().Bound)
		bench.sends("unknown poll sync2\r\n")
		require.True(t, bench.backend.Status().Bound)
	})
	t.Run("verify", func(t *testing.T) {
		bench := newBench(t)
		var answers []bool
		bench.backend.Verify(func(good bool) { answers = append(answers, good) })
		bench.sends("unknown verify check1\r\n")
		require.Equal(t, []bool{true}, answers, "the connection itself is the proof")
	})
}

// A notice out of order ends the connection; the next one is bound with the last notice that came in order.
func TestNoticeOutOfOrder(t *testing.T) {
	bench := newBench(t)
	bench.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	_, err := bench.conn.Receive(finished(3, repeatableRun, pool.Pass))
	var gap *NoticeGapError
	require.ErrorAs(t, err, &gap)
	require.Empty(t, bench.reported)
	bench.disconnect()
	next := transporttest.Open("pool", bench.open)
	require.Equal(t, "bind 0\r\n", next.Written)
}
