package control

import (
	"slices"
	"time"
)

const (
	// answerLeadTime is how long before they are due answers are sent.
	answerLeadTime = 10 * time.Millisecond
)

func (c *Controller) requestFinished(e RequestFinished) {
	r := c.requests[e.ID]
	if r == nil || r.state == stateQueued || e.Outcome == OutcomeAlreadyEnded {
		return
	}
	was := r.state
	c.remove(r)
	if e.Outcome == OutcomeRejected {
		c.undoArrival(r)
	}
	// What was joined, or failed by ourselves, says nothing of the machine.
	if e.Outcome == OutcomeError && !r.answered && was != stateReplaying {
		c.health.runFailed()
	}
	if e.Outcome != OutcomeOK || was == stateReplaying {
		return
	}
	k := c.classes[r.Class]
	c.health.runSucceeded()
	k.rejectedShare.add(0)
	k.recentOutcomes++
	c.limiter.epochWork += c.slotSeconds(r)
	c.learnSlotTime(r, r.slotTime)
	k.callsPerRequest.add(r.callsSucceeded)
	k.service.add((c.now - r.startedAt).Seconds())
	if !r.answered {
		k.latencies = append(k.latencies, (c.now - r.arrivedAt).Seconds())
		k.latencies = k.latencies[max(0, len(k.latencies)-sampleWindow):]
	}
}

// learnSlotTime learns from the slot time of r, which has ended, or is stopped and would have taken longer yet.
func (c *Controller) learnSlotTime(r *request, took time.Duration) {
	usualSeconds := c.slowdown.completed(c.slotSeconds(r), took)
	c.classOf(r).slot.add(usualSeconds)
}

// releaseCaller lets go of what is answered or whose caller left: what never ran ends, safe runs stop where they
// can. Keyed work goes on: a repeat joins it.
func (c *Controller) releaseCaller(r *request) {
	r.answered = true
	if r.state == stateQueued || r.state == stateReplaying {
		c.releaseKey(r)
		c.remove(r)
	} else if c.settings.Preemption != PreemptNever && r.state == stateRunning &&
		c.classes[r.Class].Idempotency == Idempotent {
		c.emit(Preempt{r.ID})
	}
}

// answerOverdue fails whatever nears its due time, and everything just before the process is stopped.
func (c *Controller) answerOverdue() {
	c.requestOrder = slices.DeleteFunc(c.requestOrder, func(r *request) bool { return c.requests[r.ID] != r })
	for _, r := range c.requestOrder {
		if !r.answered && (c.now >= r.dueAt-answerLeadTime || c.draining && c.now >= c.stopAt-2*tickInterval) {
			c.fail(r)
		} else if c.runsInVain(r) {
			c.learnSlotTime(r, r.slotTime+c.now-r.stateSince)
			c.fail(r)
		}
	}
}

// runsInVain says that r runs past its use while its slot is wanted for work that still has one. Guards against
// the few that take far longer than others: they held a tenth of the slots for answers worth nothing.
func (c *Controller) runsInVain(r *request) bool {
	k := c.classes[r.Class]
	return r.state == stateRunning && !r.answered && k.Idempotency == Idempotent && k.LateWeightShare == 0 &&
		c.settings.Preemption == PreemptDiscard && c.limiter.reached && c.now > c.usefulUntil(r)
}

func (c *Controller) fail(r *request) {
	c.emit(Fail{r.ID})
	c.releaseCaller(r)
}
