package control

import (
	"math"
	"time"
)

const (
	// priorityShareStep (gamma of UTSLO), over the mean CV, is by how much the share of the priority classes falls
	// while they meet their targets.
	priorityShareStep = 0.05
	// priorityShareGrowth (beta of UTSLO) is by what share of itself it grows when the worst class misses its target.
	priorityShareGrowth = 0.25
	// minPriorityShare and maxPriorityShare bound it: neither lane is ever shut.
	minPriorityShare = 0.5
	maxPriorityShare = 0.95
	// minBudgetShare is the part of the latency objective that a queue budget keeps when the service time outgrows
	// the mean latency; it keeps the order of the objectives.
	minBudgetShare = 1.0 / 8
)

// fitBudgets recomputes each class's budget and alpha from the windows.
func (c *Controller) fitBudgets() {
	worst, least, sure, cvSum, n := 0.0, math.Inf(1), 1.0, 0.0, 0.0
	for _, k := range c.classes {
		k.measure()
		m := meanLatencyBudget(k.cv, k.LatencyObjective, k.Deadline)
		// Departure: S may outgrow M, and a budget under zero would order by service time alone.
		k.queueBudget = max(m-seconds(k.service.value), seconds(minBudgetShare*k.LatencyObjective.Seconds()))
		if !k.bestEffort {
			// Departure: who is turned away is disengaged too. Latencies alone tell nothing of them, and the more
			// of a class were given up, the more of its slots went to best effort.
			u := k.disengagement + k.rejectedShare.value
			worst, least = math.Max(worst, u/disengagementTarget), math.Min(least, u/disengagementTarget)
			cvSum, n = cvSum+math.Max(k.cv, minCV), n+1
			sure = math.Min(sure, float64(len(k.latencies))/sampleWindow)
		}
	}
	if worst > maxTargetRatio {
		c.priorityShare = math.Min(c.priorityShare*(1+sure*priorityShareGrowth), maxPriorityShare)
	} else if least < minTargetRatio {
		c.priorityShare = math.Max(c.priorityShare-sure*priorityShareStep*n/cvSum, minPriorityShare)
	}
}

func (c *Controller) dueToStart(r *request) time.Duration {
	return r.arrivedAt + c.classes[r.Class].queueBudget
}

func (c *Controller) byDueStart(a, b *request) int { return int(c.dueToStart(a) - c.dueToStart(b)) }

// nextToStart returns what to start next: with chance alpha the earliest due of the other classes, else the next of
// best effort; the side that holds nothing yields.
func (c *Controller) nextToStart() *request {
	var first, best *request
	for i := range c.classes {
		k := c.classes[(c.nextBestEffort+i)%len(c.classes)]
		if len(k.queue) == 0 || k.MakesCalls && c.stateCounts[stateAwaitingCall] > 0 &&
			float64(c.stateCounts[stateAwaitingCall]) >= c.calls.maxInFlight() {
			continue // more work with calls would only pile up at its call
		}
		if r := k.queue[0]; k.bestEffort && best == nil {
			best = r
		} else if !k.bestEffort && (first == nil || c.byDueStart(r, first) < 0) {
			first = r
		}
	}
	if best == nil || first != nil && c.rng.Float64() < c.priorityShare {
		return first
	}
	c.nextBestEffort = best.Class + 1
	return best
}

// startQueued fills the free slots.
func (c *Controller) startQueued() {
	c.limiter.reached = false
	for r := c.nextToStart(); r != nil; r = c.nextToStart() {
		if c.isTooLate(r) {
			c.reject(r, true)
			continue
		} else if !c.canStart(r) {
			return
		}
		r.startedAt = c.now
		c.memory.requestStarted(r.QueuedKB)
		c.keys.requestStarted(r.ID)
		c.transition(r, stateRunning)
		c.emit(Start{r.ID})
	}
}

// canStart checks the concurrency limit, then the guards on memory and on the concurrency that the server survives.
func (c *Controller) canStart(r *request) bool {
	running := c.stateCounts[stateRunning]
	if c.limiter.checkReached(running) {
		return false
	}
	if c.health.reason != reasonNone && running > 0 {
		return false // An unhealthy machine is probed with one run at a time.
	}
	concurrency := running + c.stateCounts[stateAwaitingCall] + c.calls.occupied()
	return c.ceiling.allows(c.now, concurrency+1) && c.memory.fitsRun(c.keys.live, r.QueuedKB)
}
