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
	"pewterline/internal/settings"
	"pewterline/internal/transport"
)

var update = flag.Bool("update", false, "record the program's side of the exchanges anew")

// settingsText is the platform's, for a server of two cores.
const settingsText = `{"classes": [
 {"name": "block-view", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 1, "effect": "free"},
 {"name": "lot-update", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 1, "effect": "free"},
 {"name": "lot-intake", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 10, "effect": "guarded", "window_ms": 13518}],
 "client_habits": {"marks_retry": true}, "limits": {"retry_after": true, "max_retry_after_ms": 1000},
 "extra": {"cores": 2, "memory_kb": 47610, "key_kb": 154.5, "run_factor": 8, "stop_mode": "discard", "say": "floor",
 "downstream": "none", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "keepalive_max_ms": 30000},
 "rules": {"cold_from": 0.24, "ramp_time_ms": 17000, "stop_sending_within_ms": 2500, "fall_multiple": 8,
 "tip_after_ms": 3000, "grace_to_answer_ms": 100}, "tenants": [{"name": "hill-estate", "quota_rps": 69},
 {"name": "lake-vines", "quota_rps": 43}, {"name": "valley-rows", "quota_rps": 32}]}`

// stage is a loop without sockets, on a clock that the test moves.
type stage struct {
	t       *testing.T
	srv     *Server
	now     microtime.Time
	next    microtime.Time
	links   map[string]*fakeLink
	order   []string
	dials   []*fakeDial
	control string // where reports go
	report  string
	reports []string
	stopped bool
	logged  []string
}

// fakeDial is a link that the program wants.
type fakeDial struct {
	addr    string
	open    func(transport.Conn) transport.Session
	dropped bool
}

// fakeLink is a connection whose bytes the test reads and writes.
type fakeLink struct {
	name    string
	session transport.Session
	in, out []byte
	closed  bool
	resume  bool
	vouched bool
	told    bool // its close is in the transcript
}

func (l *fakeLink) Write(p []byte) {
	if !l.closed {
		l.out = append(l.out, p...)
	}
}
func (l *fakeLink) Close()          { l.closed = true }
func (l *fakeLink) Resume()         { l.resume = true }
func (l *fakeLink) MarkIdentified() { l.vouched = true }
func (l *fakeLink) Remote() string  { return l.name }

// unixZero is a wall clock whose time is the stage's.
type unixZero struct{}

func (unixZero) FromUnixMilli(ms int64) microtime.Time {
	return microtime.Time(ms) * microtime.Millisecond
}
func (unixZero) UnixMilli(t microtime.Time) int64 { return int64(t / microtime.Millisecond) }

func (s *stage) Execute(f func()) error {
	f()
	return nil
}
func (s *stage) Now() microtime.Time              { return s.now }
func (s *stage) Rand() uint64                     { return 7 }
func (s *stage) Shutdown(microtime.Time)          { s.stopped = true }
func (s *stage) CloseListener(_ int, done func()) { done() }
func (s *stage) SendDatagram(p []byte) {
	if text := string(p); text != s.report {
		s.report, s.reports = text, append(s.reports, text)
	}
}
func (s *stage) Dial(addr string, open func(transport.Conn) transport.Session) func() {
	d := &fakeDial{addr: addr, open: open}
	s.dials = append(s.dials, d)
	return func() { d.dropped = true }
}
func (s *stage) DialOnce(addr string, open func(transport.Conn) transport.Session, _ func()) func() {
	return s.Dial(addr, open)
}
func (s *stage) SetDatagramPeer(addr string) error {
	s.control, s.report = addr, ""
	return nil
}

// testConfig is a configuration with the AJP front on.
func testConfig(t *testing.T, pool string) config.Config {
	set, gauges, err := settings.Parse([]byte(settingsText), 7)
	require.NoError(t, err)
	return config.Config{Name: "n0", PoolAddress: pool, ShutdownTimeout: 3200 * microtime.Millisecond, Settings: set, Gauges: gauges,
		AJP: config.AJP{BodyTimeout: 10 * microtime.Second, MaxBody: 100, MaxConnections: 900}}
}

func newStage(t *testing.T, ajp config.AJP) *stage {
	cfg := testConfig(t, "pool")
	cfg.AJP = ajp
	s := &stage{t: t, now: microtime.Second, links: map[string]*fakeLink{}, control: "control"}
	var err error
	s.srv, err = New(cfg, unixZero{}, func(f string, a ...any) { s.logged = append(s.logged, fmt.Sprintf(f, a...)) })
	require.NoError(t, err)
	s.srv.Attach(s)
	return s
}

// connect opens a connection: to a listener, or as the next one that the program has dialled.
func (s *stage) connect(name string, listener int) *fakeLink {
	l := &fakeLink{name: name}
	if listener < 0 {
		require.NotEmpty(s.t, s.dials, "nothing was dialled")
		d := s.dials[0]
		s.dials = s.dials[1:]
		require.False(s.t, d.dropped, "the dial was given up")
		l.session = d.open(l)
	} else {
		l.session = s.srv.Accept(listener, l)
	}
	if s.links[name] == nil {
		s.order = append(s.order, name)
	}
	s.links[name] = l
	return l
}

