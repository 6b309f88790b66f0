package invariant

import (
	"pewterline/internal/microtime"
)

// redialMost is how long a server without a link may go without trying: an attempt that times out, and a wait.
const redialMost = 1700 * microtime.Millisecond

// judgeRedial judges that a server without a link to its worker pool goes on trying to reach it.
func (o *Observer) judgeRedial(s *server, now microtime.Time) {
	if s.links > 0 || s.name[0] == 'e' || s.pausedAt(now) || s.pausedAt(now-redialMost) || s.noticed != microtime.Never {
		s.tried = now
	} else if now > s.tried+redialMost {
		o.report("recovery", s, nil, "no try to reach the worker pool: for %v", (now - s.tried).Duration())
		s.tried = now
	}
}
