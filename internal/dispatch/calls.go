package dispatch

import (
	"pewterline/control"
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
)

// Downstream makes the calls that runs wait for. Each Call is followed by one Core.CallEnded with its ID, unless
// Abandon or another Call with that ID comes first. CallEnded is never called before Call or Abandon has returned.
type Downstream interface {
	// Call makes a call. It must not modify the body.
	Call(calls.Request)
	// Abandon stops waiting for a call. Whether the call had an effect is then not known.
	Abandon(id string)
}

// call is a call that a run waits for.
type call struct {
	body   []byte
	sentAt microtime.Time // while it is in flight
	// outcome decides whether the call may be repeated. It is that of the first attempt that may have had an effect; if
	// there is none, that of the latest attempt.
	outcome   calls.Outcome
	attempted bool // an attempt of the call has ended
}

// recordOutcome records the end of an attempt of the call. It keeps the outcome of an earlier attempt that may have had
// an effect, as no later attempt can disprove that effect.
func (k *call) recordOutcome(outcome calls.Outcome) {
	if !k.attempted || k.outcome.Effect() == calls.NotExecuted {
		k.outcome = outcome
	}
	k.attempted = true
}

// checkCalls returns ErrCallsUnsupported if the settings have calls and the backend does not support them.
func checkCalls(settings control.Settings, backend Backend) error {
	if settings.Dependency == control.DependencyNone {
		return nil
	}
	if _, ok := backend.(CallingBackend); !ok {
		return ErrCallsUnsupported
	}
	return nil
}

// UseDownstream sets the client that makes the calls of runs. Until then runs cannot make calls.
func (c *Core) UseDownstream(downstream Downstream) { c.downstream = downstream }

// RunBlocked reports that the run of an attempt waits for a call with the given body, which the core keeps.
func (c *Core) RunBlocked(id string, body []byte) {
	req := c.requests.byRunID[id]
	if req == nil || !req.state.started() {
		return
	}
	previousState := req.state
	c.abandonCall(req)
	req.state = stateBlocked
	if req.call == nil {
		req.call = &call{}
	} // Otherwise the run waits for the same call as before, and the recorded outcome still applies.
	req.call.body = body
	switch previousState {
	case stateRunning:
		c.events = append(c.events, control.CallNeeded{ID: req.id})
	case stateCalling:
		outcome := calls.ConnectionLost.ControlOutcome()
		c.events = append(c.events, control.CallFinished{ID: req.id, Outcome: outcome})
	default: // stateBlocked: the decision module was notified before.
	}
}

// makeCall makes the call that a run waits for. A call that may have had an effect is not repeated for a request that
// is not idempotent, even if the decision module asks for it.
func (c *Core) makeCall(req *request, timeout microtime.Time) {
	if req == nil || req.state != stateBlocked || req.answered || c.downstream == nil {
		return
	}
	class := c.class(req)
	if req.call.attempted && !calls.MayRepeat(class.Idempotency, req.call.outcome) {
		c.logf("dispatch: call withheld, an earlier attempt may have run: run=%s", req.RunID)
		c.respond(req, failed(reasonCallUncertain))
		// The decision module assumes that the call is in flight, and must be notified that it is not.
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

// skipCall resumes a run without its call. The protocol of the worker pool has no message for a skipped call, so
// the run gets an empty reply.
func (c *Core) skipCall(req *request) {
	if req == nil || req.state != stateBlocked || req.answered {
		return
	}
	c.resume(req, nil)
}

// CallEnded reports the outcome of a call that Downstream.Call made. reply is set only with calls.Answered; the core
// keeps it.
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
	req.call.recordOutcome(outcome)
}

// resume passes to a run the reply to its call.
func (c *Core) resume(req *request, reply []byte) {
	req.state, req.call = stateRunning, nil
	if backend, ok := c.backend.(CallingBackend); ok {
		backend.DeliverReply(req.RunID, reply)
	}
}

// abandonCall stops waiting for a call in flight, as its request is answered or its run has ended or is stopped.
func (c *Core) abandonCall(req *request) {
	if req.state != stateCalling {
		return
	}
	req.state = stateBlocked
	req.call.recordOutcome(calls.Abandoned)
	c.downstream.Abandon(req.RunID)
}
