package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A keyed request must not run twice if a process with a store of record is killed: a request that was running, or may
// have run, is neither run again nor rejected by the restarted process. The retry of a request that had ended succeeds.
func TestKilledWithStore(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	srv.StoreFile = filepath.Join(srv.Dir, "store.toml")
	text := fmt.Sprintf("driver = \"sqlite\"\ndsn = %q\ntimeout_ms = 30000\n", filepath.Join(srv.Dir, "intakes.db"))
	require.NoError(t, os.WriteFile(srv.StoreFile, []byte(text), 0o600))
	first := srv.start()
	firstConn := srv.dial()
	srv.requireServed(srv.sendRequest(firstConn, "lot-intake", "k1", "one"), "one")
	first.Pool.Hold()
	srv.sendRequest(firstConn, "lot-intake", "k2", "two")
	require.NoError(t, first.Pool.AwaitRunStart("two"))
	require.NoError(t, first.Signal(syscall.SIGKILL))
	require.Error(t, first.Wait())
	second := srv.start()
	require.Contains(t, second.Log(), `executions restored {"restored": 2, "indeterminate": 1}`)
	secondConn := srv.dial()
	srv.requireServed(srv.sendRequest(secondConn, "lot-intake", "k1", "one"), "one")
	srv.requireFailed(srv.sendRequest(secondConn, "lot-intake", "k2", "two"))
	srv.requireServed(srv.sendRequest(secondConn, "lot-intake", "k3", "three"), "three")
	srv.requireNoDuplicateRuns()
}
