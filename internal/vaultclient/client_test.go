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
)

// bench is a client on a clock that the test moves, with connections that the test opens and reads.
type bench struct {
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

type conn struct {
	session transport.Session
	out     string
	closed  bool
}

func (c *conn) Write(p []byte)  { c.out += string(p) }
func (c *conn) Close()          { c.closed = true }
func (c *conn) Resume()         {}
func (c *conn) MarkIdentified() {}
func (c *conn) Remote() string  { return "vault" }

func (b *bench) Now() microtime.Time { return b.now }

func (b *bench) DialOnce(address string, open func(transport.Conn) transport.Session, failed func()) func() {
	b.dials = append(b.dials, dial{address: address, open: open, failed: failed})
	at := len(b.dials) - 1
	return func() { b.dials[at].dropped = true }
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, client: New("v1", t.Logf)}
	b.client.Attach(b, func(_ microtime.Time, id string, outcome calls.Outcome, reply []byte) {
		b.ended = append(b.ended, fmt.Sprintf("%s %d %s", id[12:], outcome, reply))
	})
	return b
}

func id(n int) string { return fmt.Sprintf("%016d", n) }

func (b *bench) ask(n int, wait microtime.Time, repeatable bool) {
	b.client.Call(calls.Request{ID: id(n), Timeout: wait, Idempotent: repeatable, Body: []byte("b")})
}

// opens opens the link that is being dialled.
func (b *bench) opens() *conn {
	require.NotEmpty(b.t, b.dials)
	c := &conn{}
	c.session = b.dials[len(b.dials)-1].open(c)
	return c
}

// tells has the vault send something on a connection.
func (b *bench) tells(c *conn, text string) {
	n, err := c.session.Receive([]byte(text))
	require.NoError(b.t, err)
	require.Equal(b.t, len(text), n)
}

