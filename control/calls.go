package control

import (
	"slices"
	"time"
)

const (
	// callBackoff is the pause before the second attempt of a call; it doubles with each further attempt.
	callBackoff = 50 * time.Millisecond
	// maxBackoffDoublings bounds the backoff at callBackoff << maxBackoffDoublings.
	maxBackoffDoublings = 6
	// maxCallAttempts bounds the attempts of a call of an idempotent request.
	maxCallAttempts = 3
)

// callNeeded queues a running request for permission to make its call.
func (c *Controller) callNeeded(event CallNeeded) {
	if req := c.requests.byID[event.ID]; req != nil && req.state == stateRunning {
		c.transition(req, stateAwaitingCall)
	}
}

// grantCalls makes the calls that requests wait for, in the order in which the requests were due to start, while the
// call budget permits. It fails idempotent requests that can no longer be answered in time. It skips a call if the
// request would be late and its class permits that.
func (c *Controller) grantCalls() {
	waiting := slices.DeleteFunc(slices.Clone(c.requests.ordered), func(req *request) bool {
		return req.state != stateAwaitingCall || req.answered
	})
	slices.SortStableFunc(waiting, c.classes.byDueStart)
	requiredTokens := c.calls.requiredTokens()
	for _, req := range waiting {
		class := c.classes.of(req)
		switch {
		case c.now > class.usefulUntil(req) && class.LateWeightShare == 0 && class.Idempotency == Idempotent:
			c.fail(req)
		case req.stateSince > c.now: // The backoff after a failed attempt is not over.
		case c.calls.allows(requiredTokens):
			timeout := c.calls.timeout(req.dueAt - c.now)
			c.transition(req, stateCalling)
			c.emit(Call{ID: req.ID, Timeout: timeout})
		case class.SkippedCallWeightShare > 0 && c.now+c.serviceTime(req) > class.usefulUntil(req):
			c.transition(req, stateRunning)
			c.emit(SkipCall{ID: req.ID})
		}
	}
}

// callFinished resumes a request whose call has succeeded. After any other outcome the request waits for the next
// attempt of the call, or fails if there is none. If the request is not idempotent, a call that may have taken effect
// is never repeated.
func (c *Controller) callFinished(event CallFinished) {
	req := c.requests.byID[event.ID]
	if req == nil || req.state != stateCalling {
		return
	}
	if event.Outcome == OutcomeTimeout {
		c.calls.callAbandoned(c.now)
	}
	if event.Outcome == OutcomeOK {
		c.calls.callSucceeded(event.Took)
		req.callsSucceeded++
		c.transition(req, stateRunning)
		return
	}
	c.transition(req, stateAwaitingCall)
	// The backoff prevents retries from overloading the dependency further.
	req.stateSince = c.now + callBackoff<<min(req.callsFailed, maxBackoffDoublings)
	req.callsFailed++
	final := c.classes.of(req).Idempotency != Idempotent || req.callsFailed >= maxCallAttempts
	if !event.Outcome.provesNotRun() && final && !req.answered {
		c.fail(req)
	}
}
