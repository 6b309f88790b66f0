package routing

import (
	"cmp"
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/handover"
	"pewterline/internal/micro"
)

// Other is the other process of this log server, while an old one and its successor live side by side. Its messages come
// in the order of the calls.
type Other interface {
	Claim(Intake)      // asks whether a key may be run here
	Grant(Intake)      // lets the other run it
	Began(Intake)      // it is held or run here
	Ended(Intake, End) // a run of it has ended here
	Freed(Intake)      // it is held here no more, and has not run
}

// KeyName names a once-key in all classes.
type KeyName = onceKey

// answerLead is how long before it is due a try that waits for the other process is answered.
const answerLead = 10 * micro.Millisecond

// due is a request's answer that goes out with the next step.
type due struct {
	r *request
	a Answer
}

// Join has the core decide about keys together with another process from now on.
func (c *Core) Join(o Other, role handover.Role) { c.other, c.role = o, role }

// Role is what this process is to the other one.
func (c *Core) Role() handover.Role { return c.role }

// state is what is known of a key, as the state machine of the hand-over sees it.
func (e *onceEntry) state() handover.State {
	switch {
	case e == nil:
		return handover.Free
	case e.side != handover.Free:
		return e.side
	case e.over:
		return handover.Done
	}
	return handover.Here
}

func (c *Core) window(class int) micro.Time { return micro.Of(c.settings.Classes[class].Window) }

func (e *onceEntry) intake() Intake {
	return Intake{Class: e.class, Tenant: e.name.tenant, Once: e.name.once, At: e.at, AtMilli: e.atMilli, Result: e.result}
}

// apart decides on a try whose key the other process may have something to say about. It returns false where the try is to
// go to the module.
func (c *Core) apart(q *request) bool {
	e := c.keys.current(onceKey{q.Tenant, q.Once}, q.At)
	if c.other == nil && (e == nil || e.side == handover.Free) {
		return false
	}
	k := handover.Key{State: e.state()}
	if e != nil {
		k.Wanted = e.wanted
	}
	does := k.Step(c.role, handover.Try, false)
	if does[0] == handover.Admit {
		return false
	}
	q.state = joined
	in := Intake{Class: q.Class, Tenant: q.Tenant, Once: q.Once, At: q.At}
	if e == nil {
		e = c.aside(in, k.State)
	}
	q.key = e
	for _, d := range does {
		switch d {
		case handover.Park:
			c.parked = append(c.parked, q)
		case handover.Fail:
			c.ready = append(c.ready, due{q, notKnown})
		case handover.Claim:
			c.other.Claim(in)
		}
	}
	return true
}

var notKnown = Answer{Status: Failed, Reason: "whether it ran is not known"}

// aside makes the entry of a key that the other process has a say in.
func (c *Core) aside(in Intake, s handover.State) *onceEntry {
	e := &onceEntry{name: onceKey{in.Tenant, in.Once}, class: in.Class, kept: true, restored: true, at: in.At, expires: in.At + c.window(in.Class), side: s}
	c.keys.byName[e.name] = e
	return e
}

// hear takes up what the other process says of a key.
func (c *Core) hear(ev handover.Event, in Intake, end End) {
	if in.Class < 0 || in.Class >= len(c.settings.Classes) {
		return
	}
	c.move(c.keys.current(onceKey{in.Tenant, in.Once}, in.At), ev, in, end)
}

// move takes a key a step on; e is what is known of it, nil for nothing.
func (c *Core) move(e *onceEntry, ev handover.Event, in Intake, end End) {
	var waiting []*request
	for _, r := range c.parked {
		if e != nil && r.key == e {
			waiting = append(waiting, r)
		}
	}
	k := handover.Key{State: e.state()}
	if e != nil {
		k.Wanted = e.wanted
	}
	was := k.State
	does := k.Step(c.role, ev, len(waiting) > 0)
	if k.State != was {
		switch k.State {
		case handover.Asked, handover.Away, handover.Doubt:
			if e == nil || e.side == handover.Free {
				e = c.aside(in, k.State)
			}
			e.side = k.State
		case handover.Done:
			if ev == handover.Ended {
				if e == nil {
					e = c.aside(in, handover.Free)
				}
				e.side, e.ran, e.over, e.end, e.result = handover.Free, true, true, end, in.Result
				e.at, e.expires = in.At, in.At+c.window(in.Class)
			}
		default: // Here by the tries that waited, or Free
			if e != nil && e.side != handover.Free {
				c.keys.remove(e)
			}
		}
	}
	if e != nil {
		e.wanted = k.Wanted
	}
	for _, d := range does {
		c.do(d, e, in, waiting)
	}
}

func (c *Core) do(d handover.Do, e *onceEntry, in Intake, waiting []*request) {
	switch d {
	case handover.Release:
		for _, r := range waiting {
			c.unpark(r)
			r.state, r.key = held, nil
			c.arrive(r)
		}
	case handover.Serve:
		for _, r := range waiting {
			c.unpark(r)
			c.ready = append(c.ready, due{r, e.answer()})
		}
	case handover.Fail:
		for _, r := range waiting {
			c.unpark(r)
			c.ready = append(c.ready, due{r, notKnown})
		}
	}
	if c.other == nil {
		return
	}
	switch d {
	case handover.Claim:
		c.other.Claim(in)
	case handover.Grant:
		c.other.Grant(in)
	case handover.TellBegan:
		c.other.Began(in)
	case handover.TellEnded:
		if e != nil && e.over {
			c.other.Ended(e.intake(), e.end)
		} else {
			c.other.Ended(in, Errored) // it may have run
		}
	case handover.TellFreed:
		c.other.Freed(in)
	}
}

