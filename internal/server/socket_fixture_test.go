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

// stopLoop stops an event loop and waits until it has ended.
func stopLoop(tb testing.TB, loop *sockets.Loop) {
	tb.Helper()
	loop.Stop()
	require.NoError(tb, loop.Wait())
}

// runOnLoop runs a task in a turn of the loop, and returns when the task has ended.
func runOnLoop(t *testing.T, loop *sockets.Loop, task func()) {
	t.Helper()
	done := make(chan struct{})
	require.NoError(t, loop.Execute(func() {
		defer close(done)
		task()
	}))
	<-done
}

// socketFixture is a whole server on real sockets, with a clock that the test advances and a worker pool whose runs end
// only when the test finishes them. The test must stop the server, or wait for its end.
type socketFixture struct {
	t    *testing.T
	srv  *Server
	loop *sockets.Loop
	pool *fakePool
	now  atomic.Int64
	sent int // The number of requests sent.
}

// newSocketFixture starts a server. If change is not nil, it changes the configuration first.
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

// Now returns the time of the fixture's clock, which the event loop uses.
func (f *socketFixture) Now() microtime.Time { return microtime.Time(f.now.Load()) }

// advanceClock advances the clock. Timers that are due then run from the next turn on.
func (f *socketFixture) advanceClock(by microtime.Time) { f.now.Add(int64(by)) }

// onLoop runs a task in a turn of the loop, and returns when the task has ended.
func (f *socketFixture) onLoop(task func()) {
	f.t.Helper()
	runOnLoop(f.t, f.loop, task)
}

// dialProxy opens a proxy's connection.
func (f *socketFixture) dialProxy() *clientConn {
	f.t.Helper()
	return dial(f.t, f.loop.Addr(ThriftListener).String(), thrift.SplitFrame)
}

// servedProxy opens a proxy's connection on which one request has been served.
func (f *socketFixture) servedProxy() *clientConn {
	f.t.Helper()
	proxy := f.dialProxy()
	f.runOnFirstPool(proxy, "done")
	return proxy
}

// submit sends a request and returns its attempt ID.
func (f *socketFixture) submit(proxy *clientConn, class, idempotencyKey string) (id string) {
	f.t.Helper()
	f.sent++
	proxy.sent++
	id = fmt.Sprintf("%016x", f.sent)
	unixMilli := zeroBasedClock{}.UnixMilli(f.Now())
	proxy.write(lotCall(proxy.sent, class, id, unixMilli, idempotencyKey))
	return id
}

// runOnFirstPool submits a request, and requires that the fixture's pool runs it. It returns the attempt ID.
func (f *socketFixture) runOnFirstPool(proxy *clientConn, result string) (id string) {
	f.t.Helper()
	id = f.submit(proxy, "lot-update", "")
	require.Equal(f.t, id, <-f.pool.started)
	f.pool.finish(id, result)
	require.Equal(f.t, result, string(nextReply(proxy).Body))
	return id
}

// proxyConnections returns the number of proxy connections.
func (f *socketFixture) proxyConnections() (count int) {
	f.t.Helper()
	f.onLoop(func() { count = f.srv.clients.thrift.Len() })
	return count
}

// requireEnd requires that the server stops by itself.
func (f *socketFixture) requireEnd() {
	f.t.Helper()
	require.NoError(f.t, f.loop.Wait())
}

// stop stops the server.
func (f *socketFixture) stop() {
	f.t.Helper()
	stopLoop(f.t, f.loop)
}

// nextReply reads the next message to a proxy.
func nextReply(proxy *clientConn) thrift.Reply {
	proxy.t.Helper()
	reply, err := thrift.DecodeReply(proxy.read())
	require.NoError(proxy.t, err)
	return reply
}

// requireEOF requires that no further message arrives, and that the server closes the connection without a reset.
func requireEOF(client *clientConn) {
	client.t.Helper()
	_, err := client.next()
	require.ErrorIs(client.t, err, io.EOF)
}
