package server

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// BenchmarkRequest measures one request end to end over loopback sockets: a proxy's call, the transport, the frontend,
// the core with its decisions, the worker pool's answer and the reply; and the same for a request whose run makes a
// downstream call to the vault. The measured allocations are mostly the server's, because the peers reuse their
// buffers.
func BenchmarkRequest(b *testing.B) {
	for _, run := range []struct{ name, class string }{{"plain", "block-view"}, {"call", callingClass}} {
		b.Run(run.name, func(b *testing.B) { benchmarkRequests(b, run.class) })
	}
}

// callingClass is the class whose runs make one downstream call each.
const callingClass = "lot-update"

func benchmarkRequests(b *testing.B, class string) {
	poolListener, vaultListener := listen(b), listen(b)
	go serveBenchmarkVault(vaultListener)
	clock := microtime.NewClock()
	cfg := testConfig(b, poolListener.Addr().String())
	cfg.AJP = config.AJP{}
	cfg.VaultAddress, cfg.Settings.Dependency = vaultListener.Addr().String(), control.DependencyTier
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].MakesCalls = cfg.Settings.Classes[i].Name == callingClass
	}
	srv, err := New(cfg, clock, func(string, ...any) {})
	require.NoError(b, err)
	loop := startLoop(b, srv, sockets.Options{
		Options: transport.Options{MaxConns: 16, Logf: func(string, ...any) {}},
		Listen:  []string{"127.0.0.1:0"},
		Clock:   clock,
	})
	defer stopLoop(b, loop)
	pool, err := poolListener.Accept()
	require.NoError(b, err)
	closeAtEnd(b, pool)
	go serveBenchmarkPool(pool)
	client, err := net.Dial("tcp", loop.Addr(ThriftListener).String())
	require.NoError(b, err)
	closeAtEnd(b, client)
	in, out := bufio.NewReader(client), []byte(nil)
	head := make([]byte, 4)
	body := make([]byte, 64<<10)
	fields := []thrift.Field{{Name: "class", Value: class}, {Name: "id"}, {Name: "at"}, {Name: "from", Value: "4"},
		{Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "24.5"}, {Name: "rank", Value: "0.1"}}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		fields[1].Value = fmt.Sprintf("%016x", i+1)
		fields[2].Value = strconv.FormatInt(clock.UnixMilli(clock.Now()), 10)
		out = thrift.AppendCall(out[:0], int32(i+1), fields, body[:200])
		if _, err := client.Write(out); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(in, head); err != nil {
			b.Fatal(err)
		}
		size := int(head[2])<<8 | int(head[3])
		if _, err := io.ReadFull(in, body[:size]); err != nil {
			b.Fatal(err)
		}
	}
}

// callLength is the length of a downstream call's body, in bytes.
const callLength = 3

// serveBenchmarkVault answers each call at once on one connection, until the connection is closed.
func serveBenchmarkVault(listener net.Listener) {
	conn, err := listener.Accept()
	if err != nil {
		return // The benchmark has ended without a call.
	}
	defer func() { _ = conn.Close() }() // The server has closed it.
	in, out := bufio.NewReader(conn), []byte(nil)
	skipped := make([]byte, 64<<10)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		if line[0] != 'a' {
			continue
		}
		out = append(append(out[:0], line[len("ask "):len("ask ")+16]...), " yes 2\r\nok\r\n"...)
		if _, err := io.ReadFull(in, skipped[:callLength+2]); err != nil {
			return
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
	}
}

// benchmarkPool is a worker pool that finishes each run at once, or as soon as its downstream call is answered.
type benchmarkPool struct {
	in      *bufio.Reader
	out     []byte
	notice  int // The number of the last notice.
	skipped []byte
}

// serveBenchmarkPool answers the commands on a link until the link is closed.
func serveBenchmarkPool(conn net.Conn) {
	pool := &benchmarkPool{in: bufio.NewReader(conn), skipped: make([]byte, 64<<10)}
	for {
		line, err := pool.in.ReadSlice('\n')
		if err != nil {
			return
		}
		pool.out = pool.out[:0]
		if err := pool.answer(line); err != nil {
			return
		}
		if _, err := conn.Write(pool.out); err != nil {
			return
		}
	}
}

// answer appends the answer to a command to p.out. line is valid only until the next read.
func (p *benchmarkPool) answer(line []byte) error {
	switch {
	case line[0] == 'b':
		p.out = append(p.out, "bound LOADED 0\r\n"...)
	case line[0] == 'p':
		p.out = fmt.Appendf(p.out, "polled %s 0.1 0 0.1 1\r\n", line[5:len(line)-2])
	case bytes.HasPrefix(line, []byte("supply ")):
		id := string(line[len("supply ") : len("supply ")+16])
		p.notice++
		p.out = fmt.Appendf(p.out, "finished %d %s PASS 1 2\r\nok\r\n", p.notice, id)
		return p.skip(len("ok\r\n"))
	case bytes.HasPrefix(line, []byte("spawn ")):
		id, size := string(line[6:22]), 0
		calls := bytes.Contains(line, []byte(callingClass))
		for _, digit := range line[23:] {
			if digit >= '0' && digit <= '9' {
				size = size*10 + int(digit-'0')
			}
		}
		p.notice++
		if calls {
			p.out = fmt.Appendf(p.out, "blocked %d %s %d\r\nask\r\n", p.notice, id, callLength)
		} else {
			p.out = fmt.Appendf(p.out, "finished %d %s PASS 1 2\r\nok\r\n", p.notice, id)
		}
		return p.skip(size + len("\r\n"))
	}
	return nil
}

func (p *benchmarkPool) skip(size int) error {
	_, err := io.ReadFull(p.in, p.skipped[:size])
	return err
}
