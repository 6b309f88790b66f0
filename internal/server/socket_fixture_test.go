package server

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// startLoop starts a server's event loop on sockets.
func startLoop(tb testing.TB, srv *Server, opts sockets.Options) *sockets.Loop {
	tb.Helper()
	loop, err := sockets.Start(opts, srv, func(l *transport.Loop) { srv.Attach(l) })
	require.NoError(tb, err)
	return loop
}

// stopLoop stops an event loop and waits for its end.
func stopLoop(tb testing.TB, loop *sockets.Loop) {
	tb.Helper()
	loop.Stop()
	require.NoError(tb, loop.Wait())
}

// runOnLoop runs a task in a turn of the loop, and returns when it has ended.
func runOnLoop(t *testing.T, loop *sockets.Loop, task func()) {
	t.Helper()
	done := make(chan struct{})
	require.NoError(t, loop.Execute(func() {
		defer close(done)
		task()
	}))
	<-done
}

// socketFixture is a whole server on real sockets, on a clock that the test moves, with a worker pool that holds every
// run until the test finishes it. The test has to end it.
type socketFixture struct {
	t    *testing.T
	srv  *Server
	loop *sockets.Loop
	pool *fakePool
	now  atomic.Int64
	sent int
}

// newSocketFixture starts a server; change, where it is not nil, changes its configuration before.
func newSocketFixture(t *testing.T, change func(*config.Config)) *socketFixture {
	t.Helper()
	fixture := &socketFixture{t: t, pool: newFakePool(t)}
	fixture.now.Store(int64(microtime.Second))
	cfg := testConfig(t, fixture.pool.listener.Addr().String())
	cfg.Listen = "127.0.0.1:0"
	if change != nil {
		change(&cfg)
	}
	var err error
	fixture.srv, err = New(cfg, zeroBasedClock{}, t.Logf)
	require.NoError(t, err)
	fixture.loop = startLoop(t, fixture.srv, sockets.Options{
		Options: transport.Options{MaxConns: 64, Logf: t.Logf},
		Listen:  []string{cfg.Listen},
		Clock:   fixture,
	})
	return fixture
}

// Now is the clock of the event loop.
func (f *socketFixture) Now() microtime.Time { return microtime.Time(f.now.Load()) }

// advanceClock moves the clock; what is due by it is done from the next turn on.
func (f *socketFixture) advanceClock(by microtime.Time) { f.now.Add(int64(by)) }

// onLoop runs a task in a turn of the loop, and returns when it has ended.
func (f *socketFixture) onLoop(task func()) {
	f.t.Helper()
	runOnLoop(f.t, f.loop, task)
}

// dialProxy opens a connection of a proxy's.
func (f *socketFixture) dialProxy() *clientConn {
	f.t.Helper()
	return dial(f.t, f.loop.Addr(ThriftListener).String(), thrift.SplitFrame)
}

// servedProxy opens a connection of a proxy's that has been served once.
func (f *socketFixture) servedProxy() *clientConn {
	f.t.Helper()
	proxy := f.dialProxy()
	f.runOnFirstPool(proxy, "done")
	return proxy
}

// submit sends a request; it returns its attempt ID.
func (f *socketFixture) submit(proxy *clientConn, class, idempotencyKey string) (id string) {
	f.t.Helper()
	f.sent++
	proxy.sent++
	id = fmt.Sprintf("%016x", f.sent)
	unixMilli := zeroBasedClock{}.UnixMilli(f.Now())
	proxy.write(lotCall(proxy.sent, class, id, unixMilli, idempotencyKey))
	return id
}

// runOnFirstPool has the fixture's pool run a request, whose attempt ID it returns.
func (f *socketFixture) runOnFirstPool(proxy *clientConn, result string) (id string) {
	f.t.Helper()
	id = f.submit(proxy, "lot-update", "")
	require.Equal(f.t, id, <-f.pool.started)
	f.pool.finish(id, result)
	require.Equal(f.t, result, string(nextReply(proxy).Body))
	return id
}

// proxyConnections counts the connections of proxies.
func (f *socketFixture) proxyConnections() (count int) {
	f.t.Helper()
	f.onLoop(func() { count = f.srv.clients.thrift.Len() })
	return count
}

// requireEnd requires that the server ends by itself.
func (f *socketFixture) requireEnd() {
	f.t.Helper()
	require.NoError(f.t, f.loop.Wait())
}

// stop ends the server.
func (f *socketFixture) stop() {
	f.t.Helper()
	stopLoop(f.t, f.loop)
}

// nextReply is the next message to a proxy.
func nextReply(proxy *clientConn) thrift.Reply {
	proxy.t.Helper()
	reply, err := thrift.DecodeReply(proxy.read())
	require.NoError(proxy.t, err)
	return reply
}

// requireEOF requires that nothing more comes, and that the server has ended the connection without a reset.
func requireEOF(client *clientConn) {
	client.t.Helper()
	_, err := client.next()
	require.ErrorIs(client.t, err, io.EOF)
}
