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

// One direction is lost: a server hears the others, and they do not hear it. It rejects, before they run, the
// requests that it cannot put on record; the others go on. Once the direction is back, so is the server.
func TestOneWayLoss(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	cluster.Isolate(1)
	outcome := cluster.sendKeyed(1, "lot", false)
	require.Equal(t, thrift.ReplyThrottled, outcome.Kind, "before it runs")
	require.Empty(t, cluster.RunLog.Runs("lot"))
	keys := cluster.serveKeys(10, 2, 3)
	cluster.RelaysOf(1, (*Relay).Heal)
	cluster.RelaysOf(1, (*Relay).Break)
	require.NoError(t, cluster.AwaitStable())
	cluster.requireServed(1, keys)
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(1, "lot", false))
}

// A connection hangs and then delivers all at once: what comes late changes nothing that was agreed on since.
func TestHangThenBurst(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	cluster.RelaysOf(1, func(r *Relay) { r.Hold(Forward, Backward) })
	var late []PendingRequest
	for i := range 5 {
		pending := cluster.sendAsync(fmt.Sprint("lot ", i))
		late = append(late, pending)
	}
	keys := cluster.serveKeys(10, 2, 3) // the same keys at others, and more
	time.Sleep(20 * time.Second)
	cluster.RelaysOf(1, (*Relay).Heal)
	for _, pending := range late {
		_, err := pending.Await()
		require.NoError(t, err)
	}
	require.NoError(t, cluster.AwaitStable())
	cluster.requireServed(1, keys)
}

// Members change while one is down and another is stalled; of two changes at once one wins, and the other gets the
// reason why it does not.
func TestMembersChange(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 5, 3)
	keys := cluster.serveKeys(20, 1, 2, 3, 4, 5)
	require.NoError(t, cluster.Kill(5))
	require.NoError(t, cluster.Stall(4))
	before, err := cluster.State(1)
	require.NoError(t, err)
	require.NoError(t, cluster.AdminCall(1, "remove?id=5")) // three of five agree
	require.ErrorContains(t, cluster.AdminCall(1, "remove?id=4"), "409")
	require.NoError(t, cluster.Resume(4))
	cluster.awaitMembers(1, before.Epoch)
	state, err := cluster.State(2)
	require.NoError(t, err)
	require.Len(t, state.Members, 4)
	require.NoError(t, cluster.Start(5)) // it has its disk, and is no member any more
	require.NoError(t, cluster.AwaitStable())
	cluster.requireServed(5, keys)
	cluster.changeMembers(5, "add?id=5&why=back")
	state, err = cluster.State(3)
	require.NoError(t, err)
	require.Len(t, state.Members, 5)
	require.Equal(t, "back", state.Reason)
	for id := 1; id <= 5; id++ {
		cluster.requireServed(id, keys)
	}
}

// A sync that fails once, and a disk that is full for a while: the server does not vote until its log was opened
// anew, the others go on, and nothing that was promised is lost.
func TestDiskFails(t *testing.T) {
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
					err = errors.New("no failure is noticed")
				}
				return err
			}))
			cluster.requireServed(1, keys) // by the others' copies
			require.NoError(t, cluster.SetDiskFault(1, ""))
			require.NoError(t, cluster.AwaitStable())
			cluster.loseMachine(3)
			cluster.requireServed(1, keys)
			cluster.requireServed(2, keys)
		})
	}
}

// A bit of a snapshotshot is flipped: the server does not start, and names file and offset; without its folder it is a
// new member.
func TestFlippedBit(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	keys := cluster.serveKeys(60, 1, 2, 3)
	var snapshots []string
	require.NoError(t, cluster.Eventually(func() (err error) {
		if snapshots, err = filepath.Glob(filepath.Join(cluster.Servers[0].DataDir, "*.snap")); len(snapshots) == 0 {
			err = errors.New("no snapshotshot yet")
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

// Wall clocks are a second apart, and one is stepped back while requests are in their retention window: only the
// times that callers give count.
func TestWallClocksApart(t *testing.T) {
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
