package invariant

import (
	"pewterline/internal/microtime"
)

// checkStopped checks, if a process exited by itself, that it has answered every request that it had read. After its
// end, no answer is required any more.
func (o *Observer) checkStopped(server *serverState, exited bool) {
	now := o.clock.Now()
	for _, request := range server.open {
		if exited && request.awaitsAnswer() &&
			now-request.arrivedAt > crossingGrace+o.pausedSince(server, request.arrivedAt) {
			o.report(ruleDrain, server, request,
				"unanswered at the end: request %s was read %v before", request.id, (now - request.arrivedAt).Duration())
		}
		request.settled = true
	}
}

// checkRunInDrain checks that no request runs that arrived too long after the drain notice.
func (o *Observer) checkRunInDrain(server *serverState, request *requestState) {
	if server.drainSentAt != microtime.Never && request.arrivedAt > server.drainSentAt+o.Limits.DrainGrace+socketGrace {
		o.report(ruleDrain, server, request, "run past the limit: request %s arrived %v after the notice",
			request.id, (request.arrivedAt - server.drainSentAt).Duration())
	}
}
