package transport

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// What a session leaves in its buffer stays there, at the front, until the message is complete.
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

// What a session writes is sent at the end of the turn, in one piece, and a close comes behind it.
func TestWriteAndCloseAtTheEndOfTheTurn(t *testing.T) {
	env := newBench(t, Options{MaxConns: 9})
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
	requireShut(t, raw, session)
}

// After the shutdown the peer's bytes are discarded, in a limited number, until it closes or the LingerTimeout is over.
func TestLingering(t *testing.T) {
	tests := map[string]struct {
		end    func(env *bench, raw *fakeConn)
		closed bool // by this side
	}{
		"the peer closes":         {end: func(_ *bench, raw *fakeConn) { raw.conn.Ended() }},
		"the peer does nothing":   {end: func(env *bench, _ *fakeConn) { env.advance(LingerTimeout) }, closed: true},
		"not before the timeout":  {end: func(env *bench, _ *fakeConn) { env.advance(LingerTimeout - 1) }},
		"the peer goes on a bit":  {end: func(env *bench, raw *fakeConn) { require.True(env.t, env.receives(raw, "more")) }},
		"the peer sends too much": {end: func(env *bench, raw *fakeConn) { sendTooMuch(env, raw) }, closed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			env := newBench(t, Options{MaxConns: 9})
			raw, session := env.connect(0)
			session.conn.Close()
			env.run()
			requireShut(t, raw, session)
			tc.end(env, raw)
			require.Equal(t, tc.closed, raw.closed)
			require.Empty(t, session.received)
			require.Equal(t, 1, session.closes)
		})
	}
}

// sendTooMuch sends more than a lingering connection may get; the driver closes it.
func sendTooMuch(env *bench, raw *fakeConn) {
	require.True(env.t, env.receives(raw, strings.Repeat("x", maxLingeringBytes)))
	require.False(env.t, env.receives(raw, "x"))
	raw.Close()
}

// The half-close waits until the slow peer has read everything.
func TestHalfCloseBehindUnsentBytes(t *testing.T) {
	env := newBench(t, Options{MaxConns: 9})
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

// An error of the session closes its connection behind what the session wrote, such as the protocol's own error.
func TestErrorOfTheSession(t *testing.T) {
	env := newBench(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	session.err = errors.New("malformed message")
	session.conn.Write([]byte("error"))
	require.True(t, env.receives(raw, "?"))
	require.Equal(t, "error", string(raw.written))
	requireShut(t, raw, session)
	require.Contains(t, env.log[0], "connection closed: peer=peer 1 error=malformed message")
}

// The buffers of a single connection are limited in both directions.
func TestBufferLimitsOfAConnection(t *testing.T) {
	tests := map[string]struct {
		exceed func(env *bench, raw *fakeConn, session *fakeSession)
		reason string
	}{
		"unconsumed": {
			exceed: func(env *bench, raw *fakeConn, session *fakeSession) {
				session.hoards = true
				env.receives(raw, strings.Repeat("x", maxReceived))
				requireOpen(env.t, raw, session)
				env.receives(raw, "x")
			},
			reason: "unconsumed",
		},
		"unsent in one turn": {
			exceed: func(env *bench, _ *fakeConn, session *fakeSession) {
				session.conn.Write(make([]byte, maxOutgoing))
				session.conn.Write([]byte("x"))
				env.run()
			},
			reason: "unsent",
		},
		"unread over turns": {
			exceed: func(env *bench, raw *fakeConn, session *fakeSession) {
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
			env := newBench(t, Options{MaxConns: 9})
			raw, session := env.connect(0)
			session.identify()
			tc.exceed(env, raw, session)
			require.Equal(t, 1, session.closes)
			require.Contains(t, env.log[0], tc.reason)
		})
	}
}

// A failed write ends the connection: the session is notified once.
func TestFailedWrite(t *testing.T) {
	env := newBench(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	raw.broken = true
	session.conn.Write([]byte("answer"))
	env.run()
	require.Equal(t, 1, session.closes)
	require.True(t, raw.closed)
	require.Empty(t, env.loop.accepted.shared.conns)
}

// Over the limit of all buffers together, the connection with the most is closed, and the others stay.
func TestBufferBudget(t *testing.T) {
	const limit = 100 << 10
	env := newBench(t, Options{MaxConns: 9, MaxBuffered: limit})
	small, smallSession := env.connect(0)
	large, largeSession := env.connect(0)
	for _, session := range []*fakeSession{smallSession, largeSession} {
		session.identify()
		session.hoards = true
	}
	env.receives(large, strings.Repeat("x", limit*3/4))
	env.receives(small, strings.Repeat("x", limit/2))
	requireShut(t, large, largeSession)
	requireOpen(t, small, smallSession)
	require.LessOrEqual(t, env.loop.buffers.used, limit)
}

// Resume hands the session again what it left, in a turn to come.
func TestResume(t *testing.T) {
	env := newBench(t, Options{MaxConns: 9})
	raw, session := env.connect(0)
	session.hoards = true
	env.receives(raw, "held")
	session.hoards = false
	session.conn.Resume()
	require.Empty(t, session.received)
	env.run()
	require.Equal(t, "held", session.received)
	session.conn.Resume()
	require.Empty(t, env.queue, "nothing is left")
}

// A shutdown ends the loop once the peers have closed their connections, or at its deadline.
func TestShutdown(t *testing.T) {
	const patience = 300 * microtime.Millisecond
	for name, peersClose := range map[string]bool{"the peers close": true, "the deadline comes": false} {
		t.Run(name, func(t *testing.T) {
			env := newBench(t, Options{MaxConns: 9, DedicatedLimits: map[int]int{1: 1}})
			first, firstSession := env.connect(0)
			second, secondSession := env.connect(1)
			env.loop.Shutdown(env.now + patience)
			env.run()
			requireShut(t, first, firstSession)
			requireShut(t, second, secondSession)
			_, late := env.connect(0)
			require.Nil(t, late)
			first.Close()
			env.run()
			require.False(t, env.stopped)
			if peersClose {
				second.Close()
				env.run()
			} else {
				env.advance(patience - 1)
				require.False(t, env.stopped)
				env.advance(1)
			}
			require.True(t, env.stopped)
		})
	}
}
