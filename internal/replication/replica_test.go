package replication

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
	"pewterline/internal/wal"
)

// A key runs only once: further attempts on any server are answered with the run's result or its failure.
func TestKeyRunsOnce(t *testing.T) {
	cases := []struct {
		name      string
		servers   []uint32
		other     uint32 // the server of the second attempt
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
			group := newBootstrappedCluster(t, tc.servers...)
			owner, other := group.servers[1], group.servers[tc.other]
			require.Equal(t, execution.ActionStart, owner.lookup(testKey).Action, "no record prevents a run")
			require.False(t, owner.replica.HasRecord(owner.attempt(testKey)))
			require.Equal(t, execution.ActionStart, owner.acquire(testKey).Action)
			require.True(t, owner.replica.HasRecord(owner.attempt(testKey)))
			require.Equal(t, tc.end, owner.complete(testKey, tc.succeeded, tc.result).Action)

			repeated := other.acquire(testKey)
			require.Equal(t, tc.want, repeated.Action)
			require.Equal(t, tc.result, repeated.Value.Result)
			lookedUp := other.lookup(testKey)
			require.Equal(t, tc.want, lookedUp.Action)
			require.Equal(t, tc.result, lookedUp.Value.Result)
			counters := owner.replica.Counters()
			require.Equal(t, 1, counters.LeasesGranted)
			require.Equal(t, 1, counters.KeysHeld)
			require.Zero(t, counters.MembersUnreachable)
			require.Positive(t, counters.DiskSyncs)
		})
	}
}

// While another server runs a key, an attempt waits for that run's result.
func TestAttemptWaitsForRunOnAnotherServer(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(testKey).Action)
	var got []Outcome
	group.servers[2].replica.AcquireLease(group.servers[2].attempt(testKey), func(o Outcome) { got = append(got, o) })
	group.runFor(200 * microtime.Millisecond)
	require.Empty(t, got, "the attempt waits")
	require.Equal(t, execution.ActionServe, group.servers[1].complete(testKey, true, "theirs").Action)
	group.runUntil(func() bool { return len(got) > 0 })
	require.Len(t, got, 1)
	require.Equal(t, execution.ActionServe, got[0].Action)
	require.Equal(t, "theirs", got[0].Value.Result)
	require.Equal(t, 1, group.servers[2].replica.Counters().ResultsFound)
	require.Empty(t, group.servers[2].replica.requests.byKey, "the register holds the outcome, so the request is dropped")
}

// If a run does not end by the deadline of an attempt that waits on another server, the attempt's outcome is
// indeterminate, and names the time from which the key may run again.
func TestUnfinishedRunIsIndeterminateAtDeadline(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	leased := group.servers[1].attempt(testKey)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(testKey).Action)
	got := group.servers[2].acquire(testKey)
	require.Equal(t, execution.ActionReportIndeterminate, got.Action)
	require.Equal(t, leased.ArrivedAtMilli+retentionMilli, got.RetryAtMilli)
	require.Equal(t, 1, group.servers[2].replica.Counters().OutcomesUnknown)
}

// Guards against an attempt whose lease is released before it is granted, so that it is rejected in vain: the caller of
// a rejected attempt requests the lease for the next one before the rejection returns.
func TestNextAttemptKeepsItsLease(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	server := group.servers[1]
	server.partitioned = true
	var got []execution.Action
	server.replica.AcquireLease(server.attempt(testKey), func(rejected Outcome) {
		got = append(got, rejected.Action)
		server.partitioned = false
		server.replica.AcquireLease(server.attempt(testKey), func(next Outcome) { got = append(got, next.Action) })
	})
	group.runUntil(func() bool { return len(got) == 2 })
	require.Equal(t, []execution.Action{execution.ActionReject, execution.ActionStart}, got)
	require.Equal(t, execution.ActionReportIndeterminate, group.servers[2].acquire(testKey).Action)
}

