package transport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// At the connection limit a further connection is rejected while all others are in use, and they stay.
func TestConnectionOverTheLimitIsRejected(t *testing.T) {
	env := newBench(t, Options{MaxConns: 2})
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
	require.NotNil(t, accepted, "the limit has a connection left")
}

func TestEvictionOrder(t *testing.T) {
	tests := map[string]struct {
		prepare func(env *bench, older, newer *fakeSession)
		evicted string // "older", "newer" or "none"
	}{
		"the oldest unidentified one": {
			prepare: func(*bench, *fakeSession, *fakeSession) {},
			evicted: "older",
		},
		"an unidentified one before one that is idle": {
			prepare: func(env *bench, older, _ *fakeSession) {
				older.identify()
				env.advance(EvictionGrace)
			},
			evicted: "newer",
		},
		"the one idle the longest": {
			prepare: func(env *bench, older, newer *fakeSession) {
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
			prepare: func(env *bench, older, newer *fakeSession) {
				older.identify()
				newer.identify()
				older.busy = true
				env.advance(EvictionGrace)
			},
			evicted: "newer",
		},
		"none within the eviction grace": {
			prepare: func(env *bench, older, newer *fakeSession) {
				older.identify()
				newer.identify()
				env.advance(EvictionGrace - 1)
			},
			evicted: "none",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			env := newBench(t, Options{MaxConns: 2})
			older, olderSession := env.connect(0)
			newer, newerSession := env.connect(0)
			tc.prepare(env, olderSession, newerSession)
			_, third := env.connect(0)
			require.Equal(t, tc.evicted != "none", third != nil)
			if tc.evicted == "older" {
				requireShut(t, older, olderSession)
			} else {
				requireOpen(t, older, olderSession)
			}
			if tc.evicted == "newer" {
				requireShut(t, newer, newerSession)
			} else {
				requireOpen(t, newer, newerSession)
			}
		})
	}
}

// Dedicated limits and the shared one do not take connections from each other.
func TestDedicatedLimit(t *testing.T) {
	const adminListener = 3
	env := newBench(t, Options{MaxConns: 1, DedicatedLimits: map[int]int{adminListener: 1}})
	shared, sharedSession := env.connect(0)
	admin, adminSession := env.connect(adminListener)
	requireOpen(t, shared, sharedSession)
	requireOpen(t, admin, adminSession)

	_, another := env.connect(adminListener)
	require.NotNil(t, another)
	requireShut(t, admin, adminSession)
	requireOpen(t, shared, sharedSession)
}

// A lower limit takes effect at once on what is unidentified or idle, and leaves what is in use.
func TestSetLimits(t *testing.T) {
	env := newBench(t, Options{MaxConns: 3})
	busy, busySession := env.connect(0)
	busySession.identify()
	busySession.busy = true
	idle, idleSession := env.connect(0)
	idleSession.identify()
	unidentified, unidentifiedSession := env.connect(0)
	env.advance(EvictionGrace)

	env.loop.SetLimits(2, 0)
	env.run()
	requireShut(t, unidentified, unidentifiedSession)
	requireOpen(t, idle, idleSession)
	env.loop.SetLimits(0, 0)
	env.run()
	requireShut(t, idle, idleSession)
	requireOpen(t, busy, busySession)
}

// Lingering connections do not count against the limit, but their number is limited.
func TestLingeringConnectionsBesideTheLimit(t *testing.T) {
	env := newBench(t, Options{MaxConns: 1})
	var shut []*fakeConn
	for range maxLingeringConns + 1 { // each but the last is evicted as unidentified
		raw, session := env.connect(0)
		require.NotNil(t, session)
		shut = append(shut, raw)
	}
	for _, raw := range shut {
		require.False(t, raw.closed)
	}
	_, session := env.connect(0)
	require.NotNil(t, session)
	require.True(t, shut[0].closed, "the one that has lingered the longest")
	for _, raw := range shut[1:] {
		require.False(t, raw.closed)
	}
}

// The last connection of a group takes the index of the one that is removed.
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
