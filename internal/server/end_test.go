package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// house is a whole server on real sockets, on a clock that the test moves.
type house struct {
	t    *testing.T
	srv  *Server
	loop *sockets.Loop
	pool *socketPool
	now  atomic.Int64
	sent int
}

func (h *house) Now() microtime.Time { return microtime.Time(h.now.Load()) }

func newHouse(t *testing.T, change func(*config.Config)) *house {
	h := &house{t: t, pool: newSocketPool(t)}
	h.now.Store(int64(microtime.Second))
	cfg := testConfig(t, h.pool.ln.Addr().String())
	cfg.Listen = "127.0.0.1:0"
	if change != nil {
		change(&cfg)
	}
	logf := func(f string, a ...any) { t.Logf(f, a...) }
	var err error
	h.srv, err = New(cfg, unixZero{}, logf)
	require.NoError(t, err)
	h.loop, err = sockets.Start(sockets.Options{Options: transport.Options{MaxConns: 64, Logf: logf}, Listen: []string{cfg.Listen}, Clock: h},
		h.srv, func(l *transport.Loop) { h.srv.Attach(l) })
	require.NoError(t, err)
	return h
}

// do runs f in a turn, and returns when it has.
func (h *house) do(f func()) {
	done := make(chan struct{})
	require.NoError(h.t, h.loop.Execute(func() {
		defer close(done)
		f()
	}))
	<-done
}

// pass moves the clock; what is due by it is done from the next turn on.
func (h *house) pass(by microtime.Time) { h.now.Add(int64(by)) }

func (h *house) proxy() *peer { return dial(h.t, h.loop.Addr(0).String(), thrift.SplitFrame) }

// known is a proxy that has been served once.
func (h *house) known() *peer {
	p := h.proxy()
	id := h.ask(p, "lot-update", "")
	require.Equal(h.t, id, <-h.pool.started)
	h.pool.finish(id, "done")
	require.Equal(h.t, "done", string(heard(p).Body))
	return p
}

// call is a request's bytes; its id tells which.
func (h *house) call(p *peer, class, once string) (id string, bytes []byte) {
	h.sent++
	p.sent++
	id = fmt.Sprintf("%016x", h.sent)
	return id, thrift.AppendCall(nil, p.sent, []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: id}, {Name: "at", Value: fmt.Sprint(h.now.Load() / 1000)},
		{Name: "from", Value: "1"}, {Name: "tenant", Value: "lake-vines"}, {Name: "kb", Value: "20"}, {Name: "rank", Value: "0.9"}, {Name: "once", Value: once}}, []byte("lot"))
}

// ask sends a request.
func (h *house) ask(p *peer, class, once string) (id string) {
	id, call := h.call(p, class, once)
	p.write(call)
	return id
}

// heard is the next message to a proxy.
func heard(p *peer) thrift.Reply {
	r, err := thrift.DecodeReply(p.read())
	require.NoError(p.t, err)
	return r
}

// isOver asks that nothing more comes, and that the server has ended the connection without a reset.
func isOver(p *peer) {
	_, err := p.next()
	require.ErrorIs(p.t, err, io.EOF)
}

// ends asks that the program ends of itself.
func (h *house) ends() { require.NoError(h.t, h.loop.Wait()) }

// Guards the requests that lie in the accept queue as the program comes to its end: the system has taken them, so that they are the
// log server's. They come while the loop stands in the turn in which the last that was read has been answered.
func TestEndLeavesNobodyInTheQueue(t *testing.T) {
	h := newHouse(t, nil)
	p := h.known()
	require.NoError(t, p.c.Close())
	h.do(func() { h.srv.Drain(h.Now()) })
	for h.fronts() > 0 { // its close may not have been read yet
	}
	h.pass(microtime.FromDuration(h.srv.cfg.Settings.DrainGrace) + microtime.Millisecond)
	var late []*peer
	h.do(func() {
		for range 5 {
			p := h.proxy()
			h.ask(p, "lot-update", "")
			late = append(late, p)
		}
	})
	for _, p := range late {
		require.Equal(t, thrift.ReplyFarewell, heard(p).Kind)
		require.Equal(t, thrift.ReplyThrottled, heard(p).Kind, "a request that came at the end never ran")
		require.NoError(t, p.c.Close())
	}
	h.ends()
	require.Empty(t, h.pool.started)
}

// fronts counts the proxies' connections.
func (h *house) fronts() (n int) {
	h.do(func() { n = h.srv.clients.thrift.Len() })
	return n
}

