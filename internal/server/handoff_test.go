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

// peerSends sends messages as the other process. It returns the messages that the other process receives in that
// turn.
func (f *poolFixture) peerSends(peer *fakeConn, messages ...upgrade.Message) []upgrade.Message {
	f.t.Helper()
	peer.out = nil
	for _, message := range messages {
		f.deliver(peer, upgrade.Append(nil, message))
	}
	f.turn()
	return f.peerMessages(peer)
}

// peerMessages returns the messages that the other process has received since the last call.
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

// connectSuccessor connects a successor. It returns the first messages that the successor receives.
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

// An old process sends all keys to its successor, in chunks, and notifies it of each run before the run starts and once
// it has finished. After the handoff it claims keys from the successor, serves the results of the successor's runs, and
// sends no more health reports.
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
	sent := fixture.submit("00000000000000f2", "lot-intake", "claimed")
	require.Empty(t, sent, "the request does not run before the successor grants the key")
	claims := fixture.peerMessages(successor)
	require.Equal(t, []upgrade.Kind{upgrade.Claim}, messageKinds(claims))
	fixture.client.out = nil
	claims[0].Kind, claims[0].Result = upgrade.Succeeded, []byte("result of the successor")
	fixture.peerSends(successor, claims[0])
	require.Contains(t, string(fixture.client.out), "result of the successor")
	fixture.submit("00000000000000f3", "lot-intake", "granted")
	claims = fixture.peerMessages(successor)
	claims[0].Kind = upgrade.Grant
	fixture.pool.out = nil
	fixture.peerSends(successor, claims[0])
	require.Contains(t, string(fixture.pool.out), "spawn 00000000000000f3")
	fixture.advance(fixture.now + microtime.Second)
	require.Len(t, fixture.reports, reports, "only the successor reports after the handoff")

	// Before it stops, it answers the two open requests, and it stops in time.
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

// A successor that hangs while it receives the keys is disconnected, so that the next upgrade can begin. A second
// successor, a successor of another server, and a link that does not start with Hello are rejected.
func TestSuccessorsRejected(t *testing.T) {
	fixture, host := newPoolFixture(t), &fakeHost{}
	fixture.submit("00000000000000a1", "lot-intake", "k1")
	fixture.poolSends(finishedNotice(1, "00000000000000a1", "lot"))
	hanging, _ := fixture.connectSuccessor(host)
	second := fixture.connect("second", HandoffListener)
	fixture.deliver(second, upgrade.Preamble[:])
	second.out = nil
	rejection := fixture.peerSends(second, upgrade.Message{Kind: upgrade.Hello, Name: "n0"})
	require.Equal(t, "an upgrade is under way", rejection[0].Reason)
	require.True(t, second.closed)
	fixture.advance(fixture.now + keySyncTimeout + microtime.Second)
	require.True(t, hanging.closed, "the successor has hung")
	require.Equal(t, -1, host.shared[len(host.shared)-1], "the connection limit is not shared any more")
	other := fixture.connect("other server", HandoffListener)
	fixture.deliver(other, upgrade.Preamble[:])
	other.out = nil
	rejection = fixture.peerSends(other, upgrade.Message{Kind: upgrade.Hello, Name: "n1"})
	require.Equal(t, "this is n0", rejection[0].Reason)
	malformed := fixture.connect("malformed", HandoffListener)
	fixture.deliver(malformed, upgrade.Append(upgrade.Preamble[:], upgrade.Message{Kind: upgrade.OwnershipTransferred}))
	require.True(t, malformed.closed)
	fixture.turn()
	next, _ := fixture.connectSuccessor(host)
	require.False(t, next.closed)
}

// A successor keeps a copy of its predecessor's keys and claims unknown keys until it owns all of them. When the
// predecessor dies, the successor fails the requests that the predecessor may have been running.
func TestSuccessorTakesOver(t *testing.T) {
	fixture, host := newPoolFixture(t), &fakeHost{}
	fixture.srv.UseProcessHost(host)
	key := func(kind upgrade.Kind, idempotencyKey string) upgrade.Message {
		return upgrade.Message{Kind: kind, Class: "lot-intake", Tenant: "hill-estate", IdempotencyKey: idempotencyKey,
			ArrivedAtMilli: zeroBasedClock{}.UnixMilli(fixture.now), Result: []byte("old")}
	}
	require.NoError(t, fixture.srv.Inherit([]upgrade.Message{
		{Kind: upgrade.Welcome, OutOfService: true}, key(upgrade.Succeeded, "finished"), key(upgrade.Started, "running"),
	}))
	require.False(t, fixture.healthCheck(), "the successor is out of service like its predecessor")
	predecessor := &fakeConn{name: "old"}
	predecessor.session = fixture.srv.AcceptPredecessor(predecessor)
	fixture.addConn(predecessor)

	fixture.client.out = nil
	require.NotContains(t, fixture.submit("00000000000000a1", "lot-intake", "finished"), "spawn")
	require.Contains(t, string(fixture.client.out), "old")
	require.Empty(t, fixture.submit("00000000000000a2", "lot-intake", "running"))
	require.Empty(t, fixture.submit("00000000000000a3", "lot-intake", "unclaimed"))
	require.Equal(t, []upgrade.Kind{upgrade.Claim}, messageKinds(fixture.peerMessages(predecessor)))
	fixture.pool.out = nil
	fixture.peerSends(predecessor, upgrade.Message{Kind: upgrade.OwnershipTransferred})
	require.Contains(t, string(fixture.pool.out), "spawn 00000000000000a3", "the successor owns the keys")
	fixture.poolSends(finishedNotice(1, "00000000000000a3", "new"))

	fixture.client.out = nil
	predecessor.closed = true
	fixture.turn()
	fixture.turn()
	require.NotEmpty(t, fixture.client.out, "the request that waits for the predecessor's run fails")
	require.False(t, host.orphaned, "the predecessor had handed over")
	fixture.client.out = nil
	require.Empty(t, fixture.submit("00000000000000a4", "lot-intake", "running"))
	require.NotEmpty(t, fixture.client.out)
	require.Equal(t, 2, fixture.counters().Failed["lot-intake"])
	fixture.advance(fixture.now + 14*microtime.Second)
	fixture.connectClient("c2")
	require.Contains(t, fixture.submit("00000000000000a5", "lot-intake", "running"), "spawn", "its retention window ended")
}