// adopt makes a link that was opened elsewhere one of the stage's.
func (s *stage) adopt(l *fakeLink) {
	s.links[l.name] = l
	s.order = append(s.order, l.name)
}

func (s *stage) deliver(l *fakeLink, p []byte) {
	l.in = append(l.in, p...)
	n, err := l.session.Receive(l.in)
	l.in = l.in[n:]
	if err != nil {
		s.logged = append(s.logged, err.Error())
		l.closed = true
	}
}

// turn ends a turn, then drops the connections that the program has closed.
func (s *stage) turn() {
	s.next = s.srv.Turn(s.now)
	for _, name := range s.order {
		if l := s.links[name]; l.closed && l.session != nil {
			l.session.Closed()
			l.session = nil
		} else if l.resume {
			l.resume = false
			s.deliver(l, nil)
			s.turn()
		}
	}
}

// advance moves the clock, with a turn whenever one is due.
func (s *stage) advance(to microtime.Time) {
	for s.next <= to && !s.stopped {
		s.now = max(s.now, s.next)
		s.turn()
	}
	s.now = to
}

// played runs the lines of an exchange and returns them with what the program wrote. The polls of the gauges,
// one a tick, are left out, and so are reports that say the same as the one before.
func (s *stage) played(lines []string) string {
	var out strings.Builder
	outputs := func() {
		for _, name := range s.order {
			l := s.links[name]
			text := strings.ReplaceAll(string(l.out), "poll g\r\n", "")
			if l.out = l.out[:0]; text != "" {
				fmt.Fprintf(&out, "%s < %s\n", name, strconv.Quote(text))
			}
			if l.session == nil && !l.told {
				l.told = true
				fmt.Fprintf(&out, "%s is closed\n", name)
			}
		}
		for _, r := range s.reports {
			fmt.Fprintf(&out, "%s < %s\n", s.control, strconv.Quote(r))
		}
		s.reports = nil
		if s.stopped {
			fmt.Fprintln(&out, "the program ends")
		}
	}
	for _, line := range lines {
		if strings.Contains(line, " < ") || strings.HasSuffix(line, " is closed") || line == "the program ends" {
			continue // the program's side
		}
		fmt.Fprintln(&out, line)
		words := strings.SplitN(line, " ", 3)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
			continue
		case line[0] == '@':
			ms, err := strconv.Atoi(line[1:])
			require.NoError(s.t, err, line)
			s.advance(microtime.Time(ms) * microtime.Millisecond)
		case words[0] == "reload":
			cfg := s.srv.cfg
			cfg.PoolAddress, cfg.ControlAddress = words[1], words[2]
			require.NoError(s.t, s.srv.Reload(cfg))
		case line == "dials":
			s.dials = slices.DeleteFunc(s.dials, func(d *fakeDial) bool { return d.dropped })
			for _, d := range s.dials {
				fmt.Fprintf(&out, "dials < %s\n", strconv.Quote(d.addr))
			}
		case words[0] == "drain":
			s.srv.Drain(s.now)
		case words[0] == "open":
			s.connect(words[1], map[string]int{"thrift": 0, "ajp": 1, "dialled": -1}[words[2]])
		case words[0] == "close":
			s.links[words[1]].closed = true
		default:
			p, err := strconv.Unquote(words[2])
			require.NoError(s.t, err, line)
			s.deliver(s.links[words[0]], []byte(p))
		}
		s.turn()
		outputs()
	}
	return out.String()
}

// Guards the program against whatever bytes its peers send: nothing panics, and afterwards both fronts serve.
func FuzzPeers(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x16\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x03\x02\x00\x01\x00\x00"))
	f.Add([]byte("\x12\x34\x00\x01\x0a\x12\x34\x00\x04\x02\x04\x00\x99"))
	f.Add([]byte("bound LOADED 0\r\npolled sync1\r\nfinished 1 a PASS 1 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		s := newStage(t, config.AJP{BodyTimeout: microtime.Second, MaxBody: 100, MaxConnections: 99})
		for i, l := range []*fakeLink{s.connect("pool", -1), s.connect("c1", 0), s.connect("a1", 1)} {
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
func TestPlay(t *testing.T) {
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
			got := newStage(t, ajp).played(strings.Split(strings.TrimSuffix(string(text), "\n"), "\n"))
			if *update {
				require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
				return
			}
			require.Equal(t, string(text), got)
		})
	}
}

// Guards the places of the proxies: only what makes sense makes a peer known to transport, which closes strangers.
func TestOnlyTheValidIsVouchedFor(t *testing.T) {
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
		s := newStage(t, config.AJP{Secret: "vine", BodyTimeout: microtime.Second, MaxBody: 100, MaxConnections: 9})
		l := s.connect("c", c.listener)
		s.deliver(l, []byte(c.sent))
		require.Equal(t, c.vouched, l.vouched, "%d %q", c.listener, c.sent)
	}
}

// Guards the others' share of a turn: what one connection pipelines beyond the bound waits for the next turns.
func TestTurnsWorkIsBounded(t *testing.T) {
	s := newStage(t, config.AJP{})
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
