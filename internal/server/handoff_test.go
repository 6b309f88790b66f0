package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/upgrade"
)

// fakeHost is a ProcessHost that records its calls.
type fakeHost struct {
	steered  []int
	shared   []int
	orphaned bool
}

func (h *fakeHost) SteerListeners(process int) { h.steered = append(h.steered, process) }

func (h *fakeHost) ShareLimits(others int) { h.shared = append(h.shared, others) }

func (h *fakeHost) Orphaned() { h.orphaned = true }

// peerSends has the other process send messages; it returns those that it receives in that turn.
func (f *poolFixture) peerSends(peer *fakeConn, messages ...upgrade.Message) []upgrade.Message {
	f.t.Helper()
	peer.out = nil
	for _, message := range messages {
		f.deliver(peer, upgrade.Append(nil, message))
	}
	f.turn()
	return f.peerMessages(peer)
}

// peerMessages are the messages that the other process has received since the last time.
func (f *poolFixture) peerMessages(peer *fakeConn) []upgrade.Message {
	f.t.Helper()
	var messages []upgrade.Message
	for len(peer.out) > 0 {
		message, size, err := upgrade.Parse(peer.out)
		require.NoError(f.t, err)
		require.NotZero(f.t, size)
		messages = append(messages, message)
		peer.out = peer.out[size:]
	}
	return messages
}

// connectSuccessor connects a successor; it returns the messages that it receives first.
func (f *poolFixture) connectSuccessor(host *fakeHost) (*fakeConn, []upgrade.Message) {
	f.t.Helper()
	f.srv.UseProcessHost(host)
	successor := f.connect("next", HandoffListener)
	f.deliver(successor, upgrade.Preamble[:])
	require.Equal(f.t, string(upgrade.Preamble[:]), string(successor.out))
	return successor, f.peerSends(successor, upgrade.Message{Kind: upgrade.Hello, Name: "n0"})
}

func messageKinds(messages []upgrade.Message) []upgrade.Kind {
	var kinds []upgrade.Kind
	for _, message := range messages {
		kinds = append(kinds, message.Kind)
	}
	return kinds
}

// An old process tells its successor of all keys, in chunks, and of each run before it starts and once it has finished.
// After the handoff it asks for keys; what the successor has run is served from its result, and reports end.
func TestPredecessorHandsOver(t *testing.T) {
	fixture, host := newPoolFixture(t), &fakeHost{}
	for i := range upgrade.ChunkKeys + 1 {
		id := fmt.Sprintf("%016x", i+1)
		fixture.submit(id, "lot-intake", fmt.Sprintf("k%02d", i))
		fixture.poolSends(finishedNotice(i+1, id, "lot"))
	}
	successor, first := fixture.connectSuccessor(host)
	require.Equal(t, []int{0}, host.steered, "all connections go to the old process before the handoff")
	require.Equal(t, upgrade.Welcome, first[0].Kind)
	succeeded := 0
	for _, message := range append(first, fixture.peerSends(successor, upgrade.Message{Kind: upgrade.NextChunk})...) {
		if message.Kind == upgrade.Succeeded {
			succeeded++
			require.Equal(t, "lot", string(message.Result))
		}
	}
	require.Equal(t, upgrade.ChunkKeys+1, succeeded)
	synced := fixture.peerSends(successor, upgrade.Message{Kind: upgrade.NextChunk})
	require.Equal(t, []upgrade.Kind{upgrade.Synced}, messageKinds(synced))

	successor.out = nil
	require.Contains(t, fixture.submit("00000000000000f1", "lot-intake", "new"), "spawn")
	require.Equal(t, []upgrade.Kind{upgrade.Started}, messageKinds(fixture.peerMessages(successor)))
	fixture.srv.Shutdown(fixture.now)
	fixture.turn()
	messages := fixture.peerMessages(successor)
	require.Equal(t, upgrade.OwnershipTransferred, messages[len(messages)-1].Kind)
	require.Equal(t, []int{0, 1}, host.steered)
	reports := len(fixture.reports)

	successor.out = nil
	sent := fixture.submit("00000000000000f2", "lot-intake", "asked")
	require.Empty(t, sent, "it does not run before the successor grants it")
	claims := fixture.peerMessages(successor)
	require.Equal(t, []upgrade.Kind{upgrade.Claim}, messageKinds(claims))
	fixture.client.out = nil
	claims[0].Kind, claims[0].Result = upgrade.Succeeded, []byte("theirs")
	fixture.peerSends(successor, claims[0])
	require.Contains(t, string(fixture.client.out), "theirs")
	fixture.submit("00000000000000f3", "lot-intake", "granted")
	claims = fixture.peerMessages(successor)
	claims[0].Kind = upgrade.Grant
	fixture.pool.out = nil
	fixture.peerSends(successor, claims[0])
	require.Contains(t, string(fixture.pool.out), "spawn 00000000000000f3")
	fixture.advance(fixture.now + microtime.Second)
	require.Len(t, fixture.reports, reports, "the successor reports now")

	// At its end it answers the two requests that are open, and ends in time.
	fixture.client.out = nil
	fixture.advance(fixture.now + 4*microtime.Second)
	require.True(t, fixture.stopped)
	for range 2 {
		payload, n, err := thrift.SplitFrame(fixture.client.out)
		require.NoError(t, err)
		require.NotNil(t, payload)
		fixture.client.out = fixture.client.out[n:]
	}
}

