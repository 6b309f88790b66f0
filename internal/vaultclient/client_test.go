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

// harness is a client under test. It implements the EventLoop of the client, and opens its connections.
type harness struct {
	t      *testing.T
	client *Client
	now    microtime.Time
	dials  []dial
	ended  []string // the outcomes reported since the last call of advance
}

type dial struct {
	address   string
	open      func(transport.Conn) transport.Session
	failed    func()
	cancelled bool
}

func (h *harness) Now() microtime.Time { return h.now }

func (h *harness) DialOnce(address string, open func(transport.Conn) transport.Session, failed func()) func() {
	h.dials = append(h.dials, dial{address: address, open: open, failed: failed})
	index := len(h.dials) - 1
	return func() { h.dials[index].cancelled = true }
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, client: New("v1", t.Logf)}
	h.client.Attach(h, func(_ microtime.Time, id string, outcome calls.Outcome, reply []byte) {
		h.ended = append(h.ended, fmt.Sprintf("%s %d %s", id[12:], outcome, reply))
	})
	return h
}

func id(n int) string { return fmt.Sprintf("%016d", n) }

func (h *harness) call(n int, timeout microtime.Time, idempotent bool) {
	h.client.Call(calls.Request{ID: id(n), Timeout: timeout, Idempotent: idempotent, Body: []byte("b")})
}

// connect completes the most recent dial.
func (h *harness) connect() *transporttest.Conn {
	require.NotEmpty(h.t, h.dials)
	return transporttest.Open("vault", h.dials[len(h.dials)-1].open)
}

// receive passes text from the vault to the client.
func (h *harness) receive(c *transporttest.Conn, text string) {
	n, err := c.Receive(text)
	require.NoError(h.t, err)
	require.Equal(h.t, len(text), n)
}

// advance moves the clock forward, and returns the outcomes of the calls that ended since the last advance.
func (h *harness) advance(d microtime.Time) []string {
	h.now += d
	h.client.Check(h.now)
	ended := h.ended
	h.ended = nil
	return ended
}

// callEnd returns the text that harness.ended has for the outcome of a call.
func callEnd(n int, outcome calls.Outcome, reply string) string {
	return fmt.Sprintf("%04d %d %s", n, outcome, reply)
}

const second = microtime.Second

// Calls share a connection. Replies may arrive in any order. Each ends its own call, and its body is unchanged. A reply
// to an unknown call is ignored.
func TestCallsShareAConnection(t *testing.T) {
	fixture := newHarness(t)
	fixture.call(1, second, true)
	fixture.call(2, second, false)
	require.Len(t, fixture.dials, 1)
	c := fixture.connect()
	require.Equal(t, "ask "+id(1)+" 1000 1\r\nb\r\nask "+id(2)+" 1000 1\r\nb\r\n", c.Written)
	fixture.receive(c, string(vault.AppendReply(nil, id(2), vault.Yes, []byte("r\r\n2"))))
	fixture.receive(c, id(7)+" failed\r\n"+id(1)+" notnow\r\n"+id(1)+" failed\r\n")
	require.Equal(t, []string{callEnd(2, calls.Answered, "r\r\n2"), callEnd(1, calls.Rejected, "")}, fixture.advance(0))
	require.Len(t, fixture.dials, 1)
}

// The outcome of a call depends on whether it was sent: after a failed dial it was certainly not executed, after the
// loss of an open connection this is unknown.
func TestOutcomeOfFailedConnections(t *testing.T) {
	fixture := newHarness(t)
	fixture.call(1, second, false)
	fixture.dials[0].failed()
	require.Equal(t, []string{callEnd(1, calls.ConnectFailed, "")}, fixture.advance(0))
	fixture.call(2, second, false)
	require.Equal(t, []string{callEnd(2, calls.ConnectFailed, "")}, fixture.advance(second), "the dial timed out")
	fixture.call(3, second, false)
	c := fixture.connect()
	require.NotContains(t, c.Written, id(2), "the call timed out before the connection was opened")
	c.Disconnect()
	require.Equal(t, []string{callEnd(3, calls.ConnectionLost, "")}, fixture.advance(0))
	fixture.call(4, second, false)
	require.Len(t, fixture.dials, 3)
}

// A call is abandoned when it times out. The vault is notified once of each abandoned call.
func TestAbandon(t *testing.T) {
	fixture := newHarness(t)
	fixture.call(1, 100*microtime.Millisecond, false)
	fixture.call(2, second, false)
	c := fixture.connect()
	c.Written = ""
	fixture.client.Abandon(id(2))
	fixture.client.Abandon(id(2))
	require.Equal(t, "unask "+id(2)+"\r\n", c.Written)
	require.Equal(t, []string{callEnd(1, calls.Abandoned, "")}, fixture.advance(100*microtime.Millisecond))
	require.Equal(t, "unask "+id(2)+"\r\nunask "+id(1)+"\r\n", c.Written)
	fixture.receive(c, id(1)+" yes 1\r\nx\r\n"+id(2)+" yes 1\r\nx\r\n")
	require.Empty(t, fixture.advance(0), "replies to abandoned calls")
	fixture.call(3, second, false)
	fixture.receive(c, id(3)+" yes 1\r\nx\r\n")
	fixture.client.Abandon(id(3))
	require.Empty(t, fixture.advance(0), "the unreported outcome of an abandoned call")
}

