package control

import "time"

// answerLeadTime is how long before its deadline an open request is failed.
const answerLeadTime = 10 * time.Millisecond

// requestFinished removes a request that has ended and updates the estimates with it.
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
		return // A replayed result says nothing about this machine.
	}
	switch event.Outcome {
	case OutcomeOK:
		c.learnFrom(req)
	case OutcomeError:
		if !req.answered { // Otherwise the controller has failed the request itself.
			c.health.runFailed()
		}
	default: // The host stopped the run, which says nothing about the machine.
	}
}

// learnFrom updates the estimates with a successful run.
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

// learnSlotTime updates the slot time estimates with a run that has ended or was stopped. For a stopped run, took is a
// lower bound of its slot time.
func (c *Controller) learnSlotTime(req *request, took time.Duration) {
	class := c.classes.of(req)
	usualSeconds := c.slowdown.completed(class.slotSeconds(req.CostHint), took)
	class.slot.add(usualSeconds)
}

// requestCancelled ends or stops a request that needs no answer any more.
func (c *Controller) requestCancelled(event RequestCancelled) {
	if req := c.requests.byID[event.ID]; req != nil {
		c.endOrPreempt(req)
	}
}

// endOrPreempt ends or stops a request that needs no answer any more. A request that never ran ends, and an idempotent
// run is preempted if the settings permit that. A run with an idempotency key continues, as a repeat of the request may
// need its result.
func (c *Controller) endOrPreempt(req *request) {
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

// answerOverdue fails the requests whose deadline is near and those that shouldPreempt reports. Just before the process
// is stopped it fails every open request.
func (c *Controller) answerOverdue() {
	for _, req := range c.requests.open() {
		if !req.answered && (c.now >= req.dueAt-answerLeadTime || c.drain.mustAnswerAll(c.now)) {
			c.fail(req)
		} else if c.shouldPreempt(req) {
			c.learnSlotTime(req, req.slotTime+c.now-req.stateSince)
			c.fail(req)
		}
	}
}

// shouldPreempt reports whether the answer to a running request is already too late to earn any weight while its slot
// is needed for others. This prevents the few requests that take far longer than others from occupying the slots.
func (c *Controller) shouldPreempt(req *request) bool {
	class := c.classes.of(req)
	return req.state == stateRunning && !req.answered && class.Idempotency == Idempotent && class.LateWeightShare == 0 &&
		c.settings.Preemption == PreemptDiscard && c.limiter.reached && c.now > class.usefulUntil(req)
}

// fail answers a request with an error.
func (c *Controller) fail(req *request) {
	c.emit(Fail{ID: req.ID})
	c.endOrPreempt(req)
}
