package transport

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

var errPeerReset = errors.New("connection reset by peer")

// fakeDriver is a Driver with a clock that only the test advances. It opens no connections, but records the dials.
type fakeDriver struct {
	t       *testing.T
	loop    *Loop
	now     microtime.Time
	queue   []func()
	timerAt microtime.Time
	dials   []*Dial // all attempts so far
	stopped bool
}

func (d *fakeDriver) Now() microtime.Time          { return d.now }
func (d *fakeDriver) SetTimer(at microtime.Time)   { d.timerAt = at }
func (d *fakeDriver) Dial(dial *Dial)              { d.dials = append(d.dials, dial) }
func (d *fakeDriver) SetDatagramPeer(string) error { return nil }
func (d *fakeDriver) SendDatagram([]byte)          {}
func (d *fakeDriver) Rand() uint64                 { return 0 }
func (d *fakeDriver) Stop()                        { d.stopped = true }

func (d *fakeDriver) Queue(f func()) error {
	if d.stopped {
		return errors.New("the loop has ended")
	}
	d.queue = append(d.queue, f)
	return nil
}

func (d *fakeDriver) CloseListener(_ int, done func()) { _ = d.Queue(done) }

// run calls the queued functions, as a driver does at the end of a poll.
func (d *fakeDriver) run() {
	for len(d.queue) > 0 && !d.stopped {
		f := d.queue[0]
		d.queue = d.queue[1:]
		f()
	}
}

// advance advances the clock, and fires the timer each time that it is due meanwhile.
func (d *fakeDriver) advance(by microtime.Time) {
	end := d.now + by
	for d.timerAt <= end && !d.stopped {
		d.now = max(d.now, d.timerAt)
		d.timerAt = microtime.Never
		d.loop.TimerFired()
		d.run()
	}
	d.now = end
}

// fakeConn is a RawConn whose peer reads all written bytes, unless it is slow.
type fakeConn struct {
	name       string
	conn       *Connection
	slow       bool // the peer reads nothing
	failWrites bool
	written    []byte
	unsent     int
	halfClosed bool
	closed     bool
}

func (c *fakeConn) Write(p []byte) error {
	if c.failWrites {
		c.Close()
		return errPeerReset
	}
	c.written = append(c.written, p...)
	if c.slow {
		c.unsent += len(p)
	}
	return nil
}

func (c *fakeConn) Unsent() int    { return c.unsent }
func (c *fakeConn) Remote() string { return c.name }

func (c *fakeConn) CloseWrite() {
	if c.unsent == 0 {
		c.halfClosed = true
	}
}

func (c *fakeConn) Close() {
	c.closed = true
	c.conn.Ended()
}

// fakeSession is a Session that consumes all received bytes, unless it is stalled.
type fakeSession struct {
	conn     Conn
	busy     bool
	stalled  bool // consumes nothing
	err      error
	received string
	closes   int // number of calls of Closed
}

func (s *fakeSession) Receive(in []byte) (int, error) {
	if s.stalled {
		return 0, nil
	}
	s.received += string(in)
	return len(in), s.err
}

func (s *fakeSession) Closed()    { s.closes++ }
func (s *fakeSession) Idle() bool { return !s.busy }

// testEnv is a loop on a fakeDriver, and the Handler of that loop.
type testEnv struct {
	*fakeDriver
	accepted int
	log      []string
}

func (e *testEnv) Accept(_ int, conn Conn) Session    { return &fakeSession{conn: conn} }
func (e *testEnv) Turn(microtime.Time) microtime.Time { return microtime.Never }
func (e *testEnv) logf(format string, args ...any) {
	e.log = append(e.log, fmt.Sprintf(format, args...))
}

func newTestEnv(t *testing.T, options Options) *testEnv {
	t.Helper()
	e := &testEnv{fakeDriver: &fakeDriver{t: t, now: microtime.Second, timerAt: microtime.Never}}
	options.Logf = e.logf
	e.loop = New(options, e.fakeDriver, e, func(*Loop) {})
	e.loop.Begin()
	e.run()
	return e
}

// connect connects a new peer to a listener. The session is nil if the connection is rejected.
func (e *testEnv) connect(listener int) (*fakeConn, *fakeSession) {
	e.accepted++
	raw := &fakeConn{name: fmt.Sprintf("peer %d", e.accepted)}
	if raw.conn = e.loop.Accept(raw, listener); raw.conn == nil {
		e.run()
		return raw, nil
	}
	e.run()
	return raw, raw.conn.session.(*fakeSession)
}

// identify marks the peer of the session as identified.
func (s *fakeSession) identify() { s.conn.MarkIdentified() }

// receive passes bytes to the connection and completes the turn. It returns false if the driver must close the
// connection.
func (e *testEnv) receive(raw *fakeConn, data string) bool {
	keep := raw.conn.Received([]byte(data))
	e.run()
	return keep
}

// requireHalfClosed requires that the session was notified once and that the connection is half-closed.
func requireHalfClosed(t *testing.T, raw *fakeConn, session *fakeSession) {
	t.Helper()
	require.Equal(t, 1, session.closes)
	require.True(t, raw.halfClosed)
}

// requireOpen requires that the session was not notified and that the connection is open in both directions.
func requireOpen(t *testing.T, raw *fakeConn, session *fakeSession) {
	t.Helper()
	require.Zero(t, session.closes)
	require.False(t, raw.halfClosed)
	require.False(t, raw.closed)
}

// failDial reports the failure of the last attempt to dial.
func (e *testEnv) failDial() {
	e.loop.DialFailed(e.dials[len(e.dials)-1])
	e.run()
}
