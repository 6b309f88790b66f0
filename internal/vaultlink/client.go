// Package vaultlink makes calls to the vault over a few shared links on the event loop. Each call ends once: by its reply, by its
// time, by the end of its link, or by being given up.
package vaultlink

import (
	"slices"

	"pewterline/internal/decide/calls"
	"pewterline/internal/micro"
	"pewterline/internal/transport"
)

// The bounds of a client.
const (
	// MaxLinks bounds the links for new calls.
	MaxLinks = 4
	// maxRetired bounds the links that only finish what they have in hand.
	maxRetired = 4
	// MaxConns bounds all links, the one that is being dialled included.
	MaxConns = MaxLinks + maxRetired + 1
	// callsPerLink is how many calls share a link before another one is opened.
	callsPerLink = 32
	// maxCalls bounds the calls in hand over all links. One more ends at once, and was not sent.
	maxCalls = 1024
	// givenUpPerLink bounds the ids that a link remembers as given up; then it is retired.
	givenUpPerLink = 256
	// idleTimeout is how long a link is kept without a call. The vault closes one after 10 s, and a call that crosses that close
	// would be lost.
	idleTimeout = 5 * micro.Second
)

// Loop is what the client needs of the event loop.
type Loop interface {
	Now() micro.Time
	// Try opens a connection once: open gives its session, or failed says that it came to nothing.
	Try(addr string, open func(transport.Link) transport.Session, failed func()) (drop func())
}

// Ended tells how a call ended. reply is the caller's to keep; only calls.Answered has one.
type Ended func(id string, outcome calls.Outcome, reply []byte)

// Client makes calls. All its methods are called on the loop. Ended is only called by Check.
type Client struct {
	address string
	loop    Loop
	ended   Ended
	logf    func(format string, args ...any)

	calls   map[string]*call // in hand, by the request's id
	order   []*call          // the same, oldest first; those that are over are taken out by Check
	waiting []*call          // for a link that is being dialled, oldest first
	links   []*link
	drop    func() // gives up the link that is being dialled; nil while none is
	results []result
	nextDue micro.Time
	reached bool // the last attempt to open a link did not fail
}

// call is one call in hand.
type call struct {
	id   string
	body []byte
	due  micro.Time
	link *link // nil: it has not been sent
	over bool
}

// result is how a call ended, until Check tells it.
type result struct {
	id      string
	outcome calls.Outcome
	reply   []byte
}

// New returns a client without a link: one is opened for the first call. Attach must follow.
func New(address string, logf func(format string, args ...any)) *Client {
	return &Client{address: address, logf: logf, calls: map[string]*call{}, nextDue: micro.Never, reached: true}
}

// Attach ties the client to its loop and to whoever makes the calls.
func (c *Client) Attach(loop Loop, ended Ended) { c.loop, c.ended = loop, ended }

// Status is what operators may know of the client.
type Status struct {
	Reached bool // the last attempt to open a link did not fail
	Links   int
	Calls   int // in hand
	Waiting int // of these, for a link
}

// Status tells how the client stands.
func (c *Client) Status() Status {
	return Status{Reached: c.reached, Links: len(c.links), Calls: len(c.calls), Waiting: len(c.waiting)}
}

// Ask is part of routing.Callee.
func (c *Client) Ask(id string, wait micro.Time, body []byte) {
	c.GiveUp(id)
	if len(c.calls) >= maxCalls {
		c.results = append(c.results, result{id: id, outcome: calls.NotSent})
		return
	}
	q := &call{id: id, body: body, due: c.loop.Now() + wait}
	c.calls[id] = q
	c.order = append(c.order, q)
	c.nextDue = min(c.nextDue, q.due)
	c.place(q)
}

// place sends a call on a link, or has it wait for one that is being dialled.
func (c *Client) place(q *call) {
	best, serving := c.bestLink(q.id)
	switch {
	case best != nil:
		best.send(q, c.loop.Now())
		if best.load() >= callsPerLink && serving < MaxLinks {
			c.dial() // for those to come
		}
	case serving < MaxLinks:
		c.waiting = append(c.waiting, q)
		c.dial()
	case c.retireOldest(): // no link may carry this id again: one makes room for a fresh one
		c.waiting = append(c.waiting, q)
		c.dial()
	default:
		c.finish(q, calls.NotSent, nil)
	}
}

// bestLink is the link with the fewest calls of those that may carry an id, nil if none may, and the number of links that serve.
func (c *Client) bestLink(id string) (best *link, serving int) {
	for _, l := range c.links {
		if l.retired {
			continue
		}
		serving++
		if !l.givenUp[id] && (best == nil || l.load() < best.load()) {
			best = l
		}
	}
	return best, serving
}

