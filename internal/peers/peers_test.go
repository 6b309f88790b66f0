package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/copies"
	"pewterline/internal/micro"
	"pewterline/internal/protocol/copylink"
	"pewterline/internal/transport"
)

// world is two servers on a loop that the test plays. Bytes go from one end to the other when the test says so.
type world struct {
	now   micro.Time
	dials []dial
}

type dial struct {
	addr string
	open func(transport.Link) transport.Session
}

func (w *world) Now() micro.Time { return w.now }
func (w *world) Dial(addr string, open func(transport.Link) transport.Session) func() {
	w.dials = append(w.dials, dial{addr, open})
	return func() {}
}

type wire struct {
	out     []byte
	closed  bool
	vouched bool
}

func (w *wire) Write(p []byte) { w.out = append(w.out, p...) }
func (w *wire) Close()         { w.closed = true }
func (w *wire) Resume()        {}
func (w *wire) Vouch()         { w.vouched = true }
func (w *wire) Remote() string { return "peer" }

type host struct {
	id    uint32
	group copies.Group
	up    map[uint32]bool
	took  []copylink.Message
}

func (h *host) Hello() copylink.Hello {
	return copylink.Hello{ID: h.id, Life: 1, Process: uint64(h.id) * 10}
}
func (h *host) Take(_ copylink.Hello, m copylink.Message) { h.took = append(h.took, m) }
func (h *host) Linked(id uint32, up bool)                 { h.up[id] = up }
func (h *host) Group() copies.Group                       { return h.group }

// link opens the way from one server to the other; deliver carries what both have written.
func link(t *testing.T, w *world, from, to *Peers) (a, b *wire, deliver func() error) {
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

func two(w *world) (a, b *Peers, ha, hb *host) {
	group := copies.Group{Name: 7, Epoch: 3, Copies: 1, Now: []copies.Peer{{Member: copies.Member{ID: 1, Life: 1}, Addr: "a"}, {Member: copies.Member{ID: 2, Life: 1}, Addr: "b"}}}
	ha, hb = &host{id: 1, up: map[uint32]bool{}, group: group}, &host{id: 2, up: map[uint32]bool{}, group: group}
	quiet := func(string, ...any) {}
	return New(w, ha, quiet), New(w, hb, quiet), ha, hb
}

// What is asked of a server in a turn goes in one frame, its answers come back by the same link, and one that goes by an earlier group
// hears of the newer.
func TestAskAndAnswer(t *testing.T) {
	w := &world{now: micro.Second}
	a, b, ha, hb := two(w)
	a.Set(map[uint32]string{2: "there"})
	require.Equal(t, "there", w.dials[0].addr)
	_, wb, deliver := link(t, w, a, b)
	require.NoError(t, deliver())
	require.True(t, ha.up[2])
	require.True(t, wb.vouched)
	ha.took, hb.took = nil, nil
	for _, key := range []string{"x", "y"} {
		a.Ask(copies.Request{To: copies.Member{ID: 2, Life: 1}, Key: key, Epoch: 3})
	}
	a.Ask(copies.Request{To: copies.Member{ID: 9, Life: 1}, Key: "nobody", Epoch: 3})
	a.Turn(w.now)
	require.NoError(t, deliver())
	require.Len(t, hb.took, 1)
	require.Len(t, hb.took[0].Requests, 2)
	b.Answer(copies.Member{ID: 1, Life: 10}, copies.Reply{Key: "x"})
	b.Answer(copies.Member{ID: 1, Life: 11}, copies.Reply{Key: "of an earlier process"})
	b.Turn(w.now)
	require.NoError(t, deliver())
	last := ha.took[len(ha.took)-1] // behind a sign of life
	require.Len(t, last.Replies, 1)
	require.Equal(t, "x", last.Replies[0].Key)

	ha.group.Epoch = 2 // a's next word tells b that it is behind
	ha.took = nil
	w.now += pingEvery
	a.Turn(w.now)
	require.NoError(t, deliver())
	b.Turn(w.now)
	require.NoError(t, deliver())
	last = ha.took[len(ha.took)-1]
	require.NotNil(t, last.Group)
	require.Equal(t, uint64(3), last.Group.Epoch)
}

// A link that has lost bytes ends, as does one to another server than was meant, and one on which nobody says who it is.
func TestBrokenLinks(t *testing.T) {
	w := &world{now: micro.Second}
	a, b, ha, _ := two(w)
	a.Set(map[uint32]string{2: "there"})
	wa, _, deliver := link(t, w, a, b)
	wa.out = wa.out[:len(wa.out)-1]
	wa.out = append(wa.out, 0, 0, 0, 9, 9, 9, 9, 9)
	require.ErrorIs(t, deliver(), copylink.ErrFrame)
	a.Set(map[uint32]string{3: "there"})
	_, _, deliver = link(t, w, a, b)
	require.ErrorContains(t, deliver(), "says that it is number 2, not 3")
	require.False(t, ha.up[3])
	rude, err := copylink.Append(nil, copylink.Message{Epoch: 3})
	require.NoError(t, err)
	_, err = b.Accept(&wire{}).Receive(rude)
	require.ErrorContains(t, err, "before any hello")
}

// A link on which no answer comes is closed and opened anew. Guards a server against a peer that hears it and is not heard.
func TestDeaf(t *testing.T) {
	w := &world{now: micro.Second}
	a, b, ha, _ := two(w)
	a.Set(map[uint32]string{2: "there"})
	wa, _, deliver := link(t, w, a, b)
	require.NoError(t, deliver())
	require.True(t, a.Up(2))
	for range 10 {
		w.now += pingEvery
		a.Turn(w.now)
		require.Equal(t, w.now >= micro.Second+deafMost, wa.closed)
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
	a.Turn(w.now)
	require.Len(t, w.dials, 2)
}
