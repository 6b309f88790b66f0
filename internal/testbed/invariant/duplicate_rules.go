package invariant

import (
	"pewterline/internal/microtime"
)

// inWindow reports whether a request was sent within the retention window of an earlier run with its idempotency key.
func (o *Observer) inWindow(request *requestState, earlier *run) bool {
	window := microtime.FromDuration(o.classOf(request).RetentionWindow)
	return request.requestedAt < earlier.requestedAt+window
}

// runWithinWindow returns a run on the server with the request's idempotency key in whose retention window the request
// was sent; nil if there is none.
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

// checkRejection checks that no request is rejected after it, or another attempt with its idempotency key, has run.
func (o *Observer) checkRejection(server *serverState, request *requestState) {
	if own := server.runs[request.id]; own != nil && own.executed {
		o.report(ruleDuplicate, server, request, "refused after a run: request %s", request.id)
	} else if earlier := o.runWithinWindow(server, request); earlier != nil {
		o.report(ruleDuplicate, server, request,
			"refused after a run of its key: request %s, run as %s", request.id, earlier.id)
	}
	if request.idempotencyKey == "" {
		return
	}
	for _, forwarded := range o.runsByKey[request.idempotencyKey] {
		viaThisEdge := forwarded.caller == server.name && forwarded.callerIncarnation == server.incarnation
		if viaThisEdge && forwarded.run.executed && o.inWindow(request, forwarded.run) {
			o.report(ruleDuplicate, server, request, "refused after a run of its key: request %s, run as %s on %s",
				request.id, forwarded.run.id, forwarded.server)
			break
		}
	}
}

// checkRunOnce checks that an idempotency key runs once within the retention window, and records the run that has
// started.
func (o *Observer) checkRunOnce(server *serverState, request *requestState, started *run) {
	if earlier := o.runWithinWindow(server, request); earlier != nil && earlier.id != request.id {
		o.report(ruleDuplicate, server, request, "run twice within its window: as %s and as %s", earlier.id, request.id)
	}
	state := server.keys[request.idempotencyKey]
	if len(state.runs) == 0 {
		o.checkEarlierIncarnations(server, request)
	}
	o.startedRuns[recordKey(server, request)] = started
	state.runs = append(state.runs, started)
	if request.conn.fromEdge() {
		o.checkOtherServers(server, request)
	}
	o.runsByKey[request.idempotencyKey] = append(o.runsByKey[request.idempotencyKey], placedRun{
		run:               started,
		server:            server.name,
		caller:            request.conn.caller,
		callerIncarnation: request.conn.callerIncarnation,
	})
}

// recordKey returns the map key for the runs with the request's idempotency key in all incarnations of a server.
func recordKey(server *serverState, request *requestState) string {
	return server.name + "/" + request.idempotencyKey
}

// checkEarlierIncarnations checks, at the first run of a key, that no earlier incarnation of the server ran the key.
func (o *Observer) checkEarlierIncarnations(server *serverState, request *requestState) {
	name := recordKey(server, request)
	if earlier := o.recordedRuns[name]; earlier != nil && o.inWindow(request, earlier) {
		o.report(ruleDuplicate, server, request, "run again although recorded: as %s and as %s", earlier.id, request.id)
	}
	// With a store of record, an incarnation knows the runs that the previous one had started, whether or not they ended.
	if !o.Limits.Store {
		return
	}
	if earlier := o.startedRuns[name]; earlier != nil && earlier.executed && o.inWindow(request, earlier) {
		o.report(ruleDuplicate, server, request, "run again by a later incarnation: as %s and as %s", earlier.id, request.id)
	}
}

// checkOtherServers checks that an edge has no idempotency key run on two servers within its retention window. A
// restarted edge is not checked against the runs of its previous incarnation.
func (o *Observer) checkOtherServers(server *serverState, request *requestState) {
	for _, other := range o.runsByKey[request.idempotencyKey] {
		sameCaller := other.caller == request.conn.caller && other.callerIncarnation == request.conn.callerIncarnation
		if other.server != server.name && sameCaller && other.run.executed && o.inWindow(request, other.run) {
			o.report(ruleDuplicate, server, request, "run on two servers: on %s as %s and on %s as %s",
				other.server, other.run.id, server.name, request.id)
		}
	}
}
