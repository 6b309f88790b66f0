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

// gossipNode is an instance on an event loop that the test plays. It implements ExchangeEventLoop.
type gossipNode struct {
	t        *testing.T
	now      microtime.Time
	balancer *loadbalancer.Balancer
	exchange *Exchange
	dials    []exchangeDial
	logged   []string
}

type exchangeDial struct {
	address string
	open    func(transport.Conn) transport.Session
	failed  func()
}

func (n *gossipNode) Now() microtime.Time { return n.now }

func (n *gossipNode) DialOnce(address string, open func(transport.Conn) transport.Session, failed func()) func() {
	n.dials = append(n.dials, exchangeDial{address, open, failed})
	return func() {}
}

// newGossipNode returns an instance that is reached at its name and knows the endpoints s0 and s1.
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

// read takes the only message that was written to a connection.
func read(t *testing.T, conn *fakeConn) gossip.Message {
	t.Helper()
	written := conn.take()
	message, size, err := gossip.Parse(written)
	require.NoError(t, err)
	require.Len(t, written, size)
	return message
}

// receive has a session receive a message.
func receive(t *testing.T, session transport.Session, message gossip.Message) error {
	t.Helper()
	encoded, err := gossip.Append(nil, message)
	require.NoError(t, err)
	_, err = session.Receive(encoded)
	return err
}

// Two instances tell each other what they know, and of the peers that they know.
func TestExchange(t *testing.T) {
	young := newGossipNode(t, "young", "old")
	old := newGossipNode(t, "old", "third")
	old.now += 100 * microtime.Second
	old.balancer.AttemptStarted(old.now, loadbalancer.Choice{Endpoint: "s0"})
	old.balancer.AttemptEnded(old.now, loadbalancer.Choice{Endpoint: "s0"},
		loadbalancer.Result{Outcome: loadbalancer.ConnectFailed})
	old.exchange.scheduler.ExchangeSucceeded(old.now, "third", "third")

	require.False(t, young.exchange.Ready(young.now))
	require.Equal(t, young.now+200*microtime.Millisecond, young.exchange.Check(young.now))
	require.Equal(t, "old", young.dials[0].address)
	asking := &fakeConn{}
	askingSession := young.dials[0].open(asking)
	require.False(t, askingSession.Idle())
	question := read(t, asking)
	require.True(t, question.WantsReply)

	answering := &fakeConn{}
	answeringSession := old.exchange.Accept(answering)
	require.NoError(t, receive(t, answeringSession, question))
	require.True(t, answering.identified)
	answer := read(t, answering)
	require.False(t, answer.WantsReply)
	require.Equal(t, []gossip.Peer{{Name: "third", Address: "third"}}, answer.Peers)

	require.NoError(t, receive(t, askingSession, answer))
	require.True(t, askingSession.Idle())
	require.True(t, young.exchange.Ready(young.now))
	require.Positive(t, young.balancer.GossipSnapshot().FailureWeight(young.now, "s0"))
	require.Len(t, young.exchange.scheduler.Peers(young.now), 2)
	answeringSession.Closed()
	require.Zero(t, old.exchange.accepted)
}

// The next exchange with a peer uses the connection that is open.
func TestExchangeReusesConnection(t *testing.T) {
	node := newGossipNode(t, "young", "old")
	node.exchange.Check(node.now)
	conn := &fakeConn{}
	session := node.dials[0].open(conn)
	read(t, conn)
	require.NoError(t, receive(t, session, gossip.Message{Name: "old", Uptime: microtime.Second}))
	node.now = node.exchange.Check(node.now)
	node.exchange.Check(node.now)
	require.Len(t, node.dials, 1)
	require.True(t, read(t, conn).WantsReply)
}

// A peer that does not answer in time is given up, as is one that cannot be reached or closes its connection.
func TestExchangeFails(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		node := newGossipNode(t, "young", "old")
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
		node := newGossipNode(t, "young", "old")
		node.exchange.Check(node.now)
		node.now += exchangeTimeout
		node.exchange.Check(node.now)
		require.Zero(t, node.exchange.links.Len())
	})
	t.Run("unreachable", func(t *testing.T) {
		node := newGossipNode(t, "young", "old")
		node.exchange.Check(node.now)
		node.dials[0].failed()
		require.Zero(t, node.exchange.links.Len())
		require.True(t, node.exchange.Ready(node.now), "all first exchanges have failed")
	})
}

// An answer that nobody asked for ends the connection, on either side.
func TestUnexpectedMessage(t *testing.T) {
	node := newGossipNode(t, "young", "old")
	answer := gossip.Message{Name: "old", Uptime: microtime.Second}
	require.ErrorIs(t, receive(t, node.exchange.Accept(&fakeConn{}), answer), ErrUnexpectedMessage)
	node.exchange.Check(node.now)
	session := node.dials[0].open(&fakeConn{})
	require.NoError(t, receive(t, session, answer))
	require.ErrorIs(t, receive(t, session, answer), ErrUnexpectedMessage)
	_, err := session.Receive([]byte{0, 0, 0, 0})
	require.ErrorIs(t, err, gossip.ErrMalformedFrame)
}

// Invalid observations are logged and do not end the connection; this instance's own address makes no peer.
func TestInvalidGossipIsLogged(t *testing.T) {
	node := newGossipNode(t, "young")
	conn := &fakeConn{}
	require.NoError(t, receive(t, node.exchange.Accept(conn), gossip.Message{
		Name:         "old",
		Uptime:       microtime.Second,
		WantsReply:   true,
		Observations: []loadbalancer.Observation{{Endpoint: "s0", Kind: 99, Evidence: 1, Source: "old", Hops: 1}},
		Peers:        []gossip.Peer{{Name: "young", Address: "young"}},
	}))
	require.Len(t, node.logged, 1)
	require.Contains(t, node.logged[0], "exchange: invalid observations: peer=peer invalid=1 observations=1")
	require.Empty(t, node.exchange.scheduler.Peers(node.now))
	require.Empty(t, read(t, conn).Observations)
}

// Beyond the bound, connections of peers are closed at once.
func TestAcceptedConnectionsAreBounded(t *testing.T) {
	node := newGossipNode(t, "old")
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
	require.Equal(t, maxExchangeConns, node.exchange.accepted)
}
