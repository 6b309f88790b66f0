package server

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// The classes of a callFixture. Each of their requests makes one call.
const (
	safeClass  = "block-view"
	onceClass  = "lot-update" // Runs once, and has no idempotency key.
	keyedClass = "lot-intake"
)

// longDeadline outlasts every test, however far its clock runs.
const longDeadline = 10 * time.Minute

// callFixture is a socketFixture whose requests call the vault.
type callFixture struct {
	*socketFixture
	workers         *processtest.Pool
	vault           *processtest.Vault
	proxy           *clientConn
	sequenceNumbers map[string]int32       // Of the requests, by attempt ID.
	replies         map[int32]thrift.Reply // So far, by sequence number.
}

// newCallFixture starts a server; change, where it is not nil, changes its configuration before.
func newCallFixture(t *testing.T, change func(*config.Config)) *callFixture {
	t.Helper()
	workers, err := processtest.NewPool(processtest.NewRunLog())
	require.NoError(t, err)
	t.Cleanup(workers.Close)
	fixture := &callFixture{workers: workers, vault: newVault(t)}
	fixture.socketFixture = newSocketFixture(t, func(cfg *config.Config) {
		cfg.PoolAddress, cfg.VaultAddress = workers.Addr(), fixture.vault.Addr()
		cfg.Settings.Dependency = control.DependencyTier
		for i := range cfg.Settings.Classes {
			class := &cfg.Settings.Classes[i]
			class.MakesCalls = true
			class.LatencyObjective, class.Deadline = longDeadline, longDeadline
			if class.Name == onceClass {
				class.Idempotency = control.NonIdempotent
			}
			workers.SetCallsPerRun(class.Name, 1)
		}
		if change != nil {
			change(cfg)
		}
	})
	fixture.reconnect()
	_, err = workers.AwaitBind()
	require.NoError(t, err)
	return fixture
}

// reconnect has requests come on a new connection from now on: the one before may be closed where the clock has moved
// far.
func (f *callFixture) reconnect() {
	f.t.Helper()
	f.proxy, f.sequenceNumbers, f.replies = f.dial(), map[string]int32{}, map[int32]thrift.Reply{}
}

// dial opens a connection of a proxy's on which nothing is waited for without end.
func (f *callFixture) dial() *clientConn {
	f.t.Helper()
	proxy := f.dialProxy()
	require.NoError(f.t, proxy.conn.SetReadDeadline(time.Now().Add(processtest.WaitTimeout)))
	return proxy
}

func newVault(t *testing.T) *processtest.Vault {
	t.Helper()
	vault, err := processtest.NewVault()
	require.NoError(t, err)
	t.Cleanup(vault.Close)
	return vault
}

// submitClass sends a request of a class; one of the keyed class has a key of its own.
func (f *callFixture) submitClass(class string) (id string) {
	f.t.Helper()
	idempotencyKey := ""
	if class == keyedClass {
		idempotencyKey = class + string(rune('a'+len(f.sequenceNumbers)))
	}
	id = f.submit(f.proxy, class, idempotencyKey)
	f.sequenceNumbers[id] = f.proxy.sent
	return id
}

// replyTo is the reply to a request.
func (f *callFixture) replyTo(id string) thrift.Reply {
	f.t.Helper()
	for {
		if reply, ok := f.replies[f.sequenceNumbers[id]]; ok {
			return reply
		}
		reply := nextReply(f.proxy)
		if reply.Kind == thrift.ReplyFarewell {
			continue
		}
		require.NotContains(f.t, f.replies, reply.SequenceID, "answered twice")
		f.replies[reply.SequenceID] = reply
	}
}

// requireServed requires that a request is served, by a run that got a reply to its call.
func (f *callFixture) requireServed(id, callReply string) {
	f.t.Helper()
	reply := f.replyTo(id)
	require.Equal(f.t, thrift.ReplyAnswer, reply.Kind)
	require.Equal(f.t, "did lot got "+callReply, string(reply.Body))
}

// requireFailed requires that a request fails. The worker pool knows by then that its run is over.
func (f *callFixture) requireFailed(id string) {
	f.t.Helper()
	require.Equal(f.t, thrift.ReplyBroken, f.replyTo(id).Kind)
	f.workers.FinishRun(id)
}

// nextCall is the next call, which has to be that of a request.
func (f *callFixture) nextCall(id string) *processtest.Call {
	f.t.Helper()
	call, err := f.vault.NextCall()
	require.NoError(f.t, err)
	require.Equal(f.t, id, call.ID)
	require.Equal(f.t, processtest.CallBody(1, "lot"), call.Body)
	require.Positive(f.t, call.TimeoutMS)
	return call
}

// countCalls counts the calls of a request.
func (f *callFixture) countCalls(id string) int {
	others := func(call processtest.Call) bool { return call.ID != id }
	return len(slices.DeleteFunc(f.vault.Calls(), others))
}

// requireAbandoned requires that the next call to be abandoned is that of a request.
func (f *callFixture) requireAbandoned(id string) {
	f.t.Helper()
	got, err := f.vault.NextAbandonedCall()
	require.NoError(f.t, err)
	require.Equal(f.t, id, got)
}

// advance moves the clock, and returns after a turn at that time.
func (f *callFixture) advance(by microtime.Time) {
	f.t.Helper()
	f.advanceClock(by)
	f.onLoop(func() {})
}

// runClock moves the clock by a step in each turn of the loop, until it is stopped.
func (f *callFixture) runClock() (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			f.advanceClock(10 * microtime.Millisecond)
			turned := make(chan struct{})
			if f.loop.Execute(func() { close(turned) }) != nil {
				return
			}
			select {
			case <-quit:
				return
			case <-turned:
				time.Sleep(time.Millisecond) // Leaves the machine to the others.
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(quit)
		<-done
	})
}

// requireNoMoreCalls requires that no call is retried later: the next call is that of a request that comes then.
func (f *callFixture) requireNoMoreCalls() {
	f.t.Helper()
	f.advance(microtime.Second)
	f.reconnect()
	last := f.submitClass(safeClass)
	f.nextCall(last)
	f.requireServed(last, "kept call 1 of lot")
}

// stop ends the server, and requires that every reply has gone to the run that waited for it.
func (f *callFixture) stop() {
	f.t.Helper()
	f.socketFixture.stop()
	require.Empty(f.t, f.workers.UnexpectedReplies())
}

// sendProbe sends a health check on a connection of its own.
func (f *callFixture) sendProbe(deep bool) *clientConn {
	f.t.Helper()
	proxy := f.dial()
	proxy.write(thrift.AppendProbe(nil, 1, deep))
	return proxy
}
