package transport

import "pewterline/internal/microtime"

// Loop is the event loop of the program. It orders the steps of a turn and owns all connections.
type Loop struct {
	driver  Driver
	handler Handler
	logf    func(format string, args ...any)

	begin func(*Loop) // runs on the loop before anything else
	begun bool

	now         microtime.Time // time of the current turn
	turnPending bool           // a turn is in progress, and its end is queued
	timerAt     microtime.Time // when the driver's timer is set to fire
	toFlush     []*Connection  // connections to flush or close at the end of the turn

	accepted     connLimits
	unidentified identificationQueue
	buffers      bufferBudget
	redials      redialQueue
	lingering    lingeringConns

	shuttingDown     bool // no connection is accepted, and the loop stops once none is lingering
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

// Begin starts the program behind the loop. Calls after the first do nothing.
func (l *Loop) Begin() {
	if l.begun {
		return
	}
	l.begun = true
	l.beginTurn()
	l.begin(l)
}

// Now returns the time of the current turn.
func (l *Loop) Now() microtime.Time { return l.now }

// Rand returns a random number from the driver.
func (l *Loop) Rand() uint64 { return l.driver.Rand() }

// Execute runs f on the loop, in a turn. It may be called from any goroutine. It fails only if the loop has ended.
func (l *Loop) Execute(f func()) error {
	return l.driver.Queue(func() {
		l.beginTurn()
		f()
	})
}

// TimerFired begins a turn when the timer fires. If a turn whose time was read just before that is still in progress,
// its end must set the timer again, so timerAt is reset here.
func (l *Loop) TimerFired() {
	l.timerAt = microtime.Never
	l.beginTurn()
}

// beginTurn begins a turn, if none is in progress: it reads the clock and queues the end of the turn.
func (l *Loop) beginTurn() {
	if l.turnPending {
		return
	}
	l.turnPending = true
	l.now = l.driver.Now()
	if err := l.driver.Queue(l.endTurn); err != nil {
		l.logf("transport: turn not queued: error=%v", err)
	}
}

// endTurn calls the handler's Turn, flushes the connections, and sets the timer.
func (l *Loop) endTurn() {
	l.turnPending = false
	next := min(l.handler.Turn(l.now), l.closeUnidentified(), l.startDueRedials())
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

// flushAll flushes the connections in toFlush. The list may grow meanwhile: a failed write may close a connection,
// whose session may then write to another connection.
func (l *Loop) flushAll() {
	for i := 0; i < len(l.toFlush); i++ {
		l.toFlush[i].flush()
	}
	l.toFlush = l.toFlush[:0]
}

// Stop ends the loop without flushing or closing connections. It may be called from any goroutine.
func (l *Loop) Stop() { l.driver.Stop() }

// CloseListener accepts the connections in a listener's queue, closes the listener, and then calls done in a turn.
func (l *Loop) CloseListener(listener int, done func()) {
	l.driver.CloseListener(listener, func() {
		l.beginTurn()
		done()
	})
}

// Shutdown flushes and closes all accepted connections. The loop ends once their peers have closed them too, or at the
// deadline. The wait is needed because a process that exits with unread bytes resets the connection, and the peer loses
// the last responses.
func (l *Loop) Shutdown(deadline microtime.Time) {
	l.beginTurn()
	l.shuttingDown = true
	l.shutdownDeadline = deadline
	l.accepted.each((*Connection).Close)
}

// shutdownComplete reports whether a shutdown is in progress and the loop may end.
func (l *Loop) shutdownComplete() bool {
	return l.shuttingDown && (l.lingering.empty() || l.now >= l.shutdownDeadline)
}

// SetDatagramPeer sets the peer of SendDatagram; an empty address removes it. On an error the previous peer stays.
func (l *Loop) SetDatagramPeer(addr string) error { return l.driver.SetDatagramPeer(addr) }

// SendDatagram sends one datagram, which may be lost.
func (l *Loop) SendDatagram(p []byte) { l.driver.SendDatagram(p) }
