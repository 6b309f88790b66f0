package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/upgrade"
)

// told is a host that notes what it is told.
type told struct {
	steered, shared []int
	orphaned        bool
}

func (h *told) SteerListeners(place int) { h.steered = append(h.steered, place) }
func (h *told) ShareLimits(others int)   { h.shared = append(h.shared, others) }
func (h *told) Orphaned()                { h.orphaned = true }

// say has the other process say something; it returns what it hears in that turn.
func (l *linked) say(k *fakeLink, ms ...upgrade.Message) (out []upgrade.Message) {
	k.out = nil
	for _, m := range ms {
		l.deliver(k, upgrade.Append(nil, m))
	}
	l.turn()
	return l.heard(k)
}

func (l *linked) heard(k *fakeLink) (out []upgrade.Message) {
	for len(k.out) > 0 {
		m, size, err := upgrade.Parse(k.out)
		require.NoError(l.t, err)
		require.NotZero(l.t, size)
		out = append(out, m)
		k.out = k.out[size:]
	}
	return out
}

// successor has one come; it returns what it is told first.
func (l *linked) successor(h *told) (*fakeLink, []upgrade.Message) {
	l.srv.UseProcessHost(h)
	k := l.connect("next", HandoffListener)
	l.deliver(k, upgrade.Preamble[:])
	require.Equal(l.t, string(upgrade.Preamble[:]), string(k.out))
	return k, l.say(k, upgrade.Message{Kind: upgrade.Hello, Name: "n0"})
}

func kinds(ms []upgrade.Message) (out []upgrade.Kind) {
	for _, m := range ms {
		out = append(out, m.Kind)
	}
	return out
}

// An old process tells its successor of all keys, in parts, and of each run before it begins and once it has ended; after the
// hand-over it asks, and what the successor has run is served from its result.
func TestOldProcess(t *testing.T) {
	l, h := newLinked(t), &told{}
	for i := range upgrade.ChunkKeys + 1 {
		l.ask(fmt.Sprintf("%016x", i+1), "lot-intake", fmt.Sprintf("k%02d", i))
		l.tell(fmt.Sprintf("finished %d %016x PASS 5 3\r\nlot\r\n", i+1, i+1))
	}
	k, first := l.successor(h)
	require.Equal(t, []int{0}, h.steered, "no connection goes astray before the hand-over")
	require.Equal(t, upgrade.Welcome, first[0].Kind)
	passed := 0
	for _, m := range append(first, l.say(k, upgrade.Message{Kind: upgrade.NextChunk})...) {
		if m.Kind == upgrade.Succeeded {
			passed++
			require.Equal(t, "lot", string(m.Result))
		}
	}
	require.Equal(t, upgrade.ChunkKeys+1, passed)
	require.Equal(t, []upgrade.Kind{upgrade.Synced}, kinds(l.say(k, upgrade.Message{Kind: upgrade.NextChunk})))

	k.out = nil
	require.Contains(t, l.ask("00000000000000f1", "lot-intake", "new"), "spawn")
	require.Equal(t, []upgrade.Kind{upgrade.Started}, kinds(l.heard(k)))
	l.srv.Shutdown(l.now)
	l.turn()
	heard := l.heard(k)
	require.Equal(t, upgrade.OwnershipTransferred, heard[len(heard)-1].Kind)
	require.Equal(t, []int{0, 1}, h.steered)
	reports := len(l.reports)
	k.out = nil
	require.Empty(t, l.ask("00000000000000f2", "lot-intake", "asked"), "it is not run before the successor allows it")
	asked := l.heard(k)
	require.Equal(t, []upgrade.Kind{upgrade.Claim}, kinds(asked))
	l.caller.out = nil
	asked[0].Kind, asked[0].Result = upgrade.Succeeded, []byte("theirs")
	l.say(k, asked[0])
	require.Contains(t, string(l.caller.out), "theirs")
	l.ask("00000000000000f3", "lot-intake", "granted")
	asked = l.heard(k)
	asked[0].Kind = upgrade.Grant
	l.pool.out = nil
	l.say(k, asked[0])
	require.Contains(t, string(l.pool.out), "spawn 00000000000000f3")
	l.advance(l.now + microtime.Second)
	require.Len(t, l.reports, reports, "the successor reports now")
	// At its end it answers what is open, and is gone in time.
	l.caller.out = nil
	l.advance(l.now + 4*microtime.Second)
	require.True(t, l.stopped)
	for range 2 {
		payload, n, err := thrift.SplitFrame(l.caller.out)
		require.NoError(t, err)
		require.NotNil(t, payload)
		l.caller.out = l.caller.out[n:]
	}
}

