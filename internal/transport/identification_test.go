package transport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// An accepted connection must get a valid message within IdentificationTimeout, however many bytes arrive before.
func TestIdentificationTimeout(t *testing.T) {
	tests := map[string]struct {
		during func(env *testEnv, raw *fakeConn, session *fakeSession)
		closed bool
	}{
		"silent": {
			during: func(*testEnv, *fakeConn, *fakeSession) {},
			closed: true,
		},
		"half a message, byte by byte": {
			during: func(env *testEnv, raw *fakeConn, session *fakeSession) {
				session.stalled = true
				for range 10 {
					require.True(env.t, env.receive(raw, "h"))
					env.advance(IdentificationTimeout / 20)
				}
			},
			closed: true,
		},
		"identified at once": {
			during: func(_ *testEnv, _ *fakeConn, session *fakeSession) { session.identify() },
		},
		"identified at the last moment": {
			during: func(env *testEnv, _ *fakeConn, session *fakeSession) {
				env.advance(IdentificationTimeout - 1)
				session.identify()
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, Options{MaxConns: 9})
			accepted := env.now
			raw, session := env.connect(0)
			tc.during(env, raw, session)
			env.advance(accepted + IdentificationTimeout - 1 - env.now)
			requireOpen(t, raw, session)
			env.advance(1)
			if tc.closed {
				requireHalfClosed(t, raw, session)
				require.Contains(t, env.log[0], "closed, no valid message within the identification timeout: peer=peer 1")
				return
			}
			env.advance(100 * IdentificationTimeout)
			requireOpen(t, raw, session)
		})
	}
}

// Each connection has its own timeout, also after an identified one in the queue.
func TestIdentificationTimeoutIsPerConnection(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 9})
	first, firstSession := env.connect(0)
	second, secondSession := env.connect(0)
	secondSession.identify()
	env.advance(IdentificationTimeout / 2)
	third, thirdSession := env.connect(0)
	env.advance(IdentificationTimeout / 2)
	requireHalfClosed(t, first, firstSession)
	requireOpen(t, third, thirdSession)
	env.advance(IdentificationTimeout / 2)
	requireHalfClosed(t, third, thirdSession)
	requireOpen(t, second, secondSession)
	require.Empty(t, env.loop.unidentified.conns)
}

// A connection that the program has dialled is trusted and needs no identification.
func TestDialledConnectionNeedsNoIdentification(t *testing.T) {
	env := newTestEnv(t, Options{})
	session := &fakeSession{}
	env.loop.Dial("pool", func(Conn) Session { return session })
	raw := &fakeConn{name: "pool"}
	raw.conn = env.loop.Connected(env.dials[0], raw)
	env.run()
	env.advance(10 * IdentificationTimeout)
	requireOpen(t, raw, session)
}
