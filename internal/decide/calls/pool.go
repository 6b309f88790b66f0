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
	// MaxConns bounds all connections, including the one that is being dialled.
	MaxConns = MaxServingConns + maxRetiredConns + 1
	// callsPerConn is how many calls are in flight on a connection before another one is opened.
	callsPerConn = 32
	// MaxCalls bounds the calls in flight over all connections. A further call ends at once with NotSent.
	MaxCalls = 1024
	// maxAbandonedPerConn bounds the abandoned IDs that a connection keeps. A connection that reaches it is retired.
	maxAbandonedPerConn = 256
	// IdleTimeout is how long a connection without calls is kept open. It is shorter than the service's own idle timeout
	// of 10 s, because a call that is sent while the service closes the connection would be lost.
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
	byAge      []*call          // calls in flight, oldest first, and ended ones until the next Expire
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
	conn     *conn // nil: not sent yet
	ended    bool
}

// NewPool returns a pool without connections or calls.
func NewPool() *Pool {
	return &Pool{inFlight: map[string]*call{}, nextWakeup: microtime.Never}
}

// Actions returns and removes the actions that the host has not taken yet.
func (p *Pool) Actions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) emit(action Action) { p.actions = append(p.actions, action) }

// Counts returns the numbers of open connections, of calls in flight, and of the calls among them that wait for a
// connection.
func (p *Pool) Counts() (conns, inFlight, waiting int) {
	return len(p.conns), len(p.inFlight), len(p.waiting)
}

// NextWakeup returns the time at which Expire must be called at the latest.
func (p *Pool) NextWakeup() microtime.Time { return p.nextWakeup }

func (p *Pool) wakeBy(due microtime.Time) { p.nextWakeup = min(p.nextWakeup, due) }

// Call starts a call. A call in flight for the same request is abandoned first.
func (p *Pool) Call(now microtime.Time, request Request) {
	p.Abandon(now, request.ID)
	if len(p.inFlight) >= MaxCalls {
		p.emit(Complete{ID: request.ID, Outcome: NotSent})
		return
	}
	pending := &call{Request: request, deadline: now + request.Timeout}
	p.inFlight[pending.ID] = pending
	p.byAge = append(p.byAge, pending)
	p.wakeBy(pending.deadline)
	p.place(now, pending)
}

// place sends a call on a connection, or queues it for the one that is being dialled.
func (p *Pool) place(now microtime.Time, pending *call) {
	best, serving := p.bestConn(pending.ID)
	full := serving >= MaxServingConns
	switch {
	case best != nil && (!best.silent || full):
		p.send(now, best, pending)
		if best.load() >= callsPerConn && !full {
			p.dial() // For later calls.
		}
	case !full, p.retireOldest(): // The ID was abandoned on all of them: replace the oldest.
		p.waiting = append(p.waiting, pending)
		p.dial()
	default:
		p.finish(pending, NotSent, nil)
	}
}

// bestConn returns the least loaded connection on which the ID was not abandoned, or nil if there is none. It returns a
// silent connection only if there is no other. serving is the number of connections that take new calls.
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

// dial opens a connection, unless one is being dialled: dials that hang must not use more than one file descriptor.
func (p *Pool) dial() {
	if !p.dialling {
		p.dialling = true
		p.emit(Dial{})
	}
}

// send sends a call on a connection.
func (p *Pool) send(now microtime.Time, connection *conn, pending *call) {
	pending.conn, pending.sentAt = connection, now
	connection.calls[pending.ID] = pending
	connection.idleSince = now
	p.wakeBy(now + p.replyTime.silenceLimit(connection.load()))
	p.emit(Send{Conn: connection.id, ID: pending.ID, Timeout: pending.deadline - now, Body: pending.Body})
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

// Abandon stops waiting for the call of a request, if one is in flight. The call may have had an effect.
func (p *Pool) Abandon(now microtime.Time, id string) {
	p.actions = slices.DeleteFunc(p.actions, func(action Action) bool { // Drop a completion the host has not taken.
		complete, ok := action.(Complete)
		return ok && complete.ID == id
	})
	if pending := p.inFlight[id]; pending != nil {
		p.remove(pending)
		p.abandonSent(now, pending)
	}
}

// Replied handles a reply on a connection. A reply is ignored if no call of that request is in flight there: the call
// was abandoned before the reply arrived, or is unknown.
func (p *Pool) Replied(now microtime.Time, id ConnID, request string, outcome Outcome, reply []byte) {
	from := p.conn(id)
	if from == nil || from.calls[request] == nil {
		return
	}
	pending := from.calls[request]
	p.release(now, pending)
	p.replyTime.add(now - pending.sentAt)
	p.finish(pending, outcome, reply)
	for _, other := range slices.Clone(p.conns) {
		if other != from {
			p.abandonSilentCalls(now, other, pending.sentAt)
		}
	}
}

// ConnClosed reports that a connection was closed or broke. The calls in flight on it end with ConnectionLost, and
// their number is returned.
func (p *Pool) ConnClosed(id ConnID) (lost int) {
	closed := p.conn(id)
	if closed == nil {
		return 0
	}
	p.conns = slices.DeleteFunc(p.conns, func(open *conn) bool { return open == closed })
	for _, pending := range slices.Clone(p.byAge) {
		if !pending.ended && pending.conn == closed {
			lost++
			p.finish(pending, ConnectionLost, nil)
		}
	}
	return lost
}

// Expire abandons the calls whose deadline has passed, and checks the connections.
func (p *Pool) Expire(now microtime.Time) {
	if now < p.nextWakeup {
		return
	}
	p.byAge = slices.DeleteFunc(p.byAge, func(pending *call) bool { return pending.ended })
	p.nextWakeup = microtime.Never
	for _, pending := range slices.Clone(p.byAge) {
		switch {
		case pending.deadline > now:
			p.wakeBy(pending.deadline)
		case pending.conn == nil:
			p.finish(pending, ConnectFailed, nil)
		default:
			p.finish(pending, Abandoned, nil)
			p.abandonSent(now, pending)
		}
	}
	for _, open := range slices.Clone(p.conns) {
		p.wakeBy(max(p.checkConn(now, open), now+1))
	}
}

// finish ends a call in flight and reports its outcome.
func (p *Pool) finish(pending *call, outcome Outcome, reply []byte) {
	if !pending.ended {
		p.remove(pending)
		p.emit(Complete{pending.ID, outcome, reply})
	}
}

// remove drops a call that has ended.
func (p *Pool) remove(pending *call) {
	pending.ended = true
	delete(p.inFlight, pending.ID)
	if pending.conn == nil {
		p.waiting = slices.DeleteFunc(p.waiting, func(waiting *call) bool { return waiting == pending })
	}
}

// abandonSent notifies the service that the reply to a call that was sent is no longer needed.
func (p *Pool) abandonSent(now microtime.Time, pending *call) {
	connection := pending.conn
	if connection == nil || connection.calls[pending.ID] != pending {
		return
	}
	p.emit(Abandon{connection.id, pending.ID})
	connection.abandoned[pending.ID] = true
	p.release(now, pending)
	if len(connection.abandoned) >= maxAbandonedPerConn {
		p.retire(connection)
	}
}

// release removes a call from its connection.
func (p *Pool) release(now microtime.Time, pending *call) {
	connection := pending.conn
	delete(connection.calls, pending.ID)
	connection.idleSince = now
	p.wakeBy(now + IdleTimeout)
	if connection.retired && connection.load() == 0 {
		p.emit(Close{connection.id})
	}
}
