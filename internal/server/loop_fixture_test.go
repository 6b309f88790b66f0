package server

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/settings"
	"pewterline/internal/transport"
)

// settingsJSON is the platform's, for a server of two cores.
const settingsJSON = `{"classes": [
 {"name": "block-view", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 1, "effect": "free"},
 {"name": "lot-update", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 1, "effect": "free"},
 {"name": "lot-intake", "aim_ms": 1800, "hard_limit_ms": 4500, "worth": 10, "effect": "guarded", "window_ms": 13518}],
 "client_habits": {"marks_retry": true}, "limits": {"retry_after": true, "max_retry_after_ms": 1000},
 "extra": {"cores": 2, "memory_kb": 47610, "key_kb": 154.5, "run_factor": 8, "stop_mode": "discard", "say": "floor",
 "downstream": "none", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"], "keepalive_max_ms": 30000},
 "rules": {"cold_from": 0.24, "ramp_time_ms": 17000, "stop_sending_within_ms": 2500, "fall_multiple": 8,
 "tip_after_ms": 3000, "grace_to_answer_ms": 100}, "tenants": [{"name": "hill-estate", "quota_rps": 69},
 {"name": "lake-vines", "quota_rps": 43}, {"name": "valley-rows", "quota_rps": 32}]}`

// loopFixture is a loop without sockets, on a clock that the test moves.
type loopFixture struct {
	t             *testing.T
	srv           *Server
	now           microtime.Time
	next          microtime.Time
	conns         map[string]*fakeConn
	order         []string
	dials         []*fakeDial
	reportAddress string // where reports go
	lastReport    string
	reports       []string
	stopped       bool
	logged        []string
}

// fakeDial is a link that the program wants.
type fakeDial struct {
	addr    string
	open    func(transport.Conn) transport.Session
	dropped bool
}

// fakeConn is a connection whose bytes the test reads and writes.
type fakeConn struct {
	name          string
	session       transport.Session
	in, out       []byte
	closed        bool
	resume        bool
	identified    bool
	closeReported bool // its close is in the transcript
}

func (l *fakeConn) Write(p []byte) {
	if !l.closed {
		l.out = append(l.out, p...)
	}
}
func (l *fakeConn) Close()          { l.closed = true }
func (l *fakeConn) Resume()         { l.resume = true }
func (l *fakeConn) MarkIdentified() { l.identified = true }
func (l *fakeConn) Remote() string  { return l.name }

// zeroBasedClock is a wall clock whose time is the stage's.
type zeroBasedClock struct{}

func (s *loopFixture) Execute(f func()) error {
	f()
	return nil
}
func (s *loopFixture) Now() microtime.Time              { return s.now }
func (s *loopFixture) Rand() uint64                     { return 7 }
func (s *loopFixture) Shutdown(microtime.Time)          { s.stopped = true }
func (s *loopFixture) CloseListener(_ int, done func()) { done() }
func (s *loopFixture) SendDatagram(p []byte) {
	if text := string(p); text != s.lastReport {
		s.lastReport, s.reports = text, append(s.reports, text)
	}
}
func (s *loopFixture) Dial(addr string, open func(transport.Conn) transport.Session) func() {
	d := &fakeDial{addr: addr, open: open}
	s.dials = append(s.dials, d)
	return func() { d.dropped = true }
}
func (s *loopFixture) DialOnce(addr string, open func(transport.Conn) transport.Session, _ func()) func() {
	return s.Dial(addr, open)
}
func (s *loopFixture) SetDatagramPeer(addr string) error {
	s.reportAddress, s.lastReport = addr, ""
	return nil
}

// testConfig is a configuration with the AJP front on.
func testConfig(t *testing.T, pool string) config.Config {
	set, gauges, err := settings.Parse([]byte(settingsJSON), 7)
	require.NoError(t, err)
	return config.Config{Name: "n0", PoolAddress: pool, ShutdownTimeout: 3200 * microtime.Millisecond, Settings: set, Gauges: gauges,
		AJP: config.AJP{BodyTimeout: 10 * microtime.Second, MaxBody: 100, MaxConnections: 900}}
}

func newLoopFixture(t *testing.T, ajp config.AJP) *loopFixture {
	cfg := testConfig(t, "pool")
	cfg.AJP = ajp
	s := &loopFixture{t: t, now: microtime.Second, conns: map[string]*fakeConn{}, reportAddress: "control"}
	var err error
	s.srv, err = New(cfg, zeroBasedClock{}, func(f string, a ...any) { s.logged = append(s.logged, fmt.Sprintf(f, a...)) })
	require.NoError(t, err)
	s.srv.Attach(s)
	return s
}

// connect opens a connection: to a listener, or as the next one that the program has dialled.
func (s *loopFixture) connect(name string, listener int) *fakeConn {
	l := &fakeConn{name: name}
	if listener < 0 {
		require.NotEmpty(s.t, s.dials, "nothing was dialled")
		d := s.dials[0]
		s.dials = s.dials[1:]
		require.False(s.t, d.dropped, "the dial was given up")
		l.session = d.open(l)
	} else {
		l.session = s.srv.Accept(listener, l)
	}
	if s.conns[name] == nil {
		s.order = append(s.order, name)
	}
	s.conns[name] = l
	return l
}

// addConn makes a link that was opened elsewhere one of the stage's.
func (s *loopFixture) addConn(l *fakeConn) {
	s.conns[l.name] = l
	s.order = append(s.order, l.name)
}

func (s *loopFixture) deliver(l *fakeConn, p []byte) {
	l.in = append(l.in, p...)
	n, err := l.session.Receive(l.in)
	l.in = l.in[n:]
	if err != nil {
		s.logged = append(s.logged, err.Error())
		l.closed = true
	}
}

// turn ends a turn, then drops the connections that the program has closed.
func (s *loopFixture) turn() {
	s.next = s.srv.Turn(s.now)
	for _, name := range s.order {
		if l := s.conns[name]; l.closed && l.session != nil {
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
func (s *loopFixture) advance(to microtime.Time) {
	for s.next <= to && !s.stopped {
		s.now = max(s.now, s.next)
		s.turn()
	}
	s.now = to
}

// replay runs the lines of an exchange and returns them with what the program wrote. The polls of the gauges,
// one a tick, are left out, and so are reports that say the same as the one before.
func (s *loopFixture) replay(lines []string) string {
	var out strings.Builder
	outputs := func() {
		for _, name := range s.order {
			l := s.conns[name]
			text := strings.ReplaceAll(string(l.out), "poll g\r\n", "")
			if l.out = l.out[:0]; text != "" {
				fmt.Fprintf(&out, "%s < %s\n", name, strconv.Quote(text))
			}
			if l.session == nil && !l.closeReported {
				l.closeReported = true
				fmt.Fprintf(&out, "%s is closed\n", name)
			}
		}
		for _, r := range s.reports {
			fmt.Fprintf(&out, "%s < %s\n", s.reportAddress, strconv.Quote(r))
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
			s.conns[words[1]].closed = true
		default:
			p, err := strconv.Unquote(words[2])
			require.NoError(s.t, err, line)
			s.deliver(s.conns[words[0]], []byte(p))
		}
		s.turn()
		outputs()
	}
	return out.String()
}
