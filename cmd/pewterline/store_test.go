package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the once-only rule across the death of a process with a store of record: an intake that ran, or may have, when
// the process was killed is not run again by the next life, and not refused either; one that had ended is served.
func TestKilledWithStore(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	srv.StoreFile = filepath.Join(srv.Dir, "store.toml")
	text := fmt.Sprintf("driver = \"sqlite\"\ndsn = %q\ntimeout_ms = 30000\n", filepath.Join(srv.Dir, "intakes.db"))
	require.NoError(t, os.WriteFile(srv.StoreFile, []byte(text), 0o600))
	first := srv.start()
	c := srv.dial()
	srv.served(srv.ask(c, "lot-intake", "k1", "one"), "one")
	first.Pool.Hold()
	srv.ask(c, "lot-intake", "k2", "two")
	require.NoError(t, first.Pool.AwaitRunStart("two"))
	require.NoError(t, first.Signal(syscall.SIGKILL))
	require.Error(t, first.Wait())
	second := srv.start()
	require.Contains(t, second.Log(), `executions restored {"restored": 2, "indeterminate": 1}`)
	d := srv.dial()
	srv.served(srv.ask(d, "lot-intake", "k1", "one"), "one")
	srv.failed(srv.ask(d, "lot-intake", "k2", "two"))
	srv.served(srv.ask(d, "lot-intake", "k3", "three"), "three")
	srv.once()
}
