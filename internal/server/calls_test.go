package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/processtest"
)

// The reply to a call goes to the run as it came, whatever its bytes, and in whatever order replies come.
func TestDownstreamCalls(t *testing.T) {
	h := newCallFixture(t, nil)
	h.vault.Hold()
	first := h.submitClass(safeClass)
	firstCall := h.nextCall(first)
	second := h.submitClass(keyedClass)
	secondCall := h.nextCall(second)
	secondCall.Reply(vault.Yes, "two\r\nlines\x00")
	h.requireServed(second, "two\r\nlines\x00")
	firstCall.Reply(vault.Yes, "")
	h.requireServed(first, "")
	h.stop()
}

// Guards the once-only rule at the vault against its death with calls open: what may have had its effect is not called again, and
// fails; a safe request's call is made again once the vault is back.
func TestVaultDiesWithCallsOpen(t *testing.T) {
	h := newCallFixture(t, nil)
	h.vault.Hold()
	single := h.submitClass(singleClass)
	h.nextCall(single)
	keyed := h.submitClass(keyedClass)
	h.nextCall(keyed)
	safe := h.submitClass(safeClass)
	h.nextCall(safe)
	h.vault.RejectConnections()
	h.vault.Break()
	h.requireFailed(single)
	h.requireFailed(keyed)
	h.vault.Release()
	require.NoError(t, h.vault.AwaitConnection())
	stop := h.runClock()
	h.nextCall(safe)
	h.requireServed(safe, "kept call 1 of lot")
	stop()
	h.requireNoMoreCalls()
	require.Equal(t, []int{1, 1, 2}, []int{h.countCalls(single), h.countCalls(keyed), h.countCalls(safe)})
	h.stop()
}

// Guards calls in hand against a configuration that moves the vault: they end where they were made, and new ones are made at the
// new address.
func TestVaultMovesWithCallsOpen(t *testing.T) {
	h := newCallFixture(t, nil)
	old, moved := h.vault, newVault(t)
	old.Hold()
	single, safe := h.submitClass(singleClass), h.submitClass(safeClass)
	calls := map[string]*processtest.Call{}
	for range 2 {
		c, err := old.NextCall()
		require.NoError(t, err)
		calls[c.ID] = c
	}
	h.onLoop(func() {
		next := h.srv.cfg
		next.VaultAddress = moved.Addr()
		require.NoError(t, h.srv.Reload(next))
	})
	after := h.submitClass(keyedClass)
	h.vault = moved
	h.nextCall(after)
	h.requireServed(after, "kept call 1 of lot")
	calls[safe].Reply(vault.Yes, "old safe")
	calls[single].Reply(vault.Yes, "old single")
	h.requireServed(safe, "old safe")
	h.requireServed(single, "old single")
	require.Len(t, old.Calls(), 2)
	require.Len(t, moved.Calls(), 1)
	h.stop()
}

// Guards the answers at the end: with runs blocked, one with its call in hand and one that waits to call again, all that was read
// is answered before the process would be stopped, the call is given up, and its late reply goes nowhere.
func TestDrainWithRunsBlocked(t *testing.T) {
	h := newCallFixture(t, nil)
	h.vault.Hold()
	inHand := h.submitClass(singleClass)
	late := h.nextCall(inHand)
	waiting := h.submitClass(safeClass)
	h.nextCall(waiting).Reply(vault.NotNow, "")
	h.onLoop(func() { h.srv.Drain(h.Now()) })
	h.advance(h.srv.cfg.ShutdownTimeout - maxKillMargin - microtime.Millisecond)
	h.requireFailed(inHand)
	h.requireFailed(waiting)
	h.requireAbandoned(inHand)
	late.Reply(vault.Yes, "late")
	require.NoError(t, h.proxy.conn.Close())
	h.requireEnd()
	require.Equal(t, 1, h.countCalls(waiting))
	require.Empty(t, h.workers.UnexpectedCommands())
}

// Guards the vault against calls for nobody. When a caller leaves, a call in hand is given up and its reply, which crosses that,
// goes nowhere; a run that waits to call again does not, nor does one that comes to its call only then.
func TestCancelWhileBlocked(t *testing.T) {
	h := newCallFixture(t, nil)
	giveUp := func(id string) { h.proxy.write(thrift.AppendGiveUp(nil, h.sequenceNumbers[id])) }
	h.vault.Hold()
	inHand := h.submitClass(safeClass)
	late := h.nextCall(inHand)
	giveUp(inHand)
	h.requireAbandoned(inHand)
	late.Reply(vault.Yes, "late")
	require.NoError(t, late.CloseConn())
	h.workers.FinishRun(inHand)

	again := h.submitClass(safeClass)
	turned := h.nextCall(again)
	turned.Reply(vault.NotNow, "")
	require.NoError(t, turned.CloseConn())
	giveUp(again)

	h.workers.Hold()
	yet := h.submitClass(singleClass)
	require.NoError(t, h.workers.AwaitStart("lot"))
	giveUp(yet)
	last := h.submitClass(keyedClass) // read behind the notice
	h.workers.Release()
	h.vault.Release()
	h.nextCall(last)
	h.requireServed(last, "kept call 1 of lot")
	require.Len(t, h.replies, 1)
	h.requireNoMoreCalls()
	require.Equal(t, []int{1, 1, 0}, []int{h.countCalls(inHand), h.countCalls(again), h.countCalls(yet)})
	h.stop()
}

