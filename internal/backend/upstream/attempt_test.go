package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// A failed dial proves that the request was not executed: it is retried at another endpoint.
func TestRetryAfterFailedConnect(t *testing.T) {
	for name, class := range map[string]int{"idempotent": readClass, "keyed": keyedClass, "not idempotent": writeClass} {
		t.Run(name, func(t *testing.T) {
			edge := newHarness(t, nil, "n1", "n2")
			edge.start("a", class, "k1")
			refused := edge.refuse()
			require.Equal(t, loadbalancer.Down, edge.endpointState(refused))
			conn, accepted := edge.accept()
			require.NotEqual(t, refused, accepted)
			call := conn.oneCall()
			require.Equal(t, "1", call.Fields["retry"])
			require.Equal(t, "0000000000000001", call.Fields["id"], "each attempt after the first has its own ID")
			conn.answer(call.SequenceID, "done")
			edge.requireFinished(finishedRun{"a", dispatch.RunSucceeded, "done"})
			require.Equal(t, 1, edge.backend.WastedAttempts())
			edge.requireNoRuns()
		})
	}
}

// If the connection is lost after the request was written, only an idempotent request is retried.
func TestConnectionLost(t *testing.T) {
	t.Run("idempotent", func(t *testing.T) {
		edge := newHarness(t, nil, "n1", "n2")
		edge.start("a", readClass, "")
		conn, lost := edge.accept()
		conn.session.Closed()
		require.Empty(t, edge.finished)
		_, other := edge.accept()
		require.NotEqual(t, lost, other)
	})
	t.Run("not idempotent", func(t *testing.T) {
		edge := newHarness(t, nil, "n1", "n2")
		edge.start("a", writeClass, "")
		conn, _ := edge.accept()
		conn.session.Closed()
		edge.requireFinished(finishedRun{"a", dispatch.RunFailed, ""})
		require.Empty(t, edge.dials)
		edge.requireNoRuns()
	})
	t.Run("keyed", func(t *testing.T) {
		edge := newHarness(t, nil, "n1", "n2")
		edge.start("a", keyedClass, "k1")
		conn, stickyAddress := edge.accept()
		conn.session.Closed()
		edge.requireFinished(finishedRun{"a", dispatch.RunIndeterminate, ""})
		want := "upstream: not known whether an endpoint executed a run: run=a endpoint=" + stickyAddress
		require.Equal(t, []string{want}, edge.logged)
		edge.start("b", keyedClass, "k1")
		_, address := edge.accept()
		require.Equal(t, stickyAddress, address, "a repeat goes to the endpoint that may have executed the request")
	})
}

// All attempts on a lost connection end, in the order in which they were sent.
func TestConnectionLostWithManyInFlight(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	for _, id := range []string{"a", "b", "c"} {
		edge.start(id, writeClass, "")
	}
	conn, _ := edge.accept()
	require.Len(t, conn.calls(), 3)
	conn.session.Closed()
	edge.requireFinished(finishedRun{"a", dispatch.RunFailed, ""}, finishedRun{"b", dispatch.RunFailed, ""},
		finishedRun{"c", dispatch.RunFailed, ""})
}

// A keyed request that failed is retried at the same endpoint after sameEndpointRetryDelay.
func TestKeyedRequestIsRetriedAtSameEndpoint(t *testing.T) {
	edge := newHarness(t, nil, "n1", "n2")
	edge.start("a", keyedClass, "k1")
	conn, _ := edge.accept()
	conn.receive(thrift.AppendBroken(nil, conn.oneCall().SequenceID, nil))
	require.Empty(t, edge.finished)
	require.Equal(t, edge.now+sameEndpointRetryDelay, edge.backend.Check(edge.now))
	require.Empty(t, conn.written)
	edge.now += sameEndpointRetryDelay
	edge.backend.Check(edge.now)
	require.Empty(t, edge.dials)
	retry := conn.oneCall()
	require.Equal(t, "1", retry.Fields["retry"])
	require.Equal(t, "k1", retry.Fields["once"])
	conn.answer(retry.SequenceID, "done")
	edge.requireFinished(finishedRun{"a", dispatch.RunSucceeded, "done"})
}

