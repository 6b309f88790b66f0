package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// The bounds of a Pool.
const (
	// MaxServingConns bounds the connections that take new calls.
	MaxServingConns = 4
	// maxRetiredConns bounds the retired connections, which only finish their calls in flight.
	maxRetiredConns = 4
	// MaxConns bounds all connections, the one that is being dialled included.
	MaxConns = MaxServingConns + maxRetiredConns + 1
	// callsPerConn is how many calls are in flight on a connection before another one is opened.
	callsPerConn = 32
	// MaxCalls bounds the calls in flight over all connections. A further call ends at once with NotSent.
	MaxCalls = 1024
	// abandonedPerConn bounds the abandoned IDs that a connection keeps; a connection that reaches it is retired.
	abandonedPerConn = 256
	// IdleTimeout is how long a connection is kept without a call. The service closes idle connections after 10 s, and a
	// call that is sent at that moment would be lost.
	IdleTimeout = 5 * microtime.Second
)

// Request is a call to make.
type Request struct {
	ID         string         // of the request that needs the call
	Timeout    microtime.Time // how long to wait for the reply
	Idempotent bool           // the call may be repeated whatever its outcome
	Body       []byte
}

// Pool decides over which connection each call is made, and when connections are opened, retired and closed. It has
// no I/O and no clock: its host reports events to it and carries out its Actions.
type Pool struct {
	actions    []Action
	inFlight   map[string]*call // by the request's ID
	byAge      []*call          // the same, oldest first; Expire removes those that have ended
	waiting    []*call          // calls for the connection that is being dialled, oldest first
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

// Actions returns the actions since the last call and forgets them.
func (p *Pool) Actions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) emit(action Action) { p.actions = append(p.actions, action) }

// Counts returns the numbers of open connections, of calls in flight, and of those that wait for a connection.
func (p *Pool) Counts() (conns, inFlight, waiting int) {
	return len(p.conns), len(p.inFlight), len(p.waiting)
}

// NextWakeup is when Expire must be called at the latest.
func (p *Pool) NextWakeup() microtime.Time { return p.nextWakeup }

func (p *Pool) wakeBy(due microtime.Time) { p.nextWakeup = min(p.nextWakeup, due) }

// Call makes a call. A call in flight for the same request is abandoned first.
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

// place sends a call on a connection, or queues it for the one that is being dialled.
func (p *Pool) place(now microtime.Time, made *call) {
	best, serving := p.bestConn(made.ID)
	full := serving >= MaxServingConns
	switch {
	case best != nil && (!best.silent || full):
		p.send(now, best, made)
		if best.load() >= callsPerConn && !full {
			p.dial() // For the next calls.
		}
	case !full, p.retireOldest(): // If all are full of abandoned IDs, one is replaced.
		p.waiting = append(p.waiting, made)
		p.dial()
	default:
		p.finish(made, NotSent, nil)
	}
}

// bestConn returns the connection with the fewest calls of those that may carry the ID, a silent one only if there is
// no other; nil if there is none. serving counts the connections that take calls.
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

// dial opens a connection, unless one is being opened: a dial that hangs must not use more than one descriptor.
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

// Opened adds the connection that was dialled and sends the waiting calls on it. It returns the connection's ID.
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

// AddressChanged reports that the address of the service has changed. All connections are retired and finish their
// calls in flight; calls that have not been sent use the new address.
func (p *Pool) AddressChanged() {
	for _, open := range slices.Clone(p.conns) {
		p.retire(open)
	}
	if p.dialling {
		p.emit(Redial{})
	}
}

// Abandon stops waiting for the call of a request, if one is in flight. Whether it had an effect is not known.
func (p *Pool) Abandon(now microtime.Time, id string) {
	p.actions = slices.DeleteFunc(p.actions, func(action Action) bool { // An end that was not returned yet.
		complete, ok := action.(Complete)
		return ok && complete.ID == id
	})
	if made := p.inFlight[id]; made != nil {
		p.remove(made)
		p.abandonSent(now, made)
	}
}

// Replied handles a reply on a connection. A reply is ignored if no call of that request is in flight there: the call
// was abandoned before the reply arrived, or is unknown.
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
			p.abandonSilentCalls(now, other, made.sentAt)
		}
	}
}

// ConnClosed reports that a connection was closed or broke. The calls in flight on it end with ConnectionLost. It
// returns their number.
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

// Expire abandons the calls whose deadline has passed, and checks the connections.
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

// finish ends a call in flight and reports its outcome.
func (p *Pool) finish(made *call, outcome Outcome, reply []byte) {
	if !made.over {
		p.remove(made)
		p.emit(Complete{made.ID, outcome, reply})
	}
}

// remove drops a call that has ended.
func (p *Pool) remove(made *call) {
	made.over = true
	delete(p.inFlight, made.ID)
	if made.conn == nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(waiting *call) bool { return waiting == made })
	}
}

// abandonSent notifies the service that the reply to a call that was sent is no longer needed.
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

// release removes a call from its connection.
func (p *Pool) release(now microtime.Time, made *call) {
	on := made.conn
	delete(on.calls, made.ID)
	on.idleSince = now
	p.wakeBy(now + IdleTimeout)
	if on.retired && on.load() == 0 {
		p.emit(Close{on.id})
	}
}
