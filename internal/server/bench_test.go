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
	"pewterline/internal/settings"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// BenchmarkRequest is one request on its whole way over loopback sockets: a proxy's call, the transport, the edge, the core with the
// decision module, the worker pool's answer and the reply; and the same for a request whose run makes a call to the vault. Its
// allocations are those of the program alone, as the peers write from buffers of their own.
func BenchmarkRequest(b *testing.B) {
	for _, run := range []struct{ name, class string }{{"plain", "block-view"}, {"call", callingClass}} {
		b.Run(run.name, func(b *testing.B) { benchRequests(b, run.class) })
	}
}

// callingClass is the class whose runs make a call each.
const callingClass = "lot-update"

func benchRequests(b *testing.B, class string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer ln.Close()
	vaultListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer vaultListener.Close()
	go serveVault(vaultListener)
	clock := microtime.NewClock()
	cfg := benchConfig(b, ln.Addr().String())
	cfg.VaultAddress, cfg.Settings.Dependency = vaultListener.Addr().String(), control.DependencyTier
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].MakesCalls = cfg.Settings.Classes[i].Name == callingClass
	}
	srv, err := New(cfg, clock, func(string, ...any) {})
	require.NoError(b, err)
	addr, stop := startLoop(b, srv, clock)
	defer stop()
	pool, err := ln.Accept()
	require.NoError(b, err)
	defer pool.Close()
	go benchPool(pool)
	c, err := net.Dial("tcp", addr)
	require.NoError(b, err)
	defer c.Close()
	in, out := bufio.NewReader(c), []byte(nil)
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
		if _, err := c.Write(out); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(in, head); err != nil {
			b.Fatal(err)
		}
		n := int(head[2])<<8 | int(head[3])
		if _, err := io.ReadFull(in, body[:n]); err != nil {
			b.Fatal(err)
		}
	}
}

// serveVault answers each call at once.
func serveVault(ln net.Listener) {
	c, err := ln.Accept()
	if err != nil {
		return // the benchmark makes no calls
	}
	defer c.Close()
	in, out := bufio.NewReader(c), []byte(nil)
	skip := make([]byte, 64<<10)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		if line[0] != 'a' {
			continue
		}
		out = append(append(out[:0], line[len("ask "):len("ask ")+16]...), " yes 2\r\nok\r\n"...)
		if _, err := io.ReadFull(in, skip[:callLength+2]); err != nil {
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// callLength is the length of each call's body.
const callLength = 3

// benchPool answers each run at once, or has it call first.
func benchPool(c net.Conn) {
	in, notice, out := bufio.NewReader(c), 0, []byte(nil)
	skip := make([]byte, 64<<10)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		out = out[:0]
		switch line[0] {
		case 'b':
			out = append(out, "bound LOADED 0\r\n"...)
		case 'p':
			out = fmt.Appendf(out, "polled %s 0.1 0 0.1 1\r\n", line[5:len(line)-2])
		case 's':
			if bytes.HasPrefix(line, []byte("supply ")) {
				id := string(line[len("supply ") : len("supply ")+16])
				if _, err := io.ReadFull(in, skip[:len("ok\r\n")]); err != nil {
					return
				}
				notice++
				out = fmt.Appendf(out, "finished %d %s PASS 1 2\r\nok\r\n", notice, id)
				break
			}
			if line[1] != 'p' {
				continue
			}
			id, n := string(line[6:22]), 0
			calls := bytes.Contains(line, []byte(callingClass))
			for _, d := range line[23:] {
				if d >= '0' && d <= '9' {
					n = n*10 + int(d-'0')
				}
			}
			if _, err := io.ReadFull(in, skip[:n+2]); err != nil {
				return
			}
			notice++
			if calls {
				out = fmt.Appendf(out, "blocked %d %s %d\r\nask\r\n", notice, id, callLength)
				break
			}
			out = fmt.Appendf(out, "finished %d %s PASS 1 2\r\nok\r\n", notice, id)
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

func startLoop(b *testing.B, srv *Server, clock microtime.Clock) (string, func()) {
	loop, err := sockets.Start(sockets.Options{Options: transport.Options{MaxConns: 16, Logf: func(string, ...any) {}}, Listen: []string{"127.0.0.1:0"}, Clock: clock},
		srv, func(l *transport.Loop) { srv.Attach(l) })
	require.NoError(b, err)
	return loop.Addr(0).String(), func() {
		loop.Stop()
		require.NoError(b, loop.Wait())
	}
}

func benchConfig(b *testing.B, pool string) config.Config {
	set, gauges, err := settings.Parse([]byte(settingsJSON), 7)
	require.NoError(b, err)
	return config.Config{Name: "n0", PoolAddress: pool, ShutdownTimeout: 3200 * microtime.Millisecond, Settings: set, Gauges: gauges}
}
