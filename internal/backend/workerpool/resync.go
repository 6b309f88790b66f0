package workerpool

import (
	"cmp"
	"maps"
	"slices"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

// resync sends what has no notice yet, oldest first. Guards against both faults of a broken link: a command lost with it, and
// one sent again for a run whose notice was on its way. What is known to have arrived is not sent again. Nor is a run that must
// not be run twice, once it was sent at all: between the end of the missed notices and our command the run may end, and the pool
// would run it anew. Its notice comes if it arrived; if none comes while anybody could want it, the run's outcome is not known,
// and it has failed.
func (p *Backend) resync() {
	p.synced = true
	byOrder := func(a, b *run) int { return cmp.Compare(a.order, b.order) }
	for _, r := range slices.SortedFunc(maps.Values(p.runs), byOrder) {
		r.arrived = r.arrived || p.hasArrived(r.link, r.order)
		switch {
		case r.link == 0 || !r.arrived && !r.AtMostOnce:
			p.send(r)
			continue
		case !r.arrived:
			p.doubt(r)
		}
		if r.stopped {
			p.write(pool.AppendSuspend(p.out[:0], r.ID))
		}
		if r.reply != nil {
			p.resyncReply(r)
		}
	}
	if p.checks.underWay() {
		p.sendVerify()
	}
	for link := range p.acked { // those before have told all they can
		if link != p.links {
			delete(p.acked, link)
		}
	}
}

// hasArrived tells whether a command that was sent on a link is known to have been read.
func (p *Backend) hasArrived(link, order int) bool { return link > 0 && order <= p.acked[link] }

// doubt has a run given up once nobody waits for it.
func (p *Backend) doubt(r *run) {
	if !r.uncertain {
		r.uncertain = true
		p.uncertain = append(p.uncertain, r)
	}
}

// resyncReply sees to a call's reply on a new link. One that may have been lost with the link before is not sent again: the run
// may have gone on to its next call, which would get it. A run that may be repeated starts anew; of another the outcome is not
// known unless a notice of it comes.
func (p *Backend) resyncReply(r *run) {
	switch {
	case r.reply.link == 0:
		p.sendReply(r)
	case p.hasArrived(r.reply.link, r.reply.order):
		r.reply = nil
	case r.AtMostOnce || r.stopped:
		p.doubt(r)
	case !r.restart:
		r.restart = true
		p.write(pool.AppendSuspend(p.out[:0], r.ID))
	default:
		p.write(pool.AppendSuspend(p.out[:0], r.ID))
	}
}

// startAnew starts a run again that was stopped for it.
func (p *Backend) startAnew(r *run) {
	r.restart, r.reply, r.arrived = false, nil, false
	if r.stopped {
		delete(p.runs, r.ID)
		p.core.RunFinished(r.ID, dispatch.RunCancelled, nil)
		return
	}
	if r.link = 0; p.synced {
		p.send(r)
	}
}

// Check gives up runs that nobody knows of and deep checks that are not answered; it returns when to look again.
func (p *Backend) Check(now microtime.Time) microtime.Time {
	next := p.checks.expire(now)
	left := p.uncertain[:0]
	for _, r := range p.uncertain {
		switch {
		case p.runs[r.ID] != r: // its notice has come
		case r.Deadline <= now:
			p.logf("pool: %s: whether it ran is not known", r.ID)
			delete(p.runs, r.ID)
			p.core.RunFinished(r.ID, dispatch.RunFailed, nil)
			next = now
		default:
			next = min(next, r.Deadline)
			left = append(left, r)
		}
	}
	clear(p.uncertain[len(left):])
	p.uncertain = left
	return next
}