// A released lease can be granted to another server.
func TestReleasedLeaseIsGrantedAgain(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(testKey).Action)
	group.servers[1].replica.ReleaseLease(testKey)
	group.servers[1].replica.ReleaseLease("a key without a lease")
	require.Equal(t, execution.ActionStart, group.servers[2].acquire(testKey).Action)
}

// Guards the guarantee that no request runs without a lease from a majority: without a majority, attempts are rejected
// by their deadline.
func TestNoMajority(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	group.servers[2].stop()
	group.servers[3].partitioned = true
	server := group.servers[1]
	require.Equal(t, execution.ActionReject, server.acquire(testKey).Action)
	require.Equal(t, execution.ActionReportIndeterminate, server.lookup(testKey).Action)
	require.Equal(t, 1, server.replica.Counters().RejectedUnreplicated)
	group.servers[3].partitioned = false
	group.runUntil(func() bool { return server.acquire(testKey).Action == execution.ActionStart })
}

// A result that no majority accepts in time is reported as unrecorded, and is recorded once a majority is reachable
// again.
func TestResultIsRecordedWhenMajorityReturns(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(testKey).Action)
	group.servers[2].partitioned, group.servers[3].partitioned = true, true
	require.Equal(t, execution.ActionReportUnrecorded, server.complete(testKey, true, "late").Action)
	require.Equal(t, 1, server.replica.Counters().ResultsAtRisk)
	group.servers[2].partitioned, group.servers[3].partitioned = false, false
	group.runUntil(func() bool { return group.servers[3].lookup(testKey).Action == execution.ActionServe })
	group.runUntil(func() bool { return server.replica.Counters().ResultsReplicated == 1 })
}

// The report of a run without a lease and a second lease request while the first is in progress have no effect. The
// repeated report of a recorded run is answered with the recorded result.
func TestCallsOutOfOrder(t *testing.T) {
	group := newBootstrappedCluster(t, 1)
	server := group.servers[1]
	require.Equal(t, execution.ActionReportUnrecorded, server.complete(testKey, true, "without a lease").Action)
	require.Equal(t, execution.ActionStart, server.acquire("leased").Action)
	require.Equal(t, execution.ActionReportIndeterminate, server.acquire("leased").Action)
	require.Equal(t, execution.ActionStart, server.acquire(testKey).Action)
	require.Equal(t, execution.ActionServe, server.complete(testKey, true, "first").Action)
	repeated := server.complete(testKey, true, "repeated")
	require.Equal(t, execution.ActionServe, repeated.Action, "repeated report of a recorded run")
}

// After a restart, recorded results are served, and a request whose run may not have ended does not run again within
// its retention window.
func TestRestart(t *testing.T) {
	group := newBootstrappedCluster(t, 1)
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
	group.runFor(retention)
	require.Equal(t, execution.ActionStart, server.acquire("began").Action, "its retention window has ended")
}

// Outcomes are dropped, also on disk, once their retention window and expirySlackMilli have ended.
func TestExpiry(t *testing.T) {
	group := newBootstrappedCluster(t, 1)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(testKey).Action)
	require.Equal(t, execution.ActionServe, server.complete(testKey, true, "old").Action)
	server.replica.ExtendRetention(retention / 2) // a shorter retention has no effect
	group.now += retention + expirySlackMilli*microtime.Millisecond - 2*microtime.Second
	group.turn()
	require.Len(t, server.replica.Export("", 10), 1, "not yet")
	group.runFor(4 * microtime.Second)
	require.Empty(t, server.replica.Export("", 10))
	require.Empty(t, server.replica.requests.byKey)
	server.stop()
	server.start()
	require.Empty(t, server.replica.Export("", 10), "not on disk either")
}

// failingDisk is a directory whose writes fail while *failing is true.
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

