package replication

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
)

// A group is made of servers that can be reached and have none; the error names each that stands in its way.
func TestBootstrapNeedsAllPeers(t *testing.T) {
	group := newCluster(t, 1, 2, 3)
	group.servers[1].start()
	group.servers[2].start()
	group.until(func() bool { return group.servers[1].replica.links.Connected(2) })
	err := group.servers[1].replica.Bootstrap()
	require.ErrorIs(t, err, consensus.ErrInvalidChange)
	var notReady *PeerNotReadyError
	require.True(t, errors.As(err, &notReady))
	require.Equal(t, PeerNotReadyError{ID: 3, Address: "3"}, *notReady)

	group.servers[3].start()
	group.until(group.connected)
	require.NoError(t, group.servers[1].replica.Bootstrap())
	group.until(group.grouped)
	require.Equal(t, "founded", group.servers[3].replica.Membership().Reason)
	require.ErrorIs(t, group.servers[2].replica.Bootstrap(), consensus.ErrInvalidChange, "it has a group")
}

// What a command may not do is an error that says so, and changes nothing.
func TestInvalidMembershipCommands(t *testing.T) {
	cases := []struct {
		name    string
		command func(*Replica) error
		want    error
	}{
		{"add a server that nobody has heard from", func(r *Replica) error { return r.AddMember(9, "9", "") },
			consensus.ErrInvalidChange},
		{"add a member as it is", func(r *Replica) error { return r.AddMember(3, "", "") }, consensus.ErrInvalidChange},
		{"remove a server that is no member", func(r *Replica) error { return r.RemoveMember(9, "") },
			consensus.ErrInvalidChange},
		{"abandon no change", func(r *Replica) error { return r.AbandonChange() }, consensus.ErrInvalidChange},
		{"go on without this server", func(r *Replica) error { return r.ForceMembership([]uint32{2}, "") },
			consensus.ErrInvalidChange},
	}
	group := bootstrapped(t, 1, 2, 3)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			before := group.servers[1].replica.Membership()
			require.ErrorIs(t, tc.command(group.servers[1].replica), tc.want)
			group.pass(10 * microtime.Millisecond)
			require.Equal(t, before, group.servers[1].replica.Membership())
		})
	}
	alone := newCluster(t, 1)
	alone.servers[1].start()
	require.ErrorIs(t, alone.servers[1].replica.RemoveMember(1, ""), consensus.ErrNoMembership)
}

// Members are taken out and in while keys keep their outcomes; the reasons that operators read are as they were
// given.
func TestMembersComeAndGo(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(keyOne).Action)
	require.Equal(t, execution.ActionServe, server.complete(keyOne, true, "kept").Action)
	settled := func(members int) func() bool {
		return func() bool {
			membership := server.replica.Membership()
			return len(membership.Next) == 0 && len(membership.Current) == members
		}
	}
	require.NoError(t, server.replica.RemoveMember(3, ""))
	group.until(settled(2))
	require.Equal(t, "removed server 3", server.replica.Membership().Reason)
	require.NoError(t, server.replica.AddMember(3, "", ""))
	group.until(settled(3))
	require.Equal(t, "added server 3", server.replica.Membership().Reason)
	require.Equal(t, "3", server.replica.Membership().Current[2].Addr, "the configured address")
	require.NoError(t, server.replica.RemoveMember(2, "worn out"))
	group.until(settled(2))
	require.Equal(t, "worn out", server.replica.Membership().Reason)
	require.Equal(t, "kept", group.servers[3].lookup(keyOne).Value.Result)
}

// An operator's word takes the place of a majority that is lost; what nobody knows of does not run until its
// retention is over.
func TestForcedMembership(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire("known").Action)
	require.Equal(t, execution.ActionServe, server.complete("known", true, "kept").Action)
	group.servers[2].stop()
	group.servers[3].stop()
	forcedAt := server.config.UnixMilli(group.now) + forceSlackMilli
	require.NoError(t, server.replica.ForceMembership([]uint32{1}, ""))
	group.until(func() bool { return len(server.replica.Membership().Members()) == 1 })
	require.Equal(t, "forced: kept [1]", server.replica.Membership().Reason)
	require.Equal(t, forcedAt, server.replica.Membership().ForcedAt)
	require.Equal(t, "kept", server.lookup("known").Value.Result)
	require.Equal(t, execution.ActionReportIndeterminate, server.acquire("unknown").Action)
	group.pass(retention + forceSlackMilli*microtime.Millisecond)
	require.Equal(t, execution.ActionStart, server.acquire("unknown").Action)
}

// Operators see each member, whether it can be reached, and a member whose disk was lost.
func TestStatus(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
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
	group.until(func() bool {
		last := group.servers[1].replica.Status().Members[2]
		return last.Incarnation != "" && last.Incarnation == last.CurrentIncarnation && last.Up &&
			group.servers[1].replica.Membership().Epoch > 1
	})
	require.Contains(t, group.servers[1].replica.Membership().Reason, "lost its disk")
}
