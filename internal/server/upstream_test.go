package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pewterline/internal/backend/upstream"
	"pewterline/internal/config"
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// serveUpstream runs an edge on real sockets, whose requests run on the log servers at the given addresses.
func serveUpstream(t *testing.T, addresses ...string) (thriftAddr, ajpAddr string) {
	t.Helper()
	cfg := testConfig(t, "")
	for i, address := range addresses {
		member := config.Member{Name: fmt.Sprintf("n%d", i+1), Address: address}
		cfg.Fleet.Members = append(cfg.Fleet.Members, member)
	}
	thriftAddr, ajpAddr, _ = serveLoopback(t, cfg, "")
	return thriftAddr, ajpAddr
}

// A keyed request that arrives by Thrift, and again by AJP during its run, runs once, on one of the upstream log
// servers. Each of them is a whole server on real sockets.
func TestUpstreamRunsKeyOnce(t *testing.T) {
	pools, addresses := make([]*fakePool, 3), make([]string, 3)
	for i := range pools {
		pools[i] = newFakePool(t)
		addresses[i], _, _ = serveLoopback(t, testConfig(t, pools[i].listener.Addr().String()), "")
	}
	thriftAddr, ajpAddr := serveUpstream(t, addresses...)
	proxy, webServer := dial(t, thriftAddr, thrift.SplitFrame), dial(t, ajpAddr, splitAJP)
	sendIntake(proxy, "k1")
	var chosen *fakePool
	var id string
	select {
	case id = <-pools[0].started:
		chosen = pools[0]
	case id = <-pools[1].started:
		chosen = pools[1]
	case id = <-pools[2].started:
		chosen = pools[2]
	}
	forwardIntake(webServer, "k1")
	chosen.finish(id, "lot 7 recorded")
	reply := nextReply(proxy)
	require.Equal(t, thrift.ReplyAnswer, reply.Kind)
	require.Equal(t, "lot 7 recorded", string(reply.Body))
	require.Equal(t, "lot 7 recorded", readServed(webServer))
	for _, pool := range pools {
		require.Empty(t, pool.started, "the request ran more than once")
	}
}

// deadAddress returns an address on which no process listens. Its port stays bound until the test's end, so that no
// server of the test can get it.
func deadAddress(t *testing.T) string {
	t.Helper()
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, unix.Close(socket)) })
	require.NoError(t, unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(socket)
	require.NoError(t, err)
	address, ok := name.(*unix.SockaddrInet4)
	require.True(t, ok)
	return fmt.Sprintf("127.0.0.1:%d", address.Port)
}

// An endpoint that refuses connections is taken out of use at once, and its requests are served by other endpoints.
// Clients see no error.
func TestUpstreamSkipsDeadEndpoints(t *testing.T) {
	dead := deadAddress(t)
	pool := newFakePool(t)
	alive, _, _ := serveLoopback(t, testConfig(t, pool.listener.Addr().String()), "")
	thriftAddr, _ := serveUpstream(t, dead, alive)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() { // Until the test has ended.
		for {
			select {
			case id := <-pool.started:
				pool.finish(id, "done")
			case <-ended:
				return
			}
		}
	}()
	proxy := dial(t, thriftAddr, thrift.SplitFrame)
	for i := range 20 {
		sendIntake(proxy, fmt.Sprintf("k%d", i))
		require.Equal(t, thrift.ReplyAnswer, nextReply(proxy).Kind, i)
	}
}

// If no endpoint accepts connections, requests are rejected at once with a time to retry after, and none is queued.
func TestUpstreamWithoutEndpoints(t *testing.T) {
	thriftAddr, _ := serveUpstream(t, deadAddress(t))
	proxy := dial(t, thriftAddr, thrift.SplitFrame)
	sendIntake(proxy, "k1")
	reply := nextReply(proxy)
	require.Equal(t, thrift.ReplyThrottled, reply.Kind)
	require.NotEmpty(t, reply.Fields["after"])
}

// A server with an invalid configuration of its upstream is not built.
func TestUpstreamConfigIsValidated(t *testing.T) {
	cfg := testConfig(t, "")
	cfg.Fleet = config.Fleet{
		Members:      []config.Member{{Name: "n1", Address: "127.0.0.1:1"}},
		LoadBalancer: loadbalancer.Config{SlowStartShare: 7},
	}
	_, err := New(cfg, microtime.NewClock(), t.Logf)
	require.ErrorContains(t, err, "warm_from")
}

// The endpoint list is reloaded while the server is serving. A new endpoint is used, and a removed endpoint gets no new
// requests, but a keyed request that may have run on it does not run on another endpoint.
func TestUpstreamReloadsEndpoints(t *testing.T) {
	cfg := testConfig(t, "")
	cfg.Fleet.Members = []config.Member{{Name: "n1", Address: "a1"}}
	loop := newLoopFixtureWithConfig(t, cfg)
	proxy := loop.connect("c1", ThriftListener)
	submit := func(sequence int32, class, idempotencyKey string) {
		unixMilli := zeroBasedClock{}.UnixMilli(loop.now)
		id := fmt.Sprintf("%016x", sequence)
		loop.deliver(proxy, lotCall(sequence, class, id, unixMilli, idempotencyKey))
		loop.turn()
	}
	submit(1, "lot-intake", "k1")
	require.Equal(t, "a1", loop.dials[0].addr)
	removed := loop.connect("n1", nextDialed)
	loop.turn()
	require.Contains(t, string(removed.out), "k1")
	removed.out = nil

	next := cfg
	next.Fleet.Members = []config.Member{{Name: "n2", Address: "a2"}}
	require.NoError(t, loop.srv.Reload(next))
	submit(2, "block-view", "")
	require.Equal(t, "a2", loop.dials[0].addr, "the new endpoint gets new requests")
	added := loop.connect("n2", nextDialed)
	loop.turn()
	require.NotEmpty(t, added.out)
	added.out = nil

	removed.closed = true // The connection is lost after the keyed request was written to it.
	loop.turn()
	submit(3, "lot-intake", "k1")
	require.Empty(t, added.out, "the request may have run on the removed endpoint")
	require.Equal(t, "a1", loop.dials[0].addr)
	known, isRemoved := loop.srv.backends.upstream.Lookup("n1")
	require.True(t, known && isRemoved)
	loop.srv.backends.upstream.ExpireRemoved(loop.now + upstream.RemovedEndpointRetention + microtime.Second)
	known, _ = loop.srv.backends.upstream.Lookup("n1")
	require.True(t, known, "a request is still open at the endpoint")
}
