package calls

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// start is when the tests begin; long is a timeout that none of them reaches.
const (
	start = 100 * microtime.Second
	long  = 100 * microtime.Second
)

// openPool is a pool with a connection that a call is in flight on.
func openPool(t *testing.T, id string) (*Pool, ConnID) {
	t.Helper()
	pool := NewPool()
	pool.Call(start, Request{ID: id, Timeout: long})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
	conn := pool.Opened(start)
	require.Equal(t, []Action{Send{Conn: conn, ID: id, Timeout: long}}, pool.Actions())
	return pool, conn
}

// completions are the ends of calls among the actions.
func completions(actions []Action) []Complete {
	var ended []Complete
	for _, action := range actions {
		if complete, ok := action.(Complete); ok {
			ended = append(ended, complete)
		}
	}
	return ended
}

// Calls wait for the connection that is dialled; where it cannot be opened they end, and none was sent.
func TestDialFails(t *testing.T) {
	pool := NewPool()
	pool.Call(start, Request{ID: "a", Timeout: long})
	pool.Call(start, Request{ID: "b", Timeout: long})
	require.Equal(t, []Action{Dial{}}, pool.Actions(), "one dial at a time")
	_, inFlight, waiting := pool.Counts()
	require.Equal(t, 2, inFlight)
	require.Equal(t, 2, waiting)
	pool.DialFailed()
	require.Equal(t, []Action{
		Complete{ID: "a", Outcome: ConnectFailed}, Complete{ID: "b", Outcome: ConnectFailed},
	}, pool.Actions())
}

// A reply counts once, on the connection of its call.
func TestReplyCountsOnce(t *testing.T) {
	pool, conn := openPool(t, "a")
	pool.Replied(start, conn+1, "a", Answered, []byte("of another connection"))
	pool.Replied(start, conn, "b", Answered, []byte("of another call"))
	require.Empty(t, pool.Actions())
	pool.Replied(start, conn, "a", Answered, []byte("reply"))
	pool.Replied(start, conn, "a", Answered, []byte("twice"))
	require.Equal(t, []Action{Complete{ID: "a", Outcome: Answered, Reply: []byte("reply")}}, pool.Actions())
}

// An ID that was abandoned on a connection is not used on it again: the late reply would be taken for that of the new
// call.
func TestAbandonedIDIsNotUsedAgain(t *testing.T) {
	pool, conn := openPool(t, "a")
	pool.Abandon(start, "a")
	require.Equal(t, []Action{Abandon{Conn: conn, ID: "a"}}, pool.Actions())
	pool.Call(start, Request{ID: "a", Timeout: long})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
	pool.Replied(start, conn, "a", Answered, []byte("late"))
	require.Empty(t, pool.Actions())
	second := pool.Opened(start)
	require.Equal(t, []Action{Send{Conn: second, ID: "a", Timeout: long}}, pool.Actions())
}

// A call that is made again before the host has heard how the last one ended has one end, its own.
func TestEndThatNobodyHeardOf(t *testing.T) {
	pool, conn := openPool(t, "a")
	pool.Replied(start, conn, "a", Rejected, nil)
	pool.Call(start, Request{ID: "a", Timeout: long})
	require.Equal(t, []Action{Send{Conn: conn, ID: "a", Timeout: long}}, pool.Actions())
}

// A connection that is full has another one opened, up to the bound; calls beyond the bound of all end at once.
func TestBounds(t *testing.T) {
	pool := NewPool()
	conns := 0
	for n := range MaxCalls {
		pool.Call(start, Request{ID: fmt.Sprint(n), Timeout: long})
		for _, action := range pool.Actions() {
			if _, ok := action.(Dial); ok {
				pool.Opened(start)
				conns++
			}
		}
	}
	require.Equal(t, MaxServingConns, conns)
	pool.Call(start, Request{ID: "more", Timeout: long})
	require.Equal(t, []Action{Complete{ID: "more", Outcome: NotSent}}, pool.Actions())
	_, inFlight, _ := pool.Counts()
	require.Equal(t, MaxCalls, inFlight)
}

// After a change of the address the calls in flight end where they were made, and new ones go to the new address.
func TestAddressChanged(t *testing.T) {
	pool, old := openPool(t, "a")
	pool.AddressChanged()
	pool.Call(start, Request{ID: "b", Timeout: long})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
	pool.AddressChanged()
	require.Equal(t, []Action{Redial{}}, pool.Actions())
	opened := pool.Opened(start)
	require.Equal(t, []Action{Send{Conn: opened, ID: "b", Timeout: long}}, pool.Actions())
	pool.Replied(start, old, "a", Answered, nil)
	require.Equal(t, []Action{Close{old}, Complete{ID: "a", Outcome: Answered}}, pool.Actions())
}

// Calls end by their deadline: those that were sent are abandoned, the others had no connection.
func TestDeadline(t *testing.T) {
	pool, conn := openPool(t, "sent")
	pool.AddressChanged() // so that the next one waits
	pool.Call(start, Request{ID: "waiting", Timeout: long})
	pool.Actions()
	pool.Expire(start + long)
	require.ElementsMatch(t, []Complete{
		{ID: "sent", Outcome: Abandoned}, {ID: "waiting", Outcome: ConnectFailed},
	}, completions(pool.Actions()))
	require.Zero(t, pool.ConnClosed(conn), "nothing is in flight any more")
}

// A connection without a call is closed before the service closes it.
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

// A connection that remembers too many abandoned calls is retired.
func TestManyAbandonedRetireAConn(t *testing.T) {
	pool, conn := openPool(t, "first")
	for n := range abandonedPerConn {
		id := fmt.Sprint(n)
		pool.Call(start, Request{ID: id, Timeout: long})
		pool.Abandon(start, id)
	}
	require.True(t, pool.conn(conn).retired)
	pool.Actions()
	pool.Call(start, Request{ID: "next", Timeout: long})
	require.Equal(t, []Action{Dial{}}, pool.Actions())
}
