package invariant

import (
	"pewterline/internal/microtime"
)

// ranWithin is a run of the intake in whose window the try came.
func (o *Observer) ranWithin(s *server, r *request) *run {
	if k := s.keys[r.once]; r.once != "" && k != nil {
		for _, u := range k.runs {
			if u.made && r.at < u.at+o.window(r) {
				return u
			}
		}
	}
	return nil
}

func (o *Observer) window(r *request) microtime.Time {
	return microtime.FromDuration(o.Limits.Settings.Classes[r.class].RetentionWindow)
}

// judgeRefusal judges that nothing is refused that has run.
func (o *Observer) judgeRefusal(s *server, r *request) {
	if u := s.runs[r.id]; u != nil && u.made {
		o.report("duplicate", s, r, "refused after a run: request %s", r.id)
	} else if u := o.ranWithin(s, r); u != nil {
		o.report("duplicate", s, r, "refused though the intake ran: request %s, run as %s", r.id, u.id)
	}
	for _, g := range o.ran[r.once] { // by way of this edge
		if r.once != "" && g.from == s.name && g.life == s.life && g.u.made && r.at < g.u.at+o.window(r) {
			o.report("duplicate", s, r, "refused though the intake ran: request %s, run as %s on %s", r.id, g.u.id, g.server)
			break
		}
	}
}

// judgeIntake judges that an intake runs once within its window, and notes its run u.
func (o *Observer) judgeIntake(s *server, r *request, u *run) {
	if prev := o.ranWithin(s, r); prev != nil && prev.id != r.id {
		o.report("duplicate", s, r, "run twice within its window: as %s and as %s", prev.id, r.id)
	}
	name, first := s.name+"/"+r.once, len(s.keys[r.once].runs) == 0
	if prev := o.stored[name]; prev != nil && first && r.at < prev.at+o.window(r) {
		o.report("duplicate", s, r, "run again though it is on record: as %s and as %s", prev.id, r.id)
	}
	// With a store of record, a life knows what the one before it had begun, whether or not that came to an end.
	if prev := o.begun[name]; o.Limits.Store && prev != nil && prev.made && first && r.at < prev.at+o.window(r) {
		o.report("duplicate", s, r, "run again by a later life: as %s and as %s", prev.id, r.id)
	}
	o.begun[name] = u
	s.keys[r.once].runs = append(s.keys[r.once].runs, u)
	// No intake runs on two servers within its window, as long as the edge that has it lives.
	for _, g := range o.ran[r.once] {
		if r.c.from[0] == 'e' && g.server != s.name && g.from == r.c.from && g.life == r.c.fromLife && g.u.made && r.at < g.u.at+o.window(r) {
			o.report("duplicate", s, r, "run on two servers: on %s as %s and on %s as %s", g.server, g.u.id, s.name, r.id)
		}
	}
	o.ran[r.once] = append(o.ran[r.once], globalRun{u, s.name, r.c.from, r.c.fromLife})
}
