package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/settings"
	"pewterline/internal/transport"
)

// settingsJSON is a settings document as the platform has it, for a server with two cores.
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

// testConfig returns a configuration with the worker pool at an address and the AJP frontend enabled.
func testConfig(t testing.TB, poolAddress string) config.Config {
	t.Helper()
	parsed, gauges, err := settings.Parse([]byte(settingsJSON), 7)
	require.NoError(t, err)
	return config.Config{
		Name:            "n0",
		PoolAddress:     poolAddress,
		ShutdownTimeout: 3200 * microtime.Millisecond,
		Settings:        parsed,
		Gauges:          gauges,
		AJP:             config.AJP{BodyTimeout: 10 * microtime.Second, MaxBody: 100, MaxConnections: 900},
	}
}

// zeroBasedClock is a wall clock that maps the program's time 0 to the Unix epoch.
type zeroBasedClock struct{}

func (zeroBasedClock) FromUnixMilli(ms int64) microtime.Time {
	return microtime.Time(ms) * microtime.Millisecond
}

func (zeroBasedClock) UnixMilli(t microtime.Time) int64 { return int64(t / microtime.Millisecond) }

// fakeConn is a connection whose peer is the test.
type fakeConn struct {
	name          string
	session       transport.Session
	in            []byte // Written by the peer and not consumed by the server yet.
	out           []byte // Written by the server.
	closed        bool
	resume        bool
	identified    bool
	closeReported bool // The transcript contains that it is closed.
}

func (c *fakeConn) Write(p []byte) {
	if !c.closed {
		c.out = append(c.out, p...)
	}
}

func (c *fakeConn) Close() { c.closed = true }

func (c *fakeConn) Resume() { c.resume = true }

func (c *fakeConn) MarkIdentified() { c.identified = true }

func (c *fakeConn) Remote() string { return c.name }

// fakeDial is a connection that the server is dialling.
type fakeDial struct {
	addr    string
	open    func(transport.Conn) transport.Session
	dropped bool
}

// loopFixture is a server on an event loop without sockets, with a clock that the test advances. It implements
// EventLoop.
type loopFixture struct {
	t             *testing.T
	srv           *Server
	now           microtime.Time
	next          microtime.Time // When the next turn is due.
	conns         map[string]*fakeConn
	order         []string // The names in conns, in the order in which the connections were opened.
	opened        int      // The number of connections that were named by number.
	dials         []*fakeDial
	reportAddress string
	lastReport    string
	reports       []string // Without reports that repeat the previous one.
	stopped       bool
	logged        []string
}

func newLoopFixture(t *testing.T, ajp config.AJP) *loopFixture {
	t.Helper()
	cfg := testConfig(t, "pool")
	cfg.AJP = ajp
	return newLoopFixtureWithConfig(t, cfg)
}

func newLoopFixtureWithConfig(t *testing.T, cfg config.Config) *loopFixture {
	t.Helper()
	f := &loopFixture{t: t, now: microtime.Second, conns: map[string]*fakeConn{}, reportAddress: "control"}
	logf := func(format string, args ...any) { f.logged = append(f.logged, fmt.Sprintf(format, args...)) }
	var err error
	f.srv, err = New(cfg, zeroBasedClock{}, logf)
	require.NoError(t, err)
	f.srv.Attach(f)
	return f
}

func (f *loopFixture) Now() microtime.Time { return f.now }

func (f *loopFixture) Rand() uint64 { return 7 }

func (f *loopFixture) Shutdown(microtime.Time) { f.stopped = true }

func (f *loopFixture) CloseListener(_ int, done func()) { done() }

func (f *loopFixture) Execute(task func()) error {
	task()
	return nil
}

func (f *loopFixture) SendDatagram(p []byte) {
	if text := string(p); text != f.lastReport {
		f.lastReport, f.reports = text, append(f.reports, text)
	}
}

func (f *loopFixture) SetDatagramPeer(addr string) error {
	f.reportAddress, f.lastReport = addr, ""
	return nil
}

func (f *loopFixture) Dial(addr string, open func(transport.Conn) transport.Session) func() {
	dial := &fakeDial{addr: addr, open: open}
	f.dials = append(f.dials, dial)
	return func() { dial.dropped = true }
}

func (f *loopFixture) DialOnce(addr string, open func(transport.Conn) transport.Session, _ func()) func() {
	return f.Dial(addr, open)
}

// nextDialed stands for the next connection that the server has dialled, in place of a listener's index.
const nextDialed = -1

// connect opens a connection to a listener, or the next connection that the server has dialled if listener is
// nextDialed.
func (f *loopFixture) connect(name string, listener int) *fakeConn {
	f.t.Helper()
	conn := &fakeConn{name: name}
	if listener == nextDialed {
		require.NotEmpty(f.t, f.dials, "nothing was dialled")
		dial := f.dials[0]
		f.dials = f.dials[1:]
		require.False(f.t, dial.dropped, "the dial was dropped")
		conn.session = dial.open(conn)
	} else {
		conn.session = f.srv.Accept(listener, conn)
	}
	f.addConn(conn)
	return conn
}

// addConn adds a connection that has a session. It replaces a connection of the same name.
func (f *loopFixture) addConn(conn *fakeConn) {
	if f.conns[conn.name] == nil {
		f.order = append(f.order, conn.name)
	}
	f.conns[conn.name] = conn
}

// deliver passes bytes from the peer of a connection to the server.
func (f *loopFixture) deliver(conn *fakeConn, p []byte) {
	conn.in = append(conn.in, p...)
	n, err := conn.session.Receive(conn.in)
	conn.in = conn.in[n:]
	if err != nil {
		f.logged = append(f.logged, err.Error())
		conn.closed = true
	}
}

// turn ends a turn, then ends the sessions of closed connections and delivers the pending input of resumed ones.
func (f *loopFixture) turn() {
	f.next = f.srv.Turn(f.now)
	for _, name := range f.order {
		conn := f.conns[name]
		switch {
		case conn.closed && conn.session != nil:
			conn.session.Closed()
			conn.session = nil
		case conn.resume:
			conn.resume = false
			f.deliver(conn, nil)
			f.turn()
		}
	}
}

// advance advances the clock to a time, with a turn whenever one is due.
func (f *loopFixture) advance(to microtime.Time) {
	for f.next <= to && !f.stopped {
		f.now = max(f.now, f.next)
		f.turn()
	}
	f.now = to
}
