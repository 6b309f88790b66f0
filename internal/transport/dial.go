package transport

import "pewterline/internal/microtime"

const (
	// The backoff before the second attempt to dial; it doubles with each failure.
	initialRedialBackoff = 20 * microtime.Millisecond
	// The longest backoff between two attempts.
	maxRedialBackoff = 500 * microtime.Millisecond
)

// Dial is a connection that the program wants, until it is open.
type Dial struct {
	addr    string
	open    func(Conn) Session
	failed  func() // nil: it is tried again until it opens
	backoff microtime.Time
	retryAt microtime.Time
	dropped bool // nobody wants it any more
}

// Addr returns the address to dial.
func (d *Dial) Addr() string { return d.addr }

// drop gives the dial up: neither open nor failed is called after it.
func (d *Dial) drop() { d.dropped = true }

// Dial opens a connection to addr; open gives its session. A connection that can't be opened is tried again after a
// backoff until it opens, or until drop is called: open is not called after that.
func (l *Loop) Dial(addr string, open func(Conn) Session) (drop func()) {
	d := &Dial{addr: addr, open: open, backoff: initialRedialBackoff}
	l.driver.Dial(d)
	return d.drop
}

// DialOnce tries once to open a connection to addr: open gives its session, or failed reports the failure. Neither is
// called after drop.
func (l *Loop) DialOnce(addr string, open func(Conn) Session, failed func()) (drop func()) {
	d := &Dial{addr: addr, open: open, failed: failed}
	l.driver.Dial(d)
	return d.drop
}

// Adopted returns the dial of a connection that a driver has opened by itself, for Connected.
func (l *Loop) Adopted(open func(Conn) Session) *Dial { return &Dial{open: open} }

// Connected takes a connection that has opened. It returns nil where the driver is to close it.
func (l *Loop) Connected(d *Dial, raw RawConn) *Connection {
	l.beginTurn()
	if d.dropped {
		return nil
	}
	c := &Connection{loop: l, raw: raw, lastActive: l.now}
	c.session = d.open(c)
	return c
}

// DialFailed reports that an attempt to dial has failed.
func (l *Loop) DialFailed(d *Dial) {
	l.beginTurn()
	if d.dropped {
		return
	}
	if d.failed != nil {
		d.failed()
		return
	}
	l.redials.add(d, l.now)
}

// redialQueue is the failed dials that wait for their next attempt.
type redialQueue struct {
	dials []*Dial
}

// add schedules the next attempt of a dial, and doubles the backoff after that.
func (q *redialQueue) add(d *Dial, now microtime.Time) {
	d.retryAt = now + d.backoff
	d.backoff = min(2*d.backoff, maxRedialBackoff)
	q.dials = append(q.dials, d)
}

// takeDue removes what is due or dropped, and returns what is due with the time at which the next attempt is.
func (q *redialQueue) takeDue(now microtime.Time) (due []*Dial, next microtime.Time) {
	next = microtime.Never
	left := q.dials[:0]
	for _, d := range q.dials {
		switch {
		case d.dropped:
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

// redialDue dials again what is due; it returns when the next attempt is.
func (l *Loop) redialDue() microtime.Time {
	due, next := l.redials.takeDue(l.now)
	for _, d := range due {
		l.driver.Dial(d)
	}
	return next
}