// Guards the last answers: a request that comes as the program ends, on a connection that outstays its farewell, finds an end
// and no reset, behind the answer to what was read. The time to stop is reached in the turn in which the answer is written.
func TestEndCrossesARequest(t *testing.T) {
	h := newHouse(t, nil)
	p := h.proxy()
	id := h.ask(p, "lot-update", "")
	require.Equal(t, id, <-h.pool.started)
	h.do(func() { h.srv.Drain(h.Now()) })
	h.pass(h.srv.cfg.ShutdownTimeout)
	h.do(func() { // the last turn: the run is not over, and the proxy asks for more
		h.ask(p, "lot-update", "")
	})
	require.Equal(t, thrift.ReplyBroken, heard(p).Kind)
	require.Equal(t, thrift.ReplyFarewell, heard(p).Kind)
	isOver(p)
	require.NoError(t, p.c.Close())
	h.ends()
}

// Guards the limit of a drain against a program that comes to the notice late, as one does that was starting: what is read over 2.5 s
// after it came does not run, though the program has only just heard of it.
func TestNoticeCountsFromWhenItCame(t *testing.T) {
	h := newHouse(t, nil)
	at := h.Now()
	h.pass(microtime.FromDuration(h.srv.cfg.Settings.DrainGrace) + microtime.Millisecond)
	p := h.proxy()
	h.do(func() {
		h.srv.Drain(at)
		h.ask(p, "lot-update", "")
	})
	require.ElementsMatch(t, []thrift.ReplyKind{thrift.ReplyFarewell, thrift.ReplyThrottled}, []thrift.ReplyKind{heard(p).Kind, heard(p).Kind})
	require.NoError(t, p.c.Close())
	h.ends()
	require.Empty(t, h.pool.started)
}

// Guards the limit of a drain against a file that is read during it and gives more time.
func TestReloadDoesNotStretchADrain(t *testing.T) {
	h := newHouse(t, nil)
	p := h.known()
	h.do(func() {
		h.srv.Drain(h.Now())
		next := h.srv.cfg
		next.Settings.DrainGrace *= 10
		next.PoolAddress = h.pool.ln.Addr().String()
		require.NoError(t, h.srv.Reload(next))
	})
	h.pass(microtime.FromDuration(2500*time.Millisecond) + microtime.Millisecond)
	h.do(func() { h.ask(p, "lot-update", "") })
	require.ElementsMatch(t, []thrift.ReplyKind{thrift.ReplyFarewell, thrift.ReplyThrottled}, []thrift.ReplyKind{heard(p).Kind, heard(p).Kind})
	require.NoError(t, p.c.Close())
	h.ends()
	require.Empty(t, h.pool.started)
}

// Guards requests that run once, without a key to tell: one whose command went out on a link that broke is not sent again on the
// next, as the pool would run it anew if it has ended since. Its notice comes if it arrived. A safe one is sent again.
func TestSingleShotIsNotSentAgain(t *testing.T) {
	h := newHouse(t, func(cfg *config.Config) {
		for i, c := range cfg.Settings.Classes {
			if c.Name == "lot-update" {
				cfg.Settings.Classes[i].Idempotency = control.NonIdempotent
			}
		}
	})
	p := h.known() // a request of that class, and notice 1
	single := h.ask(p, "lot-update", "")
	require.Equal(t, single, <-h.pool.started)
	safe := h.ask(p, "block-view", "")
	require.Equal(t, safe, <-h.pool.started)
	h.pool.mu.Lock()
	require.NoError(t, h.pool.conn.Close())
	h.pool.mu.Unlock()
	require.Equal(t, safe, <-h.pool.started, "sent again on the next link, in the order of the first")
	h.pool.finish(single, "ran once")
	require.Equal(t, "ran once", string(heard(p).Body))
	require.Empty(t, h.pool.started)
	h.loop.Stop()
	h.ends()
}

// moved is a second address for the pool, to which the configuration has moved it; the test plays it.
type moved struct {
	t  *testing.T
	ln net.Listener
	c  net.Conn
	in *bufio.Reader
}

func (h *house) move() *moved {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h.t, err)
	h.t.Cleanup(func() { ln.Close() })
	h.do(func() {
		next := h.srv.cfg
		next.PoolAddress = ln.Addr().String()
		require.NoError(h.t, h.srv.Reload(next))
	})
	return &moved{t: h.t, ln: ln}
}

