package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// The bounds of a Pool.
const (
	// MaxServingConns bounds the connections for new calls.
	MaxServingConns = 4
	// maxRetiredConns bounds the connections that only finish what is in flight on them.
	maxRetiredConns = 4
	// MaxConns bounds all connections, the one that is being dialled included.
	MaxConns = MaxServingConns + maxRetiredConns + 1
	// callsPerConn is how many calls share a connection before another one is opened.
	callsPerConn = 32
	// MaxCalls bounds the calls in flight over all connections. One more ends at once, and is not sent.
	MaxCalls = 1024
	// abandonedPerConn bounds the IDs that a connection remembers as abandoned; then it is retired.
	abandonedPerConn = 256
	// IdleTimeout is how long a connection is kept without a call. The service closes one after 10 s, and a call that
	// crosses that close would be lost.
	IdleTimeout = 5 * microtime.Second
)

// Request is a call that is to be made.
type Request struct {
	ID         string         // of the request that it is made for
	Timeout    microtime.Time // how long its reply is waited for
	Idempotent bool           // it may be made again whatever became of it
	Body       []byte
}

// Pool decides over which connection each call is made, and when connections are opened, retired and closed. It has
// no I/O and no clock: its host tells it what happens and carries out its Actions.
type Pool struct {
	actions    []Action
	inFlight   map[string]*call // by the request's ID
	byAge      []*call          // the same, oldest first; those that are over are taken out by Expire
	waiting    []*call          // for the connection that is being dialled, oldest first
	conns      []*conn          // oldest first
	lastConn   ConnID
	dialling   bool
	nextWakeup microtime.Time
	replyTime  replyTime
}

// call is one call in flight.
type call struct {
	Request
	deadline microtime.Time
	sentAt   microtime.Time
	conn     *conn // nil: it has not been sent
	over     bool
}

// NewPool returns a pool without connections or calls.
func NewPool() *Pool {
	return &Pool{inFlight: map[string]*call{}, nextWakeup: microtime.Never}
}

// Actions takes what is to be done since the last time.
func (p *Pool) Actions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) emit(action Action) { p.actions = append(p.actions, action) }

// Counts are the connections that are open, the calls in flight, and those of them that wait for a connection.
func (p *Pool) Counts() (conns, inFlight, waiting int) {
	return len(p.conns), len(p.inFlight), len(p.waiting)
}

// NextWakeup is when Expire has something to do, whatever happens before that.
func (p *Pool) NextWakeup() microtime.Time { return p.nextWakeup }

func (p *Pool) wakeBy(due microtime.Time) { p.nextWakeup = min(p.nextWakeup, due) }

// Call makes a call. One that is in flight for the same request is abandoned.
func (p *Pool) Call(now microtime.Time, request Request) {
	p.Abandon(now, request.ID)
	if len(p.inFlight) >= MaxCalls {
		p.emit(Complete{ID: request.ID, Outcome: NotSent})
		return
	}
	made := &call{Request: request, deadline: now + request.Timeout}
	p.inFlight[made.ID] = made
	p.byAge = append(p.byAge, made)
	p.wakeBy(made.deadline)
	p.place(now, made)
}

// place sends a call on a connection, or has it wait for one that is being dialled.
func (p *Pool) place(now microtime.Time, made *call) {
	best, serving := p.bestConn(made.ID)
	full := serving >= MaxServingConns
	switch {
	case best != nil && (!best.silent || full):
		p.send(now, best, made)
		if best.load() >= callsPerConn && !full {
			p.dial() // For those to come.
		}
	case !full, p.retireOldest(): // No connection may carry this ID again: one makes room for a fresh one.
		p.waiting = append(p.waiting, made)
		p.dial()
	default:
		p.finish(made, NotSent, nil)
	}
}

// bestConn is the connection with the fewest calls of those that may carry an ID, a silent one only where there is no
// other; nil if none may. serving counts the connections that take calls.
func (p *Pool) bestConn(id string) (best *conn, serving int) {
	for _, candidate := range p.conns {
		if candidate.retired {
			continue
		}
		serving++
		if !candidate.abandoned[id] && (best == nil || candidate.betterThan(best)) {
			best = candidate
		}
	}
	return best, serving
}

// dial opens a connection, unless one is being opened: one at a time, so that dials that hang hold one descriptor.
func (p *Pool) dial() {
	if !p.dialling {
		p.dialling = true
		p.emit(Dial{})
	}
}

// send makes a call on a connection.
func (p *Pool) send(now microtime.Time, on *conn, made *call) {
	made.conn, made.sentAt = on, now
	on.calls[made.ID] = made
	on.idleSince = now
	p.wakeBy(now + p.replyTime.silenceLimit(on.load()))
	p.emit(Send{Conn: on.id, ID: made.ID, Timeout: made.deadline - now, Body: made.Body})
}

