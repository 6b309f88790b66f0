package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

// fakePool is a stand-in worker pool on a real socket. It holds every run until it is let go.
type fakePool struct {
	listener net.Listener
	started  chan string // run IDs, as they come
	mutex    sync.Mutex
	conn     net.Conn
	notice   int
}

func newFakePool(t *testing.T) *fakePool {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &fakePool{listener: ln, started: make(chan string, 100)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mutex.Lock()
			p.conn = c
			p.mutex.Unlock()
			p.serve(c)
			c.Close()
		}
	}()
	return p
}

func (p *fakePool) send(format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.conn, format, args...)
}

func (p *fakePool) serve(c net.Conn) {
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

func (p *fakePool) finish(id, result string) {
	p.mutex.Lock()
	p.notice++
	n := p.notice
	p.mutex.Unlock()
	p.send("finished %d %s PASS 5 %d\r\n%s\r\n", n, id, len(result), result)
}

// clientConn is a client's connection; read waits for one whole message of its protocol.
type clientConn struct {
	t     *testing.T
	conn  net.Conn
	buf   []byte
	split func([]byte) ([]byte, int, error)
	sent  int32
}

func dial(t *testing.T, addr string, split func([]byte) ([]byte, int, error)) *clientConn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &clientConn{t: t, conn: c, split: split}
}

func (p *clientConn) write(b []byte) {
	_, err := p.conn.Write(b)
	require.NoError(p.t, err)
}

func (p *clientConn) read() []byte {
	payload, err := p.next()
	require.NoError(p.t, err)
	return payload
}

func (p *clientConn) next() ([]byte, error) {
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
		k, err := p.conn.Read(more)
		if err != nil {
			return nil, err
		}
		p.buf = append(p.buf, more[:k]...)
	}
}

// sendIntake sends an intake by Thrift.
func sendIntake(p *clientConn, once string) {
	p.sent++
	p.write(thrift.AppendCall(nil, p.sent, []thrift.Field{{Name: "class", Value: "lot-intake"},
		{Name: "id", Value: fmt.Sprintf("%016x", p.sent)}, {Name: "at", Value: fmt.Sprint(time.Now().UnixMilli())},
		{Name: "from", Value: "1"}, {Name: "tenant", Value: "lake-vines"}, {Name: "kb", Value: "20"},
		{Name: "rank", Value: "0.9"}, {Name: "once", Value: once}}, []byte("lot")))
}

// forwardIntake sends one by AJP.
func forwardIntake(p *clientConn, once string) {
	out := ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/lot-intake", Headers: []ajp.Header{
		{Name: "content-length", Value: "3"}, {Name: "X-Relay-Tenant", Value: "lake-vines"}, {Name: "X-Relay-Once", Value: once}}})
	out, _ = ajp.AppendBodyChunk(out, []byte("lot"))
	p.write(out)
}

// readServed reads a whole AJP response that serves, and returns its body.
func readServed(p *clientConn) string {
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

func splitAJP(in []byte) ([]byte, int, error) { return ajp.SplitPacket(in, ajp.FromContainer) }
