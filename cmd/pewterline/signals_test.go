package main

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the notice to leave against a reload that does not come to its end: the configuration is a pipe here, which
// the program opens at SIGHUP and from which nothing comes. The program drains and ends all the same; its sender would
// kill it.
func TestLeaveDuringAReload(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	process := srv.start()
	conn := srv.dial()
	srv.served(srv.ask(conn, "lot-intake", "k1", "one"), "one")
	require.NoError(t, os.Remove(process.Config))
	require.NoError(t, syscall.Mkfifo(process.Config, 0o600))
	require.NoError(t, process.Signal(syscall.SIGHUP))
	pipe, err := os.OpenFile(process.Config, os.O_WRONLY, 0) // returns once the program has opened it
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, pipe.Close()) })
	require.NoError(t, process.Signal(syscall.SIGTERM))
	conn.Close()
	require.NoError(t, process.Wait(), process.Log())
	require.Contains(t, process.Log(), "drained")
}

// Guards what is under way against a notice that comes twice, and a reload behind it: the drain goes on as it began,
// and a run that ends later is answered.
func TestLeaveTwice(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	process := srv.start()
	conn := srv.dial()
	process.Pool.Hold()
	running := srv.ask(conn, "lot-intake", "k1", "one")
	require.NoError(t, process.Pool.AwaitRunStart("one"))
	require.NoError(t, process.Signal(syscall.SIGTERM))
	for !strings.Contains(process.Log(), "server: draining") {
		require.False(t, process.Ended())
	}
	require.NoError(t, process.Signal(syscall.SIGTERM))
	require.NoError(t, process.Signal(syscall.SIGHUP))
	for !strings.Contains(process.Log(), "configuration reloaded") { // both have been heard
		require.False(t, process.Ended())
	}
	process.Pool.Release()
	srv.served(running, "one")
	conn.Close()
	require.NoError(t, process.Wait(), process.Log())
	require.Equal(t, 1, strings.Count(process.Log(), "server: draining"))
	srv.once()
}

// Guards an upgrade that is taken back: the new process is told to leave before the old one has handed over. It ends,
// and the old one serves on, with its keys.
func TestSuccessorIsToldToLeave(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	c := srv.dial()
	srv.served(srv.ask(c, "lot-intake", "k1", "one"), "one")
	next := srv.start()
	require.NoError(t, next.Signal(syscall.SIGTERM))
	require.NoError(t, next.Wait(), next.Log())
	d := srv.dial()
	srv.served(srv.ask(d, "lot-intake", "k1", "one"), "one")
	srv.served(srv.ask(d, "lot-intake", "k2", "two"), "two")
	require.False(t, old.Ended())
	srv.once()
}
