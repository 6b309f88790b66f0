package invariant

import (
	"pewterline/internal/microtime"
)

// maxReconnectPause is how long a server without a connection to its worker pool may go without dialling it: an
// attempt that times out, and a backoff.
const maxReconnectPause = 1700 * microtime.Millisecond

// judgeReconnect judges that a server without a connection to its worker pool goes on trying to reach it.
func (o *Observer) judgeReconnect(server *serverState, now microtime.Time) {
	paused := server.pausedAt(now) || server.pausedAt(now-maxReconnectPause)
	if server.openLinks > 0 || server.isEdge() || paused || server.drainSentAt != microtime.Never {
		server.lastDialAt = now
		return
	}
	if now > server.lastDialAt+maxReconnectPause {
		o.report(ruleRecovery, server, nil, "no try to reach the worker pool: for %v", (now - server.lastDialAt).Duration())
		server.lastDialAt = now
	}
}
