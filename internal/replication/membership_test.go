package replication

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
)

// Bootstrap requires that all peers are reachable and in no group. Its error names each peer that is not.
func TestBootstrapNeedsAllPeers(t *testing.T) {
	group := newCluster(t, 1, 2, 3)
	group.servers[1].start()
	group.servers[2].start()
	group.runUntil(func() bool { return group.servers[1].replica.links.Connected(2) })
	err := group.servers[1].replica.Bootstrap()
	require.ErrorIs(t, err, consensus.ErrInvalidChange)
	var notReady *PeerNotReadyError
	require.True(t, errors.As(err, &notReady))
	require.Equal(t, PeerNotReadyError{ID: 3, Address: "3"}, *notReady)

	group.servers[3].start()
	group.runUntil(group.fullyConnected)
	require.NoError(t, group.servers[1].replica.Bootstrap())
	group.runUntil(group.allHaveMembership)
	require.Equal(t, "founded", group.servers[3].replica.Membership().Reason)
	require.ErrorIs(t, group.servers[2].replica.Bootstrap(), consensus.ErrInvalidChange, "it is already in a group")
}

// Invalid membership commands return the expected error and do not change the membership.
func TestInvalidMembershipCommands(t *testing.T) {
	cases := []struct {
		name    string
		command func(*Replica) error
		want    error
	}{
		{"add a server that has sent no hello", func(r *Replica) error { return r.AddMember(9, "9", "") },
			consensus.ErrInvalidChange},
		{"add an unchanged member", func(r *Replica) error { return r.AddMember(3, "", "") }, consensus.ErrInvalidChange},
		{"remove a server that is not a member", func(r *Replica) error { return r.RemoveMember(9, "") },
			consensus.ErrInvalidChange},
		{"abandon without a change in progress", func(r *Replica) error { return r.AbandonChange() },
			consensus.ErrInvalidChange},
		{"force a membership without this server", func(r *Replica) error { return r.ForceMembership([]uint32{2}, "") },
			consensus.ErrInvalidChange},
	}
	group := newBootstrappedCluster(t, 1, 2, 3)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			before := group.servers[1].replica.Membership()
			require.ErrorIs(t, tc.command(group.servers[1].replica), tc.want)
			group.runFor(10 * microtime.Millisecond)
			require.Equal(t, before, group.servers[1].replica.Membership())
		})
	}
	ungrouped := newCluster(t, 1)
	ungrouped.servers[1].start()
	require.ErrorIs(t, ungrouped.servers[1].replica.RemoveMember(1, ""), consensus.ErrNoMembership)
}

// Outcomes are kept while members are removed and added, and the membership stores the operator's reason or the default
// one.
func TestAddAndRemoveMembers(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(testKey).Action)
	require.Equal(t, execution.ActionServe, server.complete(testKey, true, "kept").Action)
	settled := func(members int) func() bool {
		return func() bool {
			membership := server.replica.Membership()
			return len(membership.Next) == 0 && len(membership.Current) == members
		}
	}
	require.NoError(t, server.replica.RemoveMember(3, ""))
	group.runUntil(settled(2))
	require.Equal(t, "removed server 3", server.replica.Membership().Reason)
	require.NoError(t, server.replica.AddMember(3, "", ""))
	group.runUntil(settled(3))
	require.Equal(t, "added server 3", server.replica.Membership().Reason)
	require.Equal(t, "3", server.replica.Membership().Current[2].Addr, "the configured address")
	require.NoError(t, server.replica.RemoveMember(2, "worn out"))
	group.runUntil(settled(2))
	require.Equal(t, "worn out", server.replica.Membership().Reason)
	require.Equal(t, "kept", group.servers[3].lookup(testKey).Value.Result)
}

// A forced membership replaces a lost majority. Keys without a record do not run until their retention window has
// ended, because the lost servers may have run them.
func TestForcedMembership(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire("known").Action)
	require.Equal(t, execution.ActionServe, server.complete("known", true, "kept").Action)
	group.servers[2].stop()
	group.servers[3].stop()
	forcedAt := server.config.UnixMilli(group.now) + maxClockSkewMilli
	require.NoError(t, server.replica.ForceMembership([]uint32{1}, ""))
	group.runUntil(func() bool { return len(server.replica.Membership().Members()) == 1 })
	require.Equal(t, "forced: kept [1]", server.replica.Membership().Reason)
	require.Equal(t, forcedAt, server.replica.Membership().ForcedAt)
	require.Equal(t, "kept", server.lookup("known").Value.Result)
	require.Equal(t, execution.ActionReportIndeterminate, server.acquire("unknown").Action)
	group.runFor(retention + maxClockSkewMilli*microtime.Millisecond)
	require.Equal(t, execution.ActionStart, server.acquire("unknown").Action)
}

// The status lists each member and whether it is reachable. A member that has lost its disk rejoins as a new
// incarnation.
func TestStatus(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	group.servers[3].stop()
	status := group.servers[1].replica.Status()
	require.True(t, status.Voting)
	require.Equal(t, uint32(1), status.Self.ID)
	require.Len(t, status.Members, 3)
	for i, member := range status.Members {
		require.Equal(t, uint32(i+1), member.ID)
		require.Equal(t, member.ID != 3, member.Up)
		require.True(t, member.InCurrent)
		require.False(t, member.InNext)
		require.Equal(t, member.Incarnation, member.CurrentIncarnation)
	}
	require.Equal(t, 1, group.servers[1].replica.Counters().MembersUnreachable)
	group.servers[3].config.Directory = t.TempDir()
	group.servers[3].start()
	group.runUntil(func() bool {
		last := group.servers[1].replica.Status().Members[2]
		return last.Incarnation != "" && last.Incarnation == last.CurrentIncarnation && last.Up &&
			group.servers[1].replica.Membership().Epoch > 1
	})
	require.Contains(t, group.servers[1].replica.Membership().Reason, "lost its disk")
}
