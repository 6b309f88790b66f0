package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

// A worker pool that accepts runs but executes none fails deep health checks, which are answered nevertheless. They do
// not delay requests or other checks, and concurrent deep checks share a few checks of the pool.
func TestDeepCheckWhilePoolHangs(t *testing.T) {
	fixture := newCallFixture(t, nil)
	requireWorking := func() {
		fixture.reconnect()
		fixture.requireServed(fixture.submitClass(safeClass), "kept call 1 of lot")
	}
	const stale = 2 * microtime.Second // The age at which the outcome of a check or run is no longer reused.
	requireChecked := func(good bool) {
		t.Helper()
		fixture.advance(stale)
		proxy := fixture.sendProbe(true)
		stop := fixture.runClock()
		require.Equal(t, good, nextReply(proxy).Good)
		stop()
	}
	requireWorking()
	checksBefore := fixture.workers.CheckCount()
	require.True(t, nextReply(fixture.sendProbe(true)).Good)
	require.Equal(t, checksBefore, fixture.workers.CheckCount(), "a run that has just succeeded answers the check")
	requireChecked(true)
	require.Greater(t, fixture.workers.CheckCount(), checksBefore)
	fixture.workers.SetCheckOutcome(pool.Fail)
	requireChecked(false)

	fixture.workers.SetCheckOutcome(0)
	fixture.advance(stale)
	const checks = 40
	checksBefore = fixture.workers.CheckCount()
	var waiting []*clientConn
	for range checks {
		waiting = append(waiting, fixture.sendProbe(true))
	}
	require.True(t, nextReply(fixture.sendProbe(false)).Good)
	fixture.workers.Hold()
	fixture.reconnect()
	meanwhile := fixture.submitClass(safeClass)
	require.NoError(t, fixture.workers.AwaitRunStart("lot")) // The run of the first request.
	require.NoError(t, fixture.workers.AwaitRunStart("lot"))
	stop := fixture.runClock()
	for _, proxy := range waiting {
		require.False(t, nextReply(proxy).Good)
		require.NoError(t, proxy.conn.Close())
	}
	require.Less(t, fixture.workers.CheckCount()-checksBefore, checks)

	fixture.workers.Release()
	fixture.requireServed(meanwhile, "kept call 1 of lot")
	for good := false; !good; { // The pool may have been considered hung.
		proxy := fixture.sendProbe(false)
		good = nextReply(proxy).Good
		require.NoError(t, proxy.conn.Close())
	}
	stop()

	fixture.advance(stale)
	deep := fixture.sendProbe(true)
	requireWorking() // The pool answers no checks, but a successful run shows that it works.
	stop = fixture.runClock()
	require.True(t, nextReply(deep).Good)
	stop()

	fixture.workers.SetCheckOutcome(pool.Pass)
	requireChecked(true)
	fixture.workers.Freeze()
	requireChecked(false)
	fixture.workers.Disconnect()
	requireChecked(false)
	fixture.stop()
}
