package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the once-only rule across the death of a process with a store of record: an intake that ran, or may have, when the
// process was killed is not run again by the next life, and not refused either; one that had ended is served.
func TestKilledWithStore(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	w.Store = filepath.Join(w.Dir, "store.toml")
	require.NoError(t, os.WriteFile(w.Store, []byte("driver = \"sqlite\"\ndsn = \""+filepath.Join(w.Dir, "intakes.db")+"\"\ntimeout_ms = 30000\n"), 0o600))
	first := w.start()
	c := w.dial()
	w.served(w.ask(c, "lot-intake", "k1", "one"), "one")
	first.Pool.Hold()
	w.ask(c, "lot-intake", "k2", "two")
	require.NoError(t, first.Pool.AwaitStart("two"))
	require.NoError(t, first.Signal(syscall.SIGKILL))
	require.Error(t, first.Wait())
	second := w.start()
	require.Contains(t, second.Log(), "2 executions restored, of 1 it is not known whether they ran")
	d := w.dial()
	w.served(w.ask(d, "lot-intake", "k1", "one"), "one")
	w.failed(w.ask(d, "lot-intake", "k2", "two"))
	w.served(w.ask(d, "lot-intake", "k3", "three"), "three")
	w.once()
}
