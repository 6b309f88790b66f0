package workerpool

import (
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

// runOutcome translates a run's outcome from the protocol.
func runOutcome(outcome pool.Outcome) dispatch.RunOutcome {
	switch outcome {
	case pool.Pass:
		return dispatch.RunSucceeded
	case pool.Killed:
		return dispatch.RunCancelled
	case pool.Noop:
		return dispatch.RunNotStarted
	case pool.Fail:
	}
	return dispatch.RunFailed
}

// handle obeys a message. An error says that the connection can no longer be trusted: the next one is bound with the
// last notice that came in order, so that all after it come again.
func (b *Backend) handle(message pool.Message) error {
	switch message.Kind {
	case pool.Bound:
		b.core.Start(b.loop.Now(), microtime.Time(message.Milliseconds*1000), !message.Loaded)
		// Only now: a pool that is not up yet does not carry out what follows bind, and this poll marks the end of the
		// missed notices.
		b.write(pool.AppendPoll(b.scratch[:0], b.syncTag()))
	case pool.Finished, pool.Blocked:
		return b.takeNotice(message)
	case pool.Chatter:
		b.notices.chattered(message.Notice)
	case pool.Polled:
		b.takeGauges(message)
	case pool.Verified:
		b.checks.answered(b.loop.Now(), message.Tag, message.Outcome == pool.Pass)
	case pool.Unknown:
		b.takeUnknown(message)
	}
	return nil
}

// takeNotice handles what a run has come to, unless it was read before.
func (b *Backend) takeNotice(message pool.Message) error {
	if b.notices.wasRead(message.Notice) {
		return nil
	}
	lost, err := b.notices.advance(message.Notice)
	if err != nil {
		return err
	}
	if lost > 0 {
		b.logf("pool: notices %d to %d are lost", message.Notice-lost, message.Notice-1)
	}
	r := b.runs[message.ID]
	if r == nil || !r.spawn.sent() {
		return nil // the pool was never given it: no run made this result
	}
	b.acknowledge(r)
	if message.Kind == pool.Blocked {
		b.core.RunBlocked(message.ID, append([]byte(nil), message.Call...))
		return nil
	}
	b.takeOutcome(r, message)
	return nil
}

// acknowledge notes that the pool has read all that was sent for a run: it has told something new of it.
func (b *Backend) acknowledge(r *run) {
	b.acks.acknowledge(r.spawn)
	if r.reply != nil && r.reply.supply.sent() {
		b.acks.acknowledge(r.reply.supply)
		r.reply = nil
	}
}

// takeOutcome handles the end of a run in the pool.
func (b *Backend) takeOutcome(r *run, message pool.Message) {
	if r.restarting && message.Outcome == pool.Killed {
		b.restart(r)
		return
	}
	if message.Outcome == pool.Pass {
		b.checks.lastPass = b.loop.Now()
	}
	b.finish(r.ID, runOutcome(message.Outcome), append([]byte(nil), message.Result...))
}

// takeUnknown handles a command that was not carried out.
func (b *Backend) takeUnknown(message pool.Message) {
	b.logf("pool: %s %s was not carried out", message.Command, message.ID)
	switch message.Command {
	case "poll":
		// A pool that has no gauges to tell marks the end of the missed notices as well.
		if message.ID == b.syncTag() && !b.synced {
			b.resync()
		}
	case "verify":
		b.checks.declined(b.loop.Now(), message.ID)
	case "spawn":
		if b.runs[message.ID] != nil {
			b.finish(message.ID, dispatch.RunUnsupported, nil)
		}
	}
}
