package main

import (
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// newCallingTwin is one whose intakes call the vault once.
func newCallingTwin(t *testing.T) (*twin, *processtest.Vault) {
	w := newTwin(t)
	v, err := processtest.NewVault()
	require.NoError(t, err)
	t.Cleanup(v.Close)
	w.Settings, err = processtest.WithCalls(w.Settings, "lot-intake")
	require.NoError(t, err)
	w.Vault = v.Addr()
	return w, v
}

// called is the next call, which has to be of a body.
func called(t *testing.T, v *processtest.Vault, of string) *processtest.Call {
	t.Helper()
	c, err := v.NextCall()
	require.NoError(t, err)
	require.Equal(t, processtest.CallBody(1, of), c.Body)
	return c
}

// Guards intakes whose runs wait for their calls while another process takes over, or come to them only then: the old process brings
// the calls to their end, and a repeat at the new one gets the result. Each call is made once.
func TestUpgradeWhileBlocked(t *testing.T) {
	t.Parallel()
	w, v := newCallingTwin(t)
	old := w.start()
	v.Hold()
	blocked := w.ask(w.dial(), "lot-intake", "k1", "one")
	called(t, v, "one")
	old.Pool.Hold()
	running := w.ask(w.dial(), "lot-intake", "k3", "three")
	require.NoError(t, old.Pool.AwaitStart("three"))
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return strings.Contains(next.Log(), "has handed over") }, processtest.Patience, processtest.Patience/1e4)
	d := w.dial()
	again, fresh := w.ask(d, "lot-intake", "k1", "one"), w.ask(d, "lot-intake", "k2", "two")
	called(t, v, "two")
	old.Pool.Release()
	called(t, v, "three")
	v.Release()
	w.served(blocked, "one got kept call 1 of one")
	w.served(again, "one got kept call 1 of one")
	w.served(fresh, "two got kept call 1 of two")
	w.served(running, "three got kept call 1 of three")
	require.NoError(t, old.Wait(), old.Log())
	require.Len(t, v.Calls(), 3)
	w.once()
}

// Guards what was read against the end of the process while runs are blocked, at a vault that never answers: the notice to leave
// has all of it answered, and the process ends of itself before it would be stopped.
func TestLeaveWithRunsBlocked(t *testing.T) {
	t.Parallel()
	w, v := newCallingTwin(t)
	p := w.start()
	v.Hold()
	c := w.dial()
	var open []processtest.PendingRequest
	for _, once := range []string{"one", "two", "three"} {
		open = append(open, w.ask(c, "lot-intake", once, once))
		called(t, v, once)
	}
	require.NoError(t, p.Signal(syscall.SIGTERM))
	for _, a := range open {
		r, err := a.Await()
		require.NoError(t, err)
		require.Equal(t, thrift.ReplyBroken, r.Kind)
	}
	c.Close()
	require.NoError(t, p.Wait(), p.Log())
	require.Len(t, v.Calls(), len(open))
	require.Empty(t, p.Pool.UnexpectedCommands())
	w.once()
}
