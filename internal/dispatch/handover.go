package dispatch

import (
	"cmp"
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// PeerProcess is the other process of this log server, while an old one and its successor live side by side. Its messages come
// in the order of the calls.
type PeerProcess interface {
	Claim(KeyedRequest)                      // asks whether a key may be run here
	Grant(KeyedRequest)                      // lets the other run it
	NotifyStarted(KeyedRequest)              // it is held or run here
	NotifyFinished(KeyedRequest, RunOutcome) // a run of it has ended here
	NotifyReleased(KeyedRequest)             // it is held here no more, and has not run
}

// IdempotencyKey names a once-key in all classes.
type IdempotencyKey = idempotencyKey

// answerLead is how long before it is due a try that waits for the other process is answered.
const answerLead = 10 * microtime.Millisecond

// due is a request's answer that goes out with the next step.
type due struct {
	r *request
	a Response
}

// JoinPeer has the core decide about keys together with another process from now on.
func (c *Core) JoinPeer(o PeerProcess, role handoff.Role) { c.other, c.role = o, role }

// Role is what this process is to the other one.
func (c *Core) Role() handoff.Role { return c.role }

// state is what is known of a key, as the state machine of the hand-over sees it.
func (e *keyEntry) state() handoff.State {
	switch {
	case e == nil:
		return handoff.Free
	case e.side != handoff.Free:
		return e.side
	case e.over:
		return handoff.Done
	}
	return handoff.Local
}

func (c *Core) window(class int) microtime.Time {
	return microtime.FromDuration(c.settings.Classes[class].RetentionWindow)
}

func (e *keyEntry) intake() KeyedRequest {
	return KeyedRequest{Class: e.class, Tenant: e.name.tenant, IdempotencyKey: e.name.once, ArrivedAt: e.at, ArrivedAtUnixMilli: e.atMilli, Result: e.result}
}

// apart decides on a try whose key the other process may have something to say about. It returns false where the try is to
// go to the module.
func (c *Core) apart(q *request) bool {
	e := c.keys.current(idempotencyKey{q.Tenant, q.IdempotencyKey}, q.ArrivedAt)
	if c.other == nil && (e == nil || e.side == handoff.Free) {
		return false
	}
	k := handoff.Key{State: e.state()}
	if e != nil {
		k.PeerWaiting = e.wanted
	}
	does := k.Step(c.role, handoff.Attempt, false)
	if does[0] == handoff.Admit {
		return false
	}
	q.state = joined
	in := KeyedRequest{Class: q.Class, Tenant: q.Tenant, IdempotencyKey: q.IdempotencyKey, ArrivedAt: q.ArrivedAt}
	if e == nil {
		e = c.aside(in, k.State)
	}
	q.key = e
	for _, d := range does {
		switch d {
		case handoff.Queue:
			c.parked = append(c.parked, q)
		case handoff.Fail:
			c.ready = append(c.ready, due{q, notKnown})
		case handoff.Claim:
			c.other.Claim(in)
		}
	}
	return true
}

var notKnown = Response{Status: StatusFailed, Reason: "whether it ran is not known"}

// aside makes the entry of a key that the other process has a say in.
func (c *Core) aside(in KeyedRequest, s handoff.State) *keyEntry {
	e := &keyEntry{name: idempotencyKey{in.Tenant, in.IdempotencyKey}, class: in.Class, kept: true, restored: true, at: in.ArrivedAt, expires: in.ArrivedAt + c.window(in.Class), side: s}
	c.keys.byName[e.name] = e
	return e
}

// hear takes up what the other process says of a key.
func (c *Core) hear(ev handoff.Event, in KeyedRequest, end RunOutcome) {
	if in.Class < 0 || in.Class >= len(c.settings.Classes) {
		return
	}
	c.move(c.keys.current(idempotencyKey{in.Tenant, in.IdempotencyKey}, in.ArrivedAt), ev, in, end)
}

// move takes a key a step on; e is what is known of it, nil for nothing.
func (c *Core) move(e *keyEntry, ev handoff.Event, in KeyedRequest, end RunOutcome) {
	var waiting []*request
	for _, r := range c.parked {
		if e != nil && r.key == e {
			waiting = append(waiting, r)
		}
	}
	k := handoff.Key{State: e.state()}
	if e != nil {
		k.PeerWaiting = e.wanted
	}
	was := k.State
	does := k.Step(c.role, ev, len(waiting) > 0)
	if k.State != was {
		switch k.State {
		case handoff.Requested, handoff.Remote, handoff.Indeterminate:
			if e == nil || e.side == handoff.Free {
				e = c.aside(in, k.State)
			}
			e.side = k.State
		case handoff.Done:
			if ev == handoff.PeerFinished {
				if e == nil {
					e = c.aside(in, handoff.Free)
				}
				e.side, e.ran, e.over, e.end, e.result = handoff.Free, true, true, end, in.Result
				e.at, e.expires = in.ArrivedAt, in.ArrivedAt+c.window(in.Class)
			}
		default: // Here by the tries that waited, or Free
			if e != nil && e.side != handoff.Free {
				c.keys.remove(e)
			}
		}
	}
	if e != nil {
		e.wanted = k.PeerWaiting
	}
	for _, d := range does {
		c.do(d, e, in, waiting)
	}
}

func (c *Core) do(d handoff.Action, e *keyEntry, in KeyedRequest, waiting []*request) {
	switch d {
	case handoff.Release:
		for _, r := range waiting {
			c.unpark(r)
			r.state, r.key = held, nil
			c.arrive(r)
		}
	case handoff.Serve:
		for _, r := range waiting {
			c.unpark(r)
			c.ready = append(c.ready, due{r, e.answer()})
		}
	case handoff.Fail:
		for _, r := range waiting {
			c.unpark(r)
			c.ready = append(c.ready, due{r, notKnown})
		}
	}
	if c.other == nil {
		return
	}
	switch d {
	case handoff.Claim:
		c.other.Claim(in)
	case handoff.Grant:
		c.other.Grant(in)
	case handoff.NotifyStarted:
		c.other.NotifyStarted(in)
	case handoff.NotifyFinished:
		if e != nil && e.over {
			c.other.NotifyFinished(e.intake(), e.end)
		} else {
			c.other.NotifyFinished(in, RunFailed) // it may have run
		}
	case handoff.NotifyReleased:
		c.other.NotifyReleased(in)
	}
}

// answer is what a try gets from a run that has ended.
func (e *keyEntry) answer() Response {
	if e.end == RunSucceeded {
		return Response{Status: StatusSucceeded, Result: e.result}
	}
	return Response{Status: StatusFailed, Reason: "the run failed"}
}

func (c *Core) unpark(r *request) {
	c.parked = slices.DeleteFunc(c.parked, func(p *request) bool { return p == r })
}

// tellEnded tells the other process that the run of a key has ended here.
func (c *Core) tellEnded(k *keyEntry) {
	if c.other != nil {
		k.wanted = false
		c.other.NotifyFinished(k.intake(), k.end)
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
			k := handoff.Key{State: handoff.Local, PeerWaiting: e.wanted}
			for _, d := range k.Step(c.role, handoff.LocalReleased, false) {
				if d == handoff.Grant {
					c.aside(in, handoff.Remote)
				}
				c.do(d, nil, in, nil)
			}
		}
	}
}

