package transport

import "pewterline/internal/microtime"

// Loop is the event loop of the program: the order of a turn, and the owner of all connections.
type Loop struct {
	driver  Driver
	handler Handler
	logf    func(format string, args ...any)

	begin func(*Loop) // runs first on the loop
	begun bool

	now         microtime.Time // of this turn
	turnPending bool           // a turn is under way: its end is queued
	timerAt     microtime.Time // when the driver's timer is set to fire
	toFlush     []*Connection  // with something to send, or to close, at the end of the turn

	accepted     connLimits
	unidentified identificationQueue
	buffers      bufferBudget
	redials      redialQueue
	lingering    lingeringConns

	shuttingDown     bool // nothing is accepted, and the loop stops with the last lingering connection
	shutdownDeadline microtime.Time
}

// New returns a loop on a driver. The loop starts when the driver calls Begin; begin runs first on it, before any
// session.
func New(options Options, driver Driver, handler Handler, begin func(*Loop)) *Loop {
	return &Loop{
		driver:   driver,
		handler:  handler,
		logf:     options.Logf,
		begin:    begin,
		timerAt:  microtime.Never,
		accepted: newConnLimits(options.MaxConns, options.DedicatedLimits),
		buffers:  bufferBudget{limit: options.MaxBuffered},
	}
}

// Begin has the program behind the loop begin. Calls after the first do nothing.
func (l *Loop) Begin() {
	if l.begun {
		return
	}
	l.begun = true
	l.beginTurn()
	l.begin(l)
}

// Now returns the time of this turn.
func (l *Loop) Now() microtime.Time { return l.now }

// Rand returns a random number of the driver's.
func (l *Loop) Rand() uint64 { return l.driver.Rand() }

// Execute runs f on the loop, in a turn. It may be called from any goroutine; an error says that the loop has ended.
func (l *Loop) Execute(f func()) error {
	return l.driver.Queue(func() {
		l.beginTurn()
		f()
	})
}

// TimerFired begins a turn that is due by the clock.
func (l *Loop) TimerFired() { l.beginTurn() }

// beginTurn begins a turn, if none is under way: the clock is read, and the end of the turn is queued.
func (l *Loop) beginTurn() {
	if l.turnPending {
		return
	}
	l.turnPending = true
	l.now = l.driver.Now()
	if err := l.driver.Queue(l.endTurn); err != nil {
		l.logf("transport: turn not queued: %v", err)
	}
}

// endTurn lets the program decide on all that was received, sends what was written, and sets the timer.
func (l *Loop) endTurn() {
	l.turnPending = false
	next := min(l.handler.Turn(l.now), l.closeUnidentified(), l.redialDue())
	l.flushAll()
	next = min(next, l.sweepLingering())
	if l.shutdownComplete() {
		l.Stop()
		return
	}
	if next != l.timerAt || next <= l.now {
		l.timerAt = next
		l.driver.SetTimer(next)
	}
}

// flushAll sends what connections have to send. A failed write may close a connection, and its session may write to
// another: the list may grow meanwhile.
func (l *Loop) flushAll() {
	for i := 0; i < len(l.toFlush); i++ {
		l.toFlush[i].flush()
	}
	l.toFlush = l.toFlush[:0]
}

// Stop ends the loop, with all connections as they are. It may be called from any goroutine.
func (l *Loop) Stop() { l.driver.Stop() }

// CloseListener accepts the connections that wait at the listener of that index, then closes the listener and calls
// done in a turn.
func (l *Loop) CloseListener(listener int, done func()) {
	l.driver.CloseListener(listener, func() {
		l.beginTurn()
		done()
	})
}

// Shutdown closes all accepted connections after what was written, and ends the loop once their peers have closed
// them, or at the deadline. It protects the last answers: the end of a process with bytes unread resets a connection.
func (l *Loop) Shutdown(deadline microtime.Time) {
	l.beginTurn()
	l.shuttingDown = true
	l.shutdownDeadline = deadline
	l.accepted.each((*Connection).Close)
}

// shutdownComplete reports that the loop may end.
func (l *Loop) shutdownComplete() bool {
	return l.shuttingDown && (l.lingering.empty() || l.now >= l.shutdownDeadline)
}

// SetDatagramPeer sets the peer of SendDatagram; empty: none. On an error the one before stays.
func (l *Loop) SetDatagramPeer(addr string) error { return l.driver.SetDatagramPeer(addr) }

// SendDatagram sends one datagram; it may be lost, as any may.
func (l *Loop) SendDatagram(p []byte) { l.driver.SendDatagram(p) }
