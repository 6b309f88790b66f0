package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
)

// Downstream carries out the calls that runs wait for. Each Ask is followed by one Core.CallEnded with its id, unless GiveUp or
// another Ask with that id comes first; none of them is called before Ask or GiveUp returns.
type Downstream interface {
	// Ask makes a call. Its body is not changed.
	Call(calls.Request)
	// GiveUp ends the wait for a call; its effect is not known.
	Abandon(id string)
}

// CallingBackend is a Runner whose runs may wait for calls: it tells so by Core.Blocked.
type CallingBackend interface {
	Backend
	// Supply hands a run the reply that it waits for. reply is not changed.
	DeliverReply(id string, reply []byte)
}

// call is what a run waits for.
type call struct {
	body  []byte
	asked microtime.Time // while it is in hand
	// last is how this call ended before, where it was made: what follows depends on it.
	last calls.Outcome
	made bool
}

// ended notes an end of the call; what one end has left open, no later one proves.
func (k *call) ended(outcome calls.Outcome) {
	if !k.made || k.last.Effect() == calls.NotExecuted {
		k.last = outcome
	}
	k.made = true
}

// checkCalls turns down settings whose calls this runner cannot carry out.
func checkCalls(s control.Settings, runner Backend) error {
	if s.Dependency == control.DependencyNone {
		return nil
	}
	if _, ok := runner.(CallingBackend); !ok {
		return fmt.Errorf("routing: settings.extra.downstream: calls need a worker pool to do the work")
	}
	return nil
}

// UseDownstream has runs call by way of e.
func (c *Core) UseDownstream(e Downstream) { c.callee = e }

// RunBlocked says that the run of id waits for a call with this body. The core keeps body.
func (c *Core) RunBlocked(id string, body []byte) {
	r := c.runs[id]
	if r == nil || !r.state.started() {
		return
	}
	was := r.state
	c.giveUpCall(r)
	r.state = blocked
	if r.call == nil { // else the run has had no reply, and cannot have gone on: what became of its call before still counts
		r.call = &call{}
	}
	r.call.body = body
	switch was {
	case running:
		c.events = append(c.events, control.CallNeeded{ID: r.id})
	case calling:
		c.events = append(c.events, control.CallFinished{ID: r.id, Outcome: calls.ConnectionLost.ControlOutcome()})
	}
}

// makeCall carries out the module's leave. Guards the rule on effects itself, whatever the decisions were: a call that may have
// had its effect is not made again for a request that may run once.
func (c *Core) makeCall(r *request, wait microtime.Time) {
	if r == nil || r.state != blocked || r.answered || c.callee == nil {
		return
	}
	class := c.settings.Classes[r.Class]
	if r.call.made && !calls.MayRepeat(class.Idempotency, r.call.last) {
		c.logf("routing: call of %s withheld: the one before may have run", r.RunID)
		c.answer(r, Response{Status: StatusFailed, Reason: "whether its call ran is not known"})
		c.events = append(c.events, control.RequestCancelled{ID: r.id}) // the module takes the call for made
		return
	}
	if wait <= 0 {
		wait = microtime.FromDuration(class.Deadline)
	}
	r.state, r.call.asked = calling, c.now
	repeatable := calls.MayRepeat(class.Idempotency, calls.Abandoned)
	c.callee.Call(calls.Request{ID: r.RunID, Timeout: wait, Idempotent: repeatable, Body: r.call.body})
}

// skipCall lets a run go on without its call. The worker pool has no word for it: an empty reply has the run go on.
func (c *Core) skipCall(r *request) {
	if r == nil || r.state != blocked || r.answered {
		return
	}
	c.resume(r, nil)
}

// CallEnded says how a call ended that Callee.Ask made. The core keeps reply, which only calls.Answered has.
func (c *Core) CallEnded(now microtime.Time, id string, outcome calls.Outcome, reply []byte) {
	r := c.runs[id]
	if r == nil || r.state != calling {
		return
	}
	took := max(now-r.call.asked, 0)
	c.events = append(c.events, control.CallFinished{ID: r.id, Outcome: outcome.ControlOutcome(), Took: took.Duration()})
	if outcome == calls.Answered {
		c.resume(r, reply)
		return
	}
	r.state = blocked
	r.call.ended(outcome)
}

// resume hands a run the reply to its call.
func (c *Core) resume(r *request, reply []byte) {
	r.state, r.call = running, nil
	if runner, ok := c.runner.(CallingBackend); ok {
		runner.DeliverReply(r.RunID, reply)
	}
}

// giveUpCall ends the wait for a call of a request that is over, or whose run has ended or is stopped.
func (c *Core) giveUpCall(r *request) {
	if r.state != calling {
		return
	}
	r.state = blocked
	r.call.ended(calls.Abandoned)
	c.callee.Abandon(r.RunID)
}
