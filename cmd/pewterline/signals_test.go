package main

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the notice to leave against a reload that does not come to its end: the configuration is a pipe here, which the program
// opens at SIGHUP and from which nothing comes. The program drains and ends all the same; its sender would kill it.
func TestLeaveDuringAReload(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	p := w.start()
	c := w.dial()
	w.served(w.ask(c, "lot-intake", "k1", "one"), "one")
	require.NoError(t, os.Remove(p.Config))
	require.NoError(t, syscall.Mkfifo(p.Config, 0o600))
	require.NoError(t, p.Signal(syscall.SIGHUP))
	pipe, err := os.OpenFile(p.Config, os.O_WRONLY, 0) // returns once the program has opened it
	require.NoError(t, err)
	defer pipe.Close()
	require.NoError(t, p.Signal(syscall.SIGTERM))
	c.Close()
	require.NoError(t, p.Wait(), p.Log())
	require.Contains(t, p.Log(), "drained")
}
