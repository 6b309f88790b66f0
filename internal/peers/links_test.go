package peers

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/transport"
)

// pair is two servers whose event loop the test simulates. Bytes are exchanged only by calls of connection.deliver. It
// implements EventLoop.
type pair struct {
	t      *testing.T
	now    microtime.Time
	dials  []fakeDial
	first  *Links
	second *Links
	// The handlers of the first and the second server.
	firstHandler  *fakeHandler
	secondHandler *fakeHandler
}

type fakeDial struct {
	address string
	open    func(transport.Conn) transport.Session
}

// fakeConn is one end of a connection. It implements transport.Conn.
type fakeConn struct {
	written    []byte
	closed     bool
	identified bool
}

func (c *fakeConn) Write(p []byte)  { c.written = append(c.written, p...) }
func (c *fakeConn) Close()          { c.closed = true }
func (c *fakeConn) Resume()         {}
func (c *fakeConn) MarkIdentified() { c.identified = true }
func (c *fakeConn) Remote() string  { return "peer" }

// take returns what was written since the last call.
func (c *fakeConn) take() []byte {
	written := c.written
	c.written = nil
	return written
}

// fakeHandler implements Handler.
type fakeHandler struct {
	id       uint32
	group    consensus.Membership
	up       map[uint32]bool
	messages []replicationwire.Message
}

func (h *fakeHandler) Hello() replicationwire.Hello {
	return replicationwire.Hello{ID: h.id, Incarnation: 1, ProcessIncarnation: uint64(h.id) * 10}
}

func (h *fakeHandler) HandleMessage(_ replicationwire.Hello, m replicationwire.Message) {
	h.messages = append(h.messages, m)
}

func (h *fakeHandler) PeerStateChanged(id uint32, up bool) { h.up[id] = up }
func (h *fakeHandler) Membership() consensus.Membership    { return h.group }

// lastMessage returns the latest message that was handled.
func (h *fakeHandler) lastMessage() replicationwire.Message { return h.messages[len(h.messages)-1] }

func (p *pair) Now() microtime.Time { return p.now }

func (p *pair) Dial(address string, open func(transport.Conn) transport.Session) func() {
	p.dials = append(p.dials, fakeDial{address, open})
	return func() {}
}

func newPair(t *testing.T) *pair {
	t.Helper()
	member := func(id uint32, address string) consensus.Member {
		return consensus.Member{Identity: consensus.Identity{ID: id, Incarnation: 1}, Addr: address}
	}
	group := consensus.Membership{
		ClusterID:         7,
		Epoch:             3,
		ReplicationFactor: 1,
		Current:           []consensus.Member{member(1, "a"), member(2, "b")},
	}
	p := &pair{t: t, now: microtime.Second}
	p.firstHandler = &fakeHandler{id: 1, up: map[uint32]bool{}, group: group}
	p.secondHandler = &fakeHandler{id: 2, up: map[uint32]bool{}, group: group}
	discardLog := func(string, ...any) {}
	p.first = New(p, p.firstHandler, discardLog)
	p.second = New(p, p.secondHandler, discardLog)
	return p
}

// connection is a connection that the first server has opened to the second.
type connection struct {
	t               *testing.T
	outbound        *fakeConn // the first server's end
	inbound         *fakeConn // the second server's end
	outboundSession transport.Session
	inboundSession  transport.Session
}

// connect makes the last dial succeed.
func (p *pair) connect() *connection {
	c := &connection{t: p.t, outbound: &fakeConn{}, inbound: &fakeConn{}}
	c.outboundSession = p.dials[len(p.dials)-1].open(c.outbound)
	c.inboundSession = p.second.Accept(c.inbound)
	return c
}

// deliver passes the bytes that each end has written to the other end, until neither has written any more.
func (c *connection) deliver() error {
	for len(c.outbound.written)+len(c.inbound.written) > 0 {
		fromFirst := c.outbound.take()
		fromSecond := c.inbound.take()
		consumed, err := c.inboundSession.Receive(fromFirst)
		if err != nil {
			return err
		}
		require.Len(c.t, fromFirst, consumed)
		consumed, err = c.outboundSession.Receive(fromSecond)
		if err != nil {
			return err
		}
		require.Len(c.t, fromSecond, consumed)
	}
	return nil
}

