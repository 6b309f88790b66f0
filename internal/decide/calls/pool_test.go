package calls

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

const (
	start       = 100 * microtime.Second // when the tests begin
	longTimeout = 100 * microtime.Second // expires only in TestDeadline
)

// openPool returns a pool with one connection, on which a call is in flight.
func openPool(t *testing.T, id string) (*Pool, ConnID) {
	t.Helper()
	pool := NewPool()
	pool.Call(start, Request{ID: id, Timeout: longTimeout})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
	conn := pool.Opened(start)
	require.Equal(t, []Action{Send{Conn: conn, ID: id, Timeout: longTimeout}}, pool.Actions())
	return pool, conn
}

// completions returns the Complete actions.
func completions(actions []Action) []Complete {
	var ended []Complete
	for _, action := range actions {
		if complete, ok := action.(Complete); ok {
			ended = append(ended, complete)
		}
	}
	return ended
}

// Calls wait for the connection that is being dialled. If it cannot be opened, they end with ConnectFailed.
func TestDialFails(t *testing.T) {
	pool := NewPool()
	pool.Call(start, Request{ID: "a", Timeout: longTimeout})
	pool.Call(start, Request{ID: "b", Timeout: longTimeout})
	require.Equal(t, []Action{Dial{}}, pool.Actions(), "one dial at a time")
	_, inFlight, waiting := pool.Counts()
	require.Equal(t, 2, inFlight)
	require.Equal(t, 2, waiting)
	pool.DialFailed()
	require.Equal(t, []Action{
		Complete{ID: "a", Outcome: ConnectFailed}, Complete{ID: "b", Outcome: ConnectFailed},
	}, pool.Actions())
}

// Only the first reply on the connection of its call completes a call.
func TestReplyCountsOnce(t *testing.T) {
	pool, conn := openPool(t, "a")
	pool.Replied(start, conn+1, "a", Answered, []byte("of another connection"))
	pool.Replied(start, conn, "b", Answered, []byte("of another call"))
	require.Empty(t, pool.Actions())
	pool.Replied(start, conn, "a", Answered, []byte("reply"))
	pool.Replied(start, conn, "a", Answered, []byte("twice"))
	require.Equal(t, []Action{Complete{ID: "a", Outcome: Answered, Reply: []byte("reply")}}, pool.Actions())
}

// An ID that was abandoned on a connection is not used on it again: a late reply to the abandoned call would be
// mistaken for the reply to the new one.
func TestAbandonedIDIsNotUsedAgain(t *testing.T) {
	pool, conn := openPool(t, "a")
	pool.Abandon(start, "a")
	require.Equal(t, []Action{Abandon{Conn: conn, ID: "a"}}, pool.Actions())
	pool.Call(start, Request{ID: "a", Timeout: longTimeout})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
	pool.Replied(start, conn, "a", Answered, []byte("late"))
	require.Empty(t, pool.Actions())
	second := pool.Opened(start)
	require.Equal(t, []Action{Send{Conn: second, ID: "a", Timeout: longTimeout}}, pool.Actions())
}

// A call that is repeated before the host has taken the completion of the previous one drops that completion, which
// would otherwise end the new call.
func TestRepeatedCallDropsCompletion(t *testing.T) {
	pool, conn := openPool(t, "a")
	pool.Replied(start, conn, "a", Rejected, nil)
	pool.Call(start, Request{ID: "a", Timeout: longTimeout})
	require.Equal(t, []Action{Send{Conn: conn, ID: "a", Timeout: longTimeout}}, pool.Actions())
}

// Further connections are opened as the open ones fill, up to MaxServingConns. A call beyond MaxCalls ends at once.
func TestBounds(t *testing.T) {
	pool := NewPool()
	conns := 0
	for n := range MaxCalls {
		pool.Call(start, Request{ID: fmt.Sprint(n), Timeout: longTimeout})
		for _, action := range pool.Actions() {
			if _, ok := action.(Dial); ok {
				pool.Opened(start)
				conns++
			}
		}
	}
	require.Equal(t, MaxServingConns, conns)
	pool.Call(start, Request{ID: "more", Timeout: longTimeout})
	require.Equal(t, []Action{Complete{ID: "more", Outcome: NotSent}}, pool.Actions())
	_, inFlight, _ := pool.Counts()
	require.Equal(t, MaxCalls, inFlight)
}

// After a change of the address, calls in flight finish on their connection, and new calls use a connection to the new
// address.
func TestAddressChanged(t *testing.T) {
	pool, old := openPool(t, "a")
	pool.AddressChanged()
	pool.Call(start, Request{ID: "b", Timeout: longTimeout})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
	pool.AddressChanged()
	require.Equal(t, []Action{Redial{}}, pool.Actions())
	opened := pool.Opened(start)
	require.Equal(t, []Action{Send{Conn: opened, ID: "b", Timeout: longTimeout}}, pool.Actions())
	pool.Replied(start, old, "a", Answered, nil)
	require.Equal(t, []Action{Close{old}, Complete{ID: "a", Outcome: Answered}}, pool.Actions())
}

// At their deadline, calls that were sent end with Abandoned, and calls without a connection with ConnectFailed.
func TestDeadline(t *testing.T) {
	pool, conn := openPool(t, "sent")
	pool.AddressChanged() // so that the next call waits for a connection
	pool.Call(start, Request{ID: "waiting", Timeout: longTimeout})
	pool.Actions()
	pool.Expire(start + longTimeout)
	require.ElementsMatch(t, []Complete{
		{ID: "sent", Outcome: Abandoned}, {ID: "waiting", Outcome: ConnectFailed},
	}, completions(pool.Actions()))
	require.Zero(t, pool.ConnClosed(conn), "no call may be in flight any more")
}

// An idle connection is closed before the service would close it.
func TestIdleConnIsClosed(t *testing.T) {
	pool, conn := openPool(t, "a")
	pool.Replied(start, conn, "a", Answered, nil)
	pool.Actions()
	pool.Expire(start + IdleTimeout - 1)
	require.Empty(t, pool.Actions())
	require.LessOrEqual(t, pool.NextWakeup(), start+IdleTimeout)
	pool.Expire(start + IdleTimeout)
	require.Equal(t, []Action{Close{conn}}, pool.Actions())
}

// A connection on which too many calls were abandoned is retired.
func TestConnWithManyAbandonedCallsIsRetired(t *testing.T) {
	pool, conn := openPool(t, "first")
	for n := range maxAbandonedPerConn {
		id := fmt.Sprint(n)
		pool.Call(start, Request{ID: id, Timeout: longTimeout})
		pool.Abandon(start, id)
	}
	require.True(t, pool.conn(conn).retired)
	pool.Actions()
	pool.Call(start, Request{ID: "next", Timeout: longTimeout})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
}
