package main

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// A reload that does not end must not delay a shutdown, or the platform would kill the process. Here the configuration
// is a pipe, which the program opens at SIGHUP and from which it reads no data. It must still drain and exit.
func TestShutdownDuringReload(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	process := srv.start()
	conn := srv.dial()
	srv.requireServed(srv.sendRequest(conn, "lot-intake", "k1", "one"), "one")
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

// A second SIGTERM, followed by a reload, must not affect a drain: it continues, and the reply of a run that ends later
// is sent.
func TestRepeatedShutdownSignal(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	process := srv.start()
	conn := srv.dial()
	process.Pool.Hold()
	running := srv.sendRequest(conn, "lot-intake", "k1", "one")
	require.NoError(t, process.Pool.AwaitRunStart("one"))
	require.NoError(t, process.Signal(syscall.SIGTERM))
	for !strings.Contains(process.Log(), "server: draining") {
		require.False(t, process.Ended())
	}
	require.NoError(t, process.Signal(syscall.SIGTERM))
	require.NoError(t, process.Signal(syscall.SIGHUP))
	for !strings.Contains(process.Log(), "configuration reloaded") { // both signals have been received
		require.False(t, process.Ended())
	}
	process.Pool.Release()
	srv.requireServed(running, "one")
	conn.Close()
	require.NoError(t, process.Wait(), process.Log())
	require.Equal(t, 1, strings.Count(process.Log(), "server: draining"))
	srv.requireNoDuplicateRuns()
}

// An upgrade can be aborted by SIGTERM to the new process before the handoff: the new process exits, and the old one
// keeps serving, with its keys.
func TestSuccessorStoppedBeforeHandoff(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	oldConn := srv.dial()
	srv.requireServed(srv.sendRequest(oldConn, "lot-intake", "k1", "one"), "one")
	next := srv.start()
	require.NoError(t, next.Signal(syscall.SIGTERM))
	require.NoError(t, next.Wait(), next.Log())
	newConn := srv.dial()
	srv.requireServed(srv.sendRequest(newConn, "lot-intake", "k1", "one"), "one")
	srv.requireServed(srv.sendRequest(newConn, "lot-intake", "k2", "two"), "two")
	require.False(t, old.Ended())
	srv.requireNoDuplicateRuns()
}
