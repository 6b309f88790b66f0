package invariant

import (
	"bytes"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/vault"
)

const (
	// callGrace is how long a server may take to act on what has reached its machine: a turn of its loop, and what is
	// read before.
	callGrace = 100 * microtime.Millisecond
	// maxUnread is how long what has reached a server's machine may lie there unread.
	maxUnread = 20 * microtime.Millisecond
)

// judgeCallAddress judges that calls go to the address of the configuration, soon after it has changed.
func (o *Observer) judgeCallAddress(made *call) {
	server := made.conn.server
	since := o.world.Now() - server.callAddressSetAt - o.pausedSince(server, server.callAddressSetAt)
	if server.callAddress != "" && made.conn.address != server.callAddress && since > maxUnread+microtime.Millisecond {
		o.report(ruleCall, server, made.request,
			"to another address: %s, where %s is configured", made.conn.address, server.callAddress)
	}
}

// judgeCalledOnce judges that no call of a request that is not idempotent is made twice, unless the one before is
// proven not to have run: turned away, or pointless. Whatever else ended it proves nothing. A refused connection has
// no call on it.
func (o *Observer) judgeCalledOnce(made *call) {
	if made.request == nil || o.classOf(made.request).Idempotency == control.Idempotent {
		return
	}
	for _, earlier := range made.point.calls {
		if !earlier.neverRan() {
			o.report(ruleCall, made.conn.server, made.request,
				"made twice: of request %s, and the one before may have run", made.id)
			return
		}
	}
}

// judgeSingleOpenCall judges that a request has one call open at most.
func (o *Observer) judgeSingleOpenCall(made *call) {
	for _, other := range made.conn.server.calls {
		if other.id == made.id && other.open() {
			o.report(ruleCall, made.conn.server, made.request, "two open: of request %s", made.id)
			return
		}
	}
}

// judgeCallNeeded judges that no call is made for a request that has ended, but for what crosses on the wire.
func (o *Observer) judgeCallNeeded(made *call) {
	if made.request == nil {
		return
	}
	endedAt, ended := made.request.endKnown()
	since := o.world.Now() - endedAt - o.pausedSince(made.conn.server, endedAt)
	if ended && since > maxUnread {
		o.report(ruleCall, made.conn.server, made.request,
			"for what is over: request %s, for %v", made.id, since.Duration())
	}
}

// judgeCallAbandoned judges that an open call is given up soon once its request or its run has ended, or the time
// stated for it has passed. A call that is reported counts as given up from then on.
func (o *Observer) judgeCallAbandoned(server *serverState, made *call, now microtime.Time) {
	late := func(from microtime.Time) bool { return now > from+callGrace+o.pausedSince(server, from) }
	if made.request != nil {
		if endedAt, ended := made.request.endKnown(); ended && late(max(endedAt, made.askedAt)) {
			o.report(ruleCall, server, made.request, "not given up: of request %s, which is over", made.id)
			made.abandoned = true
			return
		}
	}
	switch {
	case made.run != nil && made.run.endReceivedAt > 0 && late(max(made.run.endReceivedAt, made.askedAt)):
		o.report(ruleCall, server, made.request, "not given up: of request %s, whose run has ended", made.id)
	case late(made.askedAt + made.timeout):
		o.report(ruleCall, server, made.request, "not given up: of request %s, by the time stated for it", made.id)
	default:
		return
	}
	made.abandoned = true
}

// judgeSupply judges, as it arrives at the worker pool, that what a run gets is the reply to the call that it waits
// for, unchanged. What comes for a run that has ended, or once more, reaches no run.
func (o *Observer) judgeSupply(server *serverState, command pool.Command) {
	waiter, request := server.runs[command.ID], server.requests[command.ID]
	if waiter != nil && waiter.ended {
		o.noteSituation(server, "supply for a run that has ended")
		return
	}
	if waiter == nil || len(waiter.callPoints) == 0 {
		o.report(ruleCall, server, request, "reply for no call: supplied to %s", command.ID)
		return
	}
	point := waiter.lastCallPoint()
	if !point.waiting {
		if bytes.Equal(point.suppliedReply, command.Body) {
			o.noteSituation(server, "supply again")
		} else {
			o.report(ruleCall, server, request, "another's reply: supplied to %s, which waits for none", command.ID)
		}
		return
	}
	o.runUnblocked(server, waiter)
	point.suppliedReply = bytes.Clone(command.Body)
	for _, made := range point.calls {
		if made.status == vault.Yes && bytes.Equal(made.reply, command.Body) {
			return
		}
	}
	o.report(ruleCall, server, request, "reply changed, or another's: supplied to %s", command.ID)
}