// Guards effects: a call of a request that may run once is made again only where the one before is proven not to have run.
func TestIndeterminateCallsAreNotRetried(t *testing.T) {
	for name, end := range map[string]func(*callFixture, *processtest.Call){
		"failed":  func(_ *callFixture, c *processtest.Call) { c.Reply(vault.Failed, "") },
		"overdue": func(_ *callFixture, c *processtest.Call) { c.Reply(vault.Overdue, "") },
		"broken":  func(h *callFixture, _ *processtest.Call) { h.vault.Break() },
		"halved":  func(_ *callFixture, c *processtest.Call) { c.BreakReply() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newCallFixture(t, nil)
			for _, class := range []string{singleClass, keyedClass} {
				h.vault.Hold()
				id := h.submitClass(class)
				end(h, h.nextCall(id))
				h.requireFailed(id)
				h.vault.Release()
				h.requireNoMoreCalls()
				require.Equal(t, 1, h.countCalls(id), class)
			}
			h.vault.Hold()
			safe := h.submitClass(safeClass)
			end(h, h.nextCall(safe))
			h.vault.Release()
			stop := h.runClock()
			h.nextCall(safe)
			h.requireServed(safe, "kept call 1 of lot")
			stop()
			h.stop()
		})
	}
}

// Guards requests that run once against failing for a call that never ran: it was turned away, or its connection was refused.
func TestRejectedCallsAreRetried(t *testing.T) {
	for _, class := range []string{singleClass, keyedClass} {
		t.Run(class, func(t *testing.T) {
			h := newCallFixture(t, nil)
			h.vault.Hold()
			turned := h.submitClass(class)
			first := h.nextCall(turned)
			first.Reply(vault.NotNow, "")
			h.vault.Release()
			stop := h.runClock()
			h.nextCall(turned)
			h.requireServed(turned, "kept call 1 of lot")
			h.vault.RejectConnections()
			h.vault.Break()
			refused := h.submitClass(class)
			for reached := true; reached; {
				h.onLoop(func() { reached = h.srv.backends.vault.Status().Reachable })
			}
			require.NoError(t, h.vault.AwaitConnection())
			h.nextCall(refused)
			h.requireServed(refused, "kept call 1 of lot")
			stop()
			require.Equal(t, 1, h.countCalls(refused))
			h.stop()
		})
	}
}

// Guards a request's next call against the reply to the one before, which was given up as it took too long and is answered all the
// same, while the next one is in hand.
func TestReplyCrossesEndOfCall(t *testing.T) {
	h := newCallFixture(t, func(cfg *config.Config) { // of a shared dependency only, the module gives up calls before their request is due
		set := &cfg.Settings
		set.Dependency, set.CallConcurrencyShare, set.CallConcurrencyWindow = control.DependencyShared, 2, time.Second
	})
	h.vault.Hold()
	stop := h.runClock()
	id := h.submitClass(safeClass)
	first := h.nextCall(id)
	h.requireAbandoned(id)
	second := h.nextCall(id)
	stop()
	require.NotEqual(t, first.Conn, second.Conn)
	first.Reply(vault.Yes, "of the first")
	require.NoError(t, first.CloseConn())
	second.Reply(vault.Yes, "of the second")
	h.requireServed(id, "of the second")
	h.stop()
}

// Guards a blocked run against the loss of the pool's link. A reply that comes meanwhile is handed to it on the next link; what it
// had told before is known and makes no second call; and a call that it came to meanwhile is told on the next link.
func TestPoolLinkLostWhileBlocked(t *testing.T) {
	h := newCallFixture(t, nil)
	h.vault.Hold()
	blocked := h.submitClass(singleClass)
	call := h.nextCall(blocked)
	require.NoError(t, h.workers.AwaitStart("lot"))
	h.workers.Hold()
	running := h.submitClass(keyedClass)
	require.NoError(t, h.workers.AwaitStart("lot"))

	h.workers.Leave()
	h.workers.Release() // the second run comes to its call
	seen, err := h.workers.AwaitBound()
	require.NoError(t, err)
	require.EqualValues(t, 1, seen)
	call.Reply(vault.Yes, "while there was no link")
	require.NoError(t, call.CloseConn())
	h.workers.Return()
	h.requireServed(blocked, "while there was no link")
	h.nextCall(running).Reply(vault.Yes, "told late")
	h.requireServed(running, "told late")
	require.Len(t, h.vault.Calls(), 2)
	h.stop()
}