// accept takes up the next link and reads what the server says first.
func (m *moved) accept(bind string) {
	var err error
	m.c, err = m.ln.Accept()
	require.NoError(m.t, err)
	m.t.Cleanup(func() { m.c.Close() })
	m.in = bufio.NewReader(m.c)
	m.hears(bind)
}

func (m *moved) hears(want string) {
	line, err := m.in.ReadString('\n')
	require.NoError(m.t, err)
	require.Equal(m.t, want+"\r\n", line)
}

func (m *moved) tell(format string, args ...any) {
	_, err := fmt.Fprintf(m.c, format, args...)
	require.NoError(m.t, err)
}

// serves answers the polls until a request comes, which it ends.
func (m *moved) serves(h *house, p *peer, notice int, result string) {
	id := h.ask(p, "lot-update", "")
	for {
		line, err := m.in.ReadString('\n')
		require.NoError(m.t, err)
		if strings.HasPrefix(line, "spawn "+id) {
			break
		}
	}
	m.tell("finished %d %s PASS 5 %d\r\n%s\r\n", notice, id, len(result), result)
	require.Equal(m.t, result, string(heard(p).Body))
}

// first has the first pool end a request, whose id it returns.
func (h *house) first(p *peer, result string) string {
	id := h.ask(p, "lot-update", "")
	require.Equal(h.t, id, <-h.pool.started)
	h.pool.finish(id, result)
	require.Equal(h.t, result, string(heard(p).Body))
	return id
}

// Guards the runs against a configuration that moves the pool to an address at which somebody listens and says nothing: the link in
// use serves on until the new one is bound, and the new one from then on. What the first told meanwhile is told again.
func TestPoolMovesOnceItIsBound(t *testing.T) {
	h := newHouse(t, nil)
	p := h.known() // notice 1
	m := h.move()
	m.accept("bind 1")
	id := h.first(p, "on the first") // and silence on the second
	m.tell("bound LOADED 0\r\nfinished 2 %s PASS 5 12\r\non the first\r\n", id)
	m.hears("poll sync2")
	m.tell("polled sync2 0.1 0 0.1 1\r\n")
	m.serves(h, p, 3, "on the second")
	require.Empty(t, h.pool.started)
	h.loop.Stop()
	h.ends()
}

// Guards the pool's link while it moves: a new one that breaks before it is bound is dialled again, and the one in use serves on; where
// that one breaks, as it does when the pool takes the new one in its place, the new one is all there is and nothing is dialled.
func TestPoolLinksThatBreakAsTheyMove(t *testing.T) {
	h := newHouse(t, nil)
	p := h.known()
	m := h.move()
	m.accept("bind 1")
	require.NoError(t, m.c.Close())
	m.accept("bind 1")
	h.first(p, "on the first")
	h.pool.mu.Lock()
	require.NoError(t, h.pool.conn.Close())
	h.pool.mu.Unlock()
	for lost := false; !lost; {
		h.do(func() {
			if lost = !h.srv.backends.pool.Status().Migrating; lost {
				require.False(t, h.srv.backends.pool.Status().Dialling, "a link is dialled though one waits to be bound")
			}
		})
	}
	m.tell("bound LOADED 0\r\n")
	m.hears("poll sync2")
	m.tell("polled sync2 0.1 0 0.1 1\r\n")
	m.serves(h, p, 3, "on the second")
	h.loop.Stop()
	h.ends()
}

// Guards the once-only rule where a window is shorter than a run: a repeat that comes behind the window, while the run goes on, waits
// for it.
func TestRepeatBehindItsWindowWaitsForTheRun(t *testing.T) {
	h := newHouse(t, func(cfg *config.Config) {
		for i, c := range cfg.Settings.Classes {
			if c.Name == "lot-intake" {
				cfg.Settings.Classes[i].RetentionWindow = 500 * time.Millisecond
			}
		}
	})
	p := h.known()
	id := h.ask(p, "lot-intake", "k1")
	require.Equal(t, id, <-h.pool.started)
	h.pass(2 * microtime.Second)
	h.ask(p, "lot-intake", "k1")
	safe := h.ask(p, "lot-update", "") // read behind the repeat
	require.Equal(t, safe, <-h.pool.started)
	h.pool.finish(id, "once")
	require.Equal(t, "once", string(heard(p).Body))
	require.Equal(t, "once", string(heard(p).Body))
	require.Empty(t, h.pool.started)
	h.loop.Stop()
	h.ends()
}
