package transport

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

var errPeerReset = errors.New("the peer has reset the connection")

// fakeDriver is a Driver whose clock stands still until the test advances it, and whose network is lists in memory.
type fakeDriver struct {
	t       *testing.T
	loop    *Loop
	now     microtime.Time
	queue   []func()
	timerAt microtime.Time
	dials   []*Dial // attempts so far
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

// run runs what is queued, as the end of a poll does.
func (d *fakeDriver) run() {
	for len(d.queue) > 0 && !d.stopped {
		f := d.queue[0]
		d.queue = d.queue[1:]
		f()
	}
}

// advance moves the clock on and fires the timer each time it is due meanwhile.
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

// fakeConn is a RawConn and its peer, which takes all that is written unless it is slow.
type fakeConn struct {
	name       string
	conn       *Connection
	slow       bool // the peer reads nothing
	broken     bool // writes fail
	written    []byte
	unsent     int
	halfClosed bool
	closed     bool
}

func (c *fakeConn) Write(p []byte) error {
	if c.broken {
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

// fakeSession consumes everything, or nothing.
type fakeSession struct {
	conn     Conn
	busy     bool
	hoards   bool // consumes nothing
	err      error
	received string
	closes   int
}

func (s *fakeSession) Receive(in []byte) (int, error) {
	if s.hoards {
		return 0, nil
	}
	s.received += string(in)
	return len(in), s.err
}

func (s *fakeSession) Closed()    { s.closes++ }
func (s *fakeSession) Idle() bool { return !s.busy }

// bench is a loop on a fakeDriver, and its Handler.
type bench struct {
	*fakeDriver
	accepted int
	log      []string
}

func (b *bench) Accept(_ int, conn Conn) Session    { return &fakeSession{conn: conn} }
func (b *bench) Turn(microtime.Time) microtime.Time { return microtime.Never }
func (b *bench) logf(format string, arguments ...any) {
	b.log = append(b.log, fmt.Sprintf(format, arguments...))
}

func newBench(t *testing.T, options Options) *bench {
	t.Helper()
	b := &bench{fakeDriver: &fakeDriver{t: t, now: microtime.Second, timerAt: microtime.Never}}
	options.Logf = b.logf
	b.loop = New(options, b.fakeDriver, b, func(*Loop) {})
	b.loop.Begin()
	b.run()
	return b
}

// connect has a peer connect to a listener. The session is nil where the connection is rejected.
func (b *bench) connect(listener int) (*fakeConn, *fakeSession) {
	b.accepted++
	raw := &fakeConn{name: fmt.Sprintf("peer %d", b.accepted)}
	if raw.conn = b.loop.Accept(raw, listener); raw.conn == nil {
		b.run()
		return raw, nil
	}
	b.run()
	return raw, raw.conn.session.(*fakeSession)
}

// identify has the session recognize its peer.
func (s *fakeSession) identify() { s.conn.MarkIdentified() }

// receives has bytes arrive, and the turn end.
func (b *bench) receives(raw *fakeConn, data string) bool {
	keep := raw.conn.Received([]byte(data))
	b.run()
	return keep
}

// requireShut requires that the session is notified once and that the peer has got the half-close.
func requireShut(t *testing.T, raw *fakeConn, session *fakeSession) {
	t.Helper()
	require.Equal(t, 1, session.closes)
	require.True(t, raw.halfClosed)
}

// requireOpen requires that neither the session nor the peer has seen an end.
func requireOpen(t *testing.T, raw *fakeConn, session *fakeSession) {
	t.Helper()
	require.Zero(t, session.closes)
	require.False(t, raw.halfClosed)
	require.False(t, raw.closed)
}

// fail reports the failure of the last attempt.
func (b *bench) fail() {
	b.loop.DialFailed(b.dials[len(b.dials)-1])
	b.run()
}
