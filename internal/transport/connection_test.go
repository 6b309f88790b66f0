package transport

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// Unconsumed bytes move to the front of the buffer, and a large buffer is released once it is empty.
func TestConsume(t *testing.T) {
	c := &Connection{received: []byte("abcdef")}
	c.consume(2)
	require.Equal(t, "cdef", string(c.received))
	c.consume(4)
	require.Empty(t, c.received)
	c.received = make([]byte, retainedCapacity+1)
	c.consume(len(c.received))
	require.Nil(t, c.received)
}

// The bytes that a session writes in a turn are sent at its end in one write, and the connection closes after that.
func TestWriteAndCloseAtEndOfTurn(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	require.NoError(t, env.loop.Execute(func() {
		session.conn.Write([]byte("one "))
		session.conn.Write([]byte("two"))
		session.conn.Close()
		session.conn.Write([]byte("late"))
		require.Empty(t, raw.written)
	}))
	env.run()
	require.Equal(t, "one two", string(raw.written))
	requireHalfClosed(t, raw, session)
}

// On a half-closed connection a limited number of bytes is discarded, until the peer closes or LingerTimeout expires.
func TestLingering(t *testing.T) {
	tests := map[string]struct {
		end    func(env *testEnv, raw *fakeConn)
		closed bool // whether this side closes the connection
	}{
		"the peer closes":         {end: func(_ *testEnv, raw *fakeConn) { raw.conn.Ended() }},
		"the peer does nothing":   {end: func(env *testEnv, _ *fakeConn) { env.advance(LingerTimeout) }, closed: true},
		"not before the timeout":  {end: func(env *testEnv, _ *fakeConn) { env.advance(LingerTimeout - 1) }},
		"the peer sends a little": {end: func(env *testEnv, raw *fakeConn) { require.True(env.t, env.receive(raw, "more")) }},
		"the peer sends too much": {end: func(env *testEnv, raw *fakeConn) { sendTooMuch(env, raw) }, closed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, Options{MaxConns: 9})
			raw, session := env.connect(0)
			session.conn.Close()
			env.run()
			requireHalfClosed(t, raw, session)
			tc.end(env, raw)
			require.Equal(t, tc.closed, raw.closed)
			require.Empty(t, session.received)
			require.Equal(t, 1, session.closes)
		})
	}
}

// sendTooMuch sends more bytes than a lingering connection may receive. The driver then closes it.
func sendTooMuch(env *testEnv, raw *fakeConn) {
	require.True(env.t, env.receive(raw, strings.Repeat("x", maxLingeringBytes)))
	require.False(env.t, env.receive(raw, "x"))
	raw.Close()
}

// The half-close waits until a slow peer has read all bytes.
func TestHalfCloseAfterUnsentBytes(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	raw.slow = true
	session.conn.Write([]byte("answer"))
	session.conn.Close()
	env.run()
	require.Equal(t, 1, session.closes)
	env.advance(10 * lingerPollInterval)
	require.False(t, raw.halfClosed)
	raw.unsent = 0
	env.advance(lingerPollInterval)
	require.True(t, raw.halfClosed)
}

// An error of the session closes its connection after the bytes that the session wrote, such as a protocol error.
func TestSessionError(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	session.err = errors.New("malformed message")
	session.conn.Write([]byte("error"))
	require.True(t, env.receive(raw, "?"))
	require.Equal(t, "error", string(raw.written))
	requireHalfClosed(t, raw, session)
	require.Contains(t, env.log[0], "connection closed: peer=peer 1 error=malformed message")
}

// The buffers of a single connection are limited in both directions.
func TestConnectionBufferLimits(t *testing.T) {
	tests := map[string]struct {
		exceed func(env *testEnv, raw *fakeConn, session *fakeSession)
		reason string
	}{
		"unconsumed": {
			exceed: func(env *testEnv, raw *fakeConn, session *fakeSession) {
				session.stalled = true
				env.receive(raw, strings.Repeat("x", maxReceived))
				requireOpen(env.t, raw, session)
				env.receive(raw, "x")
			},
			reason: "unconsumed",
		},
		"unsent in one turn": {
			exceed: func(env *testEnv, _ *fakeConn, session *fakeSession) {
				session.conn.Write(make([]byte, maxOutgoing))
				session.conn.Write([]byte("x"))
				env.run()
			},
			reason: "unsent",
		},
		"unread over turns": {
			exceed: func(env *testEnv, raw *fakeConn, session *fakeSession) {
				raw.slow = true
				session.conn.Write(make([]byte, maxOutgoing))
				env.run()
				requireOpen(env.t, raw, session)
				session.conn.Write([]byte("x"))
				env.run()
			},
			reason: "unread",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, Options{MaxConns: 9})
			raw, session := env.connect(0)
			session.identify()
			tc.exceed(env, raw, session)
			require.Equal(t, 1, session.closes)
			require.Contains(t, env.log[0], tc.reason)
		})
	}
}

// A failed write closes the connection, and the session is notified once.
func TestFailedWrite(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	raw.failWrites = true
	session.conn.Write([]byte("answer"))
	env.run()
	require.Equal(t, 1, session.closes)
	require.True(t, raw.closed)
	require.Empty(t, env.loop.accepted.shared.conns)
}

// When all buffers together exceed the limit, the connection with the most buffered bytes is closed, and the others
// stay open.
func TestBufferBudget(t *testing.T) {
	const limit = 100 << 10
	env := newTestEnv(t, Options{MaxConns: 9, MaxBuffered: limit})
	small, smallSession := env.connect(0)
	large, largeSession := env.connect(0)
	for _, session := range []*fakeSession{smallSession, largeSession} {
		session.identify()
		session.stalled = true
	}
	env.receive(large, strings.Repeat("x", limit*3/4))
	env.receive(small, strings.Repeat("x", limit/2))
	requireHalfClosed(t, large, largeSession)
	requireOpen(t, small, smallSession)
	require.LessOrEqual(t, env.loop.buffers.used, limit)
}

// Resume passes the unconsumed bytes to the session again, in a later turn.
func TestResume(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	session.stalled = true
	env.receive(raw, "held")
	session.stalled = false
	session.conn.Resume()
	require.Empty(t, session.received)
	env.run()
	require.Equal(t, "held", session.received)
	session.conn.Resume()
	require.Empty(t, env.queue, "no bytes are left to consume")
}

// A shutdown stops the loop once the peers have closed their connections, or at its deadline.
func TestShutdown(t *testing.T) {
	const timeout = 300 * microtime.Millisecond
	for name, peersClose := range map[string]bool{"the peers close": true, "the deadline passes": false} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, Options{MaxConns: 9, DedicatedLimits: map[int]int{1: 1}})
			first, firstSession := env.connect(0)
			second, secondSession := env.connect(1)
			env.loop.Shutdown(env.now + timeout)
			env.run()
			requireHalfClosed(t, first, firstSession)
			requireHalfClosed(t, second, secondSession)
			_, rejected := env.connect(0)
			require.Nil(t, rejected)
			first.Close()
			env.run()
			require.False(t, env.stopped)
			if peersClose {
				second.Close()
				env.run()
			} else {
				env.advance(timeout - 1)
				require.False(t, env.stopped)
				env.advance(1)
			}
			require.True(t, env.stopped)
		})
	}
}
