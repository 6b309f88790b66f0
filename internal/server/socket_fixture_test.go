package server

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// socketFixture is a whole server on real sockets, on a clock that the test moves.
type socketFixture struct {
	t    *testing.T
	srv  *Server
	loop *sockets.Loop
	pool *fakePool
	now  atomic.Int64
	sent int
}

func (h *socketFixture) Now() microtime.Time { return microtime.Time(h.now.Load()) }

func newSocketFixture(t *testing.T, change func(*config.Config)) *socketFixture {
	h := &socketFixture{t: t, pool: newFakePool(t)}
	h.now.Store(int64(microtime.Second))
	cfg := testConfig(t, h.pool.listener.Addr().String())
	cfg.Listen = "127.0.0.1:0"
	if change != nil {
		change(&cfg)
	}
	logf := func(f string, a ...any) { t.Logf(f, a...) }
	var err error
	h.srv, err = New(cfg, zeroBasedClock{}, logf)
	require.NoError(t, err)
	h.loop, err = sockets.Start(sockets.Options{Options: transport.Options{MaxConns: 64, Logf: logf}, Listen: []string{cfg.Listen}, Clock: h},
		h.srv, func(l *transport.Loop) { h.srv.Attach(l) })
	require.NoError(t, err)
	return h
}

// onLoop runs f in a turn, and returns when it has.
func (h *socketFixture) onLoop(f func()) {
	done := make(chan struct{})
	require.NoError(h.t, h.loop.Execute(func() {
		defer close(done)
		f()
	}))
	<-done
}

// advanceClock moves the clock; what is due by it is done from the next turn on.
func (h *socketFixture) advanceClock(by microtime.Time) { h.now.Add(int64(by)) }

func (h *socketFixture) dialProxy() *clientConn {
	return dial(h.t, h.loop.Addr(0).String(), thrift.SplitFrame)
}

// servedProxy is a proxy that has been served once.
func (h *socketFixture) servedProxy() *clientConn {
	p := h.dialProxy()
	id := h.submit(p, "lot-update", "")
	require.Equal(h.t, id, <-h.pool.started)
	h.pool.finish(id, "done")
	require.Equal(h.t, "done", string(nextReply(p).Body))
	return p
}

// requestBytes is a request's bytes; its id tells which.
func (h *socketFixture) requestBytes(p *clientConn, class, once string) (id string, bytes []byte) {
	h.sent++
	p.sent++
	id = fmt.Sprintf("%016x", h.sent)
	return id, thrift.AppendCall(nil, p.sent, []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: id}, {Name: "at", Value: fmt.Sprint(h.now.Load() / 1000)},
		{Name: "from", Value: "1"}, {Name: "tenant", Value: "lake-vines"}, {Name: "kb", Value: "20"}, {Name: "rank", Value: "0.9"}, {Name: "once", Value: once}}, []byte("lot"))
}

// submit sends a request.
func (h *socketFixture) submit(p *clientConn, class, once string) (id string) {
	id, call := h.requestBytes(p, class, once)
	p.write(call)
	return id
}

// nextReply is the next message to a proxy.
func nextReply(p *clientConn) thrift.Reply {
	r, err := thrift.DecodeReply(p.read())
	require.NoError(p.t, err)
	return r
}

// requireEOF asks that nothing more comes, and that the server has ended the connection without a reset.
func requireEOF(p *clientConn) {
	_, err := p.next()
	require.ErrorIs(p.t, err, io.EOF)
}

// requireEnd asks that the program ends of itself.
func (h *socketFixture) requireEnd() { require.NoError(h.t, h.loop.Wait()) }

// proxyConnections counts the proxies' connections.
func (h *socketFixture) proxyConnections() (n int) {
	h.onLoop(func() { n = h.srv.clients.thrift.Len() })
	return n
}

func (h *socketFixture) movePool() *secondPool {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h.t, err)
	h.t.Cleanup(func() { ln.Close() })
	h.onLoop(func() {
		next := h.srv.cfg
		next.PoolAddress = ln.Addr().String()
		require.NoError(h.t, h.srv.Reload(next))
	})
	return &secondPool{t: h.t, ln: ln}
}

// runOnFirstPool has the first pool end a request, whose id it returns.
func (h *socketFixture) runOnFirstPool(p *clientConn, result string) string {
	id := h.submit(p, "lot-update", "")
	require.Equal(h.t, id, <-h.pool.started)
	h.pool.finish(id, result)
	require.Equal(h.t, result, string(nextReply(p).Body))
	return id
}
