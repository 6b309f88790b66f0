package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// After a farewell on a connection no new requests are sent on it, and it is closed once all requests in flight are
// answered.
func TestFarewell(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", writeClass, "")
	conn, _ := edge.accept()
	call := conn.oneCall()
	conn.receive(thrift.AppendFarewell(nil))
	require.False(t, conn.closed)
	edge.start("b", writeClass, "")
	require.Len(t, edge.dials, 1)
	require.Empty(t, conn.written)
	conn.answer(call.SequenceID, "done")
	require.True(t, conn.closed)
	edge.requireFinished(finishedRun{"a", dispatch.RunSucceeded, "done"})
}

// A reply may arrive in several reads, and several replies in one read.
func TestReceivePartialFrames(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", writeClass, "")
	edge.start("b", writeClass, "")
	conn, _ := edge.accept()
	calls := conn.calls()
	both := append(answerFrame(calls[1].SequenceID, "second"), answerFrame(calls[0].SequenceID, "first")...)
	first := len(answerFrame(0, "second"))
	for _, cut := range []int{0, 3, first - 1} {
		consumed, err := conn.session.Receive(both[:cut])
		require.NoError(t, err)
		require.Zero(t, consumed)
	}
	require.Empty(t, edge.finished)
	conn.receive(both)
	edge.requireFinished(
		finishedRun{"b", dispatch.RunSucceeded, "second"},
		finishedRun{"a", dispatch.RunSucceeded, "first"},
	)
}

func TestReceiveRejectsInvalidFrames(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", writeClass, "")
	conn, _ := edge.accept()
	_, err := conn.session.Receive([]byte{0, 0, 0, 4, 9, 9, 9, 9})
	require.ErrorIs(t, err, thrift.ErrInvalidFrame)
}

// No new requests are sent on a silent connection. Another connection to the endpoint is opened instead.
func TestSilentConnectionGetsNoNewRequests(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", writeClass, "")
	silent, _ := edge.accept()
	require.Len(t, silent.calls(), 1)
	edge.now += edge.backend.balancer.SilenceTimeout() + 1
	edge.start("b", writeClass, "")
	other, address := edge.accept()
	require.Equal(t, "n1", address)
	require.Empty(t, silent.written)
	require.Equal(t, "b", other.oneCall().Fields["id"])
}

// A connection without requests is closed by the first sweep after idleTimeout.
func TestIdleConnectionIsClosed(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", writeClass, "")
	conn, _ := edge.accept()
	edge.now += microtime.Second
	edge.backend.Check(edge.now)
	conn.answer(conn.oneCall().SequenceID, "done")
	edge.now += idleTimeout
	edge.backend.Check(edge.now)
	require.False(t, conn.closed, "the connection has not been idle for longer than idleTimeout")
	edge.now += sweepInterval
	edge.backend.Check(edge.now)
	require.True(t, conn.closed)
	conn.session.Closed()
	require.Empty(t, edge.finished[1:])
	edge.start("b", writeClass, "")
	require.Len(t, edge.dials, 1)
}

// A connection whose attempts were all abandoned counts as idle from the time when the last of them was abandoned.
func TestAbandonedConnectionIsIdle(t *testing.T) {
	h := newHarness(t, nil, "n1")
	h.start("a", writeClass, "")
	conn, _ := h.accept()
	h.now += 3 * microtime.Second
	h.backend.Cancel("a")
	h.now += idleTimeout
	h.backend.Check(h.now)
	require.False(t, conn.closed)
	h.now += sweepInterval
	h.backend.Check(h.now)
	require.True(t, conn.closed)
}

// A connection can be silent only while a request is in flight on it. An idle connection is used at once.
func TestIdleConnectionIsNotSilent(t *testing.T) {
	h := newHarness(t, nil, "n1")
	h.start("a", writeClass, "")
	conn, _ := h.accept()
	conn.answer(conn.oneCall().SequenceID, "done")
	h.now += h.backend.balancer.SilenceTimeout() + 1
	h.start("b", writeClass, "")
	h.start("c", writeClass, "")
	require.Empty(t, h.dials)
	require.Len(t, conn.calls(), 2)
}

// An endpoint that was removed from the list gets no new requests, only repeats of keyed requests that it may have
// executed. It is dropped once RemovedEndpointRetention has passed and it has no connection.
func TestUpdateEndpoints(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", keyedClass, "k1")
	conn, _ := edge.accept()
	require.Len(t, conn.calls(), 1)
	edge.backend.UpdateEndpoints(members("n2"))
	known, removed := edge.backend.Lookup("n1")
	require.True(t, known && removed)
	known, removed = edge.backend.Lookup("n2")
	require.True(t, known && !removed)

	edge.start("b", readClass, "")
	_, address := edge.accept()
	require.Equal(t, "n2", address)
	require.Empty(t, conn.written)
	edge.start("c", keyedClass, "k1")
	require.Equal(t, "c", conn.oneCall().Fields["id"])

	edge.backend.ExpireRemoved(edge.now + RemovedEndpointRetention + 1)
	known, _ = edge.backend.Lookup("n1")
	require.True(t, known, "the endpoint still has a connection")
	conn.session.Closed()
	edge.backend.ExpireRemoved(edge.now + RemovedEndpointRetention)
	known, _ = edge.backend.Lookup("n1")
	require.True(t, known)
	edge.backend.ExpireRemoved(edge.now + RemovedEndpointRetention + 1)
	known, _ = edge.backend.Lookup("n1")
	require.False(t, known)
}

// A removed endpoint that is added to the list again is used again.
func TestEndpointIsAddedAgain(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.backend.UpdateEndpoints(members("n2"))
	edge.backend.UpdateEndpoints(members("n1"))
	known, removed := edge.backend.Lookup("n1")
	require.True(t, known && !removed)
	edge.start("a", readClass, "")
	_, address := edge.accept()
	require.Equal(t, "n1", address)
}

// After a change of its address, an endpoint is dialled at the new address. Requests in flight at the old address end
// there.
func TestEndpointAddressChange(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	edge.start("a", writeClass, "")
	oldConn, _ := edge.accept()
	call := oldConn.oneCall()
	edge.backend.UpdateEndpoints([]config.Member{{Name: "n1", Address: "new-address"}})
	require.False(t, oldConn.closed)
	edge.start("b", writeClass, "")
	_, address := edge.accept()
	require.Equal(t, "new-address", address)
	oldConn.answer(call.SequenceID, "done")
	edge.requireFinished(finishedRun{"a", dispatch.RunSucceeded, "done"})
	require.True(t, oldConn.closed)
}
