package workerpool

import (
	"cmp"
	"maps"
	"slices"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// resync sends what has no notice yet, oldest first, once the missed notices are read. It avoids both faults of a
// broken connection: a command lost with it, and one sent again for a run whose notice was on its way. What is known to
// have been read is not sent again.
func (b *Backend) resync() {
	b.synced = true
	byOrder := func(x, y *run) int { return cmp.Compare(x.spawn.order, y.spawn.order) }
	for _, r := range slices.SortedFunc(maps.Values(b.runs), byOrder) {
		b.resyncRun(r)
	}
	if b.checks.pending() {
		b.sendVerify()
	}
	b.acks.keepOnly(b.connections)
}

// resyncRun sends what the pool may lack of a run. A run that may run at most once is not spawned again once it was
// sent: between the end of the missed notices and our command the run may end, and the pool would run it anew. Its
// notice comes if its spawn was read; if none comes before its deadline, the outcome is not known, and it has failed.
func (b *Backend) resyncRun(unfinished *run) {
	unfinished.received = unfinished.received || b.acks.includes(unfinished.spawn)
	if !unfinished.spawn.sent() || !unfinished.received && !unfinished.AtMostOnce {
		b.sendSpawn(unfinished)
		return
	}
	if !unfinished.received {
		b.markUncertain(unfinished)
	}
	if unfinished.cancelled {
		b.sendSuspend(unfinished.ID)
	}
	if unfinished.reply != nil {
		b.resyncReply(unfinished)
	}
}

// markUncertain has a run given up at its deadline.
func (b *Backend) markUncertain(r *run) {
	if !r.uncertain {
		r.uncertain = true
		b.uncertain = append(b.uncertain, r)
	}
}

// resyncReply sees to a call's reply on a new connection. One that may have been lost with the connection before is not
// sent again: the run may have gone on to its next call, which would get it. A run that may be repeated is suspended to
// start anew; of another the outcome is not known unless a notice of it comes.
func (b *Backend) resyncReply(r *run) {
	switch {
	case !r.reply.supply.sent():
		b.sendReply(r)
	case b.acks.includes(r.reply.supply):
		r.reply = nil
	case r.AtMostOnce || r.cancelled:
		b.markUncertain(r)
	default:
		r.restarting = true
		b.sendSuspend(r.ID)
	}
}

// restart starts a run anew that was suspended for it.
func (b *Backend) restart(r *run) {
	r.restarting, r.received = false, false
	r.reply = nil
	if r.cancelled {
		b.finish(r.ID, dispatch.RunCancelled, nil)
		return
	}
	r.spawn.connection = 0
	if b.synced {
		b.sendSpawn(r)
	}
}

// Check fails the uncertain runs whose deadline is over, and ends a deep check that is not answered; it returns when to
// check again.
func (b *Backend) Check(now microtime.Time) microtime.Time {
	next := b.checks.expire(now)
	left := b.uncertain[:0]
	for _, r := range b.uncertain {
		switch {
		case b.runs[r.ID] != r: // its notice has come
		case r.Deadline <= now:
			b.logf("pool: %s: whether it ran is not known", r.ID)
			b.finish(r.ID, dispatch.RunFailed, nil)
			next = now
		default:
			next = min(next, r.Deadline)
			left = append(left, r)
		}
	}
	clear(b.uncertain[len(left):])
	b.uncertain = left
	return next
}
