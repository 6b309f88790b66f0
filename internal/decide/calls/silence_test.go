package calls

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// The more calls are in flight on a connection, the sooner it counts as silent, within bounds.
func TestSilenceLimit(t *testing.T) {
	tests := []struct {
		name     string
		mean     microtime.Time
		inFlight int
		want     microtime.Time
	}{
		{"no reply yet", 0, 1, initialSilence},
		{"one call", 100 * microtime.Millisecond, 1, 500 * microtime.Millisecond},
		{"four calls", 100 * microtime.Millisecond, 4, 200 * microtime.Millisecond},
		{"none in flight counts as one", 100 * microtime.Millisecond, 0, 500 * microtime.Millisecond},
		{"quick replies", microtime.Millisecond, 1, minSilence},
		{"slow replies", 2 * microtime.Second, 100, maxSilence},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			reply := replyTime{mean: tc.mean}
			require.Equal(t, tc.want, reply.silenceLimit(tc.inFlight))
		})
	}
}

// A reply to a later call on another connection shows that a silent connection is broken: its idempotent calls end at
// once, its other calls wait for their deadline, and it takes no new calls.
func TestReplyOnAnotherConnEndsSilentCalls(t *testing.T) {
	pool, now := NewPool(), 100*microtime.Second
	pool.Call(now, Request{ID: "idempotent", Timeout: 10 * microtime.Second, Idempotent: true})
	pool.Call(now, Request{ID: "once", Timeout: 10 * microtime.Second})
	first := pool.Opened(now)
	now += initialSilence
	pool.Expire(now)
	require.True(t, pool.conn(first).silent)
	pool.Call(now, Request{ID: "later", Timeout: microtime.Second})
	second := pool.Opened(now)
	pool.Actions()

	pool.Replied(now, second, "later", Answered, nil)
	require.Equal(t, []Action{
		Complete{ID: "later", Outcome: Answered},
		Complete{ID: "idempotent", Outcome: Abandoned},
		Abandon{Conn: first, ID: "idempotent"},
	}, pool.Actions())
	require.True(t, pool.conn(first).retired)
	require.Equal(t, 1, pool.ConnClosed(first))
	require.Equal(t, []Action{Complete{ID: "once", Outcome: ConnectionLost}}, pool.Actions())
}
