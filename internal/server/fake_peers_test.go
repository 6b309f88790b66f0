package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

// closeAtEnd closes a connection or a listener at the test's end, if it is still open.
func closeAtEnd(tb testing.TB, closer io.Closer) {
	tb.Helper()
	tb.Cleanup(func() {
		if err := closer.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			tb.Errorf("close: %v", err)
		}
	})
}

// listen opens a listener on a port that the system picks, until the test's end.
func listen(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	closeAtEnd(tb, listener)
	return listener
}

// fakePool is a worker pool on a real socket. A run ends only when the test finishes it.
type fakePool struct {
	listener net.Listener
	started  chan string // The IDs of the runs that were started.
	mutex    sync.Mutex  // Guards the fields below.
	conn     net.Conn
	notice   int // The number of the last notice.
}

// newFakePool starts a pool that accepts links until the test's end.
func newFakePool(t *testing.T) *fakePool {
	t.Helper()
	pool := &fakePool{listener: listen(t), started: make(chan string, 100)}
	go pool.acceptLinks()
	return pool
}

// acceptLinks serves one link at a time until the listener is closed.
func (p *fakePool) acceptLinks() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mutex.Lock()
		p.conn = conn
		p.mutex.Unlock()
		p.serve(conn)
		_ = conn.Close() // It is broken, or the test has closed it.
	}
}

func (p *fakePool) send(format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	fmt.Fprintf(p.conn, format, args...)
}

// serve answers the commands on a link until the link is closed.
func (p *fakePool) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var id, class, tag string
		var size int
		switch {
		case scanned(line, "spawn %s %s %d", &id, &class, &size):
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
			p.started <- id
		case scanned(line, "bind %d", &size):
			p.send("bound LOADED 0\r\n")
		case scanned(line, "poll %s", &tag):
			p.send("polled %s 0.1 0 0.1 1\r\n", tag)
		}
	}
}

// scanned reads the values of a format from a line, and reports whether the line has all of them.
func scanned(line, format string, values ...any) bool {
	n, _ := fmt.Sscanf(line, format, values...)
	return n == len(values)
}

// finish ends a run with a result.
func (p *fakePool) finish(id, result string) {
	p.mutex.Lock()
	p.notice++
	notice := p.notice
	p.mutex.Unlock()
	p.send("finished %d %s PASS 5 %d\r\n%s\r\n", notice, id, len(result), result)
}

// breakLink closes the current link.
func (p *fakePool) breakLink() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.conn.Close()
}

// clientConn is a client's connection. Its read method waits for one whole message of its protocol.
type clientConn struct {
	t     *testing.T
	conn  net.Conn
	buf   []byte
	split func([]byte) ([]byte, int, error)
	sent  int32 // The number of requests sent.
}

func dial(t *testing.T, addr string, split func([]byte) ([]byte, int, error)) *clientConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	closeAtEnd(t, conn)
	return &clientConn{t: t, conn: conn, split: split}
}

func (c *clientConn) write(p []byte) {
	c.t.Helper()
	_, err := c.conn.Write(p)
	require.NoError(c.t, err)
}

func (c *clientConn) read() []byte {
	c.t.Helper()
	payload, err := c.next()
	require.NoError(c.t, err)
	return payload
}

func (c *clientConn) next() ([]byte, error) {
	for {
		payload, size, err := c.split(c.buf)
		if err != nil {
			return nil, err
		}
		if payload != nil {
			c.buf = c.buf[size:]
			return payload, nil
		}
		chunk := make([]byte, 4096)
		n, err := c.conn.Read(chunk)
		if err != nil {
			return nil, err
		}
		c.buf = append(c.buf, chunk[:n]...)
	}
}

// thriftFields returns the fields of a valid request. The overrides replace fields of the same name or are appended.
func thriftFields(overrides ...thrift.Field) []thrift.Field {
	fields := []thrift.Field{
		{Name: "class", Value: "block-view"},
		{Name: "id", Value: "00000000000000a1"},
		{Name: "at", Value: "1000"},
		{Name: "from", Value: "4"},
		{Name: "tenant", Value: "hill-estate"},
		{Name: "kb", Value: "9"},
		{Name: "rank", Value: "0.1"},
	}
	for _, override := range overrides {
		index := slices.IndexFunc(fields, func(field thrift.Field) bool { return field.Name == override.Name })
		if index >= 0 {
			fields[index] = override
		} else {
			fields = append(fields, override)
		}
	}
	return fields
}

// lotCall returns the Thrift frame of a proxy's request with the body "lot".
func lotCall(sequence int32, class, id string, unixMilli int64, idempotencyKey string) []byte {
	fields := thriftFields(
		thrift.Field{Name: "class", Value: class},
		thrift.Field{Name: "id", Value: id},
		thrift.Field{Name: "at", Value: strconv.FormatInt(unixMilli, 10)},
		thrift.Field{Name: "from", Value: "1"},
		thrift.Field{Name: "tenant", Value: "lake-vines"},
		thrift.Field{Name: "kb", Value: "20"},
		thrift.Field{Name: "rank", Value: "0.9"},
		thrift.Field{Name: "once", Value: idempotencyKey})
	return thrift.AppendCall(nil, sequence, fields, []byte("lot"))
}

// sendIntake sends a lot-intake request by Thrift.
func sendIntake(client *clientConn, idempotencyKey string) {
	client.t.Helper()
	client.sent++
	id := fmt.Sprintf("%016x", client.sent)
	client.write(lotCall(client.sent, "lot-intake", id, time.Now().UnixMilli(), idempotencyKey))
}

// forwardIntake sends a lot-intake request by AJP.
func forwardIntake(client *clientConn, idempotencyKey string) {
	client.t.Helper()
	out := ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/lot-intake", Headers: []ajp.Header{
		{Name: "content-length", Value: "3"},
		{Name: "X-Relay-Tenant", Value: "lake-vines"},
		{Name: "X-Relay-Once", Value: idempotencyKey},
	}})
	out, _ = ajp.AppendBodyChunk(out, []byte("lot"))
	client.write(out)
}

// readServed reads a whole AJP response, which must have status 200, and returns its body.
func readServed(client *clientConn) string {
	client.t.Helper()
	var parts [3]ajp.Response
	for i := range parts {
		var err error
		parts[i], err = ajp.ParseResponse(client.read())
		require.NoError(client.t, err)
	}
	require.Equal(client.t, 200, parts[0].Status)
	require.True(client.t, parts[2].Reuse)
	return string(parts[1].BodyChunk)
}

func splitAJP(in []byte) ([]byte, int, error) { return ajp.SplitPacket(in, ajp.FromContainer) }
