package transport

import "pewterline/internal/microtime"

const (
	// initialRedialBackoff is the backoff before the second attempt to dial. It doubles with each failure.
	initialRedialBackoff = 20 * microtime.Millisecond
	// maxRedialBackoff is the longest backoff between two attempts.
	maxRedialBackoff = 500 * microtime.Millisecond
)

// Dial is the state of a connection that is being opened.
type Dial struct {
	addr    string
	open    func(Conn) Session
	failed  func() // nil: the dial is retried until it succeeds
	backoff microtime.Time
	retryAt microtime.Time
	dropped bool // drop was called
}

// Addr returns the address to dial.
func (d *Dial) Addr() string { return d.addr }

// drop cancels the dial: neither open nor failed is called after it.
func (d *Dial) drop() { d.dropped = true }

// Dial opens a connection to addr. open is called once it is open and returns its session. After a failure the dial is
// retried with backoff, until it succeeds or drop is called. open is not called after drop.
func (l *Loop) Dial(addr string, open func(Conn) Session) (drop func()) {
	d := &Dial{addr: addr, open: open, backoff: initialRedialBackoff}
	l.driver.Dial(d)
	return d.drop
}

// DialOnce tries once to open a connection to addr. Either open is called and returns its session, or failed is called.
// Neither is called after drop.
func (l *Loop) DialOnce(addr string, open func(Conn) Session, failed func()) (drop func()) {
	d := &Dial{addr: addr, open: open, failed: failed}
	l.driver.Dial(d)
	return d.drop
}

// Adopted returns the dial of a connection that a driver has opened by itself, for Connected.
func (l *Loop) Adopted(open func(Conn) Session) *Dial { return &Dial{open: open} }

// Connected is called by the driver when a dial has succeeded. It returns nil if the driver has to close the
// connection.
func (l *Loop) Connected(d *Dial, raw RawConn) *Connection {
	l.beginTurn()
	if d.dropped {
		return nil
	}
	c := &Connection{loop: l, raw: raw, lastActive: l.now}
	c.session = d.open(c)
	return c
}

// DialFailed is called by the driver when an attempt to dial has failed.
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

// takeDue removes the dials that are due or dropped. It returns the due ones, and when the next attempt is due.
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

// redialDue starts the attempts that are due. It returns when the next one is.
func (l *Loop) redialDue() microtime.Time {
	due, next := l.redials.takeDue(l.now)
	for _, d := range due {
		l.driver.Dial(d)
	}
	return next
}
