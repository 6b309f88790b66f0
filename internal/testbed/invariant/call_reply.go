package invariant

import (
	"bytes"

	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/vault"
)

// judgeSupply judges, as it arrives at the worker pool, that what a run gets is the reply to the call that it waits for, unchanged.
// What comes for a run that has ended, or once more, reaches no run.
func (o *Observer) judgeSupply(s *server, m pool.Command) {
	u, r := s.runs[m.ID], s.reqs[m.ID]
	if u != nil && u.ended {
		o.reach(s, "supply for a run that has ended")
		return
	}
	if u == nil || len(u.points) == 0 {
		o.report("call", s, r, "reply for no call: supplied to %s", m.ID)
		return
	}
	p := u.points[len(u.points)-1]
	if !p.waits {
		if bytes.Equal(p.carried, m.Body) {
			o.reach(s, "supply again")
		} else {
			o.report("call", s, r, "another's reply: supplied to %s, which waits for none", m.ID)
		}
		return
	}
	o.unblock(s, u)
	p.carried = bytes.Clone(m.Body)
	for _, c := range p.calls {
		if c.status == vault.Yes && bytes.Equal(c.reply, m.Body) {
			return
		}
	}
	o.report("call", s, r, "reply changed, or another's: supplied to %s", m.ID)
}