// Guards a call against the late reply to an earlier call with the same ID: if the earlier call was abandoned while its
// reply was in flight, that reply must not end the new call, however often the call is repeated.
func TestLateReplyDoesNotEndNextCall(t *testing.T) {
	fixture := newHarness(t)
	var conns []*transporttest.Conn
	for attempt := range 3 * calls.MaxServingConns {
		fixture.call(1, second, true) // abandons the previous call
		conns = append(conns, fixture.connect())
		require.Len(t, fixture.dials, attempt+1, "each call gets a new connection")
		if attempt > 0 {
			require.True(t, strings.HasSuffix(conns[attempt-1].Written, "unask "+id(1)+"\r\n"))
			fixture.receive(conns[attempt-1], id(1)+" yes 3\r\nold\r\n")
		}
		require.Empty(t, fixture.advance(0))
		for _, c := range conns {
			if c.Closed {
				c.Disconnect()
			}
		}
		require.LessOrEqual(t, fixture.client.Status().Connections, MaxConns)
	}
	fixture.receive(conns[len(conns)-1], id(1)+" yes 3\r\nnew\r\n")
	require.Equal(t, []string{callEnd(1, calls.Answered, "new")}, fixture.advance(0))
}

// After a change of the address, new calls and calls that were not sent yet go to the new address. Calls in flight end
// on their connections.
func TestSetAddress(t *testing.T) {
	fixture := newHarness(t)
	fixture.call(1, second, false)
	old := fixture.connect()
	fixture.client.SetAddress("v2")
	require.False(t, old.Closed)
	fixture.call(2, second, false)
	require.Equal(t, "v2", fixture.dials[1].address)
	fixture.client.SetAddress("v3")
	require.True(t, fixture.dials[1].cancelled)
	require.Equal(t, "v3", fixture.dials[2].address)
	require.Contains(t, fixture.connect().Written, "ask "+id(2))
	fixture.receive(old, id(1)+" yes 1\r\nx\r\n")
	require.Equal(t, []string{callEnd(1, calls.Answered, "x")}, fixture.advance(0))
	require.True(t, old.Closed, "the connection to the old address is closed after its last call")
}

// No new calls are sent on a silent connection. Once the vault has replied on another connection, the idempotent calls
// on the silent connection end. The other calls on it continue until they time out.
func TestSilentConnection(t *testing.T) {
	fixture := newHarness(t)
	fixture.call(1, 3*second, true)
	fixture.call(2, 3*second, false)
	silent := fixture.connect()
	require.Empty(t, fixture.advance(second/2))
	fixture.call(3, 3*second, true)
	require.NotContains(t, silent.Written, id(3))
	other := fixture.connect()
	fixture.receive(other, id(3)+" yes 1\r\nx\r\n")
	require.Equal(t, []string{callEnd(3, calls.Answered, "x"), callEnd(1, calls.Abandoned, "")}, fixture.advance(0))
	fixture.call(4, second, true)
	require.Contains(t, other.Written, id(4))
	fixture.receive(other, id(4)+" yes 1\r\nx\r\n")
	fixture.receive(silent, id(2)+" yes 1\r\ny\r\n")
	require.Equal(t, []string{callEnd(4, calls.Answered, "x"), callEnd(2, calls.Answered, "y")}, fixture.advance(0))
}

// If the vault is slow on all connections, no call is abandoned, and the number of connections stays limited.
func TestSlowVault(t *testing.T) {
	fixture := newHarness(t)
	var conns []*transporttest.Conn
	for n := range 400 {
		fixture.call(n, 10*second, true)
		if len(fixture.dials) > len(conns) {
			conns = append(conns, fixture.connect())
		}
		require.Empty(t, fixture.advance(20*microtime.Millisecond))
		require.LessOrEqual(t, fixture.client.Status().Connections, MaxConns)
	}
	require.Equal(t, 400, fixture.client.Status().InFlight)
	require.Len(t, conns, MaxConns-1)
	for _, c := range conns {
		require.False(t, c.Closed)
	}
}

// A call beyond MaxCalls is not sent. An idle connection is closed after IdleTimeout, before the vault would close it.
func TestLimits(t *testing.T) {
	fixture := newHarness(t)
	for n := range calls.MaxCalls + 1 {
		fixture.call(n, 60*second, true)
	}
	c := fixture.connect()
	require.Equal(t, []string{callEnd(calls.MaxCalls, calls.NotSent, "")}, fixture.advance(0))
	for n := range calls.MaxCalls {
		fixture.receive(c, id(n)+" failed\r\n")
	}
	require.Len(t, fixture.advance(0), calls.MaxCalls)
	require.Empty(t, fixture.advance(calls.IdleTimeout-1))
	require.False(t, c.Closed)
	require.Empty(t, fixture.advance(1))
	require.True(t, c.Closed)
	require.Less(t, calls.IdleTimeout, 10*second)
}
