package processtest

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
)

// Guards against losing a result that was served: after the loss of the server with its disk, a retry at any other
// server returns the result, and the request has run once.
func TestServerLostAfterReply(t *testing.T) {
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
	require.Equal(t, 1, state.Counters.Held, "the repair has restored the key")
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(1, "lot", true))
	require.Empty(t, cluster.RunLog.DuplicateRuns())
}

// Guards against running a request after its owner is lost between the replication of the intent and the run. The other
// servers cannot know that the worker pool never received the request, so they must not run it.
func TestServerLostBetweenIntentAndRun(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	pool := cluster.Servers[0].Process().Pool
	pool.Freeze() // the command to run the request is never executed
	cluster.sendAsync("lot")
	cluster.awaitKey(2, "lot", "intent")
	cluster.loseMachine(1)
	cluster.requireIndeterminate(2, "lot")
	cluster.requireIndeterminate(3, "lot")
	cluster.restart(1)
	cluster.requireIndeterminate(1, "lot")
	require.Empty(t, cluster.RunLog.Runs("lot"))
}

// Guards against a second run after the owner is lost between the run and the replication of the result.
func TestServerLostBetweenRunAndReplication(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	pool := cluster.Servers[0].Process().Pool
	pool.Hold()
	cluster.sendAsync("lot")
	require.NoError(t, pool.AwaitRunStart("lot"))
	cluster.loseMachine(1)
	pool.Release()
	cluster.requireIndeterminate(2, "lot")
	cluster.restart(1)
	for id := 1; id <= 3; id++ {
		cluster.requireIndeterminate(id, "lot")
	}
	require.Len(t, cluster.RunLog.Runs("lot"), 1)
}

// Guards against losing a replicated result whose owner is lost before the caller receives the reply: a retry at
// another server returns the result.
func TestServerLostBetweenReplicationAndReply(t *testing.T) {
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

// Guards against losing served results when, with five replicas, a second machine is lost during the repair of the
// first. The repair rate is limited, so that the second loss occurs during the repair.
func TestSecondServerLostDuringRepair(t *testing.T) {
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
	cluster.loseMachine(2) // a third loss, after the repair of the second
	cluster.requireServed(5, keys)
	cluster.requireServed(1, keys)
}

// Guards against two outcomes of one request: its owner is stalled during the run while another server answers that the
// outcome is unknown. When the owner resumes, it replicates its result, which all servers return from then on.
func TestOwnerStalledDuringRun(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 3, 3)
	pool := cluster.Servers[0].Process().Pool
	pool.Hold()
	pending := cluster.sendAsync("lot")
	require.NoError(t, pool.AwaitRunStart("lot"))
	require.NoError(t, cluster.Stall(1))
	pool.Release()
	cluster.requireIndeterminate(2, "lot") // after the request's own deadline: more than 4 s
	time.Sleep(time.Second)
	require.NoError(t, cluster.Resume(1))
	_, err := pending.Await()
	require.NoError(t, err, "the caller of the stalled server gets a late reply")
	require.NoError(t, cluster.Eventually(func() error {
		if outcome := cluster.sendKeyed(3, "lot", true); outcome != servedResult("lot") {
			return fmt.Errorf("%v", outcome)
		}
		return nil
	}))
	require.Equal(t, servedResult("lot"), cluster.sendKeyed(2, "lot", true))
	require.Len(t, cluster.RunLog.Runs("lot"), 1)
}

// Guards against losing served results when all processes are killed at once and restarted, first with all disks intact
// and then with one disk lost.
func TestAllServersKilled(t *testing.T) {
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

// Guards against running requests without a majority, and against losing results when an operator forces the group to
// continue. Without a majority the remaining server rejects new keyed requests and does not return known results, which
// no majority can confirm; it serves requests without a key. After the command force it returns the results that it
// holds, does not run an unknown request before a retention window has passed, as the request may have run on a lost
// server, and records the loss.
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
	require.Equal(t, thrift.ReplyAnswer, reply.Kind, "requests without a key are served")
	require.Error(t, cluster.AdminCall(1, "force?keep=2"), "the server has to keep itself")
	require.NoError(t, cluster.AdminCall(1, "force?keep=1&why=two+burnt"))
	cluster.requireServed(1, keys)
	cluster.requireIndeterminate(1, "new") // it may have run on a lost server
	state, err := cluster.State(1)
	require.NoError(t, err)
	require.Equal(t, "two burnt", state.Reason)
	require.Positive(t, state.ForcedAtMS)
	require.Contains(t, cluster.Log(), "LOSS")
	// Servers that restart without data are added again, one at a time.
	for _, id := range []int{2, 3} {
		require.NoError(t, cluster.Start(id))
		require.NoError(t, cluster.Eventually(func() error {
			state, err := cluster.State(id)
			if err == nil && state.Epoch == 0 {
				err = errors.New("the server does not know the group yet")
			}
			return err
		}))
		cluster.changeMembership(1, fmt.Sprint("add?id=", id))
	}
	cluster.requireServed(3, keys)
}
