package fleetrunner

import (
	"fmt"
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/fleet"
	"pewterline/internal/micro"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

const (
	// askAgainAfter is the time before an intake is asked for again at its server.
	askAgainAfter = 50 * micro.Millisecond
	// hedgeAt is the quantile of what reads usually take, after which a second copy may go out.
	hedgeAt = 0.95
)

// try is one sending of a run.
type try struct {
	run     *run
	choice  fleet.Choice
	id      string
	seq     int32
	at      micro.Time
	written bool
}

// route sends a run to the server that may have run it, or to the one chosen. Where none takes it, that is told later
// in the turn.
func (r *Runner) route(q *run) {
	now := r.now()
	q.again = micro.Never
	if r.exchange != nil && !r.exchange.Ready(now) { // a fresh instance waits for the first advice, for a bounded time
		r.unadvised = append(r.unadvised, q)
		return
	}
	var c fleet.Choice
	if q.keyed {
		server, ok := r.attempts.Stick(now, q.key)
		if !ok {
			q.declined = true
			r.pending = append(r.pending, q)
			return
		}
		c.Server = server
	}
	if c.Server == "" {
		var ok bool
		if c, ok = r.fleet.Pick(now, r.wanted(q)); !ok {
			q.declined = true
			r.pending = append(r.pending, q)
			return
		}
	}
	r.send(q, c)
}

// wanted is what a run asks of a server.
func (r *Runner) wanted(q *run) fleet.Try {
	safe := q.class.Effect == control.Safe
	return fleet.Try{Class: q.req.Class, Safe: safe, Cheap: safe, Avoid: q.avoid}
}

// send gives a try to a connection with room, or to one that is opened for it.
func (r *Runner) send(q *run, c fleet.Choice) {
	m := r.byName[c.Server]
	t := &try{run: q, choice: c, id: q.ID, at: r.now()}
	if q.count > 0 {
		t.id = fmt.Sprintf("%016x", r.loop.Rand())
	}
	q.count++
	q.tries = append(q.tries, t)
	q.avoid = append(q.avoid, c.Server)
	r.fleet.Sent(r.now(), c)
	if q.hedge = micro.Never; q.class.Effect == control.Safe && len(q.tries) == 1 {
		if d := r.fleet.HedgeAfter(q.req.Class, hedgeAt); d != micro.Never {
			q.hedge = r.now() + d
		}
	}
	for _, l := range m.links {
		// One that has fallen silent takes nothing new: what would tell that the server is back must not wait behind it.
		silent := len(l.open)+len(l.waiting) > 0 && r.now()-max(l.heard, l.busy) > r.fleet.Patience()
		if !l.closing && !silent && len(l.open)+len(l.waiting) < maxOpen {
			l.give(t)
			return
		}
	}
	l := &link{runner: r, member: m, open: map[int32]*try{}, waiting: []*try{t}, idle: r.now(), busy: r.now()}
	m.links = append(m.links, l)
	l.drop = r.loop.Try(m.Address, func(k transport.Link) transport.Session { return l.opened(k) }, l.failed)
}

// withdraw gives up all tries of a run that are out.
func (r *Runner) withdraw(q *run, o fleet.Outcome) {
	for _, t := range q.tries {
		for _, l := range r.byName[t.choice.Server].links {
			l.giveUp(t)
		}
		r.returned(q, t, fleet.Result{Class: q.req.Class, Outcome: o, Took: r.now() - t.at})
	}
	q.tries = nil
}

// returned tells the decisions how a try has ended.
func (r *Runner) returned(q *run, t *try, res fleet.Result) {
	now := r.now()
	r.fleet.Ended(now, t.choice, res)
	if o := res.Outcome; o == fleet.Unreached || o == fleet.Broken || o == fleet.TimedOut {
		r.wasted++
	}
	if !t.written {
		return
	}
	if !res.Outcome.Proves() && res.Outcome != fleet.Served {
		q.unproven++
	}
	if q.keyed {
		o := res.Outcome
		if o == fleet.Withdrawn {
			o = fleet.TimedOut // it may have run, and nobody waits to hear
		}
		r.attempts.Returned(now, q.key, o)
	}
}

// ended goes on after a try has ended.
func (r *Runner) ended(t *try, res fleet.Result, result []byte) {
	q := t.run
	if i := slices.Index(q.tries, t); i >= 0 {
		q.tries = slices.Delete(q.tries, i, i+1)
	}
	now := r.now()
	res.Class, res.Took = q.req.Class, now-t.at
	r.returned(q, t, res)
	if res.Outcome == fleet.Served {
		r.attempts.Succeeded(now, q.req.Caller)
		r.withdraw(q, fleet.Withdrawn)
		r.finish(q, routing.Passed, result)
		return
	}
	q.after, q.last = res.After, res.Last
	if len(q.tries) > 0 {
		return // its other copy is still out
	}
	ask := fleet.Ask{Caller: q.req.Caller, Keyed: q.keyed, Safe: q.class.Effect == control.Safe, Key: q.key, Tries: q.count, Outcome: res.Outcome,
		Last: res.Last, Finishes: r.fleet.Finishes(now, r.wanted(q)), Due: q.due}
	switch r.attempts.After(now, ask) {
	case fleet.AgainElsewhere:
		r.route(q)
	case fleet.AgainThere:
		q.again = now + askAgainAfter
	case fleet.SayRefused:
		r.decline(q)
	case fleet.SayUnknown:
		r.logf("fleet: %s: whether it ran at %s is not known", q.ID, t.choice.Server)
		r.finish(q, routing.Doubtful, nil)
	default:
		r.finish(q, routing.Errored, nil)
	}
}

// decline says that nothing ran, and when it could.
func (r *Runner) decline(q *run) {
	r.drop(q)
	r.core.Declined(q.ID, max(q.after, declineAfter), q.last)
}

// sendHedge sends a second copy of a slow read, if the budget has room and another server is likely to be sooner.
func (r *Runner) sendHedge(q *run) {
	q.hedge = micro.Never
	c, ok := r.fleet.Pick(r.now(), r.wanted(q))
	if !ok || c.Probe || c.Server == q.tries[0].choice.Server || !r.attempts.Spend(r.now(), q.req.Caller) {
		return
	}
	r.send(q, c)
}
