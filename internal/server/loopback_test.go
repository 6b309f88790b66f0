package server

import (
	"io"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/store"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// serveLoopback runs a whole server on ports that the system picks, until stop is called or the test ends. Executions
// are recorded in a database file, or not at all if file is empty.
func serveLoopback(t *testing.T, cfg config.Config, file string) (thriftAddr, ajpAddr string, stop func()) {
	t.Helper()
	clock := microtime.NewClock()
	srv, err := New(cfg, clock, t.Logf)
	require.NoError(t, err)
	closeStore := func() {}
	if file != "" {
		database, err := store.Open(store.Config{Driver: store.SQLite, DSN: file, Server: "n0", Timeout: time.Minute})
		require.NoError(t, err)
		require.NoError(t, srv.UseStore(database, clock.Now()))
		closeStore = func() { require.NoError(t, database.Close()) }
	}
	loop := startLoop(t, srv, sockets.Options{
		Options: transport.Options{MaxConns: 16, Logf: t.Logf},
		Listen:  []string{"127.0.0.1:0", "127.0.0.2:0"},
		Clock:   clock,
	})
	stop = sync.OnceFunc(func() {
		stopLoop(t, loop)
		closeStore()
	})
	t.Cleanup(stop)
	return loop.Addr(ThriftListener).String(), loop.Addr(AJPListener).String(), stop
}

// A keyed request that arrives by both protocols runs once, whichever attempt arrives first, and whether or not its run
// has ended. A client that violates the protocol does not affect other clients.
func TestLoopbackKeyedRequestRunsOnce(t *testing.T) {
	pool := newFakePool(t)
	thriftAddr, ajpAddr, _ := serveLoopback(t, testConfig(t, pool.listener.Addr().String()), "")
	proxy := dial(t, thriftAddr, thrift.SplitFrame)
	webServer := dial(t, ajpAddr, splitAJP)
	malformed := dial(t, thriftAddr, thrift.SplitFrame)
	malformed.write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, err := malformed.conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	viaThrift := func(key string) { sendIntake(proxy, key) }
	viaAJP := func(key string) { forwardIntake(webServer, key) }
	gotThrift := func(result string) { require.Contains(t, string(proxy.read()), result) }
	gotAJP := func(result string) { require.Equal(t, result, readServed(webServer)) }

	viaThrift("k1")
	pool.finish(<-pool.started, "first")
	gotThrift("first")
	viaAJP("k1")
	gotAJP("first")

	viaAJP("k2")
	pool.finish(<-pool.started, "second")
	gotAJP("second")
	viaThrift("k2")
	gotThrift("second")

	viaThrift("k3")
	id := <-pool.started
	viaAJP("k3")
	viaThrift("k4") // Its start leaves time to read the retry of k3, but the answers do not depend on that.
	id4 := <-pool.started
	pool.finish(id, "third")
	gotThrift("third")
	gotAJP("third")

	viaAJP("k4") // While the run of the Thrift request is in flight.
	viaThrift("k5")
	id5 := <-pool.started
	pool.finish(id4, "fourth")
	gotThrift("fourth")
	gotAJP("fourth")
	pool.finish(id5, "fifth")
	gotThrift("fifth")

	require.Empty(t, pool.started, "a keyed request ran twice")
}

// With a database, a retry after a restart gets the recorded result and does not run, whichever protocol each attempt
// uses.
func TestLoopbackRetryAfterRestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "intakes.db")
	pool := newFakePool(t)
	thriftAddr, _, stop := serveLoopback(t, testConfig(t, pool.listener.Addr().String()), file)
	proxy := dial(t, thriftAddr, thrift.SplitFrame)
	sendIntake(proxy, "k1")
	pool.finish(<-pool.started, "weighed")
	require.Contains(t, string(proxy.read()), "weighed")
	stop()

	thriftAddr, ajpAddr, _ := serveLoopback(t, testConfig(t, pool.listener.Addr().String()), file)
	webServer := dial(t, ajpAddr, splitAJP)
	forwardIntake(webServer, "k1")
	require.Equal(t, "weighed", readServed(webServer))
	proxy = dial(t, thriftAddr, thrift.SplitFrame)
	sendIntake(proxy, "k1")
	require.Contains(t, string(proxy.read()), "weighed")
	require.Empty(t, pool.started)
}
