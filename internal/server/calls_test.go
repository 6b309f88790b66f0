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

// The reply to a call is passed to its run unchanged, whatever bytes it contains and in whatever order replies arrive.
func TestDownstreamCalls(t *testing.T) {
	fixture := newCallFixture(t, nil)
	fixture.vault.Hold()
	first := fixture.submitClass(safeClass)
	firstCall := fixture.nextCall(first)
	second := fixture.submitClass(keyedClass)
	secondCall := fixture.nextCall(second)
	secondCall.Reply(vault.Yes, "two\r\nlines\x00")
	fixture.requireServed(second, "two\r\nlines\x00")
	firstCall.Reply(vault.Yes, "")
	fixture.requireServed(first, "")
	fixture.stop()
}

// When the vault dies with calls in flight, the calls of non-idempotent and keyed requests may have taken effect: they
// are not retried, and their requests fail. The call of a safe request is retried once the vault is reachable again.
func TestVaultDiesWithCallsOpen(t *testing.T) {
	fixture := newCallFixture(t, nil)
	fixture.vault.Hold()
	nonIdempotent := fixture.submitClass(nonIdempotentClass)
	fixture.nextCall(nonIdempotent)
	keyed := fixture.submitClass(keyedClass)
	fixture.nextCall(keyed)
	safe := fixture.submitClass(safeClass)
	fixture.nextCall(safe)
	fixture.vault.RejectConnections()
	fixture.vault.CloseConnections()
	fixture.requireFailed(nonIdempotent)
	fixture.requireFailed(keyed)
	fixture.vault.Release()
	require.NoError(t, fixture.vault.AcceptConnections())
	stop := fixture.runClock()
	fixture.nextCall(safe)
	fixture.requireServed(safe, "kept call 1 of lot")
	stop()
	fixture.requireNoMoreCalls()
	require.Equal(t, 1, fixture.countCalls(nonIdempotent))
	require.Equal(t, 1, fixture.countCalls(keyed))
	require.Equal(t, 2, fixture.countCalls(safe))
	fixture.stop()
}

// When a reload changes the vault's address, calls in flight complete at the old address, and new calls are made at the
// new one.
func TestVaultMovesWithCallsOpen(t *testing.T) {
	fixture := newCallFixture(t, nil)
	old, moved := fixture.vault, newVault(t)
	old.Hold()
	nonIdempotent, safe := fixture.submitClass(nonIdempotentClass), fixture.submitClass(safeClass)
	calls := map[string]*processtest.Call{}
	for range 2 {
		call, err := old.NextCall()
		require.NoError(t, err)
		calls[call.ID] = call
	}
	fixture.onLoop(func() {
		next := fixture.srv.cfg
		next.VaultAddress = moved.Addr()
		require.NoError(t, fixture.srv.Reload(next))
	})
	after := fixture.submitClass(keyedClass)
	fixture.vault = moved
	fixture.nextCall(after)
	fixture.requireServed(after, "kept call 1 of lot")
	calls[safe].Reply(vault.Yes, "old safe")
	calls[nonIdempotent].Reply(vault.Yes, "old once")
	fixture.requireServed(safe, "old safe")
	fixture.requireServed(nonIdempotent, "old once")
	require.Len(t, old.Calls(), 2)
	require.Len(t, moved.Calls(), 1)
	fixture.stop()
}

// A drain with two blocked runs, one with its call in flight and one waiting to retry its call, answers every request
// before the process would be killed. The call is abandoned, and its late reply is discarded.
func TestDrainWithRunsBlocked(t *testing.T) {
	fixture := newCallFixture(t, nil)
	fixture.vault.Hold()
	inFlight := fixture.submitClass(nonIdempotentClass)
	late := fixture.nextCall(inFlight)
	waiting := fixture.submitClass(safeClass)
	fixture.nextCall(waiting).Reply(vault.NotNow, "")
	fixture.onLoop(func() { fixture.srv.Drain(fixture.Now()) })
	fixture.advance(fixture.srv.cfg.ShutdownTimeout - maxKillMargin - microtime.Millisecond)
	fixture.requireFailed(inFlight)
	fixture.requireFailed(waiting)
	fixture.requireAbandoned(inFlight)
	late.Reply(vault.Yes, "late")
	require.NoError(t, fixture.proxy.conn.Close())
	fixture.requireEnd()
	require.Equal(t, 1, fixture.countCalls(waiting))
	require.Empty(t, fixture.workers.UnexpectedReplies())
}

// No call is made for a cancelled request. When a client cancels its request, a call in flight is abandoned and its
// late reply is discarded. A run that waits to retry its call does not retry it, and a run that has not made its call
// yet does not make it.
func TestCancelWhileBlocked(t *testing.T) {
	fixture := newCallFixture(t, nil)
	cancel := func(id string) { fixture.proxy.write(thrift.AppendGiveUp(nil, fixture.sequenceNumbers[id])) }
	fixture.vault.Hold()
	inFlight := fixture.submitClass(safeClass)
	late := fixture.nextCall(inFlight)
	cancel(inFlight)
	fixture.requireAbandoned(inFlight)
	late.Reply(vault.Yes, "late")
	require.NoError(t, late.CloseConn())
	fixture.workers.FinishRun(inFlight)

	waiting := fixture.submitClass(safeClass)
	rejected := fixture.nextCall(waiting)
	rejected.Reply(vault.NotNow, "")
	require.NoError(t, rejected.CloseConn())
	cancel(waiting)

	fixture.workers.Hold()
	notYetCalling := fixture.submitClass(nonIdempotentClass)
	require.NoError(t, fixture.workers.AwaitRunStart("lot"))
	cancel(notYetCalling)
	last := fixture.submitClass(keyedClass) // Read after the cancellation.
	fixture.workers.Release()
	fixture.vault.Release()
	fixture.nextCall(last)
	fixture.requireServed(last, "kept call 1 of lot")
	require.Len(t, fixture.replies, 1)
	fixture.requireNoMoreCalls()
	require.Equal(t, 1, fixture.countCalls(inFlight))
	require.Equal(t, 1, fixture.countCalls(waiting))
	require.Zero(t, fixture.countCalls(notYetCalling))
	fixture.stop()
}

