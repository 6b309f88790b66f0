package workerpool

import (
	"cmp"
	"maps"
	"slices"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// resync sends the commands of the runs without a notice, oldest first. It is called once the missed notices are read.
// So no command is lost with a connection, and none is repeated for a run whose notice was in flight. Commands that are
// known to have been read are not sent again.
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

// resyncRun sends the commands of a run that the pool may not have read. An at-most-once run is not spawned again once
// it was sent: it may end between the last missed notice and the second spawn, and the pool would then run it twice. If
// the pool has read the first spawn, a notice will follow; if none comes before the deadline, the outcome is unknown,
// and the run is reported as failed.
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

// markUncertain schedules a run to be failed at its deadline unless a notice comes before.
func (b *Backend) markUncertain(r *run) {
	if !r.uncertain {
		r.uncertain = true
		b.uncertain = append(b.uncertain, r)
	}
}

// resyncReply handles the unacknowledged reply to a call after a new connection. If the reply may have been read, it is
// not sent again: the run may be in its next call, which would get the wrong reply. So a run that may be repeated is
// suspended and restarted; the outcome of an at-most-once run is unknown unless a notice comes.
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

// Check fails the uncertain runs whose deadline is over, and ends a deep check that has timed out. It returns when to
// check again.
func (b *Backend) Check(now microtime.Time) microtime.Time {
	next := b.checks.expire(now)
	left := b.uncertain[:0]
	for _, r := range b.uncertain {
		switch {
		case b.runs[r.ID] != r: // its notice has come
		case r.Deadline <= now:
			b.logf("pool: not known whether a run was executed: run=%s", r.ID)
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