// Guards the next upgrade against a successor that hangs while it is told, and against one that is for another server; and
// the start of a successor's link against nonsense.
func TestSuccessorsThatAreNone(t *testing.T) {
	l, h := newLinked(t), &told{}
	l.ask("00000000000000a1", "lot-intake", "k1")
	l.tell("finished 1 00000000000000a1 PASS 5 3\r\nlot\r\n")
	k, _ := l.successor(h)
	other := l.connect("third", HandoffListener)
	l.deliver(other, upgrade.Preamble[:])
	other.out = nil
	require.Equal(t, "an upgrade is under way", l.say(other, upgrade.Message{Kind: upgrade.Hello, Name: "n0"})[0].Reason)
	require.True(t, other.closed)
	l.advance(l.now + keySyncTimeout + microtime.Second)
	require.True(t, k.closed, "it has hung")
	require.Equal(t, -1, h.shared[len(h.shared)-1], "all places are its own again")
	stranger := l.connect("stranger", HandoffListener)
	l.deliver(stranger, upgrade.Preamble[:])
	stranger.out = nil
	require.Equal(t, "this is n0", l.say(stranger, upgrade.Message{Kind: upgrade.Hello, Name: "n1"})[0].Reason)
	rude := l.connect("rude", HandoffListener)
	l.deliver(rude, upgrade.Append(upgrade.Preamble[:], upgrade.Message{Kind: upgrade.OwnershipTransferred}))
	require.True(t, rude.closed)
	l.turn()
	next, _ := l.successor(h)
	require.False(t, next.closed)
}

// A successor mirrors what it is told, asks for what it does not know until it owns the keys, and fails what a predecessor
// may have run that has died.
func TestNewProcess(t *testing.T) {
	l, h := newLinked(t), &told{}
	l.srv.UseProcessHost(h)
	at := unixZero{}.UnixMilli(l.now)
	key := func(kind upgrade.Kind, once string) upgrade.Message {
		return upgrade.Message{Kind: kind, Class: "lot-intake", Tenant: "hill-estate", IdempotencyKey: once, ArrivedAtMilli: at, Result: []byte("old")}
	}
	require.NoError(t, l.srv.Inherit([]upgrade.Message{{Kind: upgrade.Welcome, OutOfService: true}, key(upgrade.Succeeded, "done"), key(upgrade.Started, "runs")}))
	require.False(t, l.probed(), "out of service goes along")
	k := &fakeLink{name: "old"}
	k.session = l.srv.AcceptPredecessor(k)
	l.adopt(k)
	served := func(id, once, want string) {
		l.caller.out = nil
		require.NotContains(t, l.ask(id, "lot-intake", once), "spawn")
		require.Contains(t, string(l.caller.out), want)
	}
	served("00000000000000a1", "done", "old")
	require.Empty(t, l.ask("00000000000000a2", "lot-intake", "runs"))
	require.Empty(t, l.ask("00000000000000a3", "lot-intake", "mine"))
	require.Equal(t, []upgrade.Kind{upgrade.Claim}, kinds(l.heard(k)))
	l.pool.out = nil
	l.say(k, upgrade.Message{Kind: upgrade.OwnershipTransferred})
	require.Contains(t, string(l.pool.out), "spawn 00000000000000a3", "it owns the keys")
	l.tell("finished 1 00000000000000a3 PASS 5 3\r\nnew\r\n")
	l.caller.out = nil
	k.closed = true
	l.turn()
	l.turn()
	require.NotEmpty(t, l.caller.out, "the one that waits for the old process's run fails")
	require.False(t, h.orphaned, "the old one had handed over")
	l.caller.out = nil
	require.Empty(t, l.ask("00000000000000a4", "lot-intake", "runs"))
	require.NotEmpty(t, l.caller.out)
	require.Equal(t, 2, l.counters().Failed["lot-intake"])
	l.advance(l.now + 14*microtime.Second)
	l.caller = l.connect("c2", 0)
	require.Contains(t, l.ask("00000000000000a5", "lot-intake", "runs"), "spawn", "its window is over")
}