// Guards against votes that are not durable: after a disk failure the server does not vote until it has reopened its
// log and restored its registers from it.
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
	require.Equal(t, execution.ActionReject, server.acquire(testKey).Action)
	require.False(t, server.replica.Status().Voting)
	require.Equal(t, 1, server.replica.Counters().DiskFailures)
	group.runFor(2 * reopenInterval)
	require.False(t, server.replica.Status().Voting, "the log cannot be reopened")

	failing = false
	group.runUntil(func() bool { return server.replica.Status().Voting })
	require.Zero(t, server.replica.node.Register(testKey), "a promise that was not durable is dropped")
	require.Equal(t, "kept", server.lookup("before").Value.Result)
	require.Equal(t, execution.ActionStart, server.acquire(testKey).Action)
	require.Equal(t, 1, server.replica.Counters().DiskFailures)
}

// Guards against votes for state that is only in memory: a server whose disk has failed does not reply to requests, not
// even to reads.
func TestReplicaWithFailedDiskDoesNotReply(t *testing.T) {
	group := newBootstrappedCluster(t, 1, 2, 3)
	require.Equal(t, execution.ActionStart, group.servers[1].acquire(testKey).Action)
	require.Equal(t, execution.ActionServe, group.servers[1].complete(testKey, true, "kept").Action)
	group.servers[2].stop()
	failed := group.servers[3].replica
	failed.handleStorageFailure(failed.storage, errDisk)
	var got []execution.Action
	for _, id := range []uint32{1, 3} {
		server := group.servers[id]
		server.replica.Lookup(server.attempt(testKey), func(o Outcome) { got = append(got, o.Action) })
	}
	group.runUntil(func() bool { return len(got) == 2 })
	require.False(t, failed.Status().Voting)
	indeterminate := execution.ActionReportIndeterminate
	require.Equal(t, []execution.Action{indeterminate, indeterminate}, got, "neither server has a majority")
	group.runUntil(func() bool { return failed.Status().Voting })
	require.Equal(t, "kept", group.servers[1].lookup(testKey).Value.Result)
}

// Guards against a vote whose record becomes durable after an earlier write has failed: it is not sent, and the server
// rereads the log before it votes again.
func TestVoteAfterStorageFailureIsNotSent(t *testing.T) {
	group := newBootstrappedCluster(t, 1)
	server := group.servers[1]
	got := server.await(func(done func(Outcome)) {
		server.replica.AcquireLease(server.attempt(testKey), done)
		group.turn() // the promise is durable; the value is accepted next
		require.False(t, server.replica.HasRecord(server.attempt(testKey)))
		require.NoError(t, group.Execute(func() {
			require.True(t, server.replica.HasRecord(server.attempt(testKey)), "its write is in progress")
			server.replica.handleStorageFailure(server.replica.storage, errDisk)
		}))
	})
	require.Equal(t, execution.ActionReject, got.Action)
	require.Equal(t, 1, server.replica.Counters().DiskFailures)
}

// An extended retention also applies to outcomes that are already stored.
func TestExtendRetention(t *testing.T) {
	group := newBootstrappedCluster(t, 1)
	server := group.servers[1]
	require.Equal(t, execution.ActionStart, server.acquire(testKey).Action)
	require.Equal(t, execution.ActionServe, server.complete(testKey, true, "old").Action)
	server.replica.ExtendRetention(2 * retention)
	group.now += 2*retention + expirySlackMilli*microtime.Millisecond - 2*microtime.Second
	group.turn()
	require.Len(t, server.replica.Export("", 10), 1)
	group.runFor(4 * microtime.Second)
	require.Empty(t, server.replica.Export("", 10))
}

// Guards against a directory that was replaced after a disk failure: the server does not vote from the state of another
// incarnation, which is another acceptor.
func TestDirectoryOfAnotherIncarnation(t *testing.T) {
	group := newBootstrappedCluster(t, 1)
	server := group.servers[1]
	server.replica.handleStorageFailure(server.replica.storage, errDisk)
	server.replica.config.filesystem = wal.Dir(t.TempDir())
	group.runFor(reopenInterval + microtime.Second)
	require.False(t, server.replica.Status().Voting)
}
