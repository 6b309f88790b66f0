package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/transport"
)

// world is two servers on a loop that the test plays. Bytes go from one end to the other when the test says so.
type world struct {
	now   microtime.Time
	dials []dial
}

type dial struct {
	addr string
	open func(transport.Conn) transport.Session
}

func (w *world) Now() microtime.Time { return w.now }
func (w *world) Dial(addr string, open func(transport.Conn) transport.Session) func() {
	w.dials = append(w.dials, dial{addr, open})
	return func() {}
}

type wire struct {
	out     []byte
	closed  bool
	vouched bool
}

func (w *wire) Write(p []byte)  { w.out = append(w.out, p...) }
func (w *wire) Close()          { w.closed = true }
func (w *wire) Resume()         {}
func (w *wire) MarkIdentified() { w.vouched = true }
func (w *wire) Remote() string  { return "peer" }

type host struct {
	id    uint32
	group consensus.Membership
	up    map[uint32]bool
	took  []replicationwire.Message
}

func (h *host) Hello() replicationwire.Hello {
	return replicationwire.Hello{ID: h.id, Incarnation: 1, ProcessIncarnation: uint64(h.id) * 10}
}
func (h *host) HandleMessage(_ replicationwire.Hello, m replicationwire.Message) {
	h.took = append(h.took, m)
}
func (h *host) PeerStateChanged(id uint32, up bool) { h.up[id] = up }
func (h *host) Group() consensus.Membership         { return h.group }

// link opens the way from one server to the other; deliver carries what both have written.
func link(t *testing.T, w *world, from, to *Links) (a, b *wire, deliver func() error) {
	d := w.dials[len(w.dials)-1]
	a, b = &wire{}, &wire{}
	out, in := d.open(a), to.Accept(b)
	return a, b, func() error {
		for len(a.out)+len(b.out) > 0 {
			x, y := a.out, b.out
			a.out, b.out = nil, nil
			n, err := in.Receive(x)
			if err != nil {
				return err
			}
			require.Len(t, x, n)
			if n, err = out.Receive(y); err != nil {
				return err
			}
			require.Len(t, y, n)
		}
		return nil
	}
}

func two(w *world) (a, b *Links, ha, hb *host) {
	group := consensus.Membership{ClusterID: 7, Epoch: 3, ReplicationFactor: 1, Current: []consensus.Member{{Identity: consensus.Identity{ID: 1, Incarnation: 1}, Addr: "a"}, {Identity: consensus.Identity{ID: 2, Incarnation: 1}, Addr: "b"}}}
	ha, hb = &host{id: 1, up: map[uint32]bool{}, group: group}, &host{id: 2, up: map[uint32]bool{}, group: group}
	quiet := func(string, ...any) {}
	return New(w, ha, quiet), New(w, hb, quiet), ha, hb
}

// What is asked of a server in a turn goes in one frame, its answers come back by the same link, and one that goes by an earlier group
// hears of the newer.
func TestAskAndAnswer(t *testing.T) {
	w := &world{now: microtime.Second}
	a, b, ha, hb := two(w)
	a.SetPeers(map[uint32]string{2: "there"})
	require.Equal(t, "there", w.dials[0].addr)
	_, wb, deliver := link(t, w, a, b)
	require.NoError(t, deliver())
	require.True(t, ha.up[2])
	require.True(t, wb.vouched)
	ha.took, hb.took = nil, nil
	for _, key := range []string{"x", "y"} {
		a.SendRequest(consensus.Request{To: consensus.Identity{ID: 2, Incarnation: 1}, Key: key, Epoch: 3})
	}
	a.SendRequest(consensus.Request{To: consensus.Identity{ID: 9, Incarnation: 1}, Key: "nobody", Epoch: 3})
	a.Check(w.now)
	require.NoError(t, deliver())
	require.Len(t, hb.took, 1)
	require.Len(t, hb.took[0].Requests, 2)
	b.SendReply(consensus.Identity{ID: 1, Incarnation: 10}, consensus.Reply{Key: "x"})
	b.SendReply(consensus.Identity{ID: 1, Incarnation: 11}, consensus.Reply{Key: "of an earlier process"})
	b.Check(w.now)
	require.NoError(t, deliver())
	last := ha.took[len(ha.took)-1] // behind a sign of life
	require.Len(t, last.Replies, 1)
	require.Equal(t, "x", last.Replies[0].Key)

	ha.group.Epoch = 2 // a's next word tells b that it is behind
	ha.took = nil
	w.now += pingEvery
	a.Check(w.now)
	require.NoError(t, deliver())
	b.Check(w.now)
	require.NoError(t, deliver())
	last = ha.took[len(ha.took)-1]
	require.NotNil(t, last.Membership)
	require.Equal(t, uint64(3), last.Membership.Epoch)
}

// A link that has lost bytes ends, as does one to another server than was meant, and one on which nobody says who it is.
func TestBrokenLinks(t *testing.T) {
	w := &world{now: microtime.Second}
	a, b, ha, _ := two(w)
	a.SetPeers(map[uint32]string{2: "there"})
	wa, _, deliver := link(t, w, a, b)
	wa.out = wa.out[:len(wa.out)-1]
	wa.out = append(wa.out, 0, 0, 0, 9, 9, 9, 9, 9)
	require.ErrorIs(t, deliver(), replicationwire.ErrFrame)
	a.SetPeers(map[uint32]string{3: "there"})
	_, _, deliver = link(t, w, a, b)
	require.ErrorContains(t, deliver(), "says that it is number 2, not 3")
	require.False(t, ha.up[3])
	rude, err := replicationwire.Append(nil, replicationwire.Message{Epoch: 3})
	require.NoError(t, err)
	_, err = b.Accept(&wire{}).Receive(rude)
	require.ErrorContains(t, err, "before any hello")
}

// A link on which no answer comes is closed and opened anew. Guards a server against a peer that hears it and is not heard.
func TestDeaf(t *testing.T) {
	w := &world{now: microtime.Second}
	a, b, ha, _ := two(w)
	a.SetPeers(map[uint32]string{2: "there"})
	wa, _, deliver := link(t, w, a, b)
	require.NoError(t, deliver())
	require.True(t, a.Connected(2))
	for range 10 {
		w.now += pingEvery
		a.Check(w.now)
		require.Equal(t, w.now >= microtime.Second+deafMost, wa.closed)
		if wa.closed {
			break
		}
		require.NotEmpty(t, wa.out, "it asks for a sign of life")
		wa.out = nil
	}
	require.True(t, wa.closed)
	a.outs[0].Closed()
	require.False(t, ha.up[2])
	require.Len(t, w.dials, 1)
	w.now += openAgain
	a.Check(w.now)
	require.Len(t, w.dials, 2)
}
