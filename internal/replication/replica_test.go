package replication

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
	"pewterline/internal/wal"
)

// A run of a key is the only one: whoever asks for it again, here or elsewhere, gets its result, or hears that it has
// failed.
func TestOneRunOfAKey(t *testing.T) {
	cases := []struct {
		name      string
		servers   []uint32
		other     uint32 // the server that asks again
		succeeded bool
		result    string
		end, want execution.Action
	}{
		{"succeeded, same server", []uint32{1}, 1, true, "did it", execution.ActionServe, execution.ActionServe},
		{"failed, same server", []uint32{1}, 1, false, "", execution.ActionReportFailed, execution.ActionReportFailed},
		{"succeeded, other server", []uint32{1, 2, 3}, 3, true, "did it", execution.ActionServe, execution.ActionServe},
		{"failed, other server", []uint32{1, 2, 3}, 2, false, "", execution.ActionReportFailed, execution.ActionReportFailed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			group := bootstrapped(t, tc.servers...)
			owner, other := group.servers[1], group.servers[tc.other]
			require.Equal(t, execution.ActionStart, owner.lookup(keyOne).Action, "nothing stands in its way")
			require.False(t, owner.replica.HasRecord(owner.attempt(keyOne)))
			require.Equal(t, execution.ActionStart, owner.acquire(keyOne).Action)
			require.True(t, owner.replica.HasRecord(owner.attempt(keyOne)))
			require.Equal(t, tc.end, owner.complete(keyOne, tc.succeeded, tc.result).Action)

			again := other.acquire(keyOne)
			require.Equal(t, tc.want, again.Action)
			require.Equal(t, tc.result, again.Value.Result)
			looked := other.lookup(keyOne)
			require.Equal(t, tc.want, looked.Action)
			require.Equal(t, tc.result, looked.Value.Result)
			counters := owner.replica.Counters()
			require.Equal(t, 1, counters.LeasesGranted)
			require.Equal(t, 1, counters.KeysHeld)
			require.Zero(t, counters.MembersUnreachable)
			require.Positive(t, counters.DiskSyncs)
		})
	}
}

// While another server runs a key, an attempt waits for that run's result.
func TestAttemptWaitsForTheRunElsewhere(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(keyOne).Action)
	var got []Outcome
	group.servers[2].replica.AcquireLease(group.servers[2].attempt(keyOne), func(o Outcome) { got = append(got, o) })
	group.pass(200 * microtime.Millisecond)
	require.Empty(t, got, "it waits")
	require.Equal(t, execution.ActionServe, group.servers[1].complete(keyOne, true, "theirs").Action)
	group.until(func() bool { return len(got) > 0 })
	require.Len(t, got, 1)
	require.Equal(t, execution.ActionServe, got[0].Action)
	require.Equal(t, "theirs", got[0].Value.Result)
	require.Equal(t, 1, group.servers[2].replica.Counters().ResultsFound)
	require.Empty(t, group.servers[2].replica.requests.byKey, "what the register holds is kept there alone")
}

// A run that does not end in time leaves whoever waits elsewhere with an outcome that nobody knows, and with the time
// from which the key may run again.
func TestRunElsewhereIsIndeterminateAtTheDeadline(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	leased := group.servers[1].attempt(keyOne)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(keyOne).Action)
	got := group.servers[2].acquire(keyOne)
	require.Equal(t, execution.ActionReportIndeterminate, got.Action)
	require.Equal(t, leased.ArrivedAtMilli+retentionMilli, got.RetryAtMilli)
	require.Equal(t, 1, group.servers[2].replica.Counters().OutcomesUnknown)
}

// A lease that is given back stands in nobody's way.
func TestReleasedLeaseIsGrantedAgain(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(keyOne).Action)
	group.servers[1].replica.ReleaseLease(keyOne)
	group.servers[1].replica.ReleaseLease("a key that nobody has asked for")
	require.Equal(t, execution.ActionStart, group.servers[2].acquire(keyOne).Action)
}

// Guards the promise that nothing runs without a lease of a majority: without one, attempts are rejected by their
// deadline.
func TestNoMajority(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	group.servers[2].stop()
	group.servers[3].cut = true
	server := group.servers[1]
	require.Equal(t, execution.ActionReject, server.acquire(keyOne).Action)
	require.Equal(t, execution.ActionReportIndeterminate, server.lookup(keyOne).Action)
	require.Equal(t, 1, server.replica.Counters().RejectedUnreplicated)
	group.servers[3].cut = false
	group.until(func() bool { return server.acquire(keyOne).Action == execution.ActionStart })
}

