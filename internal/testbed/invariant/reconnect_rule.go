package invariant

import (
	"pewterline/internal/microtime"
)

// maxReconnectPause is the longest time between two dials of a server that has no connection to its worker pool: a
// dial that times out, and the backoff after it.
const maxReconnectPause = 1700 * microtime.Millisecond

// checkReconnect checks that a server without a connection to its worker pool keeps dialling it.
func (o *Observer) checkReconnect(server *serverState, now microtime.Time) {
	paused := server.pausedAt(now) || server.pausedAt(now-maxReconnectPause)
	if server.openPoolConns > 0 || server.isEdge() || paused || server.drainSentAt != microtime.Never {
		server.lastDialAt = now
		return
	}
	if now > server.lastDialAt+maxReconnectPause {
		o.report(ruleRecovery, server, nil, "no try to reach the worker pool: for %v", (now - server.lastDialAt).Duration())
		server.lastDialAt = now
	}
}
