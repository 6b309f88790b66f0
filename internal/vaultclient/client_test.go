package vaultclient

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/transport"
	"pewterline/internal/transport/transporttest"
)

// testBench is a client on a clock that the test moves, with connections that the test opens and reads.
type testBench struct {
	t      *testing.T
	client *Client
	now    microtime.Time
	dials  []dial
	ended  []string
}

type dial struct {
	address string
	open    func(transport.Conn) transport.Session
	failed  func()
	dropped bool
}

func (b *testBench) Now() microtime.Time { return b.now }

func (b *testBench) DialOnce(address string, open func(transport.Conn) transport.Session, failed func()) func() {
	b.dials = append(b.dials, dial{address: address, open: open, failed: failed})
	at := len(b.dials) - 1
	return func() { b.dials[at].dropped = true }
}

func newBench(t *testing.T) *testBench {
	b := &testBench{t: t, client: New("v1", t.Logf)}
	b.client.Attach(b, func(_ microtime.Time, id string, outcome calls.Outcome, reply []byte) {
		b.ended = append(b.ended, fmt.Sprintf("%s %d %s", id[12:], outcome, reply))
	})
	return b
}

func id(n int) string { return fmt.Sprintf("%016d", n) }

func (b *testBench) call(n int, wait microtime.Time, idempotent bool) {
	b.client.Call(calls.Request{ID: id(n), Timeout: wait, Idempotent: idempotent, Body: []byte("b")})
}

// connect opens the connection that is being dialled.
func (b *testBench) connect() *transporttest.Conn {
	require.NotEmpty(b.t, b.dials)
	return transporttest.Open("vault", b.dials[len(b.dials)-1].open)
}

// sends has the vault send something on a connection.
func (b *testBench) sends(c *transporttest.Conn, text string) {
	n, err := c.Receive(text)
	require.NoError(b.t, err)
	require.Equal(b.t, len(text), n)
}

// after moves the clock on, and returns how calls ended since the last time.
func (b *testBench) after(d microtime.Time) []string {
	b.now += d
	b.client.Check(b.now)
	ended := b.ended
	b.ended = nil
	return ended
}

func ended(n int, o calls.Outcome, reply string) string {
	return fmt.Sprintf("%04d %d %s", n, o, reply)
}

const second = microtime.Second

// Calls share a connection, and each reply ends its own call, in any order and unchanged; one for no call is dropped.
func TestCallsShareAConnection(t *testing.T) {
	bench := newBench(t)
	bench.call(1, second, true)
	bench.call(2, second, false)
	require.Len(t, bench.dials, 1)
	c := bench.connect()
	require.Equal(t, "ask "+id(1)+" 1000 1\r\nb\r\nask "+id(2)+" 1000 1\r\nb\r\n", c.Written)
	bench.sends(c, string(vault.AppendReply(nil, id(2), vault.Yes, []byte("r\r\n2"))))
	bench.sends(c, id(7)+" failed\r\n"+id(1)+" notnow\r\n"+id(1)+" failed\r\n")
	require.Equal(t, []string{ended(2, calls.Answered, "r\r\n2"), ended(1, calls.Rejected, "")}, bench.after(0))
	require.Len(t, bench.dials, 1)
}

// What the end of a call proves depends on whether it was sent: a connection that never opened proves that nothing ran,
// one that broke proves nothing.
func TestEndsOfConnections(t *testing.T) {
	bench := newBench(t)
	bench.call(1, second, false)
	bench.dials[0].failed()
	require.Equal(t, []string{ended(1, calls.ConnectFailed, "")}, bench.after(0))
	bench.call(2, second, false)
	require.Equal(t, []string{ended(2, calls.ConnectFailed, "")}, bench.after(second), "a dial that hangs")
	bench.call(3, second, false)
	c := bench.connect()
	require.NotContains(t, c.Written, id(2), "its time was over before the connection opened")
	c.Disconnect()
	require.Equal(t, []string{ended(3, calls.ConnectionLost, "")}, bench.after(0))
	bench.call(4, second, false)
	require.Len(t, bench.dials, 3)
}

// A call whose time is over is given up, and what is given up is told to the vault once.
func TestGivingUp(t *testing.T) {
	bench := newBench(t)
	bench.call(1, 100*microtime.Millisecond, false)
	bench.call(2, second, false)
	c := bench.connect()
	c.Written = ""
	bench.client.Abandon(id(2))
	bench.client.Abandon(id(2))
	require.Equal(t, "unask "+id(2)+"\r\n", c.Written)
	require.Equal(t, []string{ended(1, calls.Abandoned, "")}, bench.after(100*microtime.Millisecond))
	require.Equal(t, "unask "+id(2)+"\r\nunask "+id(1)+"\r\n", c.Written)
	bench.sends(c, id(1)+" yes 1\r\nx\r\n"+id(2)+" yes 1\r\nx\r\n")
	require.Empty(t, bench.after(0), "replies that cross")
	bench.call(3, second, false)
	bench.sends(c, id(3)+" yes 1\r\nx\r\n")
	bench.client.Abandon(id(3))
	require.Empty(t, bench.after(0), "an end that was not told yet")
}

