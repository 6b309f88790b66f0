package processtest

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/faults"
)

// relayedPair returns both ends of a connection through a relay.
func relayedPair(t *testing.T) (relay *Relay, client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	relay, err = NewRelay(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	client, err = net.Dial("tcp", relay.Addr())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { closeBoth(client, server) })
	for _, conn := range []net.Conn{client, server} {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(WaitTimeout)))
	}
	return relay, client, server
}

func requireWrite(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	require.NoError(t, err)
}

func requireRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

// requireNothing requires that no data arrives within 20 ms.
func requireNothing(t *testing.T, conn net.Conn, reason string) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, reason)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(WaitTimeout)))
}

// Each fault that a relay injects must take effect, and only in the given direction.
func TestRelayFaults(t *testing.T) {
	relay, client, server := relayedPair(t)
	requireWrite(t, client, "one")
	requireRead(t, server, "one")
	relay.Hold(Forward)
	requireWrite(t, client, "two")
	requireWrite(t, server, "back")
	requireRead(t, client, "back")
	requireNothing(t, server, "the relay must hold the data")
	relay.Heal()
	requireRead(t, server, "two")
	relay.Drop(Backward)
	requireWrite(t, server, "lost")
	requireWrite(t, client, "three")
	requireRead(t, server, "three")
	requireNothing(t, client, "the relay must drop the data")
	relay.Heal()
	began := time.Now()
	relay.AddLatency(30*time.Millisecond, Forward)
	requireWrite(t, client, "late")
	requireRead(t, server, "late")
	require.GreaterOrEqual(t, time.Since(began), 30*time.Millisecond)
	relay.Heal()
	relay.Cut(2, Forward)
	requireWrite(t, client, "four")
	requireRead(t, server, "fo")
	_, err := server.Read(make([]byte, 1))
	require.Error(t, err, "the connection must be cut after two bytes")
	_, err = relay.Apply(faults.Fault{Kind: faults.TrafficSurge})
	require.ErrorContains(t, err, "not a fault of a relay")
}