// A call of a non-idempotent or keyed request is not retried if the previous call may have been executed.
func TestIndeterminateCallsAreNotRetried(t *testing.T) {
	for name, end := range map[string]func(*callFixture, *processtest.Call){
		"failed":            func(_ *callFixture, call *processtest.Call) { call.Reply(vault.Failed, "") },
		"overdue":           func(_ *callFixture, call *processtest.Call) { call.Reply(vault.Overdue, "") },
		"connection broken": func(fixture *callFixture, _ *processtest.Call) { fixture.vault.CloseConnections() },
		"reply cut off":     func(_ *callFixture, call *processtest.Call) { call.TruncateReply() },
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newCallFixture(t, nil)
			for _, class := range []string{nonIdempotentClass, keyedClass} {
				fixture.vault.Hold()
				id := fixture.submitClass(class)
				end(fixture, fixture.nextCall(id))
				fixture.requireFailed(id)
				fixture.vault.Release()
				fixture.requireNoMoreCalls()
				require.Equal(t, 1, fixture.countCalls(id), class)
			}
			fixture.vault.Hold()
			safe := fixture.submitClass(safeClass)
			end(fixture, fixture.nextCall(safe))
			fixture.vault.Release()
			stop := fixture.runClock()
			fixture.nextCall(safe)
			fixture.requireServed(safe, "kept call 1 of lot")
			stop()
			fixture.stop()
		})
	}
}

// A call of a non-idempotent or keyed request is retried if the previous call was not executed: it was rejected, or its
// connection was refused.
func TestRejectedCallsAreRetried(t *testing.T) {
	for _, class := range []string{nonIdempotentClass, keyedClass} {
		t.Run(class, func(t *testing.T) {
			fixture := newCallFixture(t, nil)
			fixture.vault.Hold()
			rejected := fixture.submitClass(class)
			first := fixture.nextCall(rejected)
			first.Reply(vault.NotNow, "")
			fixture.vault.Release()
			stop := fixture.runClock()
			fixture.nextCall(rejected)
			fixture.requireServed(rejected, "kept call 1 of lot")
			fixture.vault.RejectConnections()
			fixture.vault.CloseConnections()
			refused := fixture.submitClass(class)
			for reachable := true; reachable; {
				fixture.onLoop(func() { reachable = fixture.srv.backends.vault.Status().Reachable })
			}
			require.NoError(t, fixture.vault.AcceptConnections())
			fixture.nextCall(refused)
			fixture.requireServed(refused, "kept call 1 of lot")
			stop()
			require.Equal(t, 1, fixture.countCalls(refused))
			fixture.stop()
		})
	}
}

// A call that takes too long is abandoned and retried. A late reply to the first call is not taken for the reply to the
// second.
func TestLateReplyToAbandonedCall(t *testing.T) {
	fixture := newCallFixture(t, func(cfg *config.Config) {
		// Calls are abandoned before their request's deadline only at a shared dependency.
		cfg.Settings.Dependency = control.DependencyShared
		cfg.Settings.CallConcurrencyShare, cfg.Settings.CallConcurrencyWindow = 2, time.Second
	})
	fixture.vault.Hold()
	stop := fixture.runClock()
	id := fixture.submitClass(safeClass)
	first := fixture.nextCall(id)
	fixture.requireAbandoned(id)
	second := fixture.nextCall(id)
	stop()
	require.NotEqual(t, first.ConnNumber, second.ConnNumber)
	first.Reply(vault.Yes, "of the first")
	require.NoError(t, first.CloseConn())
	second.Reply(vault.Yes, "of the second")
	fixture.requireServed(id, "of the second")
	fixture.stop()
}

// The link to the worker pool is lost while runs are blocked. A reply that arrives while there is no link is delivered
// on the next one, a call that the pool reported before is not made twice, and a call that a run requests while there
// is no link is reported on the next one.
func TestPoolLinkLostWhileBlocked(t *testing.T) {
	fixture := newCallFixture(t, nil)
	fixture.vault.Hold()
	blocked := fixture.submitClass(nonIdempotentClass)
	call := fixture.nextCall(blocked)
	require.NoError(t, fixture.workers.AwaitRunStart("lot"))
	fixture.workers.Hold()
	running := fixture.submitClass(keyedClass)
	require.NoError(t, fixture.workers.AwaitRunStart("lot"))

	fixture.workers.Disconnect()
	fixture.workers.Release() // The second run requests its call.
	seen, err := fixture.workers.AwaitBind()
	require.NoError(t, err)
	require.EqualValues(t, 1, seen)
	call.Reply(vault.Yes, "while there was no link")
	require.NoError(t, call.CloseConn())
	fixture.workers.Reconnect()
	fixture.requireServed(blocked, "while there was no link")
	fixture.nextCall(running).Reply(vault.Yes, "told late")
	fixture.requireServed(running, "told late")
	require.Len(t, fixture.vault.Calls(), 2)
	fixture.stop()
}
