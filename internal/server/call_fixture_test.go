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

// The classes of a callHouse, each of whose requests makes one call.
const (
	safeClass   = "block-view"
	singleClass = "lot-update"
	keyedClass  = "lot-intake"
)

// longDeadline outlasts every test, however far its clock runs.
const longDeadline = 10 * time.Minute

// callFixture is a house whose requests call the vault, on a clock that the test moves.
type callFixture struct {
	*socketFixture
	workers         *processtest.Pool
	vault           *processtest.Vault
	proxy           *clientConn
	sequenceNumbers map[string]int32       // of the requests, by ID
	replies         map[int32]thrift.Reply // so far, by number
}

func newCallFixture(t *testing.T, change func(*config.Config)) *callFixture {
	workers, err := processtest.NewPool(processtest.NewRunLog())
	require.NoError(t, err)
	t.Cleanup(workers.Close)
	h := &callFixture{workers: workers, vault: newVault(t)}
	h.socketFixture = newSocketFixture(t, func(cfg *config.Config) {
		cfg.PoolAddress, cfg.VaultAddress = workers.Addr(), h.vault.Addr()
		cfg.Settings.Dependency = control.DependencyTier
		for i := range cfg.Settings.Classes {
			class := &cfg.Settings.Classes[i]
			class.MakesCalls, class.LatencyObjective, class.Deadline = true, longDeadline, longDeadline
			if class.Name == singleClass {
				class.Idempotency = control.NonIdempotent
			}
			workers.SetCallsPerRun(class.Name, 1)
		}
		if change != nil {
			change(cfg)
		}
	})
	h.reconnect()
	_, err = workers.AwaitBound()
	require.NoError(t, err)
	return h
}

// reconnect has the requests from now on come on a new connection: the one before may be closed where the clock has moved far.
func (h *callFixture) reconnect() {
	h.proxy, h.sequenceNumbers, h.replies = h.dial(), map[string]int32{}, map[int32]thrift.Reply{}
}

func (h *callFixture) dial() *clientConn {
	p := h.socketFixture.dialProxy()
	require.NoError(h.t, p.conn.SetReadDeadline(time.Now().Add(processtest.Patience)))
	return p
}

func newVault(t *testing.T) *processtest.Vault {
	v, err := processtest.NewVault()
	require.NoError(t, err)
	t.Cleanup(v.Close)
	return v
}

// submitClass sends one of a class. Intakes have their class and place for a key.
func (h *callFixture) submitClass(class string) (id string) {
	once := ""
	if class == keyedClass {
		once = class + string(rune('a'+len(h.sequenceNumbers)))
	}
	id = h.submit(h.proxy, class, once)
	h.sequenceNumbers[id] = h.proxy.sent
	return id
}

// replyTo is the answer to a request.
func (h *callFixture) replyTo(id string) thrift.Reply {
	for {
		if r, ok := h.replies[h.sequenceNumbers[id]]; ok {
			return r
		}
		r := nextReply(h.proxy)
		if r.Kind == thrift.ReplyFarewell {
			continue
		}
		require.NotContains(h.t, h.replies, r.SequenceID, "answered twice")
		h.replies[r.SequenceID] = r
	}
}

func (h *callFixture) requireServed(id, reply string) {
	h.t.Helper()
	r := h.replyTo(id)
	require.Equal(h.t, thrift.ReplyAnswer, r.Kind)
	require.Equal(h.t, "did lot got "+reply, string(r.Body))
}

// requireFailed asks that a request fails. The worker pool knows by then that it is over.
func (h *callFixture) requireFailed(id string) {
	h.t.Helper()
	require.Equal(h.t, thrift.ReplyBroken, h.replyTo(id).Kind)
	h.workers.FinishRun(id)
}

// nextCall is the next call, which has to be a request's.
func (h *callFixture) nextCall(id string) *processtest.Call {
	h.t.Helper()
	c, err := h.vault.NextCall()
	require.NoError(h.t, err)
	require.Equal(h.t, id, c.ID)
	require.Equal(h.t, processtest.CallBody(1, "lot"), c.Body)
	require.Positive(h.t, c.TimeoutMS)
	return c
}

// countCalls counts the calls of a request.
func (h *callFixture) countCalls(id string) int {
	others := func(c processtest.Call) bool { return c.ID != id }
	return len(slices.DeleteFunc(h.vault.Calls(), others))
}

// requireAbandoned asks that the next call to be given up is a request's.
func (h *callFixture) requireAbandoned(id string) {
	h.t.Helper()
	got, err := h.vault.NextAbandoned()
	require.NoError(h.t, err)
	require.Equal(h.t, id, got)
}

// advance moves the clock and returns in a turn of that time.
func (h *callFixture) advance(by microtime.Time) {
	h.advanceClock(by)
	h.onLoop(func() {})
}

// runClock lets the clock run until it is stopped, by a step in each turn of the loop.
func (h *callFixture) runClock() (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			h.advanceClock(10 * microtime.Millisecond)
			turned := make(chan struct{})
			if h.loop.Execute(func() { close(turned) }) != nil {
				return
			}
			select {
			case <-quit:
				return
			case <-turned:
				time.Sleep(time.Millisecond) // the others' share of the machine
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(quit)
		<-done
	})
}

// requireNoMoreCalls asks that what could be called again in a while is not: the next call is that of a request that comes then.
func (h *callFixture) requireNoMoreCalls() {
	h.t.Helper()
	h.advance(microtime.Second)
	h.reconnect()
	last := h.submitClass(safeClass)
	h.nextCall(last)
	h.requireServed(last, "kept call 1 of lot")
}

// stop ends the server. Every reply has gone to the run that waited for it.
func (h *callFixture) stop() {
	h.t.Helper()
	h.loop.Stop()
	h.requireEnd()
	require.Empty(h.t, h.workers.UnexpectedCommands())
}

// sendProbe sends a health check on a connection of its own.
func (h *callFixture) sendProbe(deep bool) *clientConn {
	p := h.dial()
	p.write(thrift.AppendProbe(nil, 1, deep))
	return p
}