// answer is what a try gets from a run that has ended.
func (e *onceEntry) answer() Answer {
	if e.end == Passed {
		return Answer{Status: Served, Result: e.result}
	}
	return Answer{Status: Failed, Reason: "the run failed"}
}

func (c *Core) unpark(r *request) {
	c.parked = slices.DeleteFunc(c.parked, func(p *request) bool { return p == r })
}

// tellEnded tells the other process that the run of a key has ended here.
func (c *Core) tellEnded(k *onceEntry) {
	if c.other != nil {
		k.wanted = false
		c.other.Ended(k.intake(), k.end)
	}
}

// tellFreed tells the other process of keys that are held here no more. It waits until all actions of a step are carried
// out: the module may drop a key and keep it again for a newer try.
func (c *Core) tellFreed() {
	freed := c.keys.freed
	c.keys.freed = nil
	for _, e := range freed {
		if c.other != nil && c.keys.byName[e.name] == nil {
			in := e.intake()
			k := handover.Key{State: handover.Here, Wanted: e.wanted}
			for _, d := range k.Step(c.role, handover.HereFreed, false) {
				if d == handover.Grant {
					c.aside(in, handover.Away)
				}
				c.do(d, nil, in, nil)
			}
		}
	}
}

// names are all keys, in an order that depends on nothing but themselves.
func (c *Core) names() []KeyName {
	out := make([]KeyName, 0, len(c.keys.byName))
	for name := range c.keys.byName {
		out = append(out, name)
	}
	slices.SortFunc(out, func(a, b KeyName) int {
		return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.once, b.once))
	})
	return out
}

// Keys are the names of all that is known, for TellKey.
func (c *Core) Keys() []KeyName { return c.names() }

// TellKey tells the other process what is known of a key, if it has run here or may have.
func (c *Core) TellKey(name KeyName) {
	e := c.keys.byName[name]
	switch {
	case e == nil || c.other == nil || c.now >= e.expires && (e.over || !e.ran):
	case e.state() == handover.Done:
		c.other.Ended(e.intake(), e.end)
	case e.state() == handover.Doubt:
		c.other.Ended(e.intake(), Errored)
	case e.ran:
		c.other.Began(e.intake())
	}
}

// Claimed is the other's question whether it may run a key.
func (c *Core) Claimed(in Intake) { c.hear(handover.Claimed, in, 0) }

// Granted lets the tries of a key go that wait here.
func (c *Core) Granted(in Intake) { c.hear(handover.Granted, in, 0) }

// BeganThere says that the other process holds or runs a key.
func (c *Core) BeganThere(in Intake) { c.hear(handover.Began, in, 0) }

// EndedThere says how a run of the other's ended. The core keeps its result.
func (c *Core) EndedThere(in Intake, end End) { c.hear(handover.Ended, in, end) }

// FreedThere says that the other holds a key no more and has not run it.
func (c *Core) FreedThere(in Intake) { c.hear(handover.Freed, in, 0) }

// HandOver makes the other process the owner of all keys; what is held or run here it hears of.
func (c *Core) HandOver() {
	for _, name := range c.names() {
		e := c.keys.byName[name]
		c.move(e, handover.HandOver, e.intake(), 0)
	}
	c.role = handover.Asker
}

// TakeOver makes this process the owner of all keys.
func (c *Core) TakeOver() {
	c.role = handover.Owner
	for _, name := range c.names() {
		e := c.keys.byName[name]
		c.move(e, handover.TakeOver, e.intake(), 0)
	}
}

// LostOther says that the other process is gone: what it held may have run.
func (c *Core) LostOther() {
	c.other = nil
	for _, name := range c.names() {
		e := c.keys.byName[name]
		c.move(e, handover.Lost, e.intake(), 0)
	}
	c.role = handover.Alone
}

// expireParked answers the tries that have waited for the other process until they are due; it returns when the next is.
func (c *Core) expireParked(now micro.Time) {
	for _, r := range slices.Clone(c.parked) {
		if now >= c.parkedDue(r) {
			c.answer(r, Answer{Status: Expired, Reason: "past its deadline"})
			c.forget(r)
		}
	}
}

func (c *Core) parkedDue(r *request) micro.Time {
	return r.At + micro.Of(c.settings.Classes[r.Class].Deadline) - answerLead
}

// KeyedRuns counts the runs of keys that have not ended.
func (c *Core) KeyedRuns() (n int) {
	for _, r := range c.runs {
		if r.state.started() && r.key != nil {
			n++
		}
	}
	return n
}

// EndAll fails all that is owed an answer: the process ends now.
func (c *Core) EndAll() {
	ids := make([]control.ID, 0, len(c.live))
	for id := range c.live {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.live[id]
		c.answer(r, Answer{Status: Failed, Reason: "the process ends"})
		c.events = append(c.events, control.Gone{ID: id})
		if !r.state.started() {
			c.forget(r)
		}
	}
}

// Learned is what the module has found out about its machine.
func (c *Core) Learned() control.Learned {
	if !c.begun {
		return control.Learned{}
	}
	return c.ctl.Learned()
}

// Learn has the module begin with what a predecessor has found out.
func (c *Core) Learn(l control.Learned) { c.learned = &l }
