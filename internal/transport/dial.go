package transport

import "pewterline/internal/microtime"

const (
	// initialRedialBackoff is the backoff before the second attempt to dial. Each further failure doubles the backoff.
	initialRedialBackoff = 20 * microtime.Millisecond
	// maxRedialBackoff is the longest backoff between two attempts.
	maxRedialBackoff = 500 * microtime.Millisecond
)

// Dial is the state of a connection that is being opened.
type Dial struct {
	addr      string
	open      func(Conn) Session
	failed    func() // if nil, the dial is retried until it succeeds
	backoff   microtime.Time
	retryAt   microtime.Time
	cancelled bool // cancel was called
}

// Addr returns the address to dial.
func (d *Dial) Addr() string { return d.addr }

// cancel cancels the dial: neither open nor failed is called after it.
func (d *Dial) cancel() { d.cancelled = true }

// Dial opens a connection to addr. Once the connection is open, open is called and returns its session. A failed dial
// is retried with backoff, until it succeeds or cancel is called. open is not called after cancel.
func (l *Loop) Dial(addr string, open func(Conn) Session) (cancel func()) {
	d := &Dial{addr: addr, open: open, backoff: initialRedialBackoff}
	l.driver.Dial(d)
	return d.cancel
}

// DialOnce tries once to open a connection to addr. Either open is called and returns its session, or failed is called.
// Neither is called after cancel.
func (l *Loop) DialOnce(addr string, open func(Conn) Session, failed func()) (cancel func()) {
	d := &Dial{addr: addr, open: open, failed: failed}
	l.driver.Dial(d)
	return d.cancel
}

// AdoptedDial returns a Dial for a connection that the driver has opened by itself. The driver passes both to
// Connected.
func (l *Loop) AdoptedDial(open func(Conn) Session) *Dial { return &Dial{open: open} }

// Connected is called by the driver when a dial has succeeded. It returns nil if the driver must close the
// connection.
func (l *Loop) Connected(d *Dial, raw RawConn) *Connection {
	l.beginTurn()
	if d.cancelled {
		return nil
	}
	c := &Connection{loop: l, raw: raw, lastActive: l.now}
	c.session = d.open(c)
	return c
}

// DialFailed is called by the driver when an attempt to dial has failed.
func (l *Loop) DialFailed(d *Dial) {
	l.beginTurn()
	if d.cancelled {
		return
	}
	if d.failed != nil {
		d.failed()
		return
	}
	l.redials.add(d, l.now)
}

// redialQueue holds the failed dials that wait for their next attempt.
type redialQueue struct {
	dials []*Dial
}

// add schedules the next attempt of a dial, and doubles the backoff for the attempt after that.
func (q *redialQueue) add(d *Dial, now microtime.Time) {
	d.retryAt = now + d.backoff
	d.backoff = min(2*d.backoff, maxRedialBackoff)
	q.dials = append(q.dials, d)
}

// takeDue removes the dials that are due or cancelled. It returns the due ones and the time of the next attempt.
func (q *redialQueue) takeDue(now microtime.Time) (due []*Dial, next microtime.Time) {
	next = microtime.Never
	left := q.dials[:0]
	for _, d := range q.dials {
		switch {
		case d.cancelled:
		case d.retryAt <= now:
			due = append(due, d)
		default:
			next = min(next, d.retryAt)
			left = append(left, d)
		}
	}
	clear(q.dials[len(left):])
	q.dials = left
	return due, next
}

// startDueRedials starts the attempts that are due. It returns the time of the next one.
func (l *Loop) startDueRedials() microtime.Time {
	due, next := l.redials.takeDue(l.now)
	for _, d := range due {
		l.driver.Dial(d)
	}
	return next
}
