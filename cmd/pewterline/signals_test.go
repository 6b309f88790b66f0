package main

import (
	"os"
	"strings"
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

// Guards what is under way against a notice that comes twice, and a reload behind it: the drain goes on as it began, and a run that
// ends later is answered.
func TestLeaveTwice(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	p := w.start()
	c := w.dial()
	p.Pool.Hold()
	running := w.ask(c, "lot-intake", "k1", "one")
	require.NoError(t, p.Pool.AwaitStart("one"))
	require.NoError(t, p.Signal(syscall.SIGTERM))
	for !strings.Contains(p.Log(), "server: draining") {
		require.False(t, p.Ended())
	}
	require.NoError(t, p.Signal(syscall.SIGTERM))
	require.NoError(t, p.Signal(syscall.SIGHUP))
	for !strings.Contains(p.Log(), "configuration reloaded") { // both have been heard
		require.False(t, p.Ended())
	}
	p.Pool.Release()
	w.served(running, "one")
	c.Close()
	require.NoError(t, p.Wait(), p.Log())
	require.Equal(t, 1, strings.Count(p.Log(), "server: draining"))
	w.once()
}

// Guards an upgrade that is taken back: the new process is told to leave before the old one has handed over. It ends, and the old one
// serves on, with its keys.
func TestSuccessorIsToldToLeave(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	c := w.dial()
	w.served(w.ask(c, "lot-intake", "k1", "one"), "one")
	next := w.start()
	require.NoError(t, next.Signal(syscall.SIGTERM))
	require.NoError(t, next.Wait(), next.Log())
	d := w.dial()
	w.served(w.ask(d, "lot-intake", "k1", "one"), "one")
	w.served(w.ask(d, "lot-intake", "k2", "two"), "two")
	require.False(t, old.Ended())
	w.once()
}
