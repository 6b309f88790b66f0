package invariant

import (
	"pewterline/internal/microtime"
)

// judgeStopped judges that a process that ends of itself, or is stopped after the drain notice, has answered all it
// has read.
func (o *Observer) judgeStopped(server *serverState, itself bool) {
	now := o.world.Now()
	for _, request := range server.open {
		if itself && request.isOwed() && now-request.arrivedAt > crossingGrace+o.pausedSince(server, request.arrivedAt) {
			o.report(ruleDrain, server, request,
				"unanswered at the end: request %s was read %v before", request.id, (now - request.arrivedAt).Duration())
		}
		request.settled = true
	}
}

// judgeRunInDrain judges that nothing is run that came too long after the drain notice.
func (o *Observer) judgeRunInDrain(server *serverState, request *requestState) {
	if server.drainSentAt != microtime.Never && request.arrivedAt > server.drainSentAt+o.Limits.DrainGrace+socketGrace {
		o.report(ruleDrain, server, request, "run past the limit: request %s came %v after the notice",
			request.id, (request.arrivedAt - server.drainSentAt).Duration())
	}
}
