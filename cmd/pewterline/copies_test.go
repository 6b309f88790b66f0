package main

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/example"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// The command that a newcomer begins with: it plays the loss of a server, ends with 0 and leaves nothing behind.
func TestTry(t *testing.T) {
	t.Parallel()
	program, err := processtest.Build("../..", t.TempDir())
	require.NoError(t, err)
	tmp := t.TempDir()
	cmd := exec.Command(program, "try")
	cmd.Env = append(os.Environ(), "TMPDIR="+tmp)
	cmd.Dir = tmp
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)
	require.Contains(t, string(out), "its folder is lost")
	require.Contains(t, string(out), "did basket-17")
	left, err := filepath.Glob(filepath.Join(tmp, "*"))
	require.NoError(t, err)
	require.Empty(t, left)
}

// What operators do to a group by the command line, and what they are told; each fault is named.
func TestCopiesCommands(t *testing.T) {
	t.Parallel()
	program, err := processtest.Build("../..", t.TempDir())
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(example.Config, &file))
	g, err := processtest.NewCluster(program, file.Settings, 3, 3)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, g.Close()) })
	for id := 1; id <= 3; id++ {
		require.NoError(t, g.Start(id))
	}
	do := func(id int, args ...string) (int, string) {
		var out bytes.Buffer
		code := command(append([]string{"copies", "--admin", g.Servers[id-1].Process.Admin}, args...), func(string) string { return "" }, &out, &out)
		return code, out.String()
	}
	code, out := do(1)
	require.Equal(t, fine, code)
	require.Contains(t, out, "no group yet")
	require.NoError(t, g.Eventually(func() error { return g.AdminCall(1, "found") }))
	require.NoError(t, g.AwaitStable())
	code, out = do(2, "found")
	require.Equal(t, failed, code)
	require.Contains(t, out, "a group is known here")
	told, err := g.SendKeyed(1, "basket", time.Now(), false)
	require.NoError(t, err)
	require.Equal(t, thrift.ReplyAnswer, told.Kind)
	code, out = do(2, "status")
	require.Equal(t, fine, code)
	require.Contains(t, out, "epoch 1, 3 copies")
	require.Contains(t, out, "keys held here")
	require.NoError(t, g.Eventually(func() error {
		if _, out = do(3, "export"); !bytes.Contains([]byte(out), []byte(`"kind":"passed"`)) {
			return os.ErrNotExist
		}
		return nil
	}))
	require.Contains(t, out, "basket")
	code, out = do(1, "remove", "7")
	require.Equal(t, failed, code)
	require.Contains(t, out, "would change nothing")
	code, out = do(1, "add", "9")
	require.Equal(t, failed, code)
	require.Contains(t, out, "has not been heard of")
	code, out = do(1, "force", "1", "--why", "test")
	require.Equal(t, failed, code)
	require.Contains(t, out, "--sure")
	code, out = do(1, "force", "2", "--why", "test", "--sure")
	require.Equal(t, failed, code)
	require.Contains(t, out, "this server among them")
	code, _ = do(1, "remove", "3", "--why", "it is old")
	require.Equal(t, fine, code)
	require.NoError(t, g.Eventually(func() error {
		if _, out = do(2, "status"); !bytes.Contains([]byte(out), []byte("epoch 3")) {
			return os.ErrNotExist
		}
		return nil
	}))
	require.Contains(t, out, "it is old")
	require.NoError(t, g.Eventually(func() error { // server 2 may hear of the end of the change before server 1
		if code, out = do(1, "members"); bytes.Contains([]byte(out), []byte("\n3 ")) {
			return os.ErrExist
		}
		return nil
	}))
	require.Equal(t, fine, code)
	require.NotContains(t, out, "\n3 ")
	code, out = do(1, "give-up")
	require.Equal(t, failed, code)
	require.Contains(t, out, "none is under way")
	code, _ = do(1, "repair")
	require.Equal(t, fine, code)
	var b bytes.Buffer
	require.Equal(t, failed, command([]string{"copies", "--admin", "127.0.0.1:1"}, func(string) string { return "" }, &b, &b))
	require.Contains(t, b.String(), "no server answers")
}
