package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/example"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// The demo command demonstrates the loss of a server, exits with 0 and leaves no files behind.
func TestDemo(t *testing.T) {
	t.Parallel()
	program, err := processtest.Build("../..", t.TempDir())
	require.NoError(t, err)
	tmp := t.TempDir()
	cmd := exec.Command(program, "demo")
	cmd.Env = append(os.Environ(), "TMPDIR="+tmp)
	cmd.Dir = tmp
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)
	require.Contains(t, string(out), "its folder is lost")
	require.Contains(t, string(out), "did basket-17")
	leftovers, err := filepath.Glob(filepath.Join(tmp, "*"))
	require.NoError(t, err)
	require.Empty(t, leftovers)
}

// The replication commands show and change a group. A command that fails exits with exitFailed and prints the reason.
func TestReplicationCommands(t *testing.T) {
	t.Parallel()
	program, err := processtest.Build("../..", t.TempDir())
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(example.Config, &file))
	cluster, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  program,
		Settings: file.Settings,
		Servers:  3,
		Replicas: 3,
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Close()) })
	for id := 1; id <= 3; id++ {
		require.NoError(t, cluster.Start(id))
	}
	runAt := func(id int, args ...string) (int, string) {
		admin := cluster.Servers[id-1].Process().Admin
		return runWith(t, nil, append([]string{"replication", "--admin", admin}, args...)...)
	}
	code, out := runAt(1)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "no group yet")
	require.NoError(t, cluster.Eventually(func() error { return cluster.AdminCall(1, "found") }))
	require.NoError(t, cluster.AwaitStable())
	code, out = runAt(2, "bootstrap")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "a group is known here")
	reply, err := cluster.Send(1, processtest.NewKeyedRequest("basket"))
	require.NoError(t, err)
	require.Equal(t, thrift.ReplyAnswer, reply.Kind)
	code, out = runAt(2, "status")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "epoch 1, 3 copies")
	require.Contains(t, out, "keys held here")
	require.NoError(t, cluster.Eventually(func() error {
		if _, out = runAt(3, "export"); !bytes.Contains([]byte(out), []byte(`"kind":"passed"`)) {
			return os.ErrNotExist
		}
		return nil
	}))
	require.Contains(t, out, "basket")
	code, out = runAt(1, "remove", "7")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "would change nothing")
	code, out = runAt(1, "add", "9")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "has not been heard of")
	code, out = runAt(1, "force", "1", "--reason", "test")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "--confirm")
	code, out = runAt(1, "force", "2", "--reason", "test", "--confirm")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "this server among them")
	code, _ = runAt(1, "remove", "3", "--reason", "it is old")
	require.Equal(t, exitOK, code)
	require.NoError(t, cluster.Eventually(func() error {
		if _, out = runAt(2, "status"); !bytes.Contains([]byte(out), []byte("epoch 3")) {
			return os.ErrNotExist
		}
		return nil
	}))
	require.Contains(t, out, "it is old")
	require.NoError(t, cluster.Eventually(func() error { // server 2 may learn before server 1 that the change is complete
		if code, out = runAt(1, "members"); bytes.Contains([]byte(out), []byte("\n3 ")) {
			return os.ErrExist
		}
		return nil
	}))
	require.Equal(t, exitOK, code)
	require.NotContains(t, out, "\n3 ")
	code, out = runAt(1, "abort-change")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "none is under way")
	code, _ = runAt(1, "repair")
	require.Equal(t, exitOK, code)
	code, out = runWith(t, nil, "replication", "--admin", "127.0.0.1:1")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "no server answers")
}
