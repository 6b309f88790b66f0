package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// The loop ends shortly before the process would be killed. A drain stops accepting requests at the end of the grace
// period, or earlier if clients would otherwise have too little time to close their connections.
func TestShutdownTimes(t *testing.T) {
	const notifiedAt = 10 * microtime.Second
	for _, tc := range []struct {
		name             string
		timeout          microtime.Time
		grace            microtime.Time
		killMargin       microtime.Time
		stopsAcceptingIn microtime.Time
	}{
		{"long timeout", 4 * microtime.Second, 2 * microtime.Second, maxKillMargin, 2 * microtime.Second},
		{"grace up to the timeout", 2 * microtime.Second, 2 * microtime.Second, maxKillMargin, 1400 * microtime.Millisecond},
		{"short timeout", 200 * microtime.Millisecond, 0, 50 * microtime.Millisecond, -350 * microtime.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			state := shutdownState{notifiedAt: notifiedAt}
			state.stopWithin(notifiedAt, tc.timeout)
			require.Equal(t, tc.killMargin, state.killMargin)
			require.Equal(t, notifiedAt+tc.timeout-tc.killMargin, state.stopAt)
			require.Equal(t, notifiedAt+tc.stopsAcceptingIn, state.stopAcceptingAt(tc.grace))
		})
	}
}

func TestLifecycleStageString(t *testing.T) {
	for stage, want := range map[lifecycleStage]string{
		serving: "serving", draining: "draining", handedOver: "handed over", 7: "lifecycleStage(7)",
	} {
		require.Equal(t, want, stage.String())
	}
}

// Requests on connections that are still in the accept queue when the server stops are answered, because the system has
// already accepted their connections. They arrive during the turn in which the server would otherwise be drained.
func TestShutdownAnswersAcceptQueue(t *testing.T) {
	fixture := newSocketFixture(t, nil)
	proxy := fixture.servedProxy()
	require.NoError(t, proxy.conn.Close())
	fixture.onLoop(func() { fixture.srv.Drain(fixture.Now()) })
	for fixture.proxyConnections() > 0 { // Until the server has read the end of the connection.
	}
	grace := microtime.FromDuration(fixture.srv.cfg.Settings.DrainGrace)
	fixture.advanceClock(grace + microtime.Millisecond)
	var late []*clientConn
	fixture.onLoop(func() {
		for range 5 {
			proxy := fixture.dialProxy()
			fixture.submit(proxy, "lot-update", "")
			late = append(late, proxy)
		}
	})
	for _, proxy := range late {
		require.Equal(t, thrift.ReplyFarewell, nextReply(proxy).Kind)
		require.Equal(t, thrift.ReplyThrottled, nextReply(proxy).Kind, "a request after the grace period does not run")
		require.NoError(t, proxy.conn.Close())
	}
	fixture.requireEnd()
	require.Empty(t, fixture.pool.started)
}

// A client that sends a request while the server stops sees the end of its connection, not a reset, after the answer to
// the request that was read. The time to stop is reached in the turn in which that answer is written.
func TestRequestCrossesShutdown(t *testing.T) {
	fixture := newSocketFixture(t, nil)
	proxy := fixture.dialProxy()
	id := fixture.submit(proxy, "lot-update", "")
	require.Equal(t, id, <-fixture.pool.started)
	fixture.onLoop(func() { fixture.srv.Drain(fixture.Now()) })
	fixture.advanceClock(fixture.srv.cfg.ShutdownTimeout)
	fixture.onLoop(func() { // The last turn: the run has not ended, and the proxy sends another request.
		fixture.submit(proxy, "lot-update", "")
	})
	require.Equal(t, thrift.ReplyBroken, nextReply(proxy).Kind)
	require.Equal(t, thrift.ReplyFarewell, nextReply(proxy).Kind)
	requireEOF(proxy)
	require.NoError(t, proxy.conn.Close())
	fixture.requireEnd()
}

// The grace period of a drain counts from when the notice was sent, even if the server handles the notice late, for
// example because it was still starting. A request that is read after the grace period does not run, although the drain
// has only just begun.
func TestDrainCountsFromNotice(t *testing.T) {
	fixture := newSocketFixture(t, nil)
	notifiedAt := fixture.Now()
	grace := microtime.FromDuration(fixture.srv.cfg.Settings.DrainGrace)
	fixture.advanceClock(grace + microtime.Millisecond)
	proxy := fixture.dialProxy()
	fixture.onLoop(func() {
		fixture.srv.Drain(notifiedAt)
		fixture.submit(proxy, "lot-update", "")
	})
	fixture.requireThrottledEnd(proxy)
}

// A reload with a longer grace period during a drain does not extend the drain.
func TestReloadDoesNotExtendDrain(t *testing.T) {
	fixture := newSocketFixture(t, nil)
	proxy := fixture.servedProxy()
	fixture.onLoop(func() {
		fixture.srv.Drain(fixture.Now())
		next := fixture.srv.cfg
		next.Settings.DrainGrace *= 10
		next.PoolAddress = fixture.pool.listener.Addr().String()
		require.NoError(t, fixture.srv.Reload(next))
	})
	fixture.advanceClock(microtime.FromDuration(2500*time.Millisecond) + microtime.Millisecond)
	fixture.onLoop(func() { fixture.submit(proxy, "lot-update", "") })
	fixture.requireThrottledEnd(proxy)
}

// requireThrottledEnd requires that the proxy's request is rejected, that the proxy is asked to close its connection,
// and that the server stops once the connection is closed.
func (f *socketFixture) requireThrottledEnd(proxy *clientConn) {
	f.t.Helper()
	kinds := []thrift.ReplyKind{nextReply(proxy).Kind, nextReply(proxy).Kind}
	require.ElementsMatch(f.t, []thrift.ReplyKind{thrift.ReplyFarewell, thrift.ReplyThrottled}, kinds)
	require.NoError(f.t, proxy.conn.Close())
	f.requireEnd()
	require.Empty(f.t, f.pool.started)
}
