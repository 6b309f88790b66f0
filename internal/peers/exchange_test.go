package peers

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/gossip"
	"pewterline/internal/transport"
)

// gossipNode is an instance whose event loop the test simulates. It implements ExchangeEventLoop.
type gossipNode struct {
	t        *testing.T
	now      microtime.Time
	balancer *loadbalancer.Balancer
	exchange *Exchange
	dials    []exchangeDial
	logged   []string
}

type exchangeDial struct {
	address   string
	open      func(transport.Conn) transport.Session
	onFailure func()
}

func (n *gossipNode) Now() microtime.Time { return n.now }

func (n *gossipNode) DialOnce(address string, open func(transport.Conn) transport.Session, onFailure func()) func() {
	n.dials = append(n.dials, exchangeDial{address, open, onFailure})
	return func() {}
}

// newGossipNode returns an instance whose address is its name and that knows the endpoints s0 and s1.
func newGossipNode(t *testing.T, name string, peers ...string) *gossipNode {
	t.Helper()
	balancer, err := loadbalancer.New(loadbalancer.Config{Classes: 1}, 1)
	require.NoError(t, err)
	node := &gossipNode{t: t, now: 10 * microtime.Second, balancer: balancer}
	balancer.Add(node.now, "s0")
	balancer.Add(node.now, "s1")
	node.exchange = NewExchange(node, ExchangeConfig{
		Name:     name,
		Address:  name,
		Peers:    peers,
		Seed:     1,
		Balancer: balancer,
		Logf:     func(format string, args ...any) { node.logged = append(node.logged, fmt.Sprintf(format, args...)) },
	})
	return node
}

// read returns the only message that was written to a connection since the last call.
func read(t *testing.T, conn *fakeConn) gossip.Message {
	t.Helper()
	written := conn.take()
	message, size, err := gossip.Parse(written)
	require.NoError(t, err)
	require.Len(t, written, size)
	return message
}

// receive encodes a message and passes it to a session.
func receive(t *testing.T, session transport.Session, message gossip.Message) error {
	t.Helper()
	encoded, err := gossip.Append(nil, message)
	require.NoError(t, err)
	_, err = session.Receive(encoded)
	return err
}

// Two instances exchange their observations and the addresses of their peers.
func TestExchange(t *testing.T) {
	joining := newGossipNode(t, "joining", "running")
	running := newGossipNode(t, "running", "third")
	running.now += 100 * microtime.Second
	running.balancer.AttemptStarted(running.now, loadbalancer.Choice{Endpoint: "s0"})
	running.balancer.AttemptEnded(running.now, loadbalancer.Choice{Endpoint: "s0"},
		loadbalancer.Result{Outcome: loadbalancer.ConnectFailed})
	running.exchange.scheduler.ExchangeSucceeded(running.now, "third", "third")

	require.False(t, joining.exchange.Ready(joining.now))
	require.Equal(t, joining.now+200*microtime.Millisecond, joining.exchange.Check(joining.now))
	require.Equal(t, "running", joining.dials[0].address)
	requestingConn := &fakeConn{}
	requestingSession := joining.dials[0].open(requestingConn)
	require.False(t, requestingSession.Idle())
	request := read(t, requestingConn)
	require.True(t, request.WantsReply)

	replyingConn := &fakeConn{}
	replyingSession := running.exchange.Accept(replyingConn)
	require.NoError(t, receive(t, replyingSession, request))
	require.True(t, replyingConn.identified)
	reply := read(t, replyingConn)
	require.False(t, reply.WantsReply)
	require.Equal(t, []gossip.Peer{{Name: "third", Address: "third"}}, reply.Peers)

	require.NoError(t, receive(t, requestingSession, reply))
	require.True(t, requestingSession.Idle())
	require.True(t, joining.exchange.Ready(joining.now))
	require.Positive(t, joining.balancer.GossipSnapshot().FailureWeight(joining.now, "s0"))
	require.Len(t, joining.exchange.scheduler.Peers(joining.now), 2)
	replyingSession.Closed()
	require.Zero(t, running.exchange.acceptedConns)
}

