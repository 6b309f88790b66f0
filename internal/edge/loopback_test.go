package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/micro"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
	"pewterline/internal/wire"
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

// serveLoopback runs a whole server on ports that the system picks.
func serveLoopback(t *testing.T, poolAddr string) (thriftAddr, ajpAddr string) {
	set, gauges, err := wire.ParseSettings([]byte(settings), 7)
	require.NoError(t, err)
	clock := micro.NewClock()
	logf := func(f string, a ...any) { t.Logf(f, a...) }
	srv, err := New(config.Config{Name: "n0", Pool: poolAddr, Stop: micro.Second, Settings: set, Gauges: gauges,
		AJP: config.AJP{BodyTimeout: 10 * micro.Second, MaxBody: 100}}, clock.FromUnixMilli, logf)
	require.NoError(t, err)
	loop, err := transport.Start(transport.Options{Listen: []string{"127.0.0.1:0", "127.0.0.2:0"}, MaxConns: 16, Clock: clock, Logf: logf},
		srv, func(l *transport.Loop) { srv.Attach(l) })
	require.NoError(t, err)
	t.Cleanup(func() {
		loop.Stop()
		require.NoError(t, loop.Wait())
	})
	return loop.Addr(0).String(), loop.Addr(1).String()
}

// peer is a client's connection; read waits for one whole message of its protocol.
type peer struct {
	t     *testing.T
	c     net.Conn
	buf   []byte
	split func([]byte) ([]byte, int, error)
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
	for {
		payload, n, err := p.split(p.buf)
		require.NoError(p.t, err)
		if payload != nil {
			p.buf = p.buf[n:]
			return payload
		}
		more := make([]byte, 4096)
		k, err := p.c.Read(more)
		require.NoError(p.t, err)
		p.buf = append(p.buf, more[:k]...)
	}
}

// The whole program on real sockets: an intake that comes by both protocols runs once, whichever is first, and
// whether the first is still running; a broken connection harms no other.
func TestLoopbackOnce(t *testing.T) {
	pool := newSocketPool(t)
	thriftAddr, ajpAddr := serveLoopback(t, pool.ln.Addr().String())
	desk := dial(t, thriftAddr, thrift.Split)
	office := dial(t, ajpAddr, func(in []byte) ([]byte, int, error) { return ajp.Split(in, ajp.FromContainer) })
	broken := dial(t, thriftAddr, thrift.Split)
	broken.write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, err := broken.c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	n := 0
	viaThrift := func(once string) {
		n++
		desk.write(thrift.AppendCall(nil, int32(n), []thrift.Field{{Name: "class", Value: "lot-intake"},
			{Name: "id", Value: fmt.Sprintf("%016x", n)}, {Name: "at", Value: fmt.Sprint(time.Now().UnixMilli())}, {Name: "from", Value: "1"},
			{Name: "tenant", Value: "lake-vines"}, {Name: "kb", Value: "20"}, {Name: "rank", Value: "0.9"}, {Name: "once", Value: once}}, []byte("lot")))
	}
	viaAJP := func(once string) {
		out := ajp.AppendForward(nil, ajp.Request{Method: "POST", URI: "/lot-intake", Headers: []ajp.Header{{Name: "content-length", Value: "3"},
			{Name: "X-Relay-Tenant", Value: "lake-vines"}, {Name: "X-Relay-Once", Value: once}}})
		out, _ = ajp.AppendBody(out, []byte("lot"))
		office.write(out)
	}
	gotThrift := func(result string) { require.Contains(t, string(desk.read()), result) }
	gotAJP := func(result string) {
		head, err := ajp.ParseResponse(office.read())
		require.NoError(t, err)
		require.Equal(t, 200, head.Status)
		body, err := ajp.ParseResponse(office.read())
		require.NoError(t, err)
		require.Equal(t, result, string(body.Chunk))
		end, err := ajp.ParseResponse(office.read())
		require.NoError(t, err)
		require.True(t, end.Reuse)
	}

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