// A successor that hangs while it receives the keys is cut off, so that the next upgrade can begin. One that comes
// second, one for another server, and nonsense at the start of the link are rejected.
func TestSuccessorsRejected(t *testing.T) {
	fixture, host := newPoolFixture(t), &fakeHost{}
	fixture.submit("00000000000000a1", "lot-intake", "k1")
	fixture.poolSends(finishedNotice(1, "00000000000000a1", "lot"))
	hanging, _ := fixture.connectSuccessor(host)
	second := fixture.connect("third", HandoffListener)
	fixture.deliver(second, upgrade.Preamble[:])
	second.out = nil
	rejection := fixture.peerSends(second, upgrade.Message{Kind: upgrade.Hello, Name: "n0"})
	require.Equal(t, "an upgrade is under way", rejection[0].Reason)
	require.True(t, second.closed)
	fixture.advance(fixture.now + keySyncTimeout + microtime.Second)
	require.True(t, hanging.closed, "it has hung")
	require.Equal(t, -1, host.shared[len(host.shared)-1], "the limits are all its own again")
	other := fixture.connect("stranger", HandoffListener)
	fixture.deliver(other, upgrade.Preamble[:])
	other.out = nil
	rejection = fixture.peerSends(other, upgrade.Message{Kind: upgrade.Hello, Name: "n1"})
	require.Equal(t, "this is n0", rejection[0].Reason)
	rude := fixture.connect("rude", HandoffListener)
	fixture.deliver(rude, upgrade.Append(upgrade.Preamble[:], upgrade.Message{Kind: upgrade.OwnershipTransferred}))
	require.True(t, rude.closed)
	fixture.turn()
	next, _ := fixture.connectSuccessor(host)
	require.False(t, next.closed)
}

// A successor mirrors the keys of its predecessor, claims those that it does not know until it owns them all, and fails
// what the predecessor may have run when it died.
func TestSuccessorTakesOver(t *testing.T) {
	fixture, host := newPoolFixture(t), &fakeHost{}
	fixture.srv.UseProcessHost(host)
	key := func(kind upgrade.Kind, idempotencyKey string) upgrade.Message {
		return upgrade.Message{Kind: kind, Class: "lot-intake", Tenant: "hill-estate", IdempotencyKey: idempotencyKey,
			ArrivedAtMilli: zeroBasedClock{}.UnixMilli(fixture.now), Result: []byte("old")}
	}
	require.NoError(t, fixture.srv.Inherit([]upgrade.Message{
		{Kind: upgrade.Welcome, OutOfService: true}, key(upgrade.Succeeded, "done"), key(upgrade.Started, "runs"),
	}))
	require.False(t, fixture.healthCheck(), "it is out of service as its predecessor was")
	predecessor := &fakeConn{name: "old"}
	predecessor.session = fixture.srv.AcceptPredecessor(predecessor)
	fixture.addConn(predecessor)

	fixture.client.out = nil
	require.NotContains(t, fixture.submit("00000000000000a1", "lot-intake", "done"), "spawn")
	require.Contains(t, string(fixture.client.out), "old")
	require.Empty(t, fixture.submit("00000000000000a2", "lot-intake", "runs"))
	require.Empty(t, fixture.submit("00000000000000a3", "lot-intake", "mine"))
	require.Equal(t, []upgrade.Kind{upgrade.Claim}, messageKinds(fixture.peerMessages(predecessor)))
	fixture.pool.out = nil
	fixture.peerSends(predecessor, upgrade.Message{Kind: upgrade.OwnershipTransferred})
	require.Contains(t, string(fixture.pool.out), "spawn 00000000000000a3", "it owns the keys")
	fixture.poolSends(finishedNotice(1, "00000000000000a3", "new"))

	fixture.client.out = nil
	predecessor.closed = true
	fixture.turn()
	fixture.turn()
	require.NotEmpty(t, fixture.client.out, "the request that waits for the predecessor's run fails")
	require.False(t, host.orphaned, "the predecessor had handed over")
	fixture.client.out = nil
	require.Empty(t, fixture.submit("00000000000000a4", "lot-intake", "runs"))
	require.NotEmpty(t, fixture.client.out)
	require.Equal(t, 2, fixture.counters().Failed["lot-intake"])
	fixture.advance(fixture.now + 14*microtime.Second)
	fixture.connectClient("c2")
	require.Contains(t, fixture.submit("00000000000000a5", "lot-intake", "runs"), "spawn", "its retention is over")
}
