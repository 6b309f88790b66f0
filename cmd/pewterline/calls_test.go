package main

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// newCallingServer returns a server and a vault. The run of each lot-intake request makes one call to the vault.
func newCallingServer(t *testing.T) (*testServer, *processtest.Vault) {
	srv := newTestServer(t)
	vault, err := processtest.NewVault()
	require.NoError(t, err)
	t.Cleanup(vault.Close)
	srv.Settings, err = processtest.WithCalls(srv.Settings, "lot-intake")
	require.NoError(t, err)
	srv.VaultAddress = vault.Addr()
	return srv, vault
}

// awaitCall waits for the next call to the vault, and requires that it is the first call of the request with the given
// body.
func awaitCall(t *testing.T, vault *processtest.Vault, requestBody string) *processtest.Call {
	t.Helper()
	call, err := vault.NextCall()
	require.NoError(t, err)
	require.Equal(t, processtest.CallBody(1, requestBody), call.Body)
	return call
}

// An upgrade must not lose runs that wait for the reply to a call, or that make their call only after the handoff: the
// old process completes the calls, and a retry at the new process gets the result. Each call is made once.
func TestUpgradeWhileBlocked(t *testing.T) {
	t.Parallel()
	srv, vault := newCallingServer(t)
	old := srv.start()
	vault.Hold()
	blocked := srv.sendRequest(srv.dial(), "lot-intake", "k1", "one")
	awaitCall(t, vault, "one")
	old.Pool.Hold()
	running := srv.sendRequest(srv.dial(), "lot-intake", "k3", "three")
	require.NoError(t, old.Pool.AwaitRunStart("three"))
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	awaitLog(t, next, "has handed over")
	conn := srv.dial()
	retry, fresh := srv.sendRequest(conn, "lot-intake", "k1", "one"), srv.sendRequest(conn, "lot-intake", "k2", "two")
	awaitCall(t, vault, "two")
	old.Pool.Release()
	awaitCall(t, vault, "three")
	vault.Release()
	srv.requireServed(blocked, "one got kept call 1 of one")
	srv.requireServed(retry, "one got kept call 1 of one")
	srv.requireServed(fresh, "two got kept call 1 of two")
	srv.requireServed(running, "three got kept call 1 of three")
	require.NoError(t, old.Wait(), old.Log())
	require.Len(t, vault.Calls(), 3)
	srv.requireNoDuplicateRuns()
}

// A notice to drain must not lose requests whose runs wait for a vault that never answers: the process replies to all
// requests that it has read, and exits by itself before the platform would kill it.
func TestShutdownWithBlockedRuns(t *testing.T) {
	t.Parallel()
	srv, vault := newCallingServer(t)
	process := srv.start()
	vault.Hold()
	conn := srv.dial()
	var open []processtest.PendingRequest
	for _, key := range []string{"one", "two", "three"} {
		open = append(open, srv.sendRequest(conn, "lot-intake", key, key))
		awaitCall(t, vault, key)
	}
	require.NoError(t, process.Signal(syscall.SIGTERM))
	for _, pending := range open {
		reply, err := pending.Await()
		require.NoError(t, err)
		require.Equal(t, thrift.ReplyBroken, reply.Kind)
	}
	conn.Close()
	require.NoError(t, process.Wait(), process.Log())
	require.Len(t, vault.Calls(), len(open))
	require.Empty(t, process.Pool.UnexpectedReplies())
	srv.requireNoDuplicateRuns()
}
