package upstream

import (
	"fmt"
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

const (
	// askAgainAfter is the time before an intake is asked for again at its server.
	askAgainAfter = 50 * microtime.Millisecond
	// hedgeAt is the quantile of what reads usually take, after which a second copy may go out.
	hedgeAt = 0.95
)

// try is one sending of a run.
type try struct {
	run     *run
	choice  loadbalancer.Choice
	id      string
	seq     int32
	at      microtime.Time
	written bool
}

// route sends a run to the server that may have run it, or to the one chosen. Where none takes it, that is told later
// in the turn.
func (r *Backend) route(q *run) {
	now := r.now()
	q.again = microtime.Never
	if r.exchange != nil && !r.exchange.Ready(now) { // a fresh instance waits for the first advice, for a bounded time
		r.unadvised = append(r.unadvised, q)
		return
	}
	var c loadbalancer.Choice
	if q.keyed {
		server, ok := r.attempts.StickyEndpoint(now, q.key)
		if !ok {
			q.declined = true
			r.pending = append(r.pending, q)
			return
		}
		c.Endpoint = server
	}
	if c.Endpoint == "" {
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
func (r *Backend) wanted(q *run) loadbalancer.Request {
	safe := q.class.Idempotency == control.Idempotent
	return loadbalancer.Request{Class: q.req.Class, Idempotent: safe, Cheap: safe, Exclude: q.avoid}
}

// send gives a try to a connection with room, or to one that is opened for it.
func (r *Backend) send(q *run, c loadbalancer.Choice) {
	m := r.byName[c.Endpoint]
	t := &try{run: q, choice: c, id: q.ID, at: r.now()}
	if q.count > 0 {
		t.id = fmt.Sprintf("%016x", r.loop.Rand())
	}
	q.count++
	q.tries = append(q.tries, t)
	q.avoid = append(q.avoid, c.Endpoint)
	r.fleet.AttemptStarted(r.now(), c)
	if q.hedge = microtime.Never; q.class.Idempotency == control.Idempotent && len(q.tries) == 1 {
		if d := r.fleet.HedgeDelay(q.req.Class, hedgeAt); d != microtime.Never {
			q.hedge = r.now() + d
		}
	}
	for _, l := range m.links {
		// One that has fallen silent takes nothing new: what would tell that the server is back must not wait behind it.
		silent := len(l.open)+len(l.waiting) > 0 && r.now()-max(l.heard, l.busy) > r.fleet.SilenceTimeout()
		if !l.closing && !silent && len(l.open)+len(l.waiting) < maxOpen {
			l.give(t)
			return
		}
	}
	l := &link{runner: r, member: m, open: map[int32]*try{}, waiting: []*try{t}, idle: r.now(), busy: r.now()}
	m.links = append(m.links, l)
	l.drop = r.loop.DialOnce(m.Address, func(k transport.Conn) transport.Session { return l.opened(k) }, l.failed)
}

// withdraw gives up all tries of a run that are out.
func (r *Backend) withdraw(q *run, o loadbalancer.Outcome) {
	for _, t := range q.tries {
		for _, l := range r.byName[t.choice.Endpoint].links {
			l.giveUp(t)
		}
		r.returned(q, t, loadbalancer.Result{Class: q.req.Class, Outcome: o, Latency: r.now() - t.at})
	}
	q.tries = nil
}

// returned tells the decisions how a try has ended.
func (r *Backend) returned(q *run, t *try, res loadbalancer.Result) {
	now := r.now()
	r.fleet.AttemptEnded(now, t.choice, res)
	if o := res.Outcome; o == loadbalancer.ConnectFailed || o == loadbalancer.ConnectionLost || o == loadbalancer.TimedOut {
		r.wasted++
	}
	if !t.written {
		return
	}
	if !res.Outcome.ProvesNotExecuted() && res.Outcome != loadbalancer.Succeeded {
		q.unproven++
	}
	if q.keyed {
		o := res.Outcome
		if o == loadbalancer.Cancelled {
			o = loadbalancer.TimedOut // it may have run, and nobody waits to hear
		}
		r.attempts.RecordOutcome(q.key, o)
	}
}

// ended goes on after a try has ended.
func (r *Backend) ended(t *try, res loadbalancer.Result, result []byte) {
	q := t.run
	if i := slices.Index(q.tries, t); i >= 0 {
		q.tries = slices.Delete(q.tries, i, i+1)
	}
	now := r.now()
	res.Class, res.Latency = q.req.Class, now-t.at
	r.returned(q, t, res)
	if res.Outcome == loadbalancer.Succeeded {
		r.attempts.RecordSuccess(now, q.req.CallerID)
		r.withdraw(q, loadbalancer.Cancelled)
		r.finish(q, dispatch.RunSucceeded, result)
		return
	}
	q.after, q.last = res.RetryAfter, res.NoRetry
	if len(q.tries) > 0 {
		return // its other copy is still out
	}
	ask := loadbalancer.FailedAttempt{Caller: q.req.CallerID, Keyed: q.keyed, Idempotent: q.class.Idempotency == control.Idempotent, Key: q.key, Attempts: q.count, Outcome: res.Outcome,
		NoRetry: res.NoRetry, EarliestFinish: r.fleet.EarliestFinish(now, r.wanted(q)), Deadline: q.due}
	switch r.attempts.Decide(now, ask) {
	case loadbalancer.RetryElsewhere:
		r.route(q)
	case loadbalancer.RetrySameEndpoint:
		q.again = now + askAgainAfter
	case loadbalancer.ReportRejected:
		r.decline(q)
	case loadbalancer.ReportIndeterminate:
		r.logf("fleet: %s: whether it ran at %s is not known", q.ID, t.choice.Endpoint)
		r.finish(q, dispatch.RunIndeterminate, nil)
	default:
		r.finish(q, dispatch.RunFailed, nil)
	}
}

// decline says that nothing ran, and when it could.
func (r *Backend) decline(q *run) {
	r.drop(q)
	r.core.RunDeclined(q.ID, max(q.after, declineAfter), q.last)
}

// sendHedge sends a second copy of a slow read, if the budget has room and another server is likely to be sooner.
func (r *Backend) sendHedge(q *run) {
	q.hedge = microtime.Never
	c, ok := r.fleet.Pick(r.now(), r.wanted(q))
	if !ok || c.Probe || c.Endpoint == q.tries[0].choice.Endpoint || !r.attempts.SpendToken(r.now(), q.req.CallerID) {
		return
	}
	r.send(q, c)
}