// A reply that crosses the abandonment of a call is never taken for that of the next call with its id, however often
// that is made.
func TestCrossingReplyIsNotOfTheNextCall(t *testing.T) {
	bench := newBench(t)
	var conns []*transporttest.Conn
	for again := range 3 * calls.MaxServingConns {
		bench.call(1, second, true) // gives up the one before
		conns = append(conns, bench.connect())
		require.Len(t, bench.dials, again+1, "a connection of its own")
		if again > 0 {
			require.True(t, strings.HasSuffix(conns[again-1].Written, "unask "+id(1)+"\r\n"))
			bench.sends(conns[again-1], id(1)+" yes 3\r\nold\r\n")
		}
		require.Empty(t, bench.after(0))
		for _, c := range conns {
			if c.Closed {
				c.Disconnect()
			}
		}
		require.LessOrEqual(t, bench.client.Status().Connections, MaxConns)
	}
	bench.sends(conns[len(conns)-1], id(1)+" yes 3\r\nnew\r\n")
	require.Equal(t, []string{ended(1, calls.Answered, "new")}, bench.after(0))
}

// New calls go to the new address, those in hand end where they were made, and what was never sent goes to the new one.
func TestMove(t *testing.T) {
	bench := newBench(t)
	bench.call(1, second, false)
	old := bench.connect()
	bench.client.SetAddress("v2")
	require.False(t, old.Closed)
	bench.call(2, second, false)
	require.Equal(t, "v2", bench.dials[1].address)
	bench.client.SetAddress("v3")
	require.True(t, bench.dials[1].dropped)
	require.Equal(t, "v3", bench.dials[2].address)
	require.Contains(t, bench.connect().Written, "ask "+id(2))
	bench.sends(old, id(1)+" yes 1\r\nx\r\n")
	require.Equal(t, []string{ended(1, calls.Answered, "x")}, bench.after(0))
	require.True(t, old.Closed, "with its last call")
}

// A connection that has fallen silent gets no new calls. Once the vault has answered on another, its idempotent calls
// end, and the others keep their time.
func TestSilentConnection(t *testing.T) {
	bench := newBench(t)
	bench.call(1, 3*second, true)
	bench.call(2, 3*second, false)
	silent := bench.connect()
	require.Empty(t, bench.after(second/2))
	bench.call(3, 3*second, true)
	require.NotContains(t, silent.Written, id(3))
	other := bench.connect()
	bench.sends(other, id(3)+" yes 1\r\nx\r\n")
	require.Equal(t, []string{ended(3, calls.Answered, "x"), ended(1, calls.Abandoned, "")}, bench.after(0))
	bench.call(4, second, true)
	require.Contains(t, other.Written, id(4))
	bench.sends(other, id(4)+" yes 1\r\nx\r\n")
	bench.sends(silent, id(2)+" yes 1\r\ny\r\n")
	require.Equal(t, []string{ended(4, calls.Answered, "x"), ended(2, calls.Answered, "y")}, bench.after(0))
}

// A vault that is slow on all connections is no reason to give anything up, nor to open connections without end.
func TestSlowVault(t *testing.T) {
	bench := newBench(t)
	var conns []*transporttest.Conn
	for n := range 400 {
		bench.call(n, 10*second, true)
		if len(bench.dials) > len(conns) {
			conns = append(conns, bench.connect())
		}
		require.Empty(t, bench.after(20*microtime.Millisecond))
		require.LessOrEqual(t, bench.client.Status().Connections, MaxConns)
	}
	require.Equal(t, 400, bench.client.Status().InFlight)
	require.Len(t, conns, MaxConns-1)
	for _, c := range conns {
		require.False(t, c.Closed)
	}
}

// Calls and connections are limited: one call too many is not sent, and an idle connection is closed before the vault
// would close it.
func TestBounds(t *testing.T) {
	bench := newBench(t)
	for n := range calls.MaxCalls + 1 {
		bench.call(n, 60*second, true)
	}
	c := bench.connect()
	require.Equal(t, []string{ended(calls.MaxCalls, calls.NotSent, "")}, bench.after(0))
	for n := range calls.MaxCalls {
		bench.sends(c, id(n)+" failed\r\n")
	}
	require.Len(t, bench.after(0), calls.MaxCalls)
	require.Empty(t, bench.after(calls.IdleTimeout-1))
	require.False(t, c.Closed)
	require.Empty(t, bench.after(1))
	require.True(t, c.Closed)
	require.Less(t, calls.IdleTimeout, 10*second)
}
