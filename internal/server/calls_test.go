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

// When the vault dies with calls in flight, a call that may have had its effect is not retried, and its request fails;
// that of a safe request is retried once the vault is back.
func TestVaultDiesWithCallsOpen(t *testing.T) {
	fixture := newCallFixture(t, nil)
	fixture.vault.Hold()
	once := fixture.submitClass(onceClass)
	fixture.nextCall(once)
	keyed := fixture.submitClass(keyedClass)
	fixture.nextCall(keyed)
	safe := fixture.submitClass(safeClass)
	fixture.nextCall(safe)
	fixture.vault.RejectConnections()
	fixture.vault.CloseConnections()
	fixture.requireFailed(once)
	fixture.requireFailed(keyed)
	fixture.vault.Release()
	require.NoError(t, fixture.vault.AcceptConnections())
	stop := fixture.runClock()
	fixture.nextCall(safe)
	fixture.requireServed(safe, "kept call 1 of lot")
	stop()
	fixture.requireNoMoreCalls()
	require.Equal(t, 1, fixture.countCalls(once))
	require.Equal(t, 1, fixture.countCalls(keyed))
	require.Equal(t, 2, fixture.countCalls(safe))
	fixture.stop()
}

// When a reload moves the vault, calls in flight end where they were made, and new ones are made at the new address.
func TestVaultMovesWithCallsOpen(t *testing.T) {
	fixture := newCallFixture(t, nil)
	old, moved := fixture.vault, newVault(t)
	old.Hold()
	once, safe := fixture.submitClass(onceClass), fixture.submitClass(safeClass)
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
	calls[once].Reply(vault.Yes, "old once")
	fixture.requireServed(safe, "old safe")
	fixture.requireServed(once, "old once")
	require.Len(t, old.Calls(), 2)
	require.Len(t, moved.Calls(), 1)
	fixture.stop()
}

// A drain with blocked runs, one with its call in flight and one that waits to retry its call, answers every request
// before the process would be killed. The call is abandoned, and its late reply goes nowhere.
func TestDrainWithRunsBlocked(t *testing.T) {
	fixture := newCallFixture(t, nil)
	fixture.vault.Hold()
	inFlight := fixture.submitClass(onceClass)
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

// No call is made for nobody. When a client cancels its request, a call in flight is abandoned, and its reply, which
// crosses that, goes nowhere. A run that waits to retry its call makes none any more, nor does one that comes to its
// call only later.
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
	notYetCalling := fixture.submitClass(onceClass)
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

// A call of a request that may run only once is not retried where the one before may have run.
func TestIndeterminateCallsAreNotRetried(t *testing.T) {
	for name, end := range map[string]func(*callFixture, *processtest.Call){
		"failed":  func(_ *callFixture, call *processtest.Call) { call.Reply(vault.Failed, "") },
		"overdue": func(_ *callFixture, call *processtest.Call) { call.Reply(vault.Overdue, "") },
		"broken":  func(fixture *callFixture, _ *processtest.Call) { fixture.vault.CloseConnections() },
		"halved":  func(_ *callFixture, call *processtest.Call) { call.TruncateReply() },
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newCallFixture(t, nil)
			for _, class := range []string{onceClass, keyedClass} {
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

// A call of a request that may run only once is retried where the one before never ran: it was rejected, or its
// connection was refused.
func TestRejectedCallsAreRetried(t *testing.T) {
	for _, class := range []string{onceClass, keyedClass} {
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

// A call that takes too long is abandoned and retried. The reply to the first one, which comes all the same, does not
// become the reply to the second.
func TestReplyCrossesEndOfCall(t *testing.T) {
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

// The pool's link is lost while runs are blocked. A reply that comes meanwhile is delivered on the next link; a call
// that the pool has told of before is not made twice; and one that a run came to meanwhile is told of on the next link.
func TestPoolLinkLostWhileBlocked(t *testing.T) {
	fixture := newCallFixture(t, nil)
	fixture.vault.Hold()
	blocked := fixture.submitClass(onceClass)
	call := fixture.nextCall(blocked)
	require.NoError(t, fixture.workers.AwaitRunStart("lot"))
	fixture.workers.Hold()
	running := fixture.submitClass(keyedClass)
	require.NoError(t, fixture.workers.AwaitRunStart("lot"))

	fixture.workers.Disconnect()
	fixture.workers.Release() // The second run comes to its call.
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
