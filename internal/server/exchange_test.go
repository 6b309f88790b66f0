package server

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/frontend/thriftfrontend"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

var update = flag.Bool("update", false, "record the program's side of the exchanges anew")

func (zeroBasedClock) FromUnixMilli(ms int64) microtime.Time {
	return microtime.Time(ms) * microtime.Millisecond
}
func (zeroBasedClock) UnixMilli(t microtime.Time) int64 { return int64(t / microtime.Millisecond) }

// Guards the program against whatever bytes its peers send: nothing panics, and afterwards both fronts serve.
func FuzzPeers(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x16\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x03\x02\x00\x01\x00\x00"))
	f.Add([]byte("\x12\x34\x00\x01\x0a\x12\x34\x00\x04\x02\x04\x00\x99"))
	f.Add([]byte("bound LOADED 0\r\npolled sync1\r\nfinished 1 a PASS 1 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		s := newLoopFixture(t, config.AJP{BodyTimeout: microtime.Second, MaxBody: 100, MaxConnections: 99})
		for i, l := range []*fakeConn{s.connect("pool", -1), s.connect("c1", 0), s.connect("a1", 1)} {
			s.deliver(l, in)
			s.turn()
			require.LessOrEqual(t, len(l.in), len(in), i)
		}
		s.advance(s.now + 100*microtime.Millisecond)
		cping := []byte("\x12\x34\x00\x01\x0a")
		office := s.connect("a2", 1)
		s.deliver(office, cping)
		require.Equal(t, "AB\x00\x01\x09", string(office.out))
	})
}

// Each file of testdata is an exchange: what the peers send, and what the program is to answer.
func TestRecordedExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			var ajp config.AJP
			if strings.Contains(file, "ajp") {
				ajp = config.AJP{Secret: "vine", BodyTimeout: 500 * microtime.Millisecond, MaxBody: 100, MaxConnections: 99, BackendConnections: 2, BackendPath: "/run"}
			}
			if strings.Contains(file, "runner") {
				ajp.BackendAddress = "backend"
			}
			got := newLoopFixture(t, ajp).replay(strings.Split(strings.TrimSuffix(string(text), "\n"), "\n"))
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(text), got)
		})
	}
}

// Guards the places of the proxies: only what makes sense makes a peer known to transport, which closes strangers.
func TestOnlyValidClientsAreIdentified(t *testing.T) {
	process := func(class string) string {
		frame := thrift.AppendCall(nil, 1, []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: "00000000000000a1"},
			{Name: "at", Value: "1000"}, {Name: "from", Value: "4"}, {Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "9"},
			{Name: "rank", Value: "0.1"}}, nil)
		return string(frame)
	}
	probe := "\x00\x00\x00\x16\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x01\x02\x00\x01\x00\x00"
	giveUp := "\x00\x00\x00\x1a\x80\x01\x00\x04\x00\x00\x00\x06giveUp\x00\x00\x00\x02\x08\x00\x01\x00\x00\x00\x07\x00"
	head := func(secret string) string {
		return string(ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/block-view", RemoteAddr: "127.0.0.1", Secret: secret,
			Headers: []ajp.Header{{Name: "content-length", Value: "40"}}}))
	}
	for _, c := range []struct {
		listener int
		sent     string
		vouched  bool
	}{
		{0, process("block-view"), true}, {0, process("no-such"), false}, {0, process("block-view")[:60], false},
		{0, probe, true}, {0, giveUp, false}, {0, "\x00\x00\x00\x02hi", false},
		{1, head("vine"), true}, {1, head("wine"), false}, {1, "\x12\x34\x00\x01\x0a", true}, {1, "\x12\x34\x00", false},
	} {
		s := newLoopFixture(t, config.AJP{Secret: "vine", BodyTimeout: microtime.Second, MaxBody: 100, MaxConnections: 9})
		l := s.connect("c", c.listener)
		s.deliver(l, []byte(c.sent))
		require.Equal(t, c.vouched, l.identified, "%d %q", c.listener, c.sent)
	}
}

// Guards the others' share of a turn: what one connection pipelines beyond the bound waits for the next turns.
func TestWorkPerTurnIsBounded(t *testing.T) {
	s := newLoopFixture(t, config.AJP{})
	l := s.connect("c", 0)
	probe := "\x00\x00\x00\x16\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x01\x02\x00\x01\x00\x00"
	const sent = 2*thriftfrontend.MaxMessagesPerTurn + 1
	s.deliver(l, []byte(strings.Repeat(probe, sent)))
	answer := len(l.out) / thriftfrontend.MaxMessagesPerTurn
	require.Equal(t, (sent-thriftfrontend.MaxMessagesPerTurn)*len(probe), len(l.in), "left for later")
	s.turn()
	require.Empty(t, l.in)
	require.Equal(t, sent*answer, len(l.out))
}
