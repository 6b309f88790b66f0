package control

import "time"

// answerLeadTime is how long before they are due answers are sent.
const answerLeadTime = 10 * time.Millisecond

// requestFinished forgets a request that has ended and learns from it.
func (c *Controller) requestFinished(event RequestFinished) {
	req := c.requests.byID[event.ID]
	if req == nil || req.state == stateQueued || event.Outcome == OutcomeAlreadyEnded {
		return
	}
	replayed := req.state == stateReplaying
	c.remove(req)
	if event.Outcome == OutcomeRejected {
		c.undoArrival(req)
	}
	if replayed {
		return // The result of another run says nothing of the machine.
	}
	switch event.Outcome {
	case OutcomeOK:
		c.learnFrom(req)
	case OutcomeError:
		if !req.answered { // Otherwise it was failed here.
			c.health.runFailed()
		}
	default: // The host stopped it: that says nothing of the machine.
	}
}

// learnFrom learns from a request that ran to its end.
func (c *Controller) learnFrom(req *request) {
	class := c.classes.of(req)
	c.health.runSucceeded()
	class.requestCompleted()
	c.limiter.epochWork += class.slotSeconds(req.CostHint)
	c.learnSlotTime(req, req.slotTime)
	class.callsPerRequest.add(req.callsSucceeded)
	class.service.add((c.now - req.startedAt).Seconds())
	if !req.answered {
		class.addLatency(c.now - req.arrivedAt)
	}
}

// learnSlotTime learns from the slot time of a request that has ended, or is stopped and would have taken longer yet.
func (c *Controller) learnSlotTime(req *request, took time.Duration) {
	class := c.classes.of(req)
	usualSeconds := c.slowdown.completed(class.slotSeconds(req.CostHint), took)
	class.slot.add(usualSeconds)
}

// requestCancelled ends or stops a request whose caller has left.
func (c *Controller) requestCancelled(event RequestCancelled) {
	if req := c.requests.byID[event.ID]; req != nil {
		c.releaseCaller(req)
	}
}

// releaseCaller ends or stops a request that is answered or whose caller has left: what never ran ends, and idempotent
// runs are preempted where they can be. Runs with an idempotency key go on, as a repeat may want their result.
func (c *Controller) releaseCaller(req *request) {
	req.answered = true
	if req.neverRan() {
		c.releaseKey(req)
		c.remove(req)
		return
	}
	if c.settings.Preemption != PreemptNever && req.state == stateRunning &&
		c.classes.of(req).Idempotency == Idempotent {
		c.emit(Preempt{ID: req.ID})
	}
}

// answerOverdue fails requests that are nearly due, all of them just before the process is stopped, and those that run
// in vain.
func (c *Controller) answerOverdue() {
	for _, req := range c.requests.open() {
		if !req.answered && (c.now >= req.dueAt-answerLeadTime || c.drain.answersAreDue(c.now)) {
			c.fail(req)
		} else if c.runsInVain(req) {
			c.learnSlotTime(req, req.slotTime+c.now-req.stateSince)
			c.fail(req)
		}
	}
}

// runsInVain reports whether a request runs past its use while its slot is wanted for work that still has one. This
// guards against the few that take far longer than others: they held a tenth of the slots for answers worth nothing.
func (c *Controller) runsInVain(req *request) bool {
	class := c.classes.of(req)
	return req.state == stateRunning && !req.answered && class.Idempotency == Idempotent && class.LateWeightShare == 0 &&
		c.settings.Preemption == PreemptDiscard && c.limiter.reached && c.now > class.usefulUntil(req)
}

// fail answers a request with an error.
func (c *Controller) fail(req *request) {
	c.emit(Fail{ID: req.ID})
	c.releaseCaller(req)
}
