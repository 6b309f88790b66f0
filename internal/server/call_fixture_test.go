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

// The classes of a callFixture. Each run makes one downstream call.
const (
	safeClass          = "block-view"
	nonIdempotentClass = "lot-update" // Non-idempotent, without an idempotency key.
	keyedClass         = "lot-intake"
)

// longDeadline exceeds the time by which any test advances its clock.
const longDeadline = 10 * time.Minute

// callFixture is a socketFixture whose runs make calls to the vault.
type callFixture struct {
	*socketFixture
	workers         *processtest.Pool
	vault           *processtest.Vault
	proxy           *clientConn
	sequenceNumbers map[string]int32       // By attempt ID.
	replies         map[int32]thrift.Reply // The replies received so far, by sequence number.
}

// newCallFixture starts a server. If change is not nil, it changes the configuration first.
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
			if class.Name == nonIdempotentClass {
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

// reconnect opens a new connection for further requests. The server may have closed the previous one as idle when the
// test advanced the clock.
func (f *callFixture) reconnect() {
	f.t.Helper()
	f.proxy, f.sequenceNumbers, f.replies = f.dial(), map[string]int32{}, map[int32]thrift.Reply{}
}

// dial opens a proxy's connection whose reads time out.
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

// submitClass sends a request of a class. A request of the keyed class gets a new idempotency key.
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

// replyTo waits for the reply to a request.
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

// requireServed requires that a request succeeds, and that its run received callReply.
func (f *callFixture) requireServed(id, callReply string) {
	f.t.Helper()
	reply := f.replyTo(id)
	require.Equal(f.t, thrift.ReplyAnswer, reply.Kind)
	require.Equal(f.t, "did lot got "+callReply, string(reply.Body))
}

// requireFailed requires that a request fails, and ends its run at the worker pool.
func (f *callFixture) requireFailed(id string) {
	f.t.Helper()
	require.Equal(f.t, thrift.ReplyBroken, f.replyTo(id).Kind)
	f.workers.FinishRun(id)
}

// nextCall returns the next downstream call, which must belong to the request.
func (f *callFixture) nextCall(id string) *processtest.Call {
	f.t.Helper()
	call, err := f.vault.NextCall()
	require.NoError(f.t, err)
	require.Equal(f.t, id, call.ID)
	require.Equal(f.t, processtest.CallBody(1, "lot"), call.Body)
	require.Positive(f.t, call.TimeoutMS)
	return call
}

// countCalls counts the downstream calls of a request.
func (f *callFixture) countCalls(id string) int {
	others := func(call processtest.Call) bool { return call.ID != id }
	return len(slices.DeleteFunc(f.vault.Calls(), others))
}

// requireAbandoned requires that the next abandoned call belongs to the request.
func (f *callFixture) requireAbandoned(id string) {
	f.t.Helper()
	got, err := f.vault.NextAbandonedCall()
	require.NoError(f.t, err)
	require.Equal(f.t, id, got)
}

// advance advances the clock, and returns after a turn of the loop at the new time.
func (f *callFixture) advance(by microtime.Time) {
	f.t.Helper()
	f.advanceClock(by)
	f.onLoop(func() {})
}

// runClock advances the clock by 10 ms in each turn of the loop, until stop is called.
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
				time.Sleep(time.Millisecond) // Yields the CPU to other processes.
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(quit)
		<-done
	})
}

// requireNoMoreCalls requires that no call is retried within a second: the next call belongs to a new request.
func (f *callFixture) requireNoMoreCalls() {
	f.t.Helper()
	f.advance(microtime.Second)
	f.reconnect()
	last := f.submitClass(safeClass)
	f.nextCall(last)
	f.requireServed(last, "kept call 1 of lot")
}

// stop stops the server, and requires that the worker pool received no reply for a run that did not wait for one.
func (f *callFixture) stop() {
	f.t.Helper()
	f.socketFixture.stop()
	require.Empty(f.t, f.workers.UnexpectedReplies())
}

// sendProbe sends a health check on a new connection.
func (f *callFixture) sendProbe(deep bool) *clientConn {
	f.t.Helper()
	proxy := f.dial()
	proxy.write(thrift.AppendProbe(nil, 1, deep))
	return proxy
}
