package processtest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
)

// fixtureSettings returns the settings of the config package's test fixture.
func fixtureSettings(t *testing.T) json.RawMessage {
	t.Helper()
	text, err := os.ReadFile("../../config/testdata/config.json")
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(text, &file))
	return file.Settings
}

// programWithFaults builds the program with the tag faults, once for all tests.
var programWithFaults = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pwbin")
	if err != nil {
		return "", err
	}
	return Build("../../..", dir, "faults")
})

func TestMain(m *testing.M) {
	if start := os.Getenv(portHolderStart); start != "" {
		os.Exit(runPortHolder(start))
	}
	code := m.Run()
	if path, err := programWithFaults(); err == nil {
		// A failure is harmless: the folder is below the system's temporary folder.
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// testCluster is a cluster that is closed at the end of its test.
type testCluster struct {
	*Cluster
	t *testing.T
}

// startCluster starts a cluster whose servers form a replication group.
func startCluster(t *testing.T, servers, replicas int, extraLines ...string) *testCluster {
	t.Helper()
	program, err := programWithFaults()
	require.NoError(t, err)
	cluster, err := NewCluster(ClusterConfig{
		Program:    program,
		Settings:   LongRetention(fixtureSettings(t)),
		Servers:    servers,
		Replicas:   replicas,
		ExtraLines: extraLines,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(cluster.Log())
		}
		require.NoError(t, cluster.Close())
	})
	require.NoError(t, cluster.StartAll())
	return &testCluster{Cluster: cluster, t: t}
}

// servedResult returns the expected outcome of a served request.
func servedResult(key string) RequestOutcome {
	return RequestOutcome{Kind: thrift.ReplyAnswer, Result: "did " + key}
}

// sendKeyed sends a request with an idempotency key to a server, and waits for its reply.
func (c *testCluster) sendKeyed(id int, key string, retry bool) RequestOutcome {
	c.t.Helper()
	request := NewKeyedRequest(key)
	request.Retry = retry
	outcome, err := c.Send(id, request)
	require.NoError(c.t, err)
	return outcome
}

// requireIndeterminate retries a request, and requires the reply for an unknown outcome, ReplyBroken: the request
// failed, and may have run.
func (c *testCluster) requireIndeterminate(id int, key string) {
	c.t.Helper()
	outcome := c.sendKeyed(id, key, true)
	require.Equal(c.t, thrift.ReplyBroken, outcome.Kind, "%s at server %d", key, id)
}

// loseMachine kills a server and removes its data, as the loss of its machine with the disk would.
func (c *testCluster) loseMachine(id int) {
	c.t.Helper()
	require.NoError(c.t, c.Kill(id))
	require.NoError(c.t, c.Wipe(id))
}

// restart starts lost servers again, and waits until the group is stable.
func (c *testCluster) restart(ids ...int) {
	c.t.Helper()
	for _, id := range ids {
		require.NoError(c.t, c.Start(id))
	}
	require.NoError(c.t, c.AwaitStable())
}

// sendAsync sends a request to the first server without waiting for the reply.
func (c *testCluster) sendAsync(key string) PendingRequest {
	c.t.Helper()
	conn, err := Dial(c.Servers[0].Listen)
	require.NoError(c.t, err)
	c.t.Cleanup(conn.Close)
	pending, err := conn.Send(NewKeyedRequest(key))
	require.NoError(c.t, err)
	return pending
}

// changeMembership sends an administrative command to a server, and waits until the membership change is complete.
func (c *testCluster) changeMembership(id int, command string) {
	c.t.Helper()
	before, err := c.State(id)
	require.NoError(c.t, err)
	require.NoError(c.t, c.AdminCall(id, command))
	c.awaitMembershipChange(id, before.Epoch)
}

// awaitMembershipChange waits until the membership change that began at the given epoch is complete. A change advances
// the epoch twice: for the joint membership, and for the new one.
func (c *testCluster) awaitMembershipChange(id int, epoch uint64) {
	c.t.Helper()
	require.NoError(c.t, c.Eventually(func() error {
		state, err := c.State(id)
		if err == nil && state.Epoch < epoch+2 {
			err = fmt.Errorf("membership change not complete: %+v", state)
		}
		return err
	}))
	require.NoError(c.t, c.AwaitStable())
}

// awaitKey waits until a server holds the key, with the given kind.
func (c *testCluster) awaitKey(id int, key, kind string) {
	c.t.Helper()
	wanted := func(k ExportedKey) bool { return strings.HasSuffix(k.Key, "\x00"+key) && k.Kind == kind }
	require.NoError(c.t, c.Eventually(func() error {
		held, err := c.Export(id)
		if err == nil && !slices.ContainsFunc(held, wanted) {
			err = fmt.Errorf("key not among the held keys: %v", held)
		}
		return err
	}))
}

// serveKeys sends keyed requests to the given servers in turn, requires that each is served, and returns the keys.
func (c *testCluster) serveKeys(count int, ids ...int) (keys []string) {
	c.t.Helper()
	for i := range count {
		key := fmt.Sprint("lot ", i)
		require.Equal(c.t, servedResult(key), c.sendKeyed(ids[i%len(ids)], key, false))
		keys = append(keys, key)
	}
	return keys
}

// requireServed requires that retries at a server return the results of all keys, and that no request ran twice.
func (c *testCluster) requireServed(id int, keys []string) {
	c.t.Helper()
	for _, key := range keys {
		require.Equal(c.t, servedResult(key), c.sendKeyed(id, key, true), "%s at server %d", key, id)
	}
	require.Empty(c.t, c.RunLog.DuplicateRuns())
}
