package workerpool

import (
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

// runOutcome converts the protocol's outcome of a run.
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

// handle handles a message. After an error the connection must be closed. The next connection is bound with the number
// of the last notice that was in order, so that all later notices are repeated.
func (b *Backend) handle(message pool.Message) error {
	switch message.Kind {
	case pool.Bound:
		b.core.Start(b.loop.Now(), microtime.Time(message.Milliseconds*1000), !message.Loaded)
		// The poll is not sent before this message, because a pool that is still starting ignores commands that follow
		// bind. The answer to the poll marks the end of the missed notices.
		b.write(pool.AppendPoll(b.scratch[:0], b.syncTag()))
	case pool.Finished, pool.Blocked:
		return b.handleNotice(message)
	case pool.Chatter:
		b.notices.recordIgnored(message.Notice)
	case pool.Polled:
		b.handleGauges(message)
	case pool.Verified:
		b.checks.handleOutcome(b.loop.Now(), message.Tag, message.Outcome == pool.Pass)
	case pool.Unknown:
		b.handleUnknown(message)
	}
	return nil
}

// handleNotice handles a notice about a run, unless it was read before.
func (b *Backend) handleNotice(message pool.Message) error {
	if b.notices.wasRead(message.Notice) {
		return nil
	}
	lost, err := b.notices.advance(message.Notice)
	if err != nil {
		return err
	}
	if lost > 0 {
		b.logf("pool: notices are lost: first=%d last=%d", message.Notice-lost, message.Notice-1)
	}
	r := b.runs[message.ID]
	if r == nil || !r.spawn.sent() {
		return nil // the run was never sent to the pool, so the notice is not about it
	}
	b.acknowledge(r)
	if message.Kind == pool.Blocked {
		b.core.RunBlocked(message.ID, append([]byte(nil), message.Call...))
		return nil
	}
	b.handleOutcome(r, message)
	return nil
}

// acknowledge records that the pool has read all commands of a run. A new notice about the run proves that.
func (b *Backend) acknowledge(r *run) {
	b.acks.acknowledge(r.spawn)
	if r.reply != nil && r.reply.supply.sent() {
		b.acks.acknowledge(r.reply.supply)
		r.reply = nil
	}
}

// handleOutcome handles the end of a run in the pool.
func (b *Backend) handleOutcome(r *run, message pool.Message) {
	if r.restarting && message.Outcome == pool.Killed {
		b.restart(r)
		return
	}
	if message.Outcome == pool.Pass {
		b.checks.lastPass = b.loop.Now()
	}
	b.finish(r.ID, runOutcome(message.Outcome), append([]byte(nil), message.Result...))
}

// handleUnknown handles the message that the pool did not carry out a command.
func (b *Backend) handleUnknown(message pool.Message) {
	b.logf("pool: command was not carried out: command=%s run=%s", message.Command, message.ID)
	switch message.Command {
	case "poll":
		// A pool without gauges answers every poll like this. The answer also marks the end of the missed notices.
		if message.ID == b.syncTag() && !b.synced {
			b.resync()
		}
	case "verify":
		b.checks.handleUnsupported(b.loop.Now(), message.ID)
	case "spawn":
		if b.runs[message.ID] != nil {
			b.finish(message.ID, dispatch.RunUnsupported, nil)
		}
	}
}
