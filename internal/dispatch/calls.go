package dispatch

import (
	"pewterline/control"
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
)

// Downstream carries out the calls that runs wait for. Each Call is followed by one Core.CallEnded with its ID, unless
// Abandon or another Call with that ID comes first; none of them comes before Call or Abandon has returned.
type Downstream interface {
	// Call makes a call. Its body is not changed.
	Call(calls.Request)
	// Abandon ends the wait for a call, whose effect is not known then.
	Abandon(id string)
}

// call is what a run waits for.
type call struct {
	body   []byte
	sentAt microtime.Time // while it is in flight
	// lastOutcome is how the call ended before, where it was made: what may follow depends on it.
	lastOutcome calls.Outcome
	made        bool
}

// ended notes an end of the call. What one end has left open, no later one proves.
func (k *call) ended(outcome calls.Outcome) {
	if !k.made || k.lastOutcome.Effect() == calls.NotExecuted {
		k.lastOutcome = outcome
	}
	k.made = true
}

// checkCalls turns down settings whose calls the backend cannot carry out.
func checkCalls(settings control.Settings, backend Backend) error {
	if settings.Dependency == control.DependencyNone {
		return nil
	}
	if _, ok := backend.(CallingBackend); !ok {
		return ErrCallsUnsupported
	}
	return nil
}

// UseDownstream has runs make their calls by way of downstream.
func (c *Core) UseDownstream(downstream Downstream) { c.downstream = downstream }

// RunBlocked says that the run of an attempt waits for a call with this body. The core keeps body.
func (c *Core) RunBlocked(id string, body []byte) {
	req := c.requests.byRunID[id]
	if req == nil || !req.state.started() {
		return
	}
	before := req.state
	c.abandonCall(req)
	req.state = stateBlocked
	if req.call == nil {
		req.call = &call{}
	} // Else the run has had no reply, and cannot have gone on: what became of its call before still counts.
	req.call.body = body
	switch before {
	case stateRunning:
		c.events = append(c.events, control.CallNeeded{ID: req.id})
	case stateCalling:
		outcome := calls.ConnectionLost.ControlOutcome()
		c.events = append(c.events, control.CallFinished{ID: req.id, Outcome: outcome})
	default: // It was told before, and the decision module knows.
	}
}

// makeCall makes the call that a run waits for. A call that may have had its effect is not made again for a request
// that may run once, whatever was decided.
func (c *Core) makeCall(req *request, timeout microtime.Time) {
	if req == nil || req.state != stateBlocked || req.answered || c.downstream == nil {
		return
	}
	class := c.class(req)
	if req.call.made && !calls.MayRepeat(class.Idempotency, req.call.lastOutcome) {
		c.logf("dispatch: call withheld, the one before may have run: run=%s", req.RunID)
		c.respond(req, failed(reasonCallUncertain))
		// The decision module takes the call for made.
		c.events = append(c.events, control.RequestCancelled{ID: req.id})
		return
	}
	if timeout <= 0 {
		timeout = microtime.FromDuration(class.Deadline)
	}
	req.state, req.call.sentAt = stateCalling, c.now
	c.downstream.Call(calls.Request{
		ID:         req.RunID,
		Timeout:    timeout,
		Idempotent: calls.MayRepeat(class.Idempotency, calls.Abandoned),
		Body:       req.call.body,
	})
}

// skipCall lets a run go on without its call. The worker pool has no word for it: an empty reply has the run go on.
func (c *Core) skipCall(req *request) {
	if req == nil || req.state != stateBlocked || req.answered {
		return
	}
	c.resume(req, nil)
}

// CallEnded says how a call ended that Downstream.Call made. The core keeps reply, which only calls.Answered has.
func (c *Core) CallEnded(now microtime.Time, id string, outcome calls.Outcome, reply []byte) {
	req := c.requests.byRunID[id]
	if req == nil || req.state != stateCalling {
		return
	}
	took := max(now-req.call.sentAt, 0).Duration()
	c.events = append(c.events, control.CallFinished{ID: req.id, Outcome: outcome.ControlOutcome(), Took: took})
	if outcome == calls.Answered {
		c.resume(req, reply)
		return
	}
	req.state = stateBlocked
	req.call.ended(outcome)
}

// resume hands a run the reply to its call.
func (c *Core) resume(req *request, reply []byte) {
	req.state, req.call = stateRunning, nil
	if backend, ok := c.backend.(CallingBackend); ok {
		backend.DeliverReply(req.RunID, reply)
	}
}

// abandonCall ends the wait for a call in flight, of a request that is over or whose run has ended or is stopped.
func (c *Core) abandonCall(req *request) {
	if req.state != stateCalling {
		return
	}
	req.state = stateBlocked
	req.call.ended(calls.Abandoned)
	c.downstream.Abandon(req.RunID)
}
