package edge

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/micro"
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

func (h *house) Now() micro.Time { return micro.Time(h.now.Load()) }

func newHouse(t *testing.T, change func(*config.Config)) *house {
	h := &house{t: t, pool: newSocketPool(t)}
	h.now.Store(int64(micro.Second))
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
func (h *house) pass(by micro.Time) { h.now.Add(int64(by)) }

func (h *house) proxy() *peer { return dial(h.t, h.loop.Addr(0).String(), thrift.Split) }

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
	p := h.proxy()
	id := h.ask(p, "lot-update", "")
	require.Equal(t, id, <-h.pool.started)
	h.pool.finish(id, "done")
	require.Equal(t, "done", string(heard(p).Body))
	require.NoError(t, p.c.Close())
	h.do(func() { h.srv.Drain(h.Now()) })
	for h.fronts() > 0 { // its close may not have been read yet
	}
	h.pass(micro.Of(h.srv.cfg.Settings.DrainGrace) + micro.Millisecond)
	var late []*peer
	h.do(func() {
		for range 5 {
			p := h.proxy()
			h.ask(p, "lot-update", "")
			late = append(late, p)
		}
	})
	for _, p := range late {
		require.Equal(t, thrift.Farewell, heard(p).Kind)
		require.Equal(t, thrift.Throttled, heard(p).Kind, "a request that came at the end never ran")
		require.NoError(t, p.c.Close())
	}
	h.ends()
	require.Empty(t, h.pool.started)
}

// fronts counts the proxies' connections.
func (h *house) fronts() (n int) {
	h.do(func() { n = h.srv.fronts.len() })
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
	h.pass(h.srv.cfg.Stop)
	h.do(func() { // the last turn: the run is not over, and the proxy asks for more
		h.ask(p, "lot-update", "")
	})
	require.Equal(t, thrift.Broken, heard(p).Kind)
	require.Equal(t, thrift.Farewell, heard(p).Kind)
	isOver(p)
	require.NoError(t, p.c.Close())
	h.ends()
}
