package processtest

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
)

// The result of a request that one server has served is found at any other by a retry, also once that server is lost
// with its disk; and the request ran once.
func TestLostAfterAnswer(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(1, "lot", false))
	require.NoError(t, cluster.Kill(1))
	require.NoError(t, cluster.Wipe(1))
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(2, "lot", true))
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(3, "lot", true))
	require.NoError(t, cluster.Start(1))
	require.NoError(t, cluster.AwaitStable())
	state, err := cluster.State(1)
	require.NoError(t, err)
	require.Equal(t, 1, state.Counters.Held, "its copy is there again")
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(1, "lot", true))
	require.Empty(t, cluster.RunLog.DuplicateRuns())
}

// The machine is lost with its disk between the agreed intent and the run: the worker pool never receives the
// request. Nobody can know that, and nobody else runs it.
func TestLostBetweenIntentAndRun(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	pool := cluster.Servers[0].Process().Pool
	pool.Freeze() // it reads nothing more: the command stays on its way
	cluster.sendAsync("lot")
	cluster.awaitKey(2, "lot", "intent")
	cluster.loseMachine(1)
	cluster.requireIndeterminate(2, "lot")
	cluster.requireIndeterminate(3, "lot")
	cluster.restart(1)
	cluster.requireIndeterminate(1, "lot")
	require.Empty(t, cluster.RunLog.Runs("lot"))
}

// The machine is lost between the run and the replication of its result: it ran, and nobody else runs it.
func TestLostBetweenRunAndCopy(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	pool := cluster.Servers[0].Process().Pool
	pool.Hold()
	cluster.sendAsync("lot")
	require.NoError(t, pool.AwaitStart("lot"))
	cluster.loseMachine(1)
	pool.Release()
	cluster.requireIndeterminate(2, "lot")
	cluster.restart(1)
	for id := 1; id <= 3; id++ {
		cluster.requireIndeterminate(id, "lot")
	}
	require.Len(t, cluster.RunLog.Runs("lot"), 1)
}

// The machine is lost between the replication and the reply: the caller has heard nothing, and a retry elsewhere
// gets the result.
func TestLostBetweenCopyAndAnswer(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	relay, err := NewRelay(cluster.Servers[0].Listen)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	relay.Drop(Backward)
	conn, err := Dial(relay.Addr())
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	_, err = conn.Send(NewKeyedRequest("lot"))
	require.NoError(t, err)
	cluster.awaitKey(3, "lot", "passed")
	cluster.loseMachine(1)
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(2, "lot", true))
	cluster.restart(1)
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(1, "lot", true))
	require.Len(t, cluster.RunLog.Runs("lot"), 1)
}

// With five replicas a second machine is lost before the first one is replaced: nothing that was promised is lost.
// The repair is slow, so that the second loss falls into it.
func TestSecondLostDuringRepair(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 5, 5, "repair_keys_per_s = 20", "repair_at_once = 2")
	keys := cluster.serveKeys(40, 1, 2, 3, 4, 5)
	cluster.loseMachine(5)
	require.NoError(t, cluster.Start(5))
	require.NoError(t, cluster.Eventually(func() error {
		state, err := cluster.State(1)
		if err == nil && (!state.Changing || state.Counters.Repaired == 0) {
			err = errors.New("the repair has not begun")
		}
		return err
	}))
	cluster.loseMachine(1)
	cluster.requireServed(2, keys)
	cluster.restart(1)
	cluster.loseMachine(2) // and after it the next
	cluster.requireServed(5, keys)
	cluster.requireServed(1, keys)
}

// The owner is stalled in the middle of a run while another server answers for it; it wakes with the result in hand,
// which is the one that all find from then on.
func TestOwnerStalledInItsRun(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	pool := cluster.Servers[0].Process().Pool
	pool.Hold()
	pending := cluster.sendAsync("lot")
	require.NoError(t, pool.AwaitStart("lot"))
	require.NoError(t, cluster.Stall(1))
	pool.Release()
	cluster.requireIndeterminate(2, "lot") // once its own time is over: over 4 s
	time.Sleep(time.Second)
	require.NoError(t, cluster.Resume(1))
	_, err := pending.Await()
	require.NoError(t, err, "the caller of the stalled one gets an answer, if a late one")
	require.NoError(t, cluster.Eventually(func() error {
		if outcome := cluster.sendKeyed(3, "lot", true); outcome != servedResult("lot") {
			return fmt.Errorf("%v", outcome)
		}
		return nil
	}))
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(2, "lot", true))
	require.Len(t, cluster.RunLog.Runs("lot"), 1)
}

// All processes are killed at once, and started again; then the same with one disk lost.
func TestAllKilled(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	keys := cluster.serveKeys(20, 1, 2, 3)
	for _, wiped := range []int{0, 2} {
		for id := 1; id <= 3; id++ {
			require.NoError(t, cluster.Kill(id))
		}
		if wiped > 0 {
			require.NoError(t, cluster.Wipe(wiped))
		}
		cluster.restart(1, 2, 3)
		cluster.requireServed(1, keys)
		cluster.requireServed(2, keys)
		cluster.requireServed(3, keys)
	}
}

// A majority is lost for good: a known result is still answered by nobody, as no majority confirms it; nothing runs,
// reads go on. An administrative command has the rest go on: the results that it holds are found, a request that it
// does not know does not run before a retention window has passed, and the record names the loss.
func TestMajorityLost(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	keys := cluster.serveKeys(10, 1, 2, 3)
	cluster.loseMachine(2)
	cluster.loseMachine(3)
	outcome := cluster.sendKeyed(1, "new", false)
	require.Equal(t, thrift.ReplyThrottled, outcome.Kind)
	conn, err := Dial(cluster.Servers[0].Listen)
	require.NoError(t, err)
	t.Cleanup(conn.Close)
	pending, err := conn.Send(Request{Class: "block-view", Body: "view", ArrivedAt: time.Now()})
	require.NoError(t, err)
	reply, err := pending.Await()
	require.NoError(t, err)
	require.Equal(t, thrift.ReplyAnswer, reply.Kind, "reads do not suffer")
	require.Error(t, cluster.AdminCall(1, "force?keep=2"), "only with itself")
	require.NoError(t, cluster.AdminCall(1, "force?keep=1&why=two+burnt"))
	cluster.requireServed(1, keys)
	cluster.requireIndeterminate(1, "new") // it may have run on one that is lost
	state, err := cluster.State(1)
	require.NoError(t, err)
	require.Equal(t, "two burnt", state.Reason)
	require.Positive(t, state.ForcedAtMS)
	require.Contains(t, cluster.Log(), "LOSS")
	// Those that come back empty are taken in again, one at a time.
	for _, id := range []int{2, 3} {
		require.NoError(t, cluster.Start(id))
		require.NoError(t, cluster.Eventually(func() error {
			state, err := cluster.State(id)
			if err == nil && state.Epoch == 0 {
				err = errors.New("it has not heard of the group")
			}
			return err
		}))
		cluster.changeMembers(1, fmt.Sprint("add?id=", id))
	}
	cluster.requireServed(3, keys)
}
