package workerpool

import (
	"cmp"
	"maps"
	"slices"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// resync sends the outstanding commands of the runs in progress, oldest run first. It is called once the missed notices
// have been read. So no command is lost with a connection, and no command is repeated for a run whose notice was still
// in flight. Commands that the pool is known to have read are not sent again.
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

// resyncRun sends the commands of a run that the pool may not have read. The spawn command of an at-most-once run is
// sent only once: the run may end between the last missed notice and a second spawn, and the pool would then execute it
// twice. If the pool has read the first spawn, a notice will follow. If none arrives before the deadline, the outcome
// is unknown, and the run is reported as failed.
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

// markUncertain schedules a run to be reported as failed at its deadline unless it has ended before.
func (b *Backend) markUncertain(r *run) {
	if !r.uncertain {
		r.uncertain = true
		b.uncertain = append(b.uncertain, r)
	}
}

// resyncReply handles, on a new connection, the unacknowledged reply to a call. If the pool may have read the reply, it
// is not sent again: the run may be in its next call, which would get the wrong reply. Instead, a repeatable run is
// suspended and restarted. The outcome of an at-most-once run is unknown unless a notice arrives.
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

// restart restarts a run that was suspended by resyncReply.
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

// Check fails the uncertain runs whose deadline has passed, and ends a deep check that has timed out. It returns when
// it has to be called again.
func (b *Backend) Check(now microtime.Time) microtime.Time {
	next := b.checks.expire(now)
	remaining := b.uncertain[:0]
	for _, r := range b.uncertain {
		switch {
		case b.runs[r.ID] != r: // the run has ended
		case r.Deadline <= now:
			b.logf("pool: not known whether a run was executed: run=%s", r.ID)
			b.finish(r.ID, dispatch.RunFailed, nil)
			next = now
		default:
			next = min(next, r.Deadline)
			remaining = append(remaining, r)
		}
	}
	clear(b.uncertain[len(remaining):])
	b.uncertain = remaining
	return next
}
