package invariant

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/protocol/pool"
)

// command takes what a log server tells its worker pool, as it arrives there.
func (o *Observer) command(s *server, m pool.Command) {
	switch m.Verb {
	case pool.Bind:
		o.judgeBind(s, m)
		if m.Notice > 0 {
			o.reach(s, fmt.Sprintf("bound anew run%d", size(s.running)))
		}
	case pool.Spawn:
		o.spawned(s, m)
	case pool.Supply:
		o.judgeSupply(s, m)
	case pool.Suspend:
		if u := s.runs[m.ID]; u != nil {
			o.reach(s, fmt.Sprintf("suspend ended%v", u.ended))
		}
	}
}

// spawned takes the command to start a run, as it reaches the worker pool.
func (o *Observer) spawned(s *server, m pool.Command) {
	r, u := s.reqs[m.ID], s.runs[m.ID]
	switch {
	case r == nil:
		return // the worker pool declines it
	case u != nil && !u.ended:
		o.reach(s, "command again for a run under way")
		return // it runs already
	case u != nil && u.made && o.Limits.Settings.Classes[r.class].Idempotency != control.Idempotent:
		o.report("duplicate", s, r, "run twice: %s, its run had ended", m.ID)
	case xxhash.Sum64(m.Body) != r.body:
		o.report("result", s, r, "body changed: request %s", m.ID)
	case o.Limits.Settings.Classes[r.class].Name != m.Class:
		o.report("result", s, r, "class changed: request %s", m.ID)
	}
	u = &run{id: m.ID, at: r.at, made: true, before: u}
	o.note(r, "run")
	r.running = true
	if r.once != "" {
		o.judgeIntake(s, r, u)
	}
	o.judgeRunInDrain(s, r)
	s.runs[m.ID] = u
	o.crowded(s, +1)
	o.reach(s, fmt.Sprintf("run class%d drain%d open%v", r.class, o.drainPhase(s), o.owed(r)))
}

// told takes what a worker pool tells its log server, as it is sent.
func (o *Observer) told(s *server, m pool.Message) {
	u := s.runs[m.ID]
	switch m.Kind {
	case pool.Blocked:
		o.blocked(s, m)
	case pool.Finished:
		if u == nil || u.ended {
			return // the same again
		}
		o.unblock(s, u)
		u.ended, u.end, u.result = true, m.Outcome, append([]byte(nil), m.Result...)
		u.made = m.Outcome != pool.Noop
		if m.Outcome == pool.Pass {
			o.made[string(u.result)] = true
		}
		o.crowded(s, -1)
		if r := s.reqs[m.ID]; r != nil {
			r.running = false
			o.note(r, "run ended: %d", m.Outcome)
			o.reach(s, fmt.Sprintf("ended %d answered%v gaveup%v left%v", m.Outcome, r.answers > 0, r.gaveUp, r.c.left))
		}
	case pool.Unknown:
		if u != nil && m.Command == "spawn" && !u.ended {
			u.ended, u.made = true, false
			o.crowded(s, -1)
		}
	}
}
