package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

// A worker pool accepts work and does none. A deep health check is answered all the same, and as unhealthy; requests
// and other checks do not wait for it meanwhile, and however many checks come, few are passed on to the pool.
func TestDeepCheckWhilePoolHangs(t *testing.T) {
	fixture := newCallFixture(t, nil)
	requireWorking := func() {
		fixture.reconnect()
		fixture.requireServed(fixture.submitClass(safeClass), "kept call 1 of lot")
	}
	const stale = 2 * microtime.Second // An outcome answers the checks of a moment as well.
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
	require.Equal(t, checksBefore, fixture.workers.CheckCount(), "a run that has just ended well is answer enough")
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
	for good := false; !good; { // The pool may have been taken for hung.
		proxy := fixture.sendProbe(false)
		good = nextReply(proxy).Good
		require.NoError(t, proxy.conn.Close())
	}
	stop()

	fixture.advance(stale)
	deep := fixture.sendProbe(true)
	requireWorking() // The pool answers no check, but a run that ends well shows that it works.
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
