package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// The bounds of a Dispatcher.
const (
	// MaxServingConns bounds the links for new calls.
	MaxServingConns = 4
	// maxRetired bounds the links that only finish what they have in hand.
	maxRetired = 4
	// MaxConns bounds all links, the one that is being dialled included.
	MaxConns = MaxServingConns + maxRetired + 1
	// callsPerLink is how many calls share a link before another one is opened.
	callsPerLink = 32
	// MaxCalls bounds the calls in hand over all links. One more ends at once, and is not sent.
	MaxCalls = 1024
	// givenUpPerLink bounds the ids that a link remembers as given up; then it is retired.
	givenUpPerLink = 256
	// IdleTimeout is how long a link is kept without a call. The vault closes one after 10 s, and a call that crosses that close
	// would be lost.
	IdleTimeout = 5 * microtime.Second
)

// Request is a call that is to be made.
type Request struct {
	ID         string         // of the request that it is made for
	Timeout    microtime.Time // how long its reply is waited for
	Idempotent bool           // it may be made again whatever became of it
	Body       []byte
}

// ConnID names a link to its host. It is never used twice.
type ConnID int

// Action is something that the host of a Dispatcher carries out, in the order given.
type Action interface{ action() }

type (
	// Dial opens a link; Opened or DialFailed follows, unless Redial comes first.
	Dial struct{}
	// Redial gives up the link that is being dialled, and opens one to the address as it is now.
	Redial struct{}
	// Send makes a call on a link.
	Send struct {
		Conn    ConnID
		ID      string
		Timeout microtime.Time
		Body    []byte
	}
	// Abandon gives up a call that was made on a link.
	Abandon struct {
		Conn ConnID
		ID   string
	}
	// Close closes a link; LinkEnded follows.
	Close struct{ Conn ConnID }
	// Complete tells how a call ended. Only Answered has a reply.
	Complete struct {
		ID      string
		Outcome Outcome
		Reply   []byte
	}
	// ReportSilence tells, for the log, that a link has been silent for longer than its calls usually take.
	ReportSilence struct {
		Calls    int
		Duration microtime.Time
	}
)

func (Dial) action()          {}
func (Redial) action()        {}
func (Send) action()          {}
func (Abandon) action()       {}
func (Close) action()         {}
func (Complete) action()      {}
func (ReportSilence) action() {}

// Pool decides over which link each call is made, and when links are opened, left and closed. It has no I/O and no clock:
// its host tells it what happens and carries out its Actions.
type Pool struct {
	actions   []Action
	calls     map[string]*call // in hand, by the request's id
	order     []*call          // the same, oldest first; those that are over are taken out by Expire
	waiting   []*call          // for the link that is being dialled, oldest first
	links     []*link
	lastLink  ConnID
	dialling  bool
	nextDue   microtime.Time
	replyTime replyTime
}

// call is one call in hand.
type call struct {
	Request
	due  microtime.Time
	sent microtime.Time
	link *link // nil: it has not been sent
	over bool
}

// NewPool returns a dispatcher without links or calls.
func NewPool() *Pool {
	return &Pool{calls: map[string]*call{}, nextDue: microtime.Never}
}

// Actions takes what is to be done since the last time.
func (d *Pool) Actions() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

func (d *Pool) do(a Action) { d.actions = append(d.actions, a) }

// Counts are the links that are open, the calls in hand, and those of them that wait for a link.
func (d *Pool) Counts() (links, calls, waiting int) {
	return len(d.links), len(d.calls), len(d.waiting)
}

// NextWakeup is when Expire has something to do, whatever happens before that.
func (d *Pool) NextWakeup() microtime.Time { return d.nextDue }

func (d *Pool) wakeBy(due microtime.Time) { d.nextDue = min(d.nextDue, due) }

// Call makes a call. One that is in hand for the same request is given up.
func (d *Pool) Call(now microtime.Time, request Request) {
	d.Abandon(now, request.ID)
	if len(d.calls) >= MaxCalls {
		d.do(Complete{ID: request.ID, Outcome: NotSent})
		return
	}
	q := &call{Request: request, due: now + request.Timeout}
	d.calls[q.ID] = q
	d.order = append(d.order, q)
	d.wakeBy(q.due)
	d.place(now, q)
}

// place sends a call on a link, or has it wait for one that is being dialled.
func (d *Pool) place(now microtime.Time, q *call) {
	best, serving := d.bestLink(q.ID)
	full := serving >= MaxServingConns
	switch {
	case best != nil && (!best.suspect || full):
		d.send(now, best, q)
		if best.load() >= callsPerLink && !full {
			d.dial() // for those to come
		}
	case !full, d.retireOldest(): // no link may carry this id again: one makes room for a fresh one
		d.waiting = append(d.waiting, q)
		d.dial()
	default:
		d.finish(q, NotSent, nil)
	}
}

// bestLink is the link with the fewest calls of those that may carry an id, a silent one only where there is no other; nil if
// none may. serving counts the links that take calls.
func (d *Pool) bestLink(id string) (best *link, serving int) {
	for _, l := range d.links {
		if l.retired {
			continue
		}
		serving++
		if !l.givenUp[id] && (best == nil || l.betterThan(best)) {
			best = l
		}
	}
	return best, serving
}

