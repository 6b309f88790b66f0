package transport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// If all connections up to the limit are in use, a new connection is rejected and the existing ones stay open.
func TestConnectionOverTheLimitIsRejected(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 2})
	first, firstSession := env.connect(0)
	second, secondSession := env.connect(0)
	for _, session := range []*fakeSession{firstSession, secondSession} {
		session.identify()
		session.busy = true
	}
	env.advance(10 * EvictionGrace)
	_, rejected := env.connect(0)
	require.Nil(t, rejected)
	require.Contains(t, env.log[0], "connection rejected, all are in use: peer=peer 3 open=2")
	requireOpen(t, first, firstSession)
	requireOpen(t, second, secondSession)

	first.Close()
	_, accepted := env.connect(0)
	require.NotNil(t, accepted, "one connection below the limit")
}

func TestEvictionOrder(t *testing.T) {
	tests := map[string]struct {
		prepare func(env *testEnv, older, newer *fakeSession)
		evicted string // "older", "newer" or "none"
	}{
		"the oldest unidentified": {
			prepare: func(*testEnv, *fakeSession, *fakeSession) {},
			evicted: "older",
		},
		"an unidentified one before an idle one": {
			prepare: func(env *testEnv, older, _ *fakeSession) {
				older.identify()
				env.advance(EvictionGrace)
			},
			evicted: "newer",
		},
		"the longest idle": {
			prepare: func(env *testEnv, older, newer *fakeSession) {
				older.identify()
				newer.identify()
				env.advance(1)
				require.NoError(env.t, env.loop.Execute(func() { older.conn.Write([]byte("answer")) }))
				env.run()
				env.advance(EvictionGrace)
			},
			evicted: "newer",
		},
		"never one in use": {
			prepare: func(env *testEnv, older, newer *fakeSession) {
				older.identify()
				newer.identify()
				older.busy = true
				env.advance(EvictionGrace)
			},
			evicted: "newer",
		},
		"none during the eviction grace": {
			prepare: func(env *testEnv, older, newer *fakeSession) {
				older.identify()
				newer.identify()
				env.advance(EvictionGrace - 1)
			},
			evicted: "none",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, Options{MaxConns: 2})
			older, olderSession := env.connect(0)
			newer, newerSession := env.connect(0)
			tc.prepare(env, olderSession, newerSession)
			_, third := env.connect(0)
			require.Equal(t, tc.evicted != "none", third != nil)
			if tc.evicted == "older" {
				requireHalfClosed(t, older, olderSession)
			} else {
				requireOpen(t, older, olderSession)
			}
			if tc.evicted == "newer" {
				requireHalfClosed(t, newer, newerSession)
			} else {
				requireOpen(t, newer, newerSession)
			}
		})
	}
}

// A connection under a dedicated limit is never evicted in favour of one under the shared limit, nor vice versa.
func TestDedicatedLimit(t *testing.T) {
	const adminListener = 3
	env := newTestEnv(t, Options{MaxConns: 1, DedicatedLimits: map[int]int{adminListener: 1}})
	shared, sharedSession := env.connect(0)
	admin, adminSession := env.connect(adminListener)
	requireOpen(t, shared, sharedSession)
	requireOpen(t, admin, adminSession)

	_, another := env.connect(adminListener)
	require.NotNil(t, another)
	requireHalfClosed(t, admin, adminSession)
	requireOpen(t, shared, sharedSession)
}

// Lowering the limit closes unidentified and idle connections at once, but no connection that is in use.
func TestSetLimits(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 3})
	busy, busySession := env.connect(0)
	busySession.identify()
	busySession.busy = true
	idle, idleSession := env.connect(0)
	idleSession.identify()
	unidentified, unidentifiedSession := env.connect(0)
	env.advance(EvictionGrace)

	env.loop.SetLimits(2, 0)
	env.run()
	requireHalfClosed(t, unidentified, unidentifiedSession)
	requireOpen(t, idle, idleSession)
	env.loop.SetLimits(0, 0)
	env.run()
	requireHalfClosed(t, idle, idleSession)
	requireOpen(t, busy, busySession)
}

// Lingering connections do not count against the connection limit; maxLingeringConns limits their number.
func TestLingeringConnectionsOutsideLimit(t *testing.T) {
	env := newTestEnv(t, Options{MaxConns: 1})
	var lingering []*fakeConn
	for range maxLingeringConns + 1 { // each evicts the one before it, which is unidentified
		raw, session := env.connect(0)
		require.NotNil(t, session)
		lingering = append(lingering, raw)
	}
	for _, raw := range lingering {
		require.False(t, raw.closed)
	}
	_, session := env.connect(0)
	require.NotNil(t, session)
	require.True(t, lingering[0].closed, "the connection that has lingered the longest must be closed")
	for _, raw := range lingering[1:] {
		require.False(t, raw.closed)
	}
}

// When a connection is removed from a group, the last connection of the group moves to the freed index.
func TestConnGroupRemove(t *testing.T) {
	group := &connGroup{limit: 3}
	first, second, third := &Connection{}, &Connection{}, &Connection{}
	for _, c := range []*Connection{first, second, third} {
		group.add(c)
	}
	require.True(t, group.full())
	group.remove(first)
	require.Equal(t, []*Connection{third, second}, group.conns)
	require.Zero(t, third.index)
	require.False(t, group.full())
	group.remove(second)
	group.remove(third)
	require.Empty(t, group.conns)
}
