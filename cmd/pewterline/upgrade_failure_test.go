package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"pewterline/internal/config"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// A keyed request must not run twice if the old process is killed while the request runs or is queued there. The retry
// of a request that may have run fails; it is neither rejected nor run. The retry of a request that had ended succeeds.
func TestPredecessorKilled(t *testing.T) {
	t.Parallel()
	for _, handedOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("handed over %v", handedOver), func(t *testing.T) {
			srv := newTestServer(t)
			old := srv.start()
			oldConn := srv.dial()
			srv.requireServed(srv.sendRequest(oldConn, "lot-intake", "k1", "one"), "one")
			old.Pool.Hold()
			for _, key := range []string{"two", "three", "four"} { // the last is queued: two may run at once
				srv.sendRequest(oldConn, "lot-intake", key, key)
			}
			require.NoError(t, old.Pool.AwaitRunStart("two"))
			next := srv.start()
			if handedOver {
				require.NoError(t, old.Signal(syscall.SIGTERM))
				awaitLog(t, next, "has handed over")
				newConn := srv.dial()
				running, queued := srv.sendRequest(newConn, "lot-intake", "two", "two"),
					srv.sendRequest(newConn, "lot-intake", "four", "four")
				require.NoError(t, old.Signal(syscall.SIGKILL))
				srv.requireFailed(running)
				srv.requireFailed(queued) // it may have started to run since the handoff
			} else {
				require.NoError(t, old.Signal(syscall.SIGKILL))
			}
			require.Error(t, old.Wait())
			awaitLog(t, next, "predecessor is gone")
			conn := srv.dial()
			srv.requireServed(srv.sendRequest(conn, "lot-intake", "k1", "one"), "one")
			srv.requireFailed(srv.sendRequest(conn, "lot-intake", "two", "two"))
			if handedOver {
				srv.requireFailed(srv.sendRequest(conn, "lot-intake", "four", "four"))
			} else { // the successor knows whether the old process had started it; in both cases it runs once
				reply, err := srv.sendRequest(conn, "lot-intake", "four", "four").Await()
				require.NoError(t, err)
				require.Contains(t, []thrift.ReplyKind{thrift.ReplyAnswer, thrift.ReplyBroken}, reply.Kind)
				require.Len(t, srv.RunLog.Runs("four"), 1)
			}
			srv.requireServed(srv.sendRequest(conn, "lot-intake", "new", "new"), "new")
			srv.requireServed(srv.sendRequest(conn, "block-view", "", "view"), "view")
			srv.requireNoDuplicateRuns()
		})
	}
}

// A serving process must not be affected by a successor that fails: one that does not start, one that hangs before it
// is ready, and one that is killed once it is ready. The next upgrade must succeed.
func TestFailedSuccessor(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	conn := srv.dialIdle()
	requireWorking := func(key string) {
		srv.requireServedAfterIdle(&conn, key)
		require.NotContains(t, old.Log(), "server: draining", "a drain sends farewells, too")
		srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", key, key), key)
		healthy, err := processtest.CheckHealth(srv.Listen)
		require.NoError(t, err)
		require.True(t, healthy)
	}
	faulty, err := srv.Start(func(cfg map[string]any) { cfg["listen"] = "nowhere" })
	require.NoError(t, err)
	require.Error(t, faulty.Wait())
	requireWorking("k1")
	hung, err := net.Dial("unix", successorSocket(t, srv.Dir)) // a successor that sends nothing
	require.NoError(t, err)
	t.Cleanup(func() { _ = hung.Close() })
	requireWorking("k2")
	killed := srv.start()
	require.NoError(t, killed.Signal(syscall.SIGKILL))
	require.Error(t, killed.Wait())
	awaitLog(t, old, "successor is gone")
	requireWorking("k3")
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait())
	old = next
	conn = srv.dialIdle()
	requireWorking("k4")
	requireWorking("k1")
	require.NoError(t, next.Signal(syscall.SIGTERM))
	srv.requireNoDuplicateRuns()
}

// Only one process may own the keys if the connection between two running processes breaks, here because the new
// process was stalled for too long: when it resumes it exits with an error, and the old process keeps serving.
func TestConnectionBetweenProcessesLost(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	next := srv.start()
	require.NoError(t, next.Stall())
	conn := srv.dial()
	padding := strings.Repeat("x", 1900)
	for i := 0; !strings.Contains(old.Log(), "the successor is gone"); i++ {
		require.Less(t, i, 5000, "the data that the successor has not read is bounded")
		body := fmt.Sprintf("%d%s", i, padding)
		pending := srv.sendRequest(conn, "lot-intake", fmt.Sprintf("k%d", i), body)
		_, err := pending.Await()
		require.NoError(t, err)
	}
	require.NoError(t, next.Signal(syscall.SIGCONT))
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errCannotTakeOver.Error())
	srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "k0", "0"+padding), "0"+padding)
	srv.requireNoDuplicateRuns()
}

