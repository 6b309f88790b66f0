package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/store"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// socketPool is a stand-in worker pool on a real socket. It holds every run until it is let go.
type socketPool struct {
	ln      net.Listener
	started chan string // run IDs, as they come
	mu      sync.Mutex
	conn    net.Conn
	notice  int
}

func newSocketPool(t *testing.T) *socketPool {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &socketPool{ln: ln, started: make(chan string, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conn = c
			p.mu.Unlock()
			p.serve(c)
			c.Close()
		}
	}()
	return p
}

func (p *socketPool) send(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.conn, format, args...)
}

func (p *socketPool) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var id, class, tag string
		var n int
		if k, _ := fmt.Sscanf(line, "spawn %s %s %d", &id, &class, &n); k == 3 {
			if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
				return
			}
			p.started <- id
		} else if k, _ := fmt.Sscanf(line, "bind %d", &n); k == 1 {
			p.send("bound LOADED 0\r\n")
		} else if k, _ := fmt.Sscanf(line, "poll %s", &tag); k == 1 {
			p.send("polled %s 0.1 0 0.1 1\r\n", tag)
		}
	}
}

func (p *socketPool) finish(id, result string) {
	p.mu.Lock()
	p.notice++
	n := p.notice
	p.mu.Unlock()
	p.send("finished %d %s PASS 5 %d\r\n%s\r\n", n, id, len(result), result)
}

// serveLoopback runs a whole server on ports that the system picks, until stop or the test's end. A file keeps
// its intakes; "" for none.
func serveLoopback(t *testing.T, cfg config.Config, file string) (thriftAddr, ajpAddr string, stop func()) {
	clock := microtime.NewClock()
	logf := func(f string, a ...any) { t.Logf(f, a...) }
	srv, err := New(cfg, clock, logf)
	require.NoError(t, err)
	stored := func() {}
	if file != "" {
		st, err := store.Open(store.Config{Driver: store.SQLite, DSN: file, Server: "n0", Timeout: time.Minute})
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

// peer is a client's connection; read waits for one whole message of its protocol.
type peer struct {
	t     *testing.T
	c     net.Conn
	buf   []byte
	split func([]byte) ([]byte, int, error)
	sent  int32
}

func dial(t *testing.T, addr string, split func([]byte) ([]byte, int, error)) *peer {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &peer{t: t, c: c, split: split}
}

func (p *peer) write(b []byte) {
	_, err := p.c.Write(b)
	require.NoError(p.t, err)
}

func (p *peer) read() []byte {
	payload, err := p.next()
	require.NoError(p.t, err)
	return payload
}

func (p *peer) next() ([]byte, error) {
	for {
		payload, n, err := p.split(p.buf)
		if err != nil {
			return nil, err
		}
		if payload != nil {
			p.buf = p.buf[n:]
			return payload, nil
		}
		more := make([]byte, 4096)
		k, err := p.c.Read(more)
		if err != nil {
			return nil, err
		}
		p.buf = append(p.buf, more[:k]...)
	}
}

// sendIntake sends an intake by Thrift.
func sendIntake(p *peer, once string) {
	p.sent++
	p.write(thrift.AppendCall(nil, p.sent, []thrift.Field{{Name: "class", Value: "lot-intake"},
		{Name: "id", Value: fmt.Sprintf("%016x", p.sent)}, {Name: "at", Value: fmt.Sprint(time.Now().UnixMilli())},
		{Name: "from", Value: "1"}, {Name: "tenant", Value: "lake-vines"}, {Name: "kb", Value: "20"},
		{Name: "rank", Value: "0.9"}, {Name: "once", Value: once}}, []byte("lot")))
}

// forwardIntake sends one by AJP.
func forwardIntake(p *peer, once string) {
	out := ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/lot-intake", Headers: []ajp.Header{
		{Name: "content-length", Value: "3"}, {Name: "X-Relay-Tenant", Value: "lake-vines"}, {Name: "X-Relay-Once", Value: once}}})
	out, _ = ajp.AppendBodyChunk(out, []byte("lot"))
	p.write(out)
}

// readOK reads a whole AJP response that serves, and returns its body.
func readOK(p *peer) string {
	var parts [3]ajp.Response
	for i := range parts {
		var err error
		parts[i], err = ajp.ParseResponse(p.read())
		require.NoError(p.t, err)
	}
	require.Equal(p.t, 200, parts[0].Status)
	require.True(p.t, parts[2].Reuse)
	return string(parts[1].BodyChunk)
}

func splitContainer(in []byte) ([]byte, int, error) { return ajp.SplitPacket(in, ajp.FromContainer) }

// The whole program on real sockets: an intake that comes by both protocols runs once, whichever is first, and
// whether the first is still running; a broken connection harms no other.
func TestLoopbackOnce(t *testing.T) {
	pool := newSocketPool(t)
	thriftAddr, ajpAddr, _ := serveLoopback(t, testConfig(t, pool.ln.Addr().String()), "")
	desk := dial(t, thriftAddr, thrift.SplitFrame)
	office := dial(t, ajpAddr, splitContainer)
	broken := dial(t, thriftAddr, thrift.SplitFrame)
	broken.write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, err := broken.c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	viaThrift := func(once string) { sendIntake(desk, once) }
	viaAJP := func(once string) { forwardIntake(office, once) }
	gotThrift := func(result string) { require.Contains(t, string(desk.read()), result) }
	gotAJP := func(result string) { require.Equal(t, result, readOK(office)) }

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
	pool := newSocketPool(t)
	thriftAddr, _, stop := serveLoopback(t, testConfig(t, pool.ln.Addr().String()), file)
	desk := dial(t, thriftAddr, thrift.SplitFrame)
	sendIntake(desk, "k1")
	pool.finish(<-pool.started, "weighed")
	require.Contains(t, string(desk.read()), "weighed")
	stop()

	thriftAddr, ajpAddr, _ := serveLoopback(t, testConfig(t, pool.ln.Addr().String()), file)
	office := dial(t, ajpAddr, splitContainer)
	forwardIntake(office, "k1")
	require.Equal(t, "weighed", readOK(office))
	desk = dial(t, thriftAddr, thrift.SplitFrame)
	sendIntake(desk, "k1")
	require.Contains(t, string(desk.read()), "weighed")
	require.Empty(t, pool.started)
}
