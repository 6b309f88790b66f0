package control

import "time"

// answerLeadTime is how long before they are due answers are sent.
const answerLeadTime = 10 * time.Millisecond

// requestFinished forgets a request that has ended and learns from it.
func (c *Controller) requestFinished(event RequestFinished) {
	r := c.requests.byID[event.ID]
	if r == nil || r.state == stateQueued || event.Outcome == OutcomeAlreadyEnded {
		return
	}
	replayed := r.state == stateReplaying
	c.remove(r)
	if event.Outcome == OutcomeRejected {
		c.undoArrival(r)
	}
	if replayed {
		return // The result of another run says nothing of the machine.
	}
	switch event.Outcome {
	case OutcomeOK:
		c.learnFrom(r)
	case OutcomeError:
		if !r.answered { // Otherwise it was failed here.
			c.health.runFailed()
		}
	default: // The host stopped it: that says nothing of the machine.
	}
}

// learnFrom learns from a request that ran to its end.
func (c *Controller) learnFrom(r *request) {
	class := c.classes.of(r)
	c.health.runSucceeded()
	class.requestCompleted()
	c.limiter.epochWork += class.slotSeconds(r.CostHint)
	c.learnSlotTime(r, r.slotTime)
	class.callsPerRequest.add(r.callsSucceeded)
	class.service.add((c.now - r.startedAt).Seconds())
	if !r.answered {
		class.addLatency(c.now - r.arrivedAt)
	}
}

// learnSlotTime learns from the slot time of r, which has ended, or is stopped and would have taken longer yet.
func (c *Controller) learnSlotTime(r *request, took time.Duration) {
	class := c.classes.of(r)
	usualSeconds := c.slowdown.completed(class.slotSeconds(r.CostHint), took)
	class.slot.add(usualSeconds)
}

// requestCancelled ends or stops a request whose caller has left.
func (c *Controller) requestCancelled(event RequestCancelled) {
	if r := c.requests.byID[event.ID]; r != nil {
		c.releaseCaller(r)
	}
}

// releaseCaller ends or stops a request that is answered or whose caller has left: what never ran ends, and idempotent
// runs are preempted where they can be. Runs with an idempotency key go on, as a repeat may want their result.
func (c *Controller) releaseCaller(r *request) {
	r.answered = true
	if r.neverRan() {
		c.releaseKey(r)
		c.remove(r)
		return
	}
	if c.settings.Preemption != PreemptNever && r.state == stateRunning &&
		c.classes.of(r).Idempotency == Idempotent {
		c.emit(Preempt{ID: r.ID})
	}
}

// answerOverdue fails requests that are nearly due, all of them just before the process is stopped, and those that run
// in vain.
func (c *Controller) answerOverdue() {
	for _, r := range c.requests.open() {
		if !r.answered && (c.now >= r.dueAt-answerLeadTime || c.drain.answersAreDue(c.now)) {
			c.fail(r)
		} else if c.runsInVain(r) {
			c.learnSlotTime(r, r.slotTime+c.now-r.stateSince)
			c.fail(r)
		}
	}
}

// runsInVain reports whether r runs past its use while its slot is wanted for work that still has one. This guards
// against the few that take far longer than others: they held a tenth of the slots for answers worth nothing.
func (c *Controller) runsInVain(r *request) bool {
	class := c.classes.of(r)
	return r.state == stateRunning && !r.answered && class.Idempotency == Idempotent && class.LateWeightShare == 0 &&
		c.settings.Preemption == PreemptDiscard && c.limiter.reached && c.now > class.usefulUntil(r)
}

// fail answers a request with an error.
func (c *Controller) fail(r *request) {
	c.emit(Fail{ID: r.ID})
	c.releaseCaller(r)
}
