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
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/vault"
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

// callHouse is a house whose requests call the vault, on a clock that the test moves.
type callHouse struct {
	*house
	workers *processtest.Pool
	vault   *processtest.Vault
	proxy   *peer
	seqs    map[string]int32       // of the requests, by ID
	heard   map[int32]thrift.Reply // so far, by number
}

func newCallHouse(t *testing.T, change func(*config.Config)) *callHouse {
	workers, err := processtest.NewPool(processtest.NewRunLog())
	require.NoError(t, err)
	t.Cleanup(workers.Close)
	h := &callHouse{workers: workers, vault: newVault(t)}
	h.house = newHouse(t, func(cfg *config.Config) {
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
	h.comes()
	_, err = workers.AwaitBound()
	require.NoError(t, err)
	return h
}

// comes has the requests from now on come on a new connection: the one before may be closed where the clock has moved far.
func (h *callHouse) comes() {
	h.proxy, h.seqs, h.heard = h.dial(), map[string]int32{}, map[int32]thrift.Reply{}
}

func (h *callHouse) dial() *peer {
	p := h.house.proxy()
	require.NoError(h.t, p.c.SetReadDeadline(time.Now().Add(processtest.Patience)))
	return p
}

func newVault(t *testing.T) *processtest.Vault {
	v, err := processtest.NewVault()
	require.NoError(t, err)
	t.Cleanup(v.Close)
	return v
}

// request sends one of a class. Intakes have their class and place for a key.
func (h *callHouse) request(class string) (id string) {
	once := ""
	if class == keyedClass {
		once = class + string(rune('a'+len(h.seqs)))
	}
	id = h.ask(h.proxy, class, once)
	h.seqs[id] = h.proxy.sent
	return id
}

// answer is the answer to a request.
func (h *callHouse) answer(id string) thrift.Reply {
	for {
		if r, ok := h.heard[h.seqs[id]]; ok {
			return r
		}
		r := heard(h.proxy)
		if r.Kind == thrift.ReplyFarewell {
			continue
		}
		require.NotContains(h.t, h.heard, r.SequenceID, "answered twice")
		h.heard[r.SequenceID] = r
	}
}

func (h *callHouse) served(id, reply string) {
	h.t.Helper()
	r := h.answer(id)
	require.Equal(h.t, thrift.ReplyAnswer, r.Kind)
	require.Equal(h.t, "did lot got "+reply, string(r.Body))
}

// failed asks that a request fails. The worker pool knows by then that it is over.
func (h *callHouse) failed(id string) {
	h.t.Helper()
	require.Equal(h.t, thrift.ReplyBroken, h.answer(id).Kind)
	h.workers.FinishRun(id)
}

// called is the next call, which has to be a request's.
func (h *callHouse) called(id string) *processtest.Call {
	h.t.Helper()
	c, err := h.vault.NextCall()
	require.NoError(h.t, err)
	require.Equal(h.t, id, c.ID)
	require.Equal(h.t, processtest.CallBody(1, "lot"), c.Body)
	require.Positive(h.t, c.TimeoutMS)
	return c
}

// calls counts the calls of a request.
func (h *callHouse) calls(id string) int {
	others := func(c processtest.Call) bool { return c.ID != id }
	return len(slices.DeleteFunc(h.vault.Calls(), others))
}

// givenUp asks that the next call to be given up is a request's.
func (h *callHouse) givenUp(id string) {
	h.t.Helper()
	got, err := h.vault.NextAbandoned()
	require.NoError(h.t, err)
	require.Equal(h.t, id, got)
}

// later moves the clock and returns in a turn of that time.
func (h *callHouse) later(by microtime.Time) {
	h.pass(by)
	h.do(func() {})
}

// run lets the clock run until it is stopped, by a step in each turn of the loop.
func (h *callHouse) run() (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			h.pass(10 * microtime.Millisecond)
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

// noMoreCalls asks that what could be called again in a while is not: the next call is that of a request that comes then.
func (h *callHouse) noMoreCalls() {
	h.t.Helper()
	h.later(microtime.Second)
	h.comes()
	last := h.request(safeClass)
	h.called(last)
	h.served(last, "kept call 1 of lot")
}

// over ends the server. Every reply has gone to the run that waited for it.
func (h *callHouse) over() {
	h.t.Helper()
	h.loop.Stop()
	h.ends()
	require.Empty(h.t, h.workers.UnexpectedCommands())
}

// The reply to a call goes to the run as it came, whatever its bytes, and in whatever order replies come.
func TestCallsBelow(t *testing.T) {
	h := newCallHouse(t, nil)
	h.vault.Hold()
	first := h.request(safeClass)
	firstCall := h.called(first)
	second := h.request(keyedClass)
	secondCall := h.called(second)
	secondCall.Reply(vault.Yes, "two\r\nlines\x00")
	h.served(second, "two\r\nlines\x00")
	firstCall.Reply(vault.Yes, "")
	h.served(first, "")
	h.over()
}

// Guards the once-only rule at the vault against its death with calls open: what may have had its effect is not called again, and
// fails; a safe request's call is made again once the vault is back.
func TestVaultDiesWithCallsOpen(t *testing.T) {
	h := newCallHouse(t, nil)
	h.vault.Hold()
	single := h.request(singleClass)
	h.called(single)
	keyed := h.request(keyedClass)
	h.called(keyed)
	safe := h.request(safeClass)
	h.called(safe)
	h.vault.RejectConnections()
	h.vault.Break()
	h.failed(single)
	h.failed(keyed)
	h.vault.Release()
	require.NoError(t, h.vault.AwaitConnection())
	stop := h.run()
	h.called(safe)
	h.served(safe, "kept call 1 of lot")
	stop()
	h.noMoreCalls()
	require.Equal(t, []int{1, 1, 2}, []int{h.calls(single), h.calls(keyed), h.calls(safe)})
	h.over()
}

// Guards calls in hand against a configuration that moves the vault: they end where they were made, and new ones are made at the
// new address.
func TestVaultMovesWithCallsOpen(t *testing.T) {
	h := newCallHouse(t, nil)
	old, moved := h.vault, newVault(t)
	old.Hold()
	single, safe := h.request(singleClass), h.request(safeClass)
	calls := map[string]*processtest.Call{}
	for range 2 {
		c, err := old.NextCall()
		require.NoError(t, err)
		calls[c.ID] = c
	}
	h.do(func() {
		next := h.srv.cfg
		next.VaultAddress = moved.Addr()
		require.NoError(t, h.srv.Reload(next))
	})
	after := h.request(keyedClass)
	h.vault = moved
	h.called(after)
	h.served(after, "kept call 1 of lot")
	calls[safe].Reply(vault.Yes, "old safe")
	calls[single].Reply(vault.Yes, "old single")
	h.served(safe, "old safe")
	h.served(single, "old single")
	require.Len(t, old.Calls(), 2)
	require.Len(t, moved.Calls(), 1)
	h.over()
}

// Guards the answers at the end: with runs blocked, one with its call in hand and one that waits to call again, all that was read
// is answered before the process would be stopped, the call is given up, and its late reply goes nowhere.
func TestDrainWithRunsBlocked(t *testing.T) {
	h := newCallHouse(t, nil)
	h.vault.Hold()
	inHand := h.request(singleClass)
	late := h.called(inHand)
	waiting := h.request(safeClass)
	h.called(waiting).Reply(vault.NotNow, "")
	h.do(func() { h.srv.Drain(h.Now()) })
	h.later(h.srv.cfg.ShutdownTimeout - maxKillMargin - microtime.Millisecond)
	h.failed(inHand)
	h.failed(waiting)
	h.givenUp(inHand)
	late.Reply(vault.Yes, "late")
	require.NoError(t, h.proxy.c.Close())
	h.ends()
	require.Equal(t, 1, h.calls(waiting))
	require.Empty(t, h.workers.UnexpectedCommands())
}

// Guards the vault against calls for nobody. When a caller leaves, a call in hand is given up and its reply, which crosses that,
// goes nowhere; a run that waits to call again does not, nor does one that comes to its call only then.
func TestGiveUpWhileBlocked(t *testing.T) {
	h := newCallHouse(t, nil)
	giveUp := func(id string) { h.proxy.write(thrift.AppendGiveUp(nil, h.seqs[id])) }
	h.vault.Hold()
	inHand := h.request(safeClass)
	late := h.called(inHand)
	giveUp(inHand)
	h.givenUp(inHand)
	late.Reply(vault.Yes, "late")
	require.NoError(t, late.CloseConn())
	h.workers.FinishRun(inHand)

	again := h.request(safeClass)
	turned := h.called(again)
	turned.Reply(vault.NotNow, "")
	require.NoError(t, turned.CloseConn())
	giveUp(again)

	h.workers.Hold()
	yet := h.request(singleClass)
	require.NoError(t, h.workers.AwaitStart("lot"))
	giveUp(yet)
	last := h.request(keyedClass) // read behind the notice
	h.workers.Release()
	h.vault.Release()
	h.called(last)
	h.served(last, "kept call 1 of lot")
	require.Len(t, h.heard, 1)
	h.noMoreCalls()
	require.Equal(t, []int{1, 1, 0}, []int{h.calls(inHand), h.calls(again), h.calls(yet)})
	h.over()
}

// Guards effects: a call of a request that may run once is made again only where the one before is proven not to have run.
func TestCallsThatMayHaveRunAreNotMadeAgain(t *testing.T) {
	for name, end := range map[string]func(*callHouse, *processtest.Call){
		"failed":  func(_ *callHouse, c *processtest.Call) { c.Reply(vault.Failed, "") },
		"overdue": func(_ *callHouse, c *processtest.Call) { c.Reply(vault.Overdue, "") },
		"broken":  func(h *callHouse, _ *processtest.Call) { h.vault.Break() },
		"halved":  func(_ *callHouse, c *processtest.Call) { c.BreakReply() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newCallHouse(t, nil)
			for _, class := range []string{singleClass, keyedClass} {
				h.vault.Hold()
				id := h.request(class)
				end(h, h.called(id))
				h.failed(id)
				h.vault.Release()
				h.noMoreCalls()
				require.Equal(t, 1, h.calls(id), class)
			}
			h.vault.Hold()
			safe := h.request(safeClass)
			end(h, h.called(safe))
			h.vault.Release()
			stop := h.run()
			h.called(safe)
			h.served(safe, "kept call 1 of lot")
			stop()
			h.over()
		})
	}
}

// Guards requests that run once against failing for a call that never ran: it was turned away, or its connection was refused.
func TestCallsThatNeverRanAreMadeAgain(t *testing.T) {
	for _, class := range []string{singleClass, keyedClass} {
		t.Run(class, func(t *testing.T) {
			h := newCallHouse(t, nil)
			h.vault.Hold()
			turned := h.request(class)
			first := h.called(turned)
			first.Reply(vault.NotNow, "")
			h.vault.Release()
			stop := h.run()
			h.called(turned)
			h.served(turned, "kept call 1 of lot")
			h.vault.RejectConnections()
			h.vault.Break()
			refused := h.request(class)
			for reached := true; reached; {
				h.do(func() { reached = h.srv.backends.vault.Status().Reachable })
			}
			require.NoError(t, h.vault.AwaitConnection())
			h.called(refused)
			h.served(refused, "kept call 1 of lot")
			stop()
			require.Equal(t, 1, h.calls(refused))
			h.over()
		})
	}
}

// Guards a request's next call against the reply to the one before, which was given up as it took too long and is answered all the
// same, while the next one is in hand.
func TestReplyThatCrossesTheEndOfItsCall(t *testing.T) {
	h := newCallHouse(t, func(cfg *config.Config) { // of a shared dependency only, the module gives up calls before their request is due
		set := &cfg.Settings
		set.Dependency, set.CallConcurrencyShare, set.CallConcurrencyWindow = control.DependencyShared, 2, time.Second
	})
	h.vault.Hold()
	stop := h.run()
	id := h.request(safeClass)
	first := h.called(id)
	h.givenUp(id)
	second := h.called(id)
	stop()
	require.NotEqual(t, first.Conn, second.Conn)
	first.Reply(vault.Yes, "of the first")
	require.NoError(t, first.CloseConn())
	second.Reply(vault.Yes, "of the second")
	h.served(id, "of the second")
	h.over()
}

// Guards a blocked run against the loss of the pool's link. A reply that comes meanwhile is handed to it on the next link; what it
// had told before is known and makes no second call; and a call that it came to meanwhile is told on the next link.
func TestPoolLinkLostWithARunBlocked(t *testing.T) {
	h := newCallHouse(t, nil)
	h.vault.Hold()
	blocked := h.request(singleClass)
	call := h.called(blocked)
	require.NoError(t, h.workers.AwaitStart("lot"))
	h.workers.Hold()
	running := h.request(keyedClass)
	require.NoError(t, h.workers.AwaitStart("lot"))

	h.workers.Leave()
	h.workers.Release() // the second run comes to its call
	seen, err := h.workers.AwaitBound()
	require.NoError(t, err)
	require.EqualValues(t, 1, seen)
	call.Reply(vault.Yes, "while there was no link")
	require.NoError(t, call.CloseConn())
	h.workers.Return()
	h.served(blocked, "while there was no link")
	h.called(running).Reply(vault.Yes, "told late")
	h.served(running, "told late")
	require.Len(t, h.vault.Calls(), 2)
	h.over()
}

// probe sends a health check on a connection of its own.
func (h *callHouse) probe(deep bool) *peer {
	p := h.dial()
	p.write(thrift.AppendProbe(nil, 1, deep))
	return p
}

// Guards proxies against a worker pool that takes the work and does none: a deep check is answered all the same, and not by "good".
// Requests and other checks do not wait for it meanwhile, and checks without end are not passed on without end.
func TestDeepCheckWhileThePoolHangs(t *testing.T) {
	h := newCallHouse(t, nil)
	works := func() {
		h.comes()
		h.served(h.request(safeClass), "kept call 1 of lot")
	}
	const stale = 2 * microtime.Second // an outcome may answer the checks of a moment
	checked := func(good bool) {
		t.Helper()
		h.later(stale)
		p := h.probe(true)
		stop := h.run()
		require.Equal(t, good, heard(p).Good)
		stop()
	}
	works()
	unasked := h.workers.Checks()
	require.True(t, heard(h.probe(true)).Good)
	require.Equal(t, unasked, h.workers.Checks(), "a run that has just ended well is answer enough")
	checked(true)
	require.Greater(t, h.workers.Checks(), unasked)
	h.workers.AnswerChecksWith(pool.Fail)
	checked(false)

	h.workers.AnswerChecksWith(0)
	h.later(stale)
	const checks = 40
	before := h.workers.Checks()
	var hang []*peer
	for range checks {
		hang = append(hang, h.probe(true))
	}
	require.True(t, heard(h.probe(false)).Good)
	h.workers.Hold()
	h.comes()
	meanwhile := h.request(safeClass)
	require.NoError(t, h.workers.AwaitStart("lot")) // the first run
	require.NoError(t, h.workers.AwaitStart("lot"))
	stop := h.run()
	for _, p := range hang {
		require.False(t, heard(p).Good)
		require.NoError(t, p.c.Close())
	}
	require.Less(t, h.workers.Checks()-before, checks)

	h.workers.Release()
	h.served(meanwhile, "kept call 1 of lot")
	for good := false; !good; { // the module may have taken the pool for hung
		p := h.probe(false)
		good = heard(p).Good
		require.NoError(t, p.c.Close())
	}
	stop()

	h.later(stale)
	deep := h.probe(true)
	works() // the pool verifies nothing, but a run that ends well proves that work gets done
	stop = h.run()
	require.True(t, heard(deep).Good)
	stop()

	h.workers.AnswerChecksWith(pool.Pass)
	checked(true)
	h.workers.Freeze()
	checked(false)
	h.workers.Leave()
	checked(false)
	h.over()
}