// retireOldest retires the oldest link that serves, unless too many are retired already.
func (c *Client) retireOldest() bool {
	retired := 0
	var oldest *link
	for _, l := range c.links {
		if l.retired {
			retired++
		} else if oldest == nil {
			oldest = l
		}
	}
	if oldest == nil || retired >= maxRetired {
		return false
	}
	oldest.retire()
	return true
}

// boundRetired closes the oldest of the links that were retired, with the calls in hand on it, where they have become too many.
func (c *Client) boundRetired() {
	var oldest *link
	retired := 0
	for _, l := range c.links {
		if !l.retired {
			continue
		}
		if retired++; oldest == nil {
			oldest = l
		}
	}
	if retired > maxRetired {
		oldest.conn.Close()
	}
}

// dial opens a link, unless one is being opened. One at a time: guards the descriptors against dials that hang.
func (c *Client) dial() {
	if c.drop == nil {
		c.drop = c.loop.Try(c.address, c.opened, c.failed)
	}
}

func (c *Client) opened(conn transport.Link) transport.Session {
	c.drop = nil
	if !c.reached {
		c.logf("vault: %s is reached again", c.address)
	}
	c.reached = true
	l := &link{client: c, conn: conn, calls: map[string]*call{}, givenUp: map[string]bool{}, idleSince: c.loop.Now()}
	c.links = append(c.links, l)
	c.nextDue = min(c.nextDue, l.idleSince+idleTimeout)
	waiting := c.waiting
	c.waiting = nil
	for _, q := range waiting {
		if !q.over {
			l.send(q, c.loop.Now())
		}
	}
	return l
}

// failed ends the calls that wait for the link: none of them was sent.
func (c *Client) failed() {
	c.drop = nil
	if c.reached {
		c.logf("vault: %s is not reached, %d calls wait", c.address, len(c.waiting))
	}
	c.reached = false
	waiting := c.waiting
	c.waiting = nil
	for _, q := range waiting {
		c.finish(q, calls.Refused, nil)
	}
}

// GiveUp is part of routing.Callee.
func (c *Client) GiveUp(id string) {
	c.results = slices.DeleteFunc(c.results, func(r result) bool { return r.id == id })
	q := c.calls[id]
	if q == nil {
		return
	}
	c.remove(q)
	if q.link != nil {
		q.link.giveUp(q, c.loop.Now())
	}
}

// Move has new calls go to another address. Those in hand end on the links that they were made on; those that have not been sent
// go to the new one.
func (c *Client) Move(address string) {
	if address == c.address {
		return
	}
	c.address, c.reached = address, true
	for _, l := range slices.Clone(c.links) {
		l.retire()
	}
	if c.drop != nil {
		c.drop()
		c.drop = nil
	}
	if len(c.waiting) > 0 {
		c.dial()
	}
}

// finish notes how a call in hand ended.
func (c *Client) finish(q *call, outcome calls.Outcome, reply []byte) {
	if q.over {
		return
	}
	c.remove(q)
	c.results = append(c.results, result{q.id, outcome, reply})
}

// remove takes a call out of the client's hands.
func (c *Client) remove(q *call) {
	q.over = true
	delete(c.calls, q.id)
	if q.link == nil {
		c.waiting = slices.DeleteFunc(c.waiting, func(w *call) bool { return w == q })
	}
}

// Check ends what is due, closes what is idle, and tells how calls ended. It is called at the beginning of a turn.
func (c *Client) Check(now micro.Time) {
	if now >= c.nextDue {
		c.expire(now)
	}
	results := c.results
	c.results = nil
	for _, r := range results {
		c.ended(r.id, r.outcome, r.reply)
	}
}

// NextDue is when Check has something to do, whatever arrives before that.
func (c *Client) NextDue() micro.Time {
	if len(c.results) > 0 {
		return c.loop.Now()
	}
	return c.nextDue
}

// expire gives up the calls whose time is over, and closes the links that have been idle.
func (c *Client) expire(now micro.Time) {
	c.order = slices.DeleteFunc(c.order, func(q *call) bool { return q.over })
	c.nextDue = micro.Never
	for _, q := range slices.Clone(c.order) {
		if q.due > now {
			c.nextDue = min(c.nextDue, q.due)
		} else {
			c.expireCall(q, now)
		}
	}
	for _, l := range slices.Clone(c.links) {
		if due := l.closeIdle(now); due > now {
			c.nextDue = min(c.nextDue, due)
		}
	}
}

func (c *Client) expireCall(q *call, now micro.Time) {
	if q.link == nil {
		c.finish(q, calls.Refused, nil)
		return
	}
	c.finish(q, calls.GivenUp, nil)
	q.link.giveUp(q, now)
}
