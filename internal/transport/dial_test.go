package transport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// neverOpens returns an open function that fails the test if it is called.
func neverOpens(t *testing.T) func(Conn) Session {
	t.Helper()
	return func(Conn) Session {
		t.Error("the connection was opened")
		return &fakeSession{}
	}
}

// The backoff doubles from initialRedialBackoff to maxRedialBackoff and then stays, until the connection opens.
func TestRedialBackoff(t *testing.T) {
	env := newTestEnv(t, Options{})
	session := &fakeSession{}
	opened := 0
	env.loop.Dial("pool", func(Conn) Session {
		opened++
		return session
	})
	for attempt, backoff := range []microtime.Time{20, 40, 80, 160, 320, 500, 500, 500} {
		backoff *= microtime.Millisecond
		require.Len(t, env.dials, attempt+1)
		require.Equal(t, "pool", env.dials[attempt].Addr())
		env.failDial()
		env.advance(backoff - 1)
		require.Len(t, env.dials, attempt+1, "before the backoff has passed")
		env.advance(1)
		require.Len(t, env.dials, attempt+2)
	}
	raw := &fakeConn{name: "pool"}
	raw.conn = env.loop.Connected(env.dials[len(env.dials)-1], raw)
	env.run()
	require.Equal(t, 1, opened)
	env.receive(raw, "bound")
	require.Equal(t, "bound", session.received)
}

// Each dial has its own backoff.
func TestRedialBackoffIsPerDial(t *testing.T) {
	env := newTestEnv(t, Options{})
	env.loop.Dial("pool", neverOpens(t))
	env.failDial()
	env.advance(initialRedialBackoff)
	env.failDial()
	env.loop.Dial("peer", neverOpens(t))
	env.failDial()
	dials := len(env.dials)
	env.advance(initialRedialBackoff)
	require.Len(t, env.dials, dials+1)
	require.Equal(t, "peer", env.dials[dials].Addr())
	env.advance(initialRedialBackoff)
	require.Len(t, env.dials, dials+2)
	require.Equal(t, "pool", env.dials[dials+1].Addr())
}

func TestCancelledDial(t *testing.T) {
	tests := map[string]func(env *testEnv, cancel func()){
		"during an attempt that fails": func(env *testEnv, cancel func()) {
			cancel()
			env.failDial()
		},
		"during the backoff": func(env *testEnv, cancel func()) {
			env.failDial()
			cancel()
		},
		"during an attempt that succeeds": func(env *testEnv, cancel func()) {
			cancel()
			require.Nil(env.t, env.loop.Connected(env.dials[0], &fakeConn{}))
			env.run()
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, Options{})
			end(env, env.loop.Dial("pool", neverOpens(t)))
			env.advance(10 * maxRedialBackoff)
			require.Len(t, env.dials, 1, "it is not dialled again")
			require.Empty(t, env.loop.redials.dials)
		})
	}
}

// DialOnce reports the failure of its attempt and does not retry. It reports nothing once it is cancelled.
func TestDialOnce(t *testing.T) {
	for name, cancelled := range map[string]bool{"not cancelled": false, "cancelled": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, Options{})
			failures := 0
			cancel := env.loop.DialOnce("vault", neverOpens(t), func() { failures++ })
			if cancelled {
				cancel()
			}
			env.failDial()
			env.advance(10 * maxRedialBackoff)
			require.Len(t, env.dials, 1)
			require.Equal(t, cancelled, failures == 0)
		})
	}
}