// A result that no majority accepts in time is told to be at risk, and recorded as soon as a majority is back.
func TestResultIsRecordedOnceAMajorityIsBack(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(keyOne).Action)
	group.servers[2].cut, group.servers[3].cut = true, true
	require.Equal(t, execution.ActionReportUnrecorded, server.complete(keyOne, true, "late").Action)
	require.Equal(t, 1, server.replica.Counters().ResultsAtRisk)
	group.servers[2].cut, group.servers[3].cut = false, false
	group.until(func() bool { return group.servers[3].lookup(keyOne).Action == execution.ActionServe })
	group.until(func() bool { return server.replica.Counters().ResultsReplicated == 1 })
}

// Reports of runs that had no lease, and a second request for a lease while the first is in progress, come to
// nothing.
func TestCallsOutOfOrder(t *testing.T) {
	group := bootstrapped(t, 1)
	server := group.servers[1]
	require.Equal(t, execution.ActionReportUnrecorded, server.complete(keyOne, true, "unasked").Action)
	require.Equal(t, execution.ActionStart, server.acquire("leased").Action)
	require.Equal(t, execution.ActionReportIndeterminate, server.acquire("leased").Action)
	require.Equal(t, execution.ActionStart, server.acquire(keyOne).Action)
	require.Equal(t, execution.ActionServe, server.complete(keyOne, true, "first").Action)
	repeated := server.complete(keyOne, true, "repeated")
	require.Equal(t, execution.ActionServe, repeated.Action, "a repeated report of a run that has been recorded")
}

// What was promised outlives the process: results are served, and a run whose end is unknown is never run again
// within its retention.
func TestRestart(t *testing.T) {
	group := bootstrapped(t, 1)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire("ended").Action)
	require.Equal(t, execution.ActionServe, server.complete("ended", true, "did \xff it").Action)
	leased := server.attempt("began")
	require.Equal(t, execution.ActionStart, server.acquire("began").Action)
	self := server.replica.Status().Self
	membership := server.replica.Membership()
	server.stop()
	server.start()
	require.Equal(t, self, server.replica.Status().Self, "the same acceptor")
	require.Equal(t, membership, server.replica.Membership())
	require.Equal(t, "did \xff it", server.acquire("ended").Value.Result)
	got := server.acquire("began")
	require.Equal(t, execution.ActionReportIndeterminate, got.Action)
	require.Equal(t, leased.ArrivedAtMilli+retentionMilli, got.RetryAtMilli)
	group.pass(retention)
	require.Equal(t, execution.ActionStart, server.acquire("began").Action, "its retention is over")
}

// Outcomes are forgotten once their retention and the slack for clocks are over, on disk too.
func TestExpiry(t *testing.T) {
	group := bootstrapped(t, 1)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(keyOne).Action)
	require.Equal(t, execution.ActionServe, server.complete(keyOne, true, "old").Action)
	server.replica.ExtendRetention(retention / 2) // is never lowered
	group.now += retention + expirySlackMilli*microtime.Millisecond - 2*microtime.Second
	group.turn()
	require.Len(t, server.replica.Export("", 10), 1, "not yet")
	group.pass(4 * microtime.Second)
	require.Empty(t, server.replica.Export("", 10))
	require.Empty(t, server.replica.requests.byKey)
	server.stop()
	server.start()
	require.Empty(t, server.replica.Export("", 10), "not on disk either")
}

// failingDisk is a folder whose writes fail while it is told to.
type failingDisk struct {
	wal.FS
	failing *bool
}

var errDisk = errors.New("the disk is full")

func (d failingDisk) Create(name string) (wal.File, error) {
	if *d.failing {
		return nil, errDisk
	}
	file, err := d.FS.Create(name)
	return failingFile{file, d.failing}, err
}

type failingFile struct {
	wal.File
	failing *bool
}

func (f failingFile) Write(p []byte) (int, error) {
	if *f.failing {
		return 0, errDisk
	}
	return f.File.Write(p)
}

