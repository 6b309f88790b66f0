package control

import (
	"slices"
	"time"
)

const (
	// callBackoff is the pause before the next attempt of a call; it doubles each time.
	callBackoff = 50 * time.Millisecond
	// maxBackoffDoublings bounds the pause.
	maxBackoffDoublings = 6
	// maxCallAttempts bounds the attempts of a call of an idempotent request.
	maxCallAttempts = 3
)

// callNeeded queues a running request for its call.
func (c *Controller) callNeeded(event CallNeeded) {
	if r := c.requests.byID[event.ID]; r != nil && r.state == stateRunning {
		c.transition(r, stateAwaitingCall)
	}
}

// grantCalls makes the calls that requests wait for, the earliest due first, and ends the requests for which a call
// comes too late.
func (c *Controller) grantCalls() {
	waiting := slices.DeleteFunc(slices.Clone(c.requests.ordered), func(r *request) bool {
		return r.state != stateAwaitingCall || r.answered
	})
	slices.SortStableFunc(waiting, c.classes.byDueStart)
	requiredStock := c.calls.requiredStock()
	for _, r := range waiting {
		class := c.classes.of(r)
		switch {
		case c.now > class.usefulUntil(r) && class.LateWeightShare == 0 && class.Idempotency == Idempotent:
			c.fail(r)
		case r.stateSince > c.now: // Its last call failed a moment ago.
		case c.calls.allows(requiredStock):
			timeout := c.calls.timeout(r.dueAt - c.now)
			c.transition(r, stateCalling)
			c.emit(Call{ID: r.ID, Timeout: timeout})
		case class.SkippedCallWeightShare > 0 && c.now+c.serviceTime(r) > class.usefulUntil(r):
			c.transition(r, stateRunning)
			c.emit(SkipCall{ID: r.ID})
		}
	}
}

// callFinished goes on with a request whose call has ended, or has it wait for the next attempt. A call that may have
// taken effect is never repeated for a request that is not idempotent.
func (c *Controller) callFinished(event CallFinished) {
	r := c.requests.byID[event.ID]
	if r == nil || r.state != stateCalling {
		return
	}
	if event.Outcome == OutcomeTimeout {
		c.calls.abandoned(c.now)
	}
	if event.Outcome == OutcomeOK {
		c.calls.succeeded(event.Took)
		r.callsSucceeded++
		c.transition(r, stateRunning)
		return
	}
	c.transition(r, stateAwaitingCall)
	// The backoff keeps a storm of calls away from a dependency that is overloaded already.
	r.stateSince = c.now + callBackoff<<min(r.callsFailed, maxBackoffDoublings)
	r.callsFailed++
	final := c.classes.of(r).Idempotency != Idempotent || r.callsFailed >= maxCallAttempts
	if !event.Outcome.provesNotRun() && final && !r.answered {
		c.fail(r)
	}
}
