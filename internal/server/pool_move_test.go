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

// Guards requests that run once, without a key to tell: one whose command went out on a link that broke is not sent again on the
// next, as the pool would run it anew if it has ended since. Its notice comes if it arrived. A safe one is sent again.
func TestNonIdempotentRunIsNotResent(t *testing.T) {
	h := newSocketFixture(t, func(cfg *config.Config) {
		for i, c := range cfg.Settings.Classes {
			if c.Name == "lot-update" {
				cfg.Settings.Classes[i].Idempotency = control.NonIdempotent
			}
		}
	})
	p := h.servedProxy() // a request of that class, and notice 1
	single := h.submit(p, "lot-update", "")
	require.Equal(t, single, <-h.pool.started)
	safe := h.submit(p, "block-view", "")
	require.Equal(t, safe, <-h.pool.started)
	h.pool.mutex.Lock()
	require.NoError(t, h.pool.conn.Close())
	h.pool.mutex.Unlock()
	require.Equal(t, safe, <-h.pool.started, "sent again on the next link, in the order of the first")
	h.pool.finish(single, "ran once")
	require.Equal(t, "ran once", string(nextReply(p).Body))
	require.Empty(t, h.pool.started)
	h.loop.Stop()
	h.requireEnd()
}

// secondPool is a second address for the pool, to which the configuration has moved it; the test plays it.
type secondPool struct {
	t    *testing.T
	ln   net.Listener
	conn net.Conn
	in   *bufio.Reader
}

// acceptLink takes up the next link and reads what the server says first.
func (m *secondPool) acceptLink(bind string) {
	var err error
	m.conn, err = m.ln.Accept()
	require.NoError(m.t, err)
	m.t.Cleanup(func() { m.conn.Close() })
	m.in = bufio.NewReader(m.conn)
	m.expect(bind)
}

func (m *secondPool) expect(want string) {
	line, err := m.in.ReadString('\n')
	require.NoError(m.t, err)
	require.Equal(m.t, want+"\r\n", line)
}

func (m *secondPool) send(format string, args ...any) {
	_, err := fmt.Fprintf(m.conn, format, args...)
	require.NoError(m.t, err)
}

// runOneRequest answers the polls until a request comes, which it ends.
func (m *secondPool) runOneRequest(h *socketFixture, p *clientConn, notice int, result string) {
	id := h.submit(p, "lot-update", "")
	for {
		line, err := m.in.ReadString('\n')
		require.NoError(m.t, err)
		if strings.HasPrefix(line, "spawn "+id) {
			break
		}
	}
	m.send("finished %d %s PASS 5 %d\r\n%s\r\n", notice, id, len(result), result)
	require.Equal(m.t, result, string(nextReply(p).Body))
}

// Guards the runs against a configuration that moves the pool to an address at which somebody listens and says nothing: the link in
// use serves on until the new one is bound, and the new one from then on. What the first told meanwhile is told again.
func TestPoolMovesOnceBound(t *testing.T) {
	h := newSocketFixture(t, nil)
	p := h.servedProxy() // notice 1
	m := h.movePool()
	m.acceptLink("bind 1")
	id := h.runOnFirstPool(p, "on the first") // and silence on the second
	m.send("bound LOADED 0\r\nfinished 2 %s PASS 5 12\r\non the first\r\n", id)
	m.expect("poll sync2")
	m.send("polled sync2 0.1 0 0.1 1\r\n")
	m.runOneRequest(h, p, 3, "on the second")
	require.Empty(t, h.pool.started)
	h.loop.Stop()
	h.requireEnd()
}

// Guards the pool's link while it moves: a new one that breaks before it is bound is dialled again, and the one in use serves on; where
// that one breaks, as it does when the pool takes the new one in its place, the new one is all there is and nothing is dialled.
func TestPoolLinkBreaksWhileMoving(t *testing.T) {
	h := newSocketFixture(t, nil)
	p := h.servedProxy()
	m := h.movePool()
	m.acceptLink("bind 1")
	require.NoError(t, m.conn.Close())
	m.acceptLink("bind 1")
	h.runOnFirstPool(p, "on the first")
	h.pool.mutex.Lock()
	require.NoError(t, h.pool.conn.Close())
	h.pool.mutex.Unlock()
	for lost := false; !lost; {
		h.onLoop(func() {
			if lost = !h.srv.backends.pool.Status().Migrating; lost {
				require.False(t, h.srv.backends.pool.Status().Dialling, "a link is dialled though one waits to be bound")
			}
		})
	}
	m.send("bound LOADED 0\r\n")
	m.expect("poll sync2")
	m.send("polled sync2 0.1 0 0.1 1\r\n")
	m.runOneRequest(h, p, 3, "on the second")
	h.loop.Stop()
	h.requireEnd()
}

// Guards the once-only rule where a window is shorter than a run: a repeat that comes behind the window, while the run goes on, waits
// for it.
func TestRetryPastRetentionWaitsForRun(t *testing.T) {
	h := newSocketFixture(t, func(cfg *config.Config) {
		for i, c := range cfg.Settings.Classes {
			if c.Name == "lot-intake" {
				cfg.Settings.Classes[i].RetentionWindow = 500 * time.Millisecond
			}
		}
	})
	p := h.servedProxy()
	id := h.submit(p, "lot-intake", "k1")
	require.Equal(t, id, <-h.pool.started)
	h.advanceClock(2 * microtime.Second)
	h.submit(p, "lot-intake", "k1")
	safe := h.submit(p, "lot-update", "") // read behind the repeat
	require.Equal(t, safe, <-h.pool.started)
	h.pool.finish(id, "once")
	require.Equal(t, "once", string(nextReply(p).Body))
	require.Equal(t, "once", string(nextReply(p).Body))
	require.Empty(t, h.pool.started)
	h.loop.Stop()
	h.requireEnd()
}