// The requests of a turn are sent in one message, their replies return on the same connection, and a server with an
// earlier epoch is sent the membership.
func TestRequestsAndReplies(t *testing.T) {
	pair := newPair(t)
	pair.first.SetPeers(map[uint32]string{2: "there"})
	require.Equal(t, "there", pair.dials[0].address)
	connection := pair.connect()
	require.NoError(t, connection.deliver())
	require.True(t, pair.firstHandler.up[2])
	require.True(t, connection.inbound.identified)
	hello, ok := pair.first.LastHello(2)
	require.True(t, ok)
	require.Equal(t, pair.secondHandler.Hello(), hello)
	_, ok = pair.first.LastHello(9)
	require.False(t, ok)

	pair.firstHandler.messages = nil
	pair.secondHandler.messages = nil
	for _, key := range []string{"x", "y"} {
		pair.first.SendRequest(consensus.Request{To: consensus.Identity{ID: 2, Incarnation: 1}, Key: key, Epoch: 3})
	}
	pair.first.SendRequest(consensus.Request{To: consensus.Identity{ID: 9, Incarnation: 1}, Key: "unreachable", Epoch: 3})
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	require.Len(t, pair.secondHandler.messages, 1)
	require.Len(t, pair.secondHandler.messages[0].Requests, 2)
	pair.second.SendReply(consensus.Identity{ID: 1, Incarnation: 10}, consensus.Reply{Key: "x"})
	pair.second.SendReply(consensus.Identity{ID: 1, Incarnation: 11}, consensus.Reply{Key: "of an earlier process"})
	pair.second.Check(pair.now)
	require.NoError(t, connection.deliver())
	last := pair.firstHandler.lastMessage() // It follows the answer to the hello.
	require.Len(t, last.Replies, 1)
	require.Equal(t, "x", last.Replies[0].Key)

	pair.firstHandler.group.Epoch = 2 // The first server's next message carries an earlier epoch.
	pair.firstHandler.messages = nil
	pair.now += pingInterval
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	pair.second.Check(pair.now)
	require.NoError(t, connection.deliver())
	last = pair.firstHandler.lastMessage()
	require.NotNil(t, last.Membership)
	require.Equal(t, uint64(3), last.Membership.Epoch)
}

// Messages are not sent twice, messages queued on a link that closes are dropped, and pings are answered.
func TestMessagesAreSentOnce(t *testing.T) {
	pair := newPair(t)
	pair.first.SetPeers(map[uint32]string{2: "there"})
	connection := pair.connect()
	require.NoError(t, connection.deliver())
	pair.second.Check(pair.now) // It answers the hello as if that were a ping.
	require.NoError(t, connection.deliver())
	request := consensus.Request{To: consensus.Identity{ID: 2, Incarnation: 1}, Key: "x", Epoch: 3}
	pair.first.SendRequest(request)
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	pair.first.Check(pair.now)
	require.Empty(t, connection.outbound.written)
	pair.second.Check(pair.now)
	require.Empty(t, connection.inbound.written, "a request is not a ping")

	pair.now += pingInterval
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	pair.second.Check(pair.now)
	require.NotEmpty(t, connection.inbound.take())

	pair.first.SendRequest(request)
	pair.first.BroadcastAck(consensus.TransferAck{Epoch: 3})
	connection.outboundSession.Closed()
	connection.inboundSession.Closed()
	pair.now += redialDelay
	pair.first.Check(pair.now)
	connection = pair.connect()
	require.NoError(t, connection.deliver())
	pair.first.Check(pair.now)
	require.Empty(t, connection.outbound.written)
}