// dial opens a link, unless one is being opened. One at a time: guards the descriptors against dials that hang.
func (d *Pool) dial() {
	if !d.dialling {
		d.dialling = true
		d.do(Dial{})
	}
}

// send makes a call on a link.
func (d *Pool) send(now microtime.Time, l *link, q *call) {
	q.link, q.sent = l, now
	l.calls[q.ID] = q
	l.idleSince = now
	d.wakeBy(now + d.replyTime.suspectAfter(l.load()))
	d.do(Send{Conn: l.id, ID: q.ID, Timeout: q.due - now, Body: q.Body})
}

// Opened takes up the link that was dialled; its calls go out on it.
func (d *Pool) Opened(now microtime.Time) ConnID {
	d.dialling = false
	d.lastLink++
	l := &link{id: d.lastLink, calls: map[string]*call{}, givenUp: map[string]bool{}, idleSince: now, heard: now}
	d.links = append(d.links, l)
	d.wakeBy(now + IdleTimeout)
	waiting := d.waiting
	d.waiting = nil
	for _, q := range waiting {
		d.send(now, l, q)
	}
	return l.id
}

// DialFailed ends the calls that wait for the link: none of them was sent.
func (d *Pool) DialFailed() {
	d.dialling = false
	waiting := d.waiting
	d.waiting = nil
	for _, q := range waiting {
		d.finish(q, ConnectFailed, nil)
	}
}

// AddressChanged says that links are to go to another address from now on. Calls in hand end on the links that they were made on; those that
// have not been sent go to the new address.
func (d *Pool) AddressChanged() {
	for _, l := range slices.Clone(d.links) {
		d.retire(l)
	}
	if d.dialling {
		d.do(Redial{})
	}
}

// Abandon ends the wait for the call of a request, if one is in hand. Its effect is not known.
func (d *Pool) Abandon(now microtime.Time, id string) {
	d.actions = slices.DeleteFunc(d.actions, func(a Action) bool { // an end that nobody has heard of yet
		end, ok := a.(Complete)
		return ok && end.ID == id
	})
	if q := d.calls[id]; q != nil {
		d.remove(q)
		d.unask(now, q)
	}
}

// Replied takes up a reply on a link. One for no call in hand there is dropped: it has crossed the giving up, or is none of ours.
func (d *Pool) Replied(now microtime.Time, id ConnID, request string, outcome Outcome, reply []byte) {
	l := d.link(id)
	if l == nil || l.calls[request] == nil {
		return
	}
	q := l.calls[request]
	d.release(now, q)
	d.replyTime.add(now - q.sent)
	d.finish(q, outcome, reply)
	for _, other := range slices.Clone(d.links) {
		if other != l {
			d.outlived(now, other, q.sent)
		}
	}
}

// ConnClosed says that a link is no more: what was in hand on it may have had its effect. It returns how many calls that were.
func (d *Pool) ConnClosed(id ConnID) (lost int) {
	l := d.link(id)
	if l == nil {
		return 0
	}
	d.links = slices.DeleteFunc(d.links, func(o *link) bool { return o == l })
	for _, q := range slices.Clone(d.order) {
		if !q.over && q.link == l {
			lost++
			d.finish(q, ConnectionLost, nil)
		}
	}
	return lost
}

// Expire gives up the calls whose time is over, and goes through the links.
func (d *Pool) Expire(now microtime.Time) {
	if now < d.nextDue {
		return
	}
	d.order = slices.DeleteFunc(d.order, func(q *call) bool { return q.over })
	d.nextDue = microtime.Never
	for _, q := range slices.Clone(d.order) {
		switch {
		case q.due > now:
			d.wakeBy(q.due)
		case q.link == nil:
			d.finish(q, ConnectFailed, nil)
		default:
			d.finish(q, Abandoned, nil)
			d.unask(now, q)
		}
	}
	for _, l := range slices.Clone(d.links) {
		d.wakeBy(max(d.checkLink(now, l), now+1))
	}
}

// finish notes how a call in hand ended.
func (d *Pool) finish(q *call, outcome Outcome, reply []byte) {
	if !q.over {
		d.remove(q)
		d.do(Complete{q.ID, outcome, reply})
	}
}

// remove takes a call out of the dispatcher's hands.
func (d *Pool) remove(q *call) {
	q.over = true
	delete(d.calls, q.ID)
	if q.link == nil {
		d.waiting = slices.DeleteFunc(d.waiting, func(w *call) bool { return w == q })
	}
}

// unask tells the vault that nobody waits for a call that was sent.
func (d *Pool) unask(now microtime.Time, q *call) {
	l := q.link
	if l == nil || l.calls[q.ID] != q {
		return
	}
	d.do(Abandon{l.id, q.ID})
	l.givenUp[q.ID] = true
	d.release(now, q)
	if len(l.givenUp) >= givenUpPerLink {
		d.retire(l)
	}
}

// release takes a call off its link.
func (d *Pool) release(now microtime.Time, q *call) {
	l := q.link
	delete(l.calls, q.ID)
	l.idleSince = now
	d.wakeBy(now + IdleTimeout)
	if l.retired && l.load() == 0 {
		d.do(Close{l.id})
	}
}
