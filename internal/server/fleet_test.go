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

// serveEdge runs an edge on real sockets before servers at those addresses.
func serveEdge(t *testing.T, addresses ...string) (thriftAddr, ajpAddr string) {
	cfg := testConfig(t, "")
	for i, a := range addresses {
		cfg.Fleet.Members = append(cfg.Fleet.Members, config.Member{Name: fmt.Sprintf("n%d", i+1), Address: a})
	}
	thriftAddr, ajpAddr, _ = serveLoopback(t, cfg, "")
	return thriftAddr, ajpAddr
}

// An intake sent to an edge by Thrift, and again by AJP while its run goes on, runs once behind it: on one server, and on no
// other. Every server is a whole one, on real sockets.
func TestLoopbackEdgeOnce(t *testing.T) {
	pools, addresses := make([]*socketPool, 3), make([]string, 3)
	for i := range pools {
		pools[i] = newSocketPool(t)
		addresses[i], _, _ = serveLoopback(t, testConfig(t, pools[i].ln.Addr().String()), "")
	}
	desk, office := serveEdge(t, addresses...)
	a, b := dial(t, desk, thrift.SplitFrame), dial(t, office, splitContainer)
	sendIntake(a, "k1")
	var at *socketPool
	var id string
	select { // whichever server the edge chose
	case id = <-pools[0].started:
		at = pools[0]
	case id = <-pools[1].started:
		at = pools[1]
	case id = <-pools[2].started:
		at = pools[2]
	}
	forwardIntake(b, "k1")
	at.finish(id, "lot 7 recorded")
	p, err := thrift.DecodeReply(a.read())
	require.NoError(t, err)
	require.Equal(t, thrift.ReplyAnswer, p.Kind)
	require.Equal(t, "lot 7 recorded", string(p.Body))
	require.Equal(t, "lot 7 recorded", readOK(b))
	for _, p := range pools {
		require.Empty(t, p.started, "it ran once")
	}
}

// deadAddress is one at which nobody listens until the test's end: it is held, so that no server of the test's gets it.
func deadAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	at, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port)
}

// What refuses connects is left out at once, and its requests are served elsewhere: nothing of it reaches the caller.
func TestLoopbackEdgeLeavesOutTheDead(t *testing.T) {
	dead := deadAddress(t)
	pool := newSocketPool(t)
	alive, _, _ := serveLoopback(t, testConfig(t, pool.ln.Addr().String()), "")
	desk, _ := serveEdge(t, dead, alive)
	go func() {
		for id := range pool.started {
			pool.finish(id, "done")
		}
	}()
	a := dial(t, desk, thrift.SplitFrame)
	for i := range 20 {
		sendIntake(a, fmt.Sprintf("k%d", i))
		p, err := thrift.DecodeReply(a.read())
		require.NoError(t, err)
		require.Equal(t, thrift.ReplyAnswer, p.Kind, i)
	}
}

// An edge whose servers have all gone refuses at once, with advice, and holds nothing back.
func TestLoopbackEdgeWithoutServers(t *testing.T) {
	dead := deadAddress(t)
	desk, _ := serveEdge(t, dead)
	a := dial(t, desk, thrift.SplitFrame)
	sendIntake(a, "k1")
	p, err := thrift.DecodeReply(a.read())
	require.NoError(t, err)
	require.Equal(t, thrift.ReplyThrottled, p.Kind)
	require.NotEmpty(t, p.Fields["after"])
}

// Guards the decision to be left with the door: an edge with faulty figures does not start.
func TestEdgeChecksItsFigures(t *testing.T) {
	cfg := testConfig(t, "")
	cfg.Fleet = config.Fleet{Members: []config.Member{{Name: "n1", Address: "127.0.0.1:1"}}, LoadBalancer: loadbalancer.Config{SlowStartShare: 7}}
	_, err := New(cfg, microtime.NewClock(), t.Logf)
	require.ErrorContains(t, err, "warm_from")
}

// The list of servers is read anew while an edge serves: a new server is used, one that was taken out gets nothing new, but
// an intake that may have run there is not run elsewhere.
func TestEdgeReloadsItsServers(t *testing.T) {
	cfg := testConfig(t, "")
	cfg.Fleet.Members = []config.Member{{Name: "n1", Address: "a1"}}
	s := &stage{t: t, now: microtime.Second, links: map[string]*fakeLink{}, control: "control"}
	var err error
	s.srv, err = New(cfg, unixZero{}, t.Logf)
	require.NoError(t, err)
	s.srv.Attach(s)
	desk := s.connect("c1", 0)
	ask := func(seq int32, class, once string) {
		s.deliver(desk, thrift.AppendCall(nil, seq, []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: fmt.Sprintf("%016x", seq)},
			{Name: "at", Value: fmt.Sprint(int64(s.now / microtime.Millisecond))}, {Name: "from", Value: "1"}, {Name: "tenant", Value: "lake-vines"},
			{Name: "kb", Value: "20"}, {Name: "rank", Value: "0.9"}, {Name: "once", Value: once}}, []byte("lot")))
		s.turn()
	}
	ask(1, "lot-intake", "k1")
	require.Equal(t, "a1", s.dials[0].addr)
	n1 := s.connect("n1", -1)
	s.turn()
	require.Contains(t, string(n1.out), "k1")
	n1.out = nil

	next := cfg
	next.Fleet.Members = []config.Member{{Name: "n2", Address: "a2"}}
	require.NoError(t, s.srv.Reload(next))
	ask(2, "block-view", "")
	require.Equal(t, "a2", s.dials[0].addr, "the new one gets what is new")
	n2 := s.connect("n2", -1)
	s.turn()
	require.NotEmpty(t, n2.out)
	n2.out = nil

	n1.closed = true // n1 is lost with the intake written
	s.turn()
	ask(3, "lot-intake", "k1")
	require.Empty(t, n2.out, "it may have run on n1")
	require.Equal(t, "a1", s.dials[0].addr)
	known, removed := s.srv.backends.upstream.Lookup("n1")
	require.True(t, known && removed)
	s.srv.backends.upstream.ExpireRemoved(s.now + upstream.RemovedEndpointRetention + microtime.Second)
	known, _ = s.srv.backends.upstream.Lookup("n1")
	require.True(t, known, "something is open there")
}
