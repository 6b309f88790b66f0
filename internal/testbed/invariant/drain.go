package invariant

import (
	"pewterline/internal/microtime"
)

// judgeEnd judges that a process that ends of itself, or is stopped after the notice to leave, has answered all it has read.
func (o *Observer) judgeEnd(s *server, itself bool) {
	now := o.w.Now()
	for _, r := range s.open {
		if itself && o.owed(r) && now-r.arrived > crossing+o.pausedSince(s, r.arrived) {
			o.report("drain", s, r, "unanswered at the end: request %s was read %v before", r.id, (now - r.arrived).Duration())
		}
		r.over = true
	}
}

// judgeRunInDrain judges that nothing is run that came too long after the notice to leave.
func (o *Observer) judgeRunInDrain(s *server, r *request) {
	if s.noticed != microtime.Never && r.arrived > s.noticed+o.Limits.DrainGrace+socketGrace {
		o.report("drain", s, r, "run past the limit: request %s came %v after the notice", r.id, (r.arrived - s.noticed).Duration())
	}
}
