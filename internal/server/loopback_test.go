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

// serveLoopback runs a whole server on ports that the system picks, until stop or the test's end. A file keeps
// its intakes; "" for none.
func serveLoopback(t *testing.T, cfg config.Config, file string) (thriftAddr, ajpAddr string, stop func()) {
	clock := microtime.NewClock()
	logf := func(f string, a ...any) { t.Logf(f, a...) }
	srv, err := New(cfg, clock, logf)
	require.NoError(t, err)
	stored := func() {}
	if file != "" {
		st, err := store.Open(store.SQLite, file, "n0", time.Minute)
		require.NoError(t, err)
		require.NoError(t, srv.UseStore(st, clock.Now()))
		stored = func() { require.NoError(t, st.Close()) }
	}
	loop, err := sockets.Start(sockets.Options{Options: transport.Options{MaxConns: 16, Logf: logf}, Listen: []string{"127.0.0.1:0", "127.0.0.2:0"}, Clock: clock},
		srv, func(l *transport.Loop) { srv.Attach(l) })
	require.NoError(t, err)
	stop = sync.OnceFunc(func() {
		loop.Stop()
		require.NoError(t, loop.Wait())
		stored()
	})
	t.Cleanup(stop)
	return loop.Addr(0).String(), loop.Addr(1).String(), stop
}

// The whole program on real sockets: an intake that comes by both protocols runs once, whichever is first, and
// whether the first is still running; a broken connection harms no other.
func TestLoopbackOnce(t *testing.T) {
	pool := newFakePool(t)
	thriftAddr, ajpAddr, _ := serveLoopback(t, testConfig(t, pool.listener.Addr().String()), "")
	desk := dial(t, thriftAddr, thrift.SplitFrame)
	office := dial(t, ajpAddr, splitAJP)
	broken := dial(t, thriftAddr, thrift.SplitFrame)
	broken.write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, err := broken.conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	viaThrift := func(once string) { sendIntake(desk, once) }
	viaAJP := func(once string) { forwardIntake(office, once) }
	gotThrift := func(result string) { require.Contains(t, string(desk.read()), result) }
	gotAJP := func(result string) { require.Equal(t, result, readServed(office)) }

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
	viaThrift("k4") // its start gives the repeat time to be read; whether it has been or not, the answers are the same
	id4 := <-pool.started
	pool.finish(id, "third")
	gotThrift("third")
	gotAJP("third")

	viaAJP("k4") // while the run that came by Thrift is under way
	viaThrift("k5")
	id5 := <-pool.started
	pool.finish(id4, "fourth")
	gotThrift("fourth")
	gotAJP("fourth")
	pool.finish(id5, "fifth")
	gotThrift("fifth")

	require.Empty(t, pool.started, "an intake ran twice")
}

// With a store of record, a repeat after a restart gets the recorded result and does not run, whatever the
// protocol of either try.
func TestLoopbackRestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "intakes.db")
	pool := newFakePool(t)
	thriftAddr, _, stop := serveLoopback(t, testConfig(t, pool.listener.Addr().String()), file)
	desk := dial(t, thriftAddr, thrift.SplitFrame)
	sendIntake(desk, "k1")
	pool.finish(<-pool.started, "weighed")
	require.Contains(t, string(desk.read()), "weighed")
	stop()

	thriftAddr, ajpAddr, _ := serveLoopback(t, testConfig(t, pool.listener.Addr().String()), file)
	office := dial(t, ajpAddr, splitAJP)
	forwardIntake(office, "k1")
	require.Equal(t, "weighed", readServed(office))
	desk = dial(t, thriftAddr, thrift.SplitFrame)
	sendIntake(desk, "k1")
	require.Contains(t, string(desk.read()), "weighed")
	require.Empty(t, pool.started)
}