// Transfer acknowledgements are sent to all servers, and the membership to the servers for which it is queued.
func TestAcksAndMembership(t *testing.T) {
	pair := newPair(t)
	pair.first.SetPeers(map[uint32]string{2: "there"})
	connection := pair.connect()
	require.NoError(t, connection.deliver())
	pair.secondHandler.messages = nil
	pair.first.BroadcastAck(consensus.TransferAck{Epoch: 3})
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	require.Len(t, pair.secondHandler.messages, 1)
	require.Len(t, pair.secondHandler.messages[0].TransferAcks, 1)
	require.Nil(t, pair.secondHandler.messages[0].Membership)

	pair.first.QueueMembership(2)
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	require.Equal(t, &pair.firstHandler.group, pair.secondHandler.lastMessage().Membership)
	received := len(pair.secondHandler.messages)
	pair.first.QueueMembership(2)
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	require.Len(t, pair.secondHandler.messages, received, "the same membership is not repeated within noticeInterval")
	pair.now += noticeInterval
	pair.first.QueueMembership(2)
	pair.first.Check(pair.now)
	require.NoError(t, connection.deliver())
	require.NotNil(t, pair.secondHandler.messages[received].Membership)
}

// A link is closed if its bytes are corrupted, if the server at the address has another ID, or if another message
// arrives before the hello.
func TestInvalidLinksAreClosed(t *testing.T) {
	pair := newPair(t)
	pair.first.SetPeers(map[uint32]string{2: "there"})
	connection := pair.connect()
	hello := connection.outbound.take()
	connection.outbound.Write(hello[:len(hello)-1])
	connection.outbound.Write([]byte{0, 0, 0, 9, 9, 9, 9, 9})
	require.ErrorIs(t, connection.deliver(), replicationwire.ErrMalformedFrame)

	pair.first.SetPeers(map[uint32]string{3: "there"})
	connection = pair.connect()
	err := connection.deliver()
	require.ErrorContains(t, err, "server at there has ID 2, want 3")
	var wrongServer *WrongServerError
	require.ErrorAs(t, err, &wrongServer)
	require.Equal(t, &WrongServerError{Address: "there", Want: 3, Got: 2}, wrongServer)
	require.False(t, pair.firstHandler.up[3])

	withoutHello, err := replicationwire.Append(nil, replicationwire.Message{Epoch: 3})
	require.NoError(t, err)
	_, err = pair.second.Accept(&fakeConn{}).Receive(withoutHello)
	require.ErrorContains(t, err, "before the hello")
	require.ErrorIs(t, err, ErrNoHello)
	_, err = pair.dials[0].open(&fakeConn{}).Receive(withoutHello)
	require.ErrorIs(t, err, ErrNoHello)
}

// A link on which nothing is received is closed and reopened. Guards against a network fault in one direction, where
// the peer receives this server's messages but its replies are lost.
func TestSilentLinkIsReopened(t *testing.T) {
	pair := newPair(t)
	pair.first.SetPeers(map[uint32]string{2: "there"})
	connection := pair.connect()
	require.NoError(t, connection.deliver())
	require.True(t, pair.first.Connected(2))
	outbound := connection.outbound
	for range 10 {
		pair.now += pingInterval
		pair.first.Check(pair.now)
		require.Equal(t, pair.now >= microtime.Second+silenceTimeout, outbound.closed)
		if outbound.closed {
			break
		}
		require.NotEmpty(t, outbound.take(), "a ping is sent")
	}
	require.True(t, outbound.closed)
	pair.first.outbound[0].Closed()
	require.False(t, pair.firstHandler.up[2])
	require.Len(t, pair.dials, 1)
	pair.now += redialDelay
	pair.first.Check(pair.now)
	require.Len(t, pair.dials, 2)
}

// The items of a turn are split by number and by size. An item over maxBatchBytes ends its batch.
func TestBatches(t *testing.T) {
	sizes := func(items []int) []int {
		var counts []int
		for batch := range batches(items, func(size *int) int { return *size }) {
			counts = append(counts, len(batch))
		}
		return counts
	}
	for name, tc := range map[string]struct {
		items []int
		want  []int
	}{
		"none":        {nil, nil},
		"small":       {make([]int, 2*maxBatchItems+1), []int{maxBatchItems, maxBatchItems, 1}},
		"large":       {[]int{2 * maxBatchBytes, 2 * maxBatchBytes, 1}, []int{1, 1, 1}},
		"together":    {[]int{maxBatchBytes - 1, 1, 1}, []int{2, 1}},
		"over at end": {[]int{1, 2 * maxBatchBytes, 1}, []int{2, 1}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.want, sizes(tc.items)) })
	}
}
