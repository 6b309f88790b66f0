package server

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/microtime"
)

// A run of a non-idempotent request without an idempotency key is not sent again on the next link if its command was
// sent on a link that broke: the pool would run it a second time if it has ended by then. If the pool received the
// command, it sends the notice on the next link. A safe run is sent again.
func TestNonIdempotentRunIsNotResent(t *testing.T) {
	fixture := newSocketFixture(t, func(cfg *config.Config) {
		for i, class := range cfg.Settings.Classes {
			if class.Name == "lot-update" {
				cfg.Settings.Classes[i].Idempotency = control.NonIdempotent
			}
		}
	})
	proxy := fixture.servedProxy() // Served by a run of that class, with notice 1.
	nonIdempotent := fixture.submit(proxy, "lot-update", "")
	require.Equal(t, nonIdempotent, <-fixture.pool.started)
	safe := fixture.submit(proxy, "block-view", "")
	require.Equal(t, safe, <-fixture.pool.started)
	require.NoError(t, fixture.pool.breakLink())
	require.Equal(t, safe, <-fixture.pool.started, "sent again on the next link")
	fixture.pool.finish(nonIdempotent, "ran once")
	require.Equal(t, "ran once", string(nextReply(proxy).Body))
	require.Empty(t, fixture.pool.started)
	fixture.stop()
}

// secondPool is the worker pool at a second address, to which a reload has moved it. The test sends its messages.
type secondPool struct {
	t        *testing.T
	listener net.Listener
	conn     net.Conn
	in       *bufio.Reader
}

// movePool changes the pool's address by a reload.
func (f *socketFixture) movePool() *secondPool {
	f.t.Helper()
	listener := listen(f.t)
	f.onLoop(func() {
		next := f.srv.cfg
		next.PoolAddress = listener.Addr().String()
		require.NoError(f.t, f.srv.Reload(next))
	})
	return &secondPool{t: f.t, listener: listener}
}

// acceptLink accepts the next link and requires that the server's first line is bind.
func (s *secondPool) acceptLink(bind string) {
	s.t.Helper()
	var err error
	s.conn, err = s.listener.Accept()
	require.NoError(s.t, err)
	closeAtEnd(s.t, s.conn)
	s.in = bufio.NewReader(s.conn)
	s.expect(bind)
}

// expect reads the next line and requires that it is want.
func (s *secondPool) expect(want string) {
	s.t.Helper()
	line, err := s.in.ReadString('\n')
	require.NoError(s.t, err)
	require.Equal(s.t, want+"\r\n", line)
}

func (s *secondPool) send(format string, args ...any) {
	s.t.Helper()
	_, err := fmt.Fprintf(s.conn, format, args...)
	require.NoError(s.t, err)
}

// runOneRequest submits a request, skips commands until its run arrives, and finishes the run with a result.
func (s *secondPool) runOneRequest(fixture *socketFixture, proxy *clientConn, notice int, result string) {
	s.t.Helper()
	id := fixture.submit(proxy, "lot-update", "")
	for {
		line, err := s.in.ReadString('\n')
		require.NoError(s.t, err)
		if strings.HasPrefix(line, "spawn "+id) {
			break
		}
	}
	s.send("finished %d %s PASS 5 %d\r\n%s\r\n", notice, id, len(result), result)
	require.Equal(s.t, result, string(nextReply(proxy).Body))
}

// A reload moves the pool to an address that accepts the link but does not bind it yet. The old link stays in use until
// the new one is bound, and the new one is used from then on. The second pool repeats a notice that the first pool has
// sent.
func TestPoolMovesOnceBound(t *testing.T) {
	fixture := newSocketFixture(t, nil)
	proxy := fixture.servedProxy() // Notice 1.
	second := fixture.movePool()
	second.acceptLink("bind 1")
	id := fixture.runOnFirstPool(proxy, "on the first") // The second is silent.
	second.send("bound LOADED 0\r\nfinished 2 %s PASS 5 12\r\non the first\r\n", id)
	second.expect("poll sync2")
	second.send("polled sync2 0.1 0 0.1 1\r\n")
	second.runOneRequest(fixture, proxy, 3, "on the second")
	require.Empty(t, fixture.pool.started)
	fixture.stop()
}

// While the pool moves, a new link that breaks before it is bound is dialled again, and the old link stays in use. If
// the old link breaks, as it does when the pool replaces it by the new one, the new link is the only one, and no other
// link is dialled.
func TestPoolLinkBreaksWhileMoving(t *testing.T) {
	fixture := newSocketFixture(t, nil)
	proxy := fixture.servedProxy()
	second := fixture.movePool()
	second.acceptLink("bind 1")
	require.NoError(t, second.conn.Close())
	second.acceptLink("bind 1")
	fixture.runOnFirstPool(proxy, "on the first")
	require.NoError(t, fixture.pool.breakLink())
	for migrating := true; migrating; {
		fixture.onLoop(func() {
			status := fixture.srv.backends.pool.Status()
			migrating = status.Migrating
			if !migrating {
				require.False(t, status.Dialling, "a link is dialled although another waits to be bound")
			}
		})
	}
	second.send("bound LOADED 0\r\n")
	second.expect("poll sync2")
	second.send("polled sync2 0.1 0 0.1 1\r\n")
	second.runOneRequest(fixture, proxy, 3, "on the second")
	fixture.stop()
}

// If a run takes longer than the retention window, a retry that arrives after the window but during the run waits for
// the run's result.
func TestRetryPastRetentionWaitsForRun(t *testing.T) {
	fixture := newSocketFixture(t, func(cfg *config.Config) {
		for i, class := range cfg.Settings.Classes {
			if class.Name == "lot-intake" {
				cfg.Settings.Classes[i].RetentionWindow = 500 * time.Millisecond
			}
		}
	})
	proxy := fixture.servedProxy()
	id := fixture.submit(proxy, "lot-intake", "k1")
	require.Equal(t, id, <-fixture.pool.started)
	fixture.advanceClock(2 * microtime.Second)
	fixture.submit(proxy, "lot-intake", "k1")
	safe := fixture.submit(proxy, "lot-update", "") // Read after the retry.
	require.Equal(t, safe, <-fixture.pool.started)
	fixture.pool.finish(id, "once")
	require.Equal(t, "once", string(nextReply(proxy).Body))
	require.Equal(t, "once", string(nextReply(proxy).Body))
	require.Empty(t, fixture.pool.started)
	fixture.stop()
}
