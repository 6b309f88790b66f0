package invariant

import (
	"pewterline/internal/microtime"
)

// inWindow reports whether a request came in the retention window of a run under its idempotency key.
func (o *Observer) inWindow(request *requestState, earlier *run) bool {
	window := microtime.FromDuration(o.classOf(request).RetentionWindow)
	return request.requestedAt < earlier.requestedAt+window
}

// runWithinWindow is a run under the request's idempotency key in whose retention window the request came; nil: none.
func (o *Observer) runWithinWindow(server *serverState, request *requestState) *run {
	state := server.keys[request.idempotencyKey]
	if request.idempotencyKey == "" || state == nil {
		return nil
	}
	for _, earlier := range state.runs {
		if earlier.executed && o.inWindow(request, earlier) {
			return earlier
		}
	}
	return nil
}

// judgeRejection judges that no request is rejected that has run.
func (o *Observer) judgeRejection(server *serverState, request *requestState) {
	if own := server.runs[request.id]; own != nil && own.executed {
		o.report(ruleDuplicate, server, request, "refused after a run: request %s", request.id)
	} else if earlier := o.runWithinWindow(server, request); earlier != nil {
		o.report(ruleDuplicate, server, request,
			"refused though the intake ran: request %s, run as %s", request.id, earlier.id)
	}
	if request.idempotencyKey == "" {
		return
	}
	for _, forwarded := range o.runsByKey[request.idempotencyKey] {
		viaThisEdge := forwarded.caller == server.name && forwarded.callerIncarnation == server.incarnation
		if viaThisEdge && forwarded.run.executed && o.inWindow(request, forwarded.run) {
			o.report(ruleDuplicate, server, request, "refused though the intake ran: request %s, run as %s on %s",
				request.id, forwarded.run.id, forwarded.server)
			break
		}
	}
}

// judgeRunOnce judges that a request with an idempotency key runs once within the retention window, and notes its
// run.
func (o *Observer) judgeRunOnce(server *serverState, request *requestState, started *run) {
	if earlier := o.runWithinWindow(server, request); earlier != nil && earlier.id != request.id {
		o.report(ruleDuplicate, server, request, "run twice within its window: as %s and as %s", earlier.id, request.id)
	}
	state := server.keys[request.idempotencyKey]
	if len(state.runs) == 0 {
		o.judgeEarlierIncarnations(server, request)
	}
	o.begunRuns[recordName(server, request)] = started
	state.runs = append(state.runs, started)
	if request.conn.fromEdge() {
		o.judgeOtherServers(server, request)
	}
	o.runsByKey[request.idempotencyKey] = append(o.runsByKey[request.idempotencyKey], globalRun{
		run:               started,
		server:            server.name,
		caller:            request.conn.caller,
		callerIncarnation: request.conn.callerIncarnation,
	})
}

// recordName is under what the runs of a server's incarnations with the request's idempotency key are kept.
func recordName(server *serverState, request *requestState) string {
	return server.name + "/" + request.idempotencyKey
}

// judgeEarlierIncarnations judges, at the first run under a key, that no earlier incarnation of the server ran it.
func (o *Observer) judgeEarlierIncarnations(server *serverState, request *requestState) {
	name := recordName(server, request)
	if earlier := o.recordedRuns[name]; earlier != nil && o.inWindow(request, earlier) {
		o.report(ruleDuplicate, server, request, "run again though it is on record: as %s and as %s", earlier.id, request.id)
	}
	// With a store of record, an incarnation knows what the one before it had begun, whether or not that came to an end.
	if !o.Limits.Store {
		return
	}
	if earlier := o.begunRuns[name]; earlier != nil && earlier.executed && o.inWindow(request, earlier) {
		o.report(ruleDuplicate, server, request, "run again by a later life: as %s and as %s", earlier.id, request.id)
	}
}

// judgeOtherServers judges that no idempotency key runs on two servers within its retention window, as long as the
// edge that forwards it lives.
func (o *Observer) judgeOtherServers(server *serverState, request *requestState) {
	for _, other := range o.runsByKey[request.idempotencyKey] {
		sameCaller := other.caller == request.conn.caller && other.callerIncarnation == request.conn.callerIncarnation
		if other.server != server.name && sameCaller && other.run.executed && o.inWindow(request, other.run) {
			o.report(ruleDuplicate, server, request, "run on two servers: on %s as %s and on %s as %s",
				other.server, other.run.id, server.name, request.id)
		}
	}
}
