package server

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/frontend/thriftfrontend"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

var update = flag.Bool("update", false, "record the server's side of the exchanges again")

// endLine is the line of a transcript that marks the end of the server.
const endLine = "the program ends"

// exchange replays the peers' side of a transcript, and records it together with the server's side.
type exchange struct {
	*loopFixture
	transcript strings.Builder
}

// replay replays the lines of the peers' side. The transcript omits gauge polls, which are sent once per tick, and
// health reports that repeat the previous one.
func (e *exchange) replay(lines []string) string {
	for _, line := range lines {
		if strings.Contains(line, " < ") || strings.HasSuffix(line, " is closed") || line == endLine {
			continue // The server's side.
		}
		fmt.Fprintln(&e.transcript, line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e.replayLine(line)
		e.turn()
		e.recordOutput()
	}
	return e.transcript.String()
}

// replayLine executes one line of the peers' side.
func (e *exchange) replayLine(line string) {
	words := strings.SplitN(line, " ", 3)
	switch {
	case line[0] == '@':
		ms, err := strconv.Atoi(line[1:])
		require.NoError(e.t, err, line)
		e.advance(microtime.Time(ms) * microtime.Millisecond)
	case words[0] == "reload":
		cfg := e.srv.cfg
		cfg.PoolAddress, cfg.ControlAddress = words[1], words[2]
		require.NoError(e.t, e.srv.Reload(cfg))
	case line == "dials":
		e.dials = slices.DeleteFunc(e.dials, func(d *fakeDial) bool { return d.dropped })
		for _, dial := range e.dials {
			fmt.Fprintf(&e.transcript, "dials < %s\n", strconv.Quote(dial.addr))
		}
	case words[0] == "drain":
		e.srv.Drain(e.now)
	case words[0] == "open":
		listeners := map[string]int{"thrift": ThriftListener, "ajp": AJPListener, "dialled": nextDialed}
		e.connect(words[1], listeners[words[2]])
	case words[0] == "close":
		e.conns[words[1]].closed = true
	default:
		p, err := strconv.Unquote(words[2])
		require.NoError(e.t, err, line)
		e.deliver(e.conns[words[0]], []byte(p))
	}
}

// recordOutput records the server's output of the last turn.
func (e *exchange) recordOutput() {
	for _, name := range e.order {
		conn := e.conns[name]
		text := strings.ReplaceAll(string(conn.out), "poll g\r\n", "")
		conn.out = conn.out[:0]
		if text != "" {
			fmt.Fprintf(&e.transcript, "%s < %s\n", name, strconv.Quote(text))
		}
		if conn.session == nil && !conn.closeReported {
			conn.closeReported = true
			fmt.Fprintf(&e.transcript, "%s is closed\n", name)
		}
	}
	for _, report := range e.reports {
		fmt.Fprintf(&e.transcript, "%s < %s\n", e.reportAddress, strconv.Quote(report))
	}
	e.reports = nil
	if e.stopped {
		fmt.Fprintln(&e.transcript, endLine)
	}
}

// Each file of testdata is a transcript of an exchange: what the peers send, and what the server must answer.
func TestRecordedExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			var ajpConfig config.AJP
			if strings.Contains(file, "ajp") {
				ajpConfig = config.AJP{Secret: "vine", BodyTimeout: 500 * microtime.Millisecond, MaxBody: 100,
					MaxConnections: 99, BackendConnections: 2, BackendPath: "/run"}
			}
			if strings.Contains(file, "runner") {
				ajpConfig.BackendAddress = "backend"
			}
			recorded := &exchange{loopFixture: newLoopFixture(t, ajpConfig)}
			got := recorded.replay(strings.Split(strings.TrimSuffix(string(text), "\n"), "\n"))
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(text), got)
		})
	}
}

// Whatever bytes its peers send, the server does not panic, and its frontends still serve afterwards.
func FuzzPeers(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x16\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x03\x02\x00\x01\x00\x00"))
	f.Add([]byte("\x12\x34\x00\x01\x0a\x12\x34\x00\x04\x02\x04\x00\x99"))
	f.Add([]byte("bound LOADED 0\r\npolled sync1\r\nfinished 1 a PASS 1 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		loop := newLoopFixture(t, config.AJP{BodyTimeout: microtime.Second, MaxBody: 100, MaxConnections: 99})
		conns := []*fakeConn{
			loop.connect("pool", nextDialed), loop.connect("c1", ThriftListener), loop.connect("a1", AJPListener),
		}
		for i, conn := range conns {
			loop.deliver(conn, in)
			loop.turn()
			require.LessOrEqual(t, len(conn.in), len(in), i)
		}
		loop.advance(loop.now + 100*microtime.Millisecond)
		cping := []byte("\x12\x34\x00\x01\x0a")
		webServer := loop.connect("a2", AJPListener)
		loop.deliver(webServer, cping)
		require.Equal(t, "AB\x00\x01\x09", string(webServer.out))
	})
}

// Only a client that sends a valid message is marked as identified: at the connection limit, the transport closes the
// connections of other clients first.
func TestOnlyValidClientsAreIdentified(t *testing.T) {
	call := func(class string) string {
		return string(thrift.AppendCall(nil, 1, thriftFields(thrift.Field{Name: "class", Value: class}), nil))
	}
	cancel := "\x00\x00\x00\x1a\x80\x01\x00\x04\x00\x00\x00\x06giveUp\x00\x00\x00\x02\x08\x00\x01\x00\x00\x00\x07\x00"
	forward := func(secret string) string {
		return string(ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/block-view",
			RemoteAddr: "127.0.0.1", Secret: secret, Headers: []ajp.Header{{Name: "content-length", Value: "40"}}}))
	}
	for _, tc := range []struct {
		name       string
		listener   int
		sent       string
		identified bool
	}{
		{"call", ThriftListener, call("block-view"), true},
		{"call of an unknown class", ThriftListener, call("no-such"), false},
		{"part of a call", ThriftListener, call("block-view")[:60], false},
		{"health check", ThriftListener, probeBytes, true},
		{"cancellation", ThriftListener, cancel, false},
		{"invalid frame", ThriftListener, "\x00\x00\x00\x02hi", false},
		{"request with the secret", AJPListener, forward("vine"), true},
		{"request with another secret", AJPListener, forward("wine"), false},
		{"CPing", AJPListener, "\x12\x34\x00\x01\x0a", true},
		{"part of a packet", AJPListener, "\x12\x34\x00", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			loop := newLoopFixture(t,
				config.AJP{Secret: "vine", BodyTimeout: microtime.Second, MaxBody: 100, MaxConnections: 9})
			conn := loop.connect("c", tc.listener)
			loop.deliver(conn, []byte(tc.sent))
			require.Equal(t, tc.identified, conn.identified, "%q", tc.sent)
		})
	}
}

// A connection gets a bounded share of a turn: further pipelined messages wait for later turns.
func TestWorkPerTurnIsBounded(t *testing.T) {
	loop := newLoopFixture(t, config.AJP{})
	conn := loop.connect("c", ThriftListener)
	const sent = 2*thriftfrontend.MaxMessagesPerTurn + 1
	loop.deliver(conn, []byte(strings.Repeat(probeBytes, sent)))
	responseSize := len(conn.out) / thriftfrontend.MaxMessagesPerTurn
	require.Equal(t, (sent-thriftfrontend.MaxMessagesPerTurn)*len(probeBytes), len(conn.in), "left for later turns")
	loop.turn()
	require.Empty(t, conn.in)
	require.Equal(t, sent*responseSize, len(conn.out))
}