// after moves the clock on, and returns how calls ended since the last time.
func (b *bench) after(d microtime.Time) []string {
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

// Calls share a link, and each reply ends its own call, in any order and unchanged; one for no call is dropped.
func TestCallsShareALink(t *testing.T) {
	b := newBench(t)
	b.ask(1, second, true)
	b.ask(2, second, false)
	require.Len(t, b.dials, 1)
	c := b.opens()
	require.Equal(t, "ask "+id(1)+" 1000 1\r\nb\r\nask "+id(2)+" 1000 1\r\nb\r\n", c.out)
	b.tells(c, string(vault.AppendReply(nil, id(2), vault.Yes, []byte("r\r\n2"))))
	b.tells(c, id(7)+" failed\r\n"+id(1)+" notnow\r\n"+id(1)+" failed\r\n")
	require.Equal(t, []string{ended(2, calls.Answered, "r\r\n2"), ended(1, calls.Rejected, "")}, b.after(0))
	require.Len(t, b.dials, 1)
}

// What the end of a call proves depends on whether it was sent: a link that never opened proves that nothing ran, one that
// broke proves nothing.
func TestEndsOfLinks(t *testing.T) {
	b := newBench(t)
	b.ask(1, second, false)
	b.dials[0].failed()
	require.Equal(t, []string{ended(1, calls.ConnectFailed, "")}, b.after(0))
	b.ask(2, second, false)
	require.Equal(t, []string{ended(2, calls.ConnectFailed, "")}, b.after(second), "a dial that hangs")
	b.ask(3, second, false)
	c := b.opens()
	require.NotContains(t, c.out, id(2), "its time was over before the link opened")
	c.session.Closed()
	require.Equal(t, []string{ended(3, calls.ConnectionLost, "")}, b.after(0))
	b.ask(4, second, false)
	require.Len(t, b.dials, 3)
}

// A call whose time is over is given up, and what is given up is told to the vault once.
func TestGivingUp(t *testing.T) {
	b := newBench(t)
	b.ask(1, 100*microtime.Millisecond, false)
	b.ask(2, second, false)
	c := b.opens()
	c.out = ""
	b.client.Abandon(id(2))
	b.client.Abandon(id(2))
	require.Equal(t, "unask "+id(2)+"\r\n", c.out)
	require.Equal(t, []string{ended(1, calls.Abandoned, "")}, b.after(100*microtime.Millisecond))
	require.Equal(t, "unask "+id(2)+"\r\nunask "+id(1)+"\r\n", c.out)
	b.tells(c, id(1)+" yes 1\r\nx\r\n"+id(2)+" yes 1\r\nx\r\n")
	require.Empty(t, b.after(0), "replies that cross")
	b.ask(3, second, false)
	b.tells(c, id(3)+" yes 1\r\nx\r\n")
	b.client.Abandon(id(3))
	require.Empty(t, b.after(0), "an end that was not told yet")
}

// A reply that crosses the giving up of a call is never taken for that of the next call with its id, however often that is made.
func TestCrossingReplyIsNotOfTheNextCall(t *testing.T) {
	b := newBench(t)
	var conns []*conn
	for again := range 3 * calls.MaxServingConns {
		b.ask(1, second, true) // gives up the one before
		conns = append(conns, b.opens())
		require.Len(t, b.dials, again+1, "a link of its own")
		if again > 0 {
			require.True(t, strings.HasSuffix(conns[again-1].out, "unask "+id(1)+"\r\n"))
			b.tells(conns[again-1], id(1)+" yes 3\r\nold\r\n")
		}
		require.Empty(t, b.after(0))
		for _, c := range conns {
			if c.closed {
				c.session.Closed()
			}
		}
		require.LessOrEqual(t, b.client.Status().Links, MaxConns)
	}
	b.tells(conns[len(conns)-1], id(1)+" yes 3\r\nnew\r\n")
	require.Equal(t, []string{ended(1, calls.Answered, "new")}, b.after(0))
}

// New calls go to the new address, those in hand end where they were made, and what was never sent goes to the new one.
func TestMove(t *testing.T) {
	b := newBench(t)
	b.ask(1, second, false)
	old := b.opens()
	b.client.SetAddress("v2")
	require.False(t, old.closed)
	b.ask(2, second, false)
	require.Equal(t, "v2", b.dials[1].address)
	b.client.SetAddress("v3")
	require.True(t, b.dials[1].dropped)
	require.Equal(t, "v3", b.dials[2].address)
	require.Contains(t, b.opens().out, "ask "+id(2))
	b.tells(old, id(1)+" yes 1\r\nx\r\n")
	require.Equal(t, []string{ended(1, calls.Answered, "x")}, b.after(0))
	require.True(t, old.closed, "with its last call")
}

// A link that has fallen silent gets no new calls. Once the vault has answered on another, its repeatable calls end, and the
// others keep their time.
func TestSilentLink(t *testing.T) {
	b := newBench(t)
	b.ask(1, 3*second, true)
	b.ask(2, 3*second, false)
	silent := b.opens()
	require.Empty(t, b.after(second/2))
	b.ask(3, 3*second, true)
	require.NotContains(t, silent.out, id(3))
	other := b.opens()
	b.tells(other, id(3)+" yes 1\r\nx\r\n")
	require.Equal(t, []string{ended(3, calls.Answered, "x"), ended(1, calls.Abandoned, "")}, b.after(0))
	b.ask(4, second, true)
	require.Contains(t, other.out, id(4))
	b.tells(other, id(4)+" yes 1\r\nx\r\n")
	b.tells(silent, id(2)+" yes 1\r\ny\r\n")
	require.Equal(t, []string{ended(4, calls.Answered, "x"), ended(2, calls.Answered, "y")}, b.after(0))
}

// A vault that is slow on all links is no reason to give anything up, nor to open links without end.
func TestSlowVault(t *testing.T) {
	b := newBench(t)
	var conns []*conn
	for n := range 400 {
		b.ask(n, 10*second, true)
		if len(b.dials) > len(conns) {
			conns = append(conns, b.opens())
		}
		require.Empty(t, b.after(20*microtime.Millisecond))
		require.LessOrEqual(t, b.client.Status().Links, MaxConns)
	}
	require.Equal(t, 400, b.client.Status().InFlight)
	require.Len(t, conns, MaxConns-1)
	for _, c := range conns {
		require.False(t, c.closed)
	}
}

// Calls and links are bounded: one call too many is not sent, and an idle link is closed before the vault would close it.
func TestBounds(t *testing.T) {
	b := newBench(t)
	for n := range calls.MaxCalls + 1 {
		b.ask(n, 60*second, true)
	}
	c := b.opens()
	require.Equal(t, []string{ended(calls.MaxCalls, calls.NotSent, "")}, b.after(0))
	for n := range calls.MaxCalls {
		b.tells(c, id(n)+" failed\r\n")
	}
	require.Len(t, b.after(0), calls.MaxCalls)
	require.Empty(t, b.after(calls.IdleTimeout-1))
	require.False(t, c.closed)
	require.Empty(t, b.after(1))
	require.True(t, c.closed)
	require.Less(t, calls.IdleTimeout, 10*second)
}
