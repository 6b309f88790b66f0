package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

// Guards proxies against a worker pool that takes the work and does none: a deep check is answered all the same, and not by "good".
// Requests and other checks do not wait for it meanwhile, and checks without end are not passed on without end.
func TestDeepCheckWhilePoolHangs(t *testing.T) {
	h := newCallFixture(t, nil)
	works := func() {
		h.reconnect()
		h.requireServed(h.submitClass(safeClass), "kept call 1 of lot")
	}
	const stale = 2 * microtime.Second // an outcome may answer the checks of a moment
	checked := func(good bool) {
		t.Helper()
		h.advance(stale)
		p := h.sendProbe(true)
		stop := h.runClock()
		require.Equal(t, good, nextReply(p).Good)
		stop()
	}
	works()
	unasked := h.workers.Checks()
	require.True(t, nextReply(h.sendProbe(true)).Good)
	require.Equal(t, unasked, h.workers.Checks(), "a run that has just ended well is answer enough")
	checked(true)
	require.Greater(t, h.workers.Checks(), unasked)
	h.workers.AnswerChecksWith(pool.Fail)
	checked(false)

	h.workers.AnswerChecksWith(0)
	h.advance(stale)
	const checks = 40
	before := h.workers.Checks()
	var hang []*clientConn
	for range checks {
		hang = append(hang, h.sendProbe(true))
	}
	require.True(t, nextReply(h.sendProbe(false)).Good)
	h.workers.Hold()
	h.reconnect()
	meanwhile := h.submitClass(safeClass)
	require.NoError(t, h.workers.AwaitStart("lot")) // the first run
	require.NoError(t, h.workers.AwaitStart("lot"))
	stop := h.runClock()
	for _, p := range hang {
		require.False(t, nextReply(p).Good)
		require.NoError(t, p.conn.Close())
	}
	require.Less(t, h.workers.Checks()-before, checks)

	h.workers.Release()
	h.requireServed(meanwhile, "kept call 1 of lot")
	for good := false; !good; { // the module may have taken the pool for hung
		p := h.sendProbe(false)
		good = nextReply(p).Good
		require.NoError(t, p.conn.Close())
	}
	stop()

	h.advance(stale)
	deep := h.sendProbe(true)
	works() // the pool verifies nothing, but a run that ends well proves that work gets done
	stop = h.runClock()
	require.True(t, nextReply(deep).Good)
	stop()

	h.workers.AnswerChecksWith(pool.Pass)
	checked(true)
	h.workers.Freeze()
	checked(false)
	h.workers.Leave()
	checked(false)
	h.stop()
}
