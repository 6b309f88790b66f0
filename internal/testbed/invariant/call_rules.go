package invariant

import (
	"bytes"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/vault"
)

const (
	// callGrace is how long a server may take to act on bytes that have reached its machine: a turn of its event loop
	// and the input that it reads before.
	callGrace = 100 * microtime.Millisecond
	// maxReadDelay is how long bytes that have reached a server's machine may stay unread.
	maxReadDelay = 20 * microtime.Millisecond
)

// checkCallAddress checks that a call goes to the configured address, with a grace period after a change of it.
func (o *Observer) checkCallAddress(made *call) {
	server := made.conn.server
	since := o.clock.Now() - server.callAddressSetAt - o.pausedSince(server, server.callAddressSetAt)
	if server.callAddress != "" && made.conn.address != server.callAddress && since > maxReadDelay+microtime.Millisecond {
		o.report(ruleCall, server, made.request,
			"to another address: %s, where %s is configured", made.conn.address, server.callAddress)
	}
}

// checkCalledOnce checks that no call of a request that is not idempotent is repeated, unless every earlier attempt
// provably did not run: the vault replied notnow or pointless. Any other end leaves open whether the call ran. A
// refused connection never carried a call.
func (o *Observer) checkCalledOnce(made *call) {
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

// checkSingleOpenCall checks that a request has at most one open call.
func (o *Observer) checkSingleOpenCall(made *call) {
	for _, other := range made.conn.server.calls {
		if other.id == made.id && other.open() {
			o.report(ruleCall, made.conn.server, made.request, "two open: of request %s", made.id)
			return
		}
	}
}

// checkCallNeeded checks that no call is made for a request that has ended, unless the end may still have been unread.
func (o *Observer) checkCallNeeded(made *call) {
	if made.request == nil {
		return
	}
	endedAt, ended := made.request.endKnown()
	since := o.clock.Now() - endedAt - o.pausedSince(made.conn.server, endedAt)
	if ended && since > maxReadDelay {
		o.report(ruleCall, made.conn.server, made.request,
			"after the request's end: request %s, ended %v before", made.id, since.Duration())
	}
}

// checkCallAbandoned checks that an open call is cancelled soon after its request or its run has ended or its timeout
// has passed. A call that was reported counts as abandoned, so that it is reported once.
func (o *Observer) checkCallAbandoned(server *serverState, made *call, now microtime.Time) {
	late := func(from microtime.Time) bool { return now > from+callGrace+o.pausedSince(server, from) }
	if made.request != nil {
		if endedAt, ended := made.request.endKnown(); ended && late(max(endedAt, made.askedAt)) {
			o.report(ruleCall, server, made.request, "not given up: of request %s, which has ended", made.id)
			made.abandoned = true
			return
		}
	}
	switch {
	case made.run != nil && made.run.endReceivedAt > 0 && late(max(made.run.endReceivedAt, made.askedAt)):
		o.report(ruleCall, server, made.request, "not given up: of request %s, whose run has ended", made.id)
	case late(made.askedAt + made.timeout):
		o.report(ruleCall, server, made.request, "not given up: of request %s, at the end of its timeout", made.id)
	default:
		return
	}
	made.abandoned = true
}

// checkSupply checks a supply command when it arrives at the worker pool: it must carry, unchanged, the reply to the
// call that the run waits for. The pool ignores a supply for a run that has ended and a repetition of the last one.
func (o *Observer) checkSupply(server *serverState, command pool.Command) {
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
			o.report(ruleCall, server, request, "unexpected reply: supplied to %s, which waits for none", command.ID)
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