// Only one process may own the keys if the predecessor runs but does not answer: the new process exits with an error,
// and the old one keeps serving once it resumes.
func TestStalledPredecessor(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "k1", "one"), "one")
	require.NoError(t, old.Stall())
	next, err := srv.Start(nil)
	require.NoError(t, err)
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errCannotTakeOver.Error())
	require.NoError(t, old.Signal(syscall.SIGCONT))
	srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "k1", "one"), "one")
	srv.requireNoDuplicateRuns()
}

// The error must tell an operator why a takeover is impossible: if a foreign process answers the first attempt and not
// the later ones, the timeout of the last attempt must not replace the error of the first.
func TestTimeoutDoesNotHideTheReason(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pw")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	cfg := config.Config{Name: "n0", Listen: "127.0.0.1:2", AdminAddress: "127.0.0.1:1"}
	listener, err := net.Listen("unix", filepath.Join(dir, socketPrefix(cfg)+"1"))
	require.NoError(t, err)
	var accepted []net.Conn // an unreferenced connection would be closed by the garbage collector
	accepting := make(chan struct{})
	go func() { // ends with the listener
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if accepted = append(accepted, conn); len(accepted) == 1 {
				_, _ = conn.Write([]byte("HTTP/1.1")) // later connections get no data
			}
		}
	}()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		<-accepting
		for _, conn := range accepted {
			require.NoError(t, conn.Close())
		}
	})
	search := predecessorSearch{dir: dir, cfg: cfg, timeout: 10 * predecessorRetryInterval, logger: zap.NewNop()}
	_, err = search.run()
	require.ErrorIs(t, err, errCannotTakeOver)
	require.ErrorContains(t, err, "no preamble")
}

// A start must cope with any files in $TMPDIR: the socket of a dead process is removed, a file that is not a socket is
// skipped, and a running process that speaks another version, or does not speak the protocol, is an error.
func TestLeftoverSockets(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pw")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	cfg := config.Config{Name: "n0", Listen: "127.0.0.1:2", AdminAddress: "127.0.0.1:1"}
	socketPath := func(n int) string { return filepath.Join(dir, socketPrefix(cfg)+strconv.Itoa(n)) }
	search := predecessorSearch{dir: dir, cfg: cfg, timeout: 10 * predecessorRetryInterval, logger: zap.NewNop()}
	require.NoError(t, os.WriteFile(socketPath(1), []byte("not a socket"), 0o600))
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: socketPath(2), Net: "unix"})
	require.NoError(t, err)
	ln.SetUnlinkOnClose(false)
	require.NoError(t, ln.Close()) // a killed process leaves its socket behind in the same way
	found, err := search.run()
	require.NoError(t, err)
	require.Nil(t, found)
	require.FileExists(t, socketPath(1))
	require.NoFileExists(t, socketPath(2))
	// Sockets of another user, and of a server at another address, are ignored.
	other, err := net.Listen("unix", socketPath(4))
	require.NoError(t, err)
	if os.Geteuid() == 0 { // only root may change the owner
		require.NoError(t, os.Chown(socketPath(4), 12345, -1))
		found, err = search.run()
		require.NoError(t, err)
		require.Nil(t, found)
	}
	require.NoError(t, other.Close())
	elsewhere := cfg
	elsewhere.Listen = "127.0.0.1:3"
	elsewhereListener := listenForSuccessor(dir, elsewhere, zap.NewNop())
	require.NotNil(t, elsewhereListener)
	info, err := os.Stat(elsewhereListener.Addr().String())
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "any process that can connect can take over")
	found, err = search.run()
	require.NoError(t, err)
	require.Nil(t, found)
	require.NoError(t, elsewhereListener.Close())
	require.Nil(t, listenForSuccessor(filepath.Join(dir, "none"), cfg, zap.NewNop()), "no hot restarts without it")
	search.dir = filepath.Join(dir, "none")
	found, err = search.run()
	search.dir = dir
	require.NoError(t, err, "a missing directory does not prevent the start")
	require.Nil(t, found)
	for sent, want := range map[string]string{
		"pwtu\x00\x02":                     "another version",
		"pwtu\x00\x01\xff\xff\xff\xff":     "broken frame",
		"pwtu\x00\x01\x00\x00\x00\x01\xa0": "broken frame",
		"HTTP/1.1":                         "no preamble",
	} {
		ln, err := net.Listen("unix", socketPath(3))
		require.NoError(t, err)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(sent))
				defer func() { _ = conn.Close() }()
			}
		}()
		_, err = search.run()
		require.ErrorIs(t, err, errCannotTakeOver)
		require.ErrorContains(t, err, want)
		require.NoError(t, ln.Close())
	}
}
