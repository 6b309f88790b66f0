package invariant

import (
	"cmp"
	"slices"

	"pewterline/internal/microtime"
)

// answerLimit is when a request must have been answered, what its server stood still for not counted.
func (o *Observer) answerLimit(s *server, r *request) microtime.Time {
	return o.due(r) + o.Limits.AnswerGrace + socketGrace + o.pausedSince(s, r.arrived)
}

// judgeInTime judges that an answer comes in time.
func (o *Observer) judgeInTime(s *server, r *request, now microtime.Time) {
	if limit := o.answerLimit(s, r); now > limit && !r.gaveUp {
		o.report("lost", s, r, "answered late: request %s, by %v", r.id, (now - limit).Duration())
	}
}

// judgeDue judges that what is due by now has been answered.
func (o *Observer) judgeDue(now microtime.Time) {
	for len(o.dues) > 0 && o.dues[0].at < now {
		d := o.dues[0]
		o.dues = o.dues[1:]
		if !o.owed(d.r) || d.r.s.ended {
			continue
		}
		if late := o.answerLimit(d.r.s, d.r); late > d.at || d.r.s.pausedAt(now) {
			i, _ := slices.BinarySearchFunc(o.dues, max(late, now+1), func(x due, at microtime.Time) int { return cmp.Compare(x.at, at) })
			o.dues = slices.Insert(o.dues, i, due{max(late, now+1), d.r})
			continue
		}
		o.report("lost", d.r.s, d.r, "unanswered: request %s is past its time", d.r.id)
		d.r.over = true
	}
}

// judgeClosed judges that a server closes no connection with a request open on it, but for what crosses the close.
func (o *Observer) judgeClosed(c *conn) {
	for _, r := range c.s.open {
		if r.c != c || !o.owed(r) {
			continue
		}
		if o.w.Now()-r.arrived > crossing+o.pausedSince(c.s, r.arrived) {
			o.report("lost", c.s, r, "closed by the server: request %s was open on the connection", r.id)
		}
		r.over = true
	}
}
