package processtest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
)

// Guards against running requests that cannot be replicated: with a one-way partition a server receives from the
// others, but they receive nothing from it. It rejects keyed requests before they run, and the others keep serving.
// After the partition it serves again.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	cluster.DropOutgoing(1)
	outcome := cluster.sendKeyed(1, "lot", false)
	require.Equal(t, thrift.ReplyThrottled, outcome.Kind, "the request is rejected before it runs")
	require.Empty(t, cluster.RunLog.Runs("lot"))
	keys := cluster.serveKeys(10, 2, 3)
	cluster.ForEachRelayOf(1, (*Relay).Heal)
	cluster.ForEachRelayOf(1, (*Relay).CloseConnections)
	require.NoError(t, cluster.AwaitStable())
	cluster.requireServed(1, keys)
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(1, "lot", false))
}

// Guards against late messages overriding a later agreement: the connections of a server stall and then deliver
// everything at once.
func TestStalledConnectionDeliversLate(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	cluster.ForEachRelayOf(1, func(r *Relay) { r.Hold(Forward, Backward) })
	var late []PendingRequest
	for i := range 5 {
		pending := cluster.sendAsync(fmt.Sprint("lot ", i))
		late = append(late, pending)
	}
	keys := cluster.serveKeys(10, 2, 3) // the same keys at other servers, and five more
	time.Sleep(20 * time.Second)
	cluster.ForEachRelayOf(1, (*Relay).Heal)
	for _, pending := range late {
		_, err := pending.Await()
		require.NoError(t, err)
	}
	require.NoError(t, cluster.AwaitStable())
	cluster.requireServed(1, keys)
}

// Guards membership changes while one server is down and another is stalled: of two concurrent changes the second is
// rejected with status 409, and no served result is lost.
func TestMembershipChange(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 5, 3)
	keys := cluster.serveKeys(20, 1, 2, 3, 4, 5)
	require.NoError(t, cluster.Kill(5))
	require.NoError(t, cluster.Stall(4))
	before, err := cluster.State(1)
	require.NoError(t, err)
	require.NoError(t, cluster.AdminCall(1, "remove?id=5")) // three of five servers form a quorum
	require.ErrorContains(t, cluster.AdminCall(1, "remove?id=4"), "409")
	require.NoError(t, cluster.Resume(4))
	cluster.awaitMembershipChange(1, before.Epoch)
	state, err := cluster.State(2)
	require.NoError(t, err)
	require.Len(t, state.Members, 4)
	require.NoError(t, cluster.Start(5)) // its disk is intact, but it is no longer a member
	require.NoError(t, cluster.AwaitStable())
	cluster.requireServed(5, keys)
	cluster.changeMembership(5, "add?id=5&why=back")
	state, err = cluster.State(3)
	require.NoError(t, err)
	require.Len(t, state.Members, 5)
	require.Equal(t, "back", state.Reason)
	for id := 1; id <= 5; id++ {
		cluster.requireServed(id, keys)
	}
}

// Guards against losing served results when a sync fails once or a disk is full for a while. The server does not vote
// until it has reopened its log, and the others keep serving.
func TestDiskFailure(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"sync", "full"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			cluster := startCluster(t, 3, 3)
			keys := cluster.serveKeys(5, 1, 2, 3)
			require.NoError(t, cluster.SetDiskFault(1, fault))
			require.NoError(t, cluster.Eventually(func() error {
				key := fmt.Sprint("lot ", len(keys))
				if outcome := cluster.sendKeyed(2, key, false); outcome != servedResult(key) {
					return fmt.Errorf("%v", outcome)
				}
				keys = append(keys, key)
				state, err := cluster.State(1)
				if err == nil && state.Counters.DiskFailures == 0 {
					err = errors.New("the server has not detected a disk failure")
				}
				return err
			}))
			cluster.requireServed(1, keys) // from the other servers' replicas
			require.NoError(t, cluster.SetDiskFault(1, ""))
			require.NoError(t, cluster.AwaitStable())
			cluster.loseMachine(3)
			cluster.requireServed(1, keys)
			cluster.requireServed(2, keys)
		})
	}
}

// Guards against serving from a corrupt snapshot: after a bit flip the server does not start, and logs the file and the
// offset. Once its data folder is removed, it joins with a new incarnation.
func TestCorruptSnapshot(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	keys := cluster.serveKeys(60, 1, 2, 3)
	var snapshots []string
	require.NoError(t, cluster.Eventually(func() (err error) {
		if snapshots, err = filepath.Glob(filepath.Join(cluster.Servers[0].DataDir, "*.snap")); len(snapshots) == 0 {
			err = errors.New("no snapshot yet")
		}
		return err
	}))
	require.NoError(t, cluster.Kill(1))
	snapshots, err := filepath.Glob(filepath.Join(cluster.Servers[0].DataDir, "*.snap"))
	require.NoError(t, err)
	text, err := os.ReadFile(snapshots[0])
	require.NoError(t, err)
	text[len(text)/2] ^= 4
	require.NoError(t, os.WriteFile(snapshots[0], text, 0o600))
	require.Error(t, cluster.Start(1))
	require.Contains(t, cluster.Servers[0].Process().Log(), filepath.Base(snapshots[0]))
	require.Contains(t, cluster.Servers[0].Process().Log(), "offset")
	require.NoError(t, cluster.Wipe(1))
	cluster.restart(1)
	cluster.loseMachine(3)
	cluster.requireServed(1, keys)
}

// Guards against depending on the servers' wall clocks: two are a second apart, and both are stepped during the
// retention window of requests. Only the times that callers send count.
func TestWallClockSkew(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	require.NoError(t, cluster.SetClockOffset(1, 500))
	require.NoError(t, cluster.SetClockOffset(2, -500))
	keys := cluster.serveKeys(12, 1, 2, 3)
	require.NoError(t, cluster.SetClockOffset(1, -500))
	require.NoError(t, cluster.SetClockOffset(2, 500))
	for id := 1; id <= 3; id++ {
		cluster.requireServed(id, keys)
	}
	cluster.loseMachine(1)
	cluster.requireServed(2, keys)
	cluster.requireServed(3, keys)
}
