package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// A connection that cannot be opened proves that nothing was executed: the request is retried at another endpoint.
func TestRetryAfterFailedConnect(t *testing.T) {
	for name, class := range map[string]int{"idempotent": readClass, "keyed": keyedClass, "not idempotent": writeClass} {
		t.Run(name, func(t *testing.T) {
			edge := newHarness(t, nil, "n1", "n2")
			edge.start("a", class, "k1")
			dead := edge.refuse()
			require.Equal(t, loadbalancer.Down, edge.stateOf(dead))
			conn, alive := edge.accept()
			require.NotEqual(t, dead, alive)
			call := conn.oneCall()
			require.Equal(t, "1", call.Fields["retry"])
			require.Equal(t, "0000000000000001", call.Fields["id"], "an attempt has an ID of its own")
			conn.answer(call.SequenceID, "done")
			edge.requireFinished(finishedRun{"a", dispatch.RunSucceeded, "done"})
			require.Equal(t, 1, edge.backend.WastedAttempts())
			edge.requireAtRest()
		})
	}
}

// A connection that is lost after the request was written: only an idempotent request is retried.
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
		edge.requireAtRest()
	})
	t.Run("keyed", func(t *testing.T) {
		edge := newHarness(t, nil, "n1", "n2")
		edge.start("a", keyedClass, "k1")
		conn, holder := edge.accept()
		conn.session.Closed()
		edge.requireFinished(finishedRun{"a", dispatch.RunIndeterminate, ""})
		want := "upstream: not known whether an endpoint executed a run: run=a endpoint=" + holder
		require.Equal(t, []string{want}, edge.logged)
		edge.start("b", keyedClass, "k1")
		_, address := edge.accept()
		require.Equal(t, holder, address, "a repeat goes where it may have been executed")
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

// A request with a key that failed is retried at the same endpoint, after a short wait.
func TestKeyedRequestIsRetriedAtTheSameEndpoint(t *testing.T) {
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

// A rejection is retried elsewhere unless the endpoint asks for no retry; its retry-after goes to the caller.
func TestRejection(t *testing.T) {
	after := thrift.Field{Name: "after", Value: "700"}
	last := thrift.Field{Name: "last", Value: "1"}
	t.Run("retried elsewhere", func(t *testing.T) {
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
		"no number":           {[]thrift.Field{{Name: "after", Value: "soon"}, last}, declinedRun{"a", minRetryAfter, true}},
		"over the bound": {[]thrift.Field{{Name: "after", Value: "99999999"}, last},
			declinedRun{"a", (1<<maxRetryAfterBits - 1) * microtime.Millisecond, true}},
	} {
		t.Run(name, func(t *testing.T) {
			edge := newHarness(t, nil, "n1", "n2")
			edge.start("a", writeClass, "")
			conn, _ := edge.accept()
			conn.reject(conn.oneCall().SequenceID, tc.fields...)
			require.Equal(t, []declinedRun{tc.want}, edge.declined)
			require.Empty(t, edge.dials)
			edge.requireAtRest()
		})
	}
}

// A slow idempotent request is hedged at another endpoint; the first answer counts, and the other attempt is abandoned.
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
	edge.requireAtRest()
}

// A hedged request takes a token of the retry budget; without one there is none.
func TestHedgedRequestNeedsToken(t *testing.T) {
	scarce := func(c *Config) {
		c.Retries.TokensPerSuccess = 0.001
		c.Retries.MaxCallerTokens = 1
	}
	edge := newHarness(t, scarce, "n1")
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
