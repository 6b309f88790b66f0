package main

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// newCallingTwin is one whose intakes call the vault once.
func newCallingServer(t *testing.T) (*testServer, *processtest.Vault) {
	srv := newTestServer(t)
	v, err := processtest.NewVault()
	require.NoError(t, err)
	t.Cleanup(v.Close)
	srv.Settings, err = processtest.WithCalls(srv.Settings, "lot-intake")
	require.NoError(t, err)
	srv.VaultAddress = v.Addr()
	return srv, v
}

// called is the next call, which has to be of a body.
func called(t *testing.T, v *processtest.Vault, of string) *processtest.Call {
	t.Helper()
	c, err := v.NextCall()
	require.NoError(t, err)
	require.Equal(t, processtest.CallBody(1, of), c.Body)
	return c
}

// Guards intakes whose runs wait for their calls while another process takes over, or come to them only then: the old
// process brings the calls to their end, and a repeat at the new one gets the result. Each call is made once.
func TestUpgradeWhileBlocked(t *testing.T) {
	t.Parallel()
	srv, vault := newCallingServer(t)
	old := srv.start()
	vault.Hold()
	blocked := srv.ask(srv.dial(), "lot-intake", "k1", "one")
	called(t, vault, "one")
	old.Pool.Hold()
	running := srv.ask(srv.dial(), "lot-intake", "k3", "three")
	require.NoError(t, old.Pool.AwaitRunStart("three"))
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	awaitLog(t, next, "has handed over")
	d := srv.dial()
	again, fresh := srv.ask(d, "lot-intake", "k1", "one"), srv.ask(d, "lot-intake", "k2", "two")
	called(t, vault, "two")
	old.Pool.Release()
	called(t, vault, "three")
	vault.Release()
	srv.served(blocked, "one got kept call 1 of one")
	srv.served(again, "one got kept call 1 of one")
	srv.served(fresh, "two got kept call 1 of two")
	srv.served(running, "three got kept call 1 of three")
	require.NoError(t, old.Wait(), old.Log())
	require.Len(t, vault.Calls(), 3)
	srv.once()
}

// Guards what was read against the end of the process while runs are blocked, at a vault that never answers: the notice
// to leave has all of it answered, and the process ends of itself before it would be stopped.
func TestLeaveWithRunsBlocked(t *testing.T) {
	t.Parallel()
	srv, vault := newCallingServer(t)
	process := srv.start()
	vault.Hold()
	conn := srv.dial()
	var open []processtest.PendingRequest
	for _, once := range []string{"one", "two", "three"} {
		open = append(open, srv.ask(conn, "lot-intake", once, once))
		called(t, vault, once)
	}
	require.NoError(t, process.Signal(syscall.SIGTERM))
	for _, a := range open {
		r, err := a.Await()
		require.NoError(t, err)
		require.Equal(t, thrift.ReplyBroken, r.Kind)
	}
	conn.Close()
	require.NoError(t, process.Wait(), process.Log())
	require.Len(t, vault.Calls(), len(open))
	require.Empty(t, process.Pool.UnexpectedReplies())
	srv.once()
}