// A rejected request is retried at another endpoint unless the endpoint forbids retries. Then the caller gets the
// endpoint's retry-after.
func TestRejection(t *testing.T) {
	after := thrift.Field{Name: "after", Value: "700"}
	last := thrift.Field{Name: "last", Value: "1"}
	t.Run("retried at another endpoint", func(t *testing.T) {
		edge := newHarness(t, nil, "n1", "n2")
		edge.start("a", writeClass, "")
		conn, first := edge.accept()
		conn.reject(conn.oneCall().SequenceID, after)
		_, second := edge.accept()
		require.NotEqual(t, first, second)
	})
	for name, tc := range map[string]struct {
		fields []thrift.Field
		want   declinedRun
	}{
		"no retry":            {[]thrift.Field{after, last}, declinedRun{"a", 700 * microtime.Millisecond, true}},
		"without retry-after": {[]thrift.Field{last}, declinedRun{"a", minRetryAfter, true}},
		"malformed":           {[]thrift.Field{{Name: "after", Value: "soon"}, last}, declinedRun{"a", minRetryAfter, true}},
		"over the limit": {[]thrift.Field{{Name: "after", Value: "99999999"}, last},
			declinedRun{"a", (1<<maxRetryAfterBits - 1) * microtime.Millisecond, true}},
	} {
		t.Run(name, func(t *testing.T) {
			edge := newHarness(t, nil, "n1", "n2")
			edge.start("a", writeClass, "")
			conn, _ := edge.accept()
			conn.reject(conn.oneCall().SequenceID, tc.fields...)
			require.Equal(t, []declinedRun{tc.want}, edge.declined)
			require.Empty(t, edge.dials)
			edge.requireNoRuns()
		})
	}
}

// A slow idempotent request is hedged at another endpoint. The first answer ends the run, and the other attempt is
// abandoned.
func TestHedgedRequest(t *testing.T) {
	edge := newHarness(t, nil, "n1")
	slow := edge.warmUp(20 * microtime.Millisecond)
	edge.start("a", readClass, "")
	slowCall := slow.oneCall()
	edge.backend.UpdateEndpoints(members("n1", "n2"))
	hedgeAt := edge.backend.Check(edge.now)
	require.Greater(t, hedgeAt, edge.now)
	require.Less(t, hedgeAt, edge.now+100*microtime.Millisecond)
	edge.now = hedgeAt
	edge.backend.Check(edge.now)
	fast, address := edge.accept()
	require.Equal(t, "n2", address)
	hedge := fast.oneCall()
	require.NotEqual(t, "a", hedge.Fields["id"])
	fast.answer(hedge.SequenceID, "done")
	edge.requireFinished(finishedRun{"a", dispatch.RunSucceeded, "done"})
	abandoned := slow.oneCall()
	require.Equal(t, thrift.MethodGiveUp, abandoned.Method)
	require.Equal(t, slowCall.SequenceID, abandoned.CancelledID)
	edge.requireNoRuns()
}

// A hedged request spends a token of the retry budget. Without a token none is sent.
func TestHedgedRequestNeedsToken(t *testing.T) {
	smallBudget := func(c *Config) {
		c.Retries.TokensPerSuccess = 0.001
		c.Retries.MaxCallerTokens = 1
	}
	edge := newHarness(t, smallBudget, "n1")
	slow := edge.warmUp(20 * microtime.Millisecond)
	for _, id := range []string{"a", "b"} {
		edge.start(id, readClass, "")
	}
	require.Len(t, slow.calls(), 2)
	edge.backend.UpdateEndpoints(members("n1", "n2"))
	edge.now += 100 * microtime.Millisecond
	edge.backend.Check(edge.now)
	hedged, address := edge.accept()
	require.Equal(t, "n2", address)
	require.Len(t, hedged.calls(), 1, "one token, one hedged request")
	require.Empty(t, edge.dials)
	require.Empty(t, slow.written)
}

// Requests that are not idempotent are never hedged.
func TestOtherRequestsAreNotHedged(t *testing.T) {
	for name, class := range map[string]int{"keyed": keyedClass, "not idempotent": writeClass} {
		t.Run(name, func(t *testing.T) {
			edge := newHarness(t, nil, "n1")
			conn := edge.warmUp(20 * microtime.Millisecond)
			edge.backend.UpdateEndpoints(members("n1", "n2"))
			edge.start("a", class, "k1")
			for len(edge.dials) > 0 {
				conn, _ = edge.accept()
			}
			require.Len(t, conn.calls(), 1)
			edge.now += microtime.Second
			edge.backend.Check(edge.now)
			require.Empty(t, edge.dials)
			require.Empty(t, conn.written)
		})
	}
}
