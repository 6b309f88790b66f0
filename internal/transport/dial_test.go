package transport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// neverOpens fails the test if it is called.
func neverOpens(t *testing.T) func(Conn) Session {
	t.Helper()
	return func(Conn) Session {
		t.Error("the connection was opened")
		return &fakeSession{}
	}
}

// The backoff doubles from initialRedialBackoff to maxRedialBackoff and stays there, until the connection opens.
func TestRedialBackoff(t *testing.T) {
	env := newBench(t, Options{})
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
		env.fail()
		env.advance(backoff - 1)
		require.Len(t, env.dials, attempt+1, "before the backoff is over")
		env.advance(1)
		require.Len(t, env.dials, attempt+2)
	}
	raw := &fakeConn{name: "pool"}
	raw.conn = env.loop.Connected(env.dials[len(env.dials)-1], raw)
	env.run()
	require.Equal(t, 1, opened)
	env.receives(raw, "bound")
	require.Equal(t, "bound", session.received)
}

// Each dial has a backoff of its own.
func TestRedialBackoffOfEach(t *testing.T) {
	env := newBench(t, Options{})
	env.loop.Dial("pool", neverOpens(t))
	env.fail()
	env.advance(initialRedialBackoff)
	env.fail()
	env.loop.Dial("peer", neverOpens(t))
	env.fail()
	dials := len(env.dials)
	env.advance(initialRedialBackoff)
	require.Len(t, env.dials, dials+1)
	require.Equal(t, "peer", env.dials[dials].Addr())
	env.advance(initialRedialBackoff)
	require.Len(t, env.dials, dials+2)
	require.Equal(t, "pool", env.dials[dials+1].Addr())
}

func TestDroppedDial(t *testing.T) {
	tests := map[string]func(env *bench, drop func()){
		"while the attempt is under way, which fails": func(env *bench, drop func()) {
			drop()
			env.fail()
		},
		"during the backoff": func(env *bench, drop func()) {
			env.fail()
			drop()
		},
		"while the attempt is under way, which opens": func(env *bench, drop func()) {
			drop()
			require.Nil(env.t, env.loop.Connected(env.dials[0], &fakeConn{}))
			env.run()
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			env := newBench(t, Options{})
			end(env, env.loop.Dial("pool", neverOpens(t)))
			env.advance(10 * maxRedialBackoff)
			require.Len(t, env.dials, 1, "it is not dialled again")
			require.Empty(t, env.loop.redials.dials)
		})
	}
}

// A single attempt reports its failure instead of being repeated, and nothing once it is dropped.
func TestDialOnce(t *testing.T) {
	for name, dropped := range map[string]bool{"wanted": false, "dropped": true} {
		t.Run(name, func(t *testing.T) {
			env := newBench(t, Options{})
			failures := 0
			drop := env.loop.DialOnce("vault", neverOpens(t), func() { failures++ })
			if dropped {
				drop()
			}
			env.fail()
			env.advance(10 * maxRedialBackoff)
			require.Len(t, env.dials, 1)
			require.Equal(t, dropped, failures == 0)
		})
	}
}