// names are all keys, in an order that depends on nothing but themselves.
func (c *Core) names() []IdempotencyKey {
	out := make([]IdempotencyKey, 0, len(c.keys.byName))
	for name := range c.keys.byName {
		out = append(out, name)
	}
	slices.SortFunc(out, func(a, b IdempotencyKey) int {
		return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.once, b.once))
	})
	return out
}

// Keys are the names of all that is known, for TellKey.
func (c *Core) Keys() []IdempotencyKey { return c.names() }

// AnnounceKey tells the other process what is known of a key, if it has run here or may have.
func (c *Core) AnnounceKey(name IdempotencyKey) {
	e := c.keys.byName[name]
	switch {
	case e == nil || c.other == nil || c.now >= e.expires && (e.over || !e.ran):
	case e.state() == handoff.Done:
		c.other.NotifyFinished(e.intake(), e.end)
	case e.state() == handoff.Indeterminate:
		c.other.NotifyFinished(e.intake(), RunFailed)
	case e.ran:
		c.other.NotifyStarted(e.intake())
	}
}

// PeerClaimed is the other's question whether it may run a key.
func (c *Core) PeerClaimed(in KeyedRequest) { c.hear(handoff.PeerClaimed, in, 0) }

// PeerGranted lets the tries of a key go that wait here.
func (c *Core) PeerGranted(in KeyedRequest) { c.hear(handoff.PeerGranted, in, 0) }

// PeerStarted says that the other process holds or runs a key.
func (c *Core) PeerStarted(in KeyedRequest) { c.hear(handoff.PeerStarted, in, 0) }

// PeerFinished says how a run of the other's ended. The core keeps its result.
func (c *Core) PeerFinished(in KeyedRequest, end RunOutcome) { c.hear(handoff.PeerFinished, in, end) }

// PeerReleased says that the other holds a key no more and has not run it.
func (c *Core) PeerReleased(in KeyedRequest) { c.hear(handoff.PeerReleased, in, 0) }

// PassOwnership makes the other process the owner of all keys; what is held or run here it hears of.
func (c *Core) PassOwnership() {
	for _, name := range c.names() {
		e := c.keys.byName[name]
		c.move(e, handoff.OwnershipPassed, e.intake(), 0)
	}
	c.role = handoff.Requester
}

// TakeOwnership makes this process the owner of all keys.
func (c *Core) TakeOwnership() {
	c.role = handoff.Owner
	for _, name := range c.names() {
		e := c.keys.byName[name]
		c.move(e, handoff.OwnershipTaken, e.intake(), 0)
	}
}

// PeerLost says that the other process is gone: what it held may have run.
func (c *Core) PeerLost() {
	c.other = nil
	for _, name := range c.names() {
		e := c.keys.byName[name]
		c.move(e, handoff.PeerLost, e.intake(), 0)
	}
	c.role = handoff.Alone
}

// expireParked answers the tries that have waited for the other process until they are due; it returns when the next is.
func (c *Core) expireParked(now microtime.Time) {
	for _, r := range slices.Clone(c.parked) {
		if now >= c.parkedDue(r) {
			c.answer(r, Response{Status: StatusExpired, Reason: "past its deadline"})
			c.forget(r)
		}
	}
}

func (c *Core) parkedDue(r *request) microtime.Time {
	return r.ArrivedAt + microtime.FromDuration(c.settings.Classes[r.Class].Deadline) - answerLead
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

// FailAll fails all that is owed an answer: the process ends now.
func (c *Core) FailAll() {
	ids := make([]control.RequestID, 0, len(c.live))
	for id := range c.live {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.live[id]
		c.answer(r, Response{Status: StatusFailed, Reason: "the process ends"})
		c.events = append(c.events, control.RequestCancelled{ID: id})
		if !r.state.started() {
			c.forget(r)
		}
	}
}

// LearnedState is what the module has found out about its machine.
func (c *Core) LearnedState() control.LearnedState {
	if !c.begun {
		return control.LearnedState{}
	}
	return c.ctl.LearnedState()
}

// RestoreLearned has the module begin with what a predecessor has found out.
func (c *Core) RestoreLearned(l control.LearnedState) { c.learned = &l }