// The next exchange with a peer uses the open connection.
func TestExchangeReusesConnection(t *testing.T) {
	node := newGossipNode(t, "joining", "running")
	node.exchange.Check(node.now)
	conn := &fakeConn{}
	session := node.dials[0].open(conn)
	read(t, conn)
	require.NoError(t, receive(t, session, gossip.Message{Name: "running", Uptime: microtime.Second}))
	node.now = node.exchange.Check(node.now)
	node.exchange.Check(node.now)
	require.Len(t, node.dials, 1)
	require.True(t, read(t, conn).WantsReply)
}

// An exchange fails if the peer does not reply in time, does not accept the connection in time, or is unreachable.
func TestExchangeFails(t *testing.T) {
	t.Run("no reply", func(t *testing.T) {
		node := newGossipNode(t, "joining", "running")
		node.exchange.Check(node.now)
		conn := &fakeConn{}
		session := node.dials[0].open(conn)
		node.now += exchangeTimeout - 1
		node.exchange.Check(node.now)
		require.False(t, conn.closed)
		node.now++
		node.exchange.Check(node.now)
		require.True(t, conn.closed)
		session.Closed()
		require.True(t, node.exchange.Ready(node.now))
		require.Zero(t, node.exchange.links.Len())
	})
	t.Run("no connection in time", func(t *testing.T) {
		node := newGossipNode(t, "joining", "running")
		node.exchange.Check(node.now)
		node.now += exchangeTimeout
		node.exchange.Check(node.now)
		require.Zero(t, node.exchange.links.Len())
	})
	t.Run("unreachable", func(t *testing.T) {
		node := newGossipNode(t, "joining", "running")
		node.exchange.Check(node.now)
		node.dials[0].onFailure()
		require.Zero(t, node.exchange.links.Len())
		require.True(t, node.exchange.Ready(node.now), "all first exchanges have failed")
	})
}

// A reply without a request closes the connection on either side, as does a malformed frame.
func TestUnexpectedMessage(t *testing.T) {
	node := newGossipNode(t, "joining", "running")
	reply := gossip.Message{Name: "running", Uptime: microtime.Second}
	require.ErrorIs(t, receive(t, node.exchange.Accept(&fakeConn{}), reply), ErrUnexpectedMessage)
	node.exchange.Check(node.now)
	session := node.dials[0].open(&fakeConn{})
	require.NoError(t, receive(t, session, reply))
	require.ErrorIs(t, receive(t, session, reply), ErrUnexpectedMessage)
	_, err := session.Receive([]byte{0, 0, 0, 0})
	require.ErrorIs(t, err, gossip.ErrMalformedFrame)
}

// Invalid observations are logged and do not close the connection. This instance's own address is not added as a peer.
func TestInvalidGossipIsLogged(t *testing.T) {
	node := newGossipNode(t, "joining")
	conn := &fakeConn{}
	require.NoError(t, receive(t, node.exchange.Accept(conn), gossip.Message{
		Name:         "running",
		Uptime:       microtime.Second,
		WantsReply:   true,
		Observations: []loadbalancer.Observation{{Endpoint: "s0", Kind: 99, Evidence: 1, Source: "running", Hops: 1}},
		Peers:        []gossip.Peer{{Name: "joining", Address: "joining"}},
	}))
	require.Len(t, node.logged, 1)
	require.Contains(t, node.logged[0], "exchange: invalid observations: peer=peer invalid=1 observations=1")
	require.Empty(t, node.exchange.scheduler.Peers(node.now))
	require.Empty(t, read(t, conn).Observations)
}

// Connections of peers above maxExchangeConns are closed at once.
func TestAcceptedConnectionsAreLimited(t *testing.T) {
	node := newGossipNode(t, "running")
	for range maxExchangeConns {
		conn := &fakeConn{}
		node.exchange.Accept(conn)
		require.False(t, conn.closed)
	}
	conn := &fakeConn{}
	session := node.exchange.Accept(conn)
	require.True(t, conn.closed)
	require.Equal(t, []string{"exchange: connection rejected, too many are open: peer=peer open=64"}, node.logged)
	session.Closed()
	require.Equal(t, maxExchangeConns, node.exchange.acceptedConns)
}