// Guards votes against a disk that fails: the server does not vote until its log could be opened again, and goes on
// from what that holds.
func TestDiskFailure(t *testing.T) {
	group := newCluster(t, 1)
	server := group.servers[1]
	failing := false
	server.config.filesystem = failingDisk{wal.Dir(server.config.Directory), &failing}
	server.start()
	require.NoError(t, server.replica.Bootstrap())
	require.Equal(t, execution.ActionStart, server.acquire("before").Action)
	require.Equal(t, execution.ActionServe, server.complete("before", true, "kept").Action)
	require.True(t, server.replica.Status().Voting)

	failing = true
	require.Equal(t, execution.ActionReject, server.acquire(keyOne).Action)
	require.False(t, server.replica.Status().Voting)
	require.Equal(t, 1, server.replica.Counters().DiskFailures)
	group.pass(2 * reopenInterval)
	require.False(t, server.replica.Status().Voting, "it cannot be opened")

	failing = false
	group.until(func() bool { return server.replica.Status().Voting })
	require.Zero(t, server.replica.node.Register(keyOne), "a promise that never was durable is forgotten")
	require.Equal(t, "kept", server.lookup("before").Value.Result)
	require.Equal(t, execution.ActionStart, server.acquire(keyOne).Action)
	require.Equal(t, 1, server.replica.Counters().DiskFailures)
}

// Guards votes against what is in memory alone: a server whose disk has failed answers nobody, not even who only asks
// what it holds.
func TestBrokenReplicaDoesNotAnswer(t *testing.T) {
	group := bootstrapped(t, 1, 2, 3)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(keyOne).Action)
	require.Equal(t, execution.ActionServe, group.servers[1].complete(keyOne, true, "kept").Action)
	group.servers[2].stop()
	broken := group.servers[3].replica
	broken.storageFailed(broken.storage, errDisk)
	var got []execution.Action
	for _, id := range []uint32{1, 3} {
		server := group.servers[id]
		server.replica.Lookup(server.attempt(keyOne), func(o Outcome) { got = append(got, o.Action) })
	}
	group.until(func() bool { return len(got) == 2 })
	require.False(t, broken.Status().Voting)
	unknown := execution.ActionReportIndeterminate
	require.Equal(t, []execution.Action{unknown, unknown}, got, "neither of them has a majority")
	group.until(func() bool { return broken.Status().Voting })
	require.Equal(t, "kept", group.servers[1].lookup(keyOne).Value.Result)
}

// Guards votes against a record that became durable behind a failure: the log is read again before this server votes.
func TestVoteBehindAFailureIsNotSent(t *testing.T) {
	group := bootstrapped(t, 1)
	server := group.servers[1]
	got := server.await(func(done func(Outcome)) {
		server.replica.AcquireLease(server.attempt(keyOne), done)
		group.turn() // the promise is durable, and the value is accepted next
		require.False(t, server.replica.HasRecord(server.attempt(keyOne)))
		require.NoError(t, group.Execute(func() {
			require.True(t, server.replica.HasRecord(server.attempt(keyOne)), "it is on its way to the disk")
			server.replica.storageFailed(server.replica.storage, errDisk)
		}))
	})
	require.Equal(t, execution.ActionReject, got.Action)
	require.Equal(t, 1, server.replica.Counters().DiskFailures)
}

// A raised retention counts for outcomes that are held already.
func TestExtendRetention(t *testing.T) {
	group := bootstrapped(t, 1)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(keyOne).Action)
	require.Equal(t, execution.ActionServe, server.complete(keyOne, true, "old").Action)
	server.replica.ExtendRetention(2 * retention)
	group.now += 2*retention + expirySlackMilli*microtime.Millisecond - 2*microtime.Second
	group.turn()
	require.Len(t, server.replica.Export("", 10), 1)
	group.pass(4 * microtime.Second)
	require.Empty(t, server.replica.Export("", 10))
}

// Guards acceptors against a folder that was replaced while its disk was out of order: another incarnation's votes
// are not its own.
func TestFolderOfAnotherIncarnation(t *testing.T) {
	group := bootstrapped(t, 1)
	server := group.servers[1]
	server.replica.storageFailed(server.replica.storage, errDisk)
	server.replica.config.filesystem = wal.Dir(t.TempDir())
	group.pass(reopenInterval + microtime.Second)
	require.False(t, server.replica.Status().Voting)
}