// Opened takes up the connection that was dialled; the calls that wait go out on it.
func (p *Pool) Opened(now microtime.Time) ConnID {
	p.dialling = false
	p.lastConn++
	opened := newConn(p.lastConn, now)
	p.conns = append(p.conns, opened)
	p.wakeBy(now + IdleTimeout)
	for _, waiting := range p.takeWaiting() {
		p.send(now, opened, waiting)
	}
	return opened.id
}

// DialFailed ends the calls that wait for the connection: none of them was sent.
func (p *Pool) DialFailed() {
	p.dialling = false
	for _, waiting := range p.takeWaiting() {
		p.finish(waiting, ConnectFailed, nil)
	}
}

func (p *Pool) takeWaiting() []*call {
	waiting := p.waiting
	p.waiting = nil
	return waiting
}

// AddressChanged says that connections are to go to another address from now on. Calls in flight end on the connections
// that they were made on; those that have not been sent go to the new address.
func (p *Pool) AddressChanged() {
	for _, open := range slices.Clone(p.conns) {
		p.retire(open)
	}
	if p.dialling {
		p.emit(Redial{})
	}
}

// Abandon ends the wait for the call of a request, if one is in flight. Its effect is not known.
func (p *Pool) Abandon(now microtime.Time, id string) {
	p.actions = slices.DeleteFunc(p.actions, func(action Action) bool { // An end that nobody has heard of yet.
		complete, ok := action.(Complete)
		return ok && complete.ID == id
	})
	if made := p.inFlight[id]; made != nil {
		p.remove(made)
		p.abandonSent(now, made)
	}
}

// Replied takes up a reply on a connection. One for no call in flight there is dropped: it has crossed the
// abandoning, or is none of ours.
func (p *Pool) Replied(now microtime.Time, id ConnID, request string, outcome Outcome, reply []byte) {
	from := p.conn(id)
	if from == nil || from.calls[request] == nil {
		return
	}
	made := from.calls[request]
	p.release(now, made)
	p.replyTime.add(now - made.sentAt)
	p.finish(made, outcome, reply)
	for _, other := range slices.Clone(p.conns) {
		if other != from {
			p.outlive(now, other, made.sentAt)
		}
	}
}

// ConnClosed says that a connection is no more: what was in flight on it may have had its effect. It returns how many
// calls that were.
func (p *Pool) ConnClosed(id ConnID) (lost int) {
	closed := p.conn(id)
	if closed == nil {
		return 0
	}
	p.conns = slices.DeleteFunc(p.conns, func(open *conn) bool { return open == closed })
	for _, made := range slices.Clone(p.byAge) {
		if !made.over && made.conn == closed {
			lost++
			p.finish(made, ConnectionLost, nil)
		}
	}
	return lost
}

// Expire abandons the calls whose deadline has come, and goes through the connections.
func (p *Pool) Expire(now microtime.Time) {
	if now < p.nextWakeup {
		return
	}
	p.byAge = slices.DeleteFunc(p.byAge, func(made *call) bool { return made.over })
	p.nextWakeup = microtime.Never
	for _, made := range slices.Clone(p.byAge) {
		switch {
		case made.deadline > now:
			p.wakeBy(made.deadline)
		case made.conn == nil:
			p.finish(made, ConnectFailed, nil)
		default:
			p.finish(made, Abandoned, nil)
			p.abandonSent(now, made)
		}
	}
	for _, open := range slices.Clone(p.conns) {
		p.wakeBy(max(p.checkConn(now, open), now+1))
	}
}

// finish notes how a call in flight ended.
func (p *Pool) finish(made *call, outcome Outcome, reply []byte) {
	if !made.over {
		p.remove(made)
		p.emit(Complete{made.ID, outcome, reply})
	}
}

// remove forgets a call that is over.
func (p *Pool) remove(made *call) {
	made.over = true
	delete(p.inFlight, made.ID)
	if made.conn == nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(waiting *call) bool { return waiting == made })
	}
}

// abandonSent tells the service that nobody waits for a call that was sent.
func (p *Pool) abandonSent(now microtime.Time, made *call) {
	on := made.conn
	if on == nil || on.calls[made.ID] != made {
		return
	}
	p.emit(Abandon{on.id, made.ID})
	on.abandoned[made.ID] = true
	p.release(now, made)
	if len(on.abandoned) >= abandonedPerConn {
		p.retire(on)
	}
}

// release takes a call off its connection.
func (p *Pool) release(now microtime.Time, made *call) {
	on := made.conn
	delete(on.calls, made.ID)
	on.idleSince = now
	p.wakeBy(now + IdleTimeout)
	if on.retired && on.load() == 0 {
		p.emit(Close{on.id})
	}
}
