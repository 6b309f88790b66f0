package control

import (
	"math"
	"time"
)

const (
	// overloadedShare is the share of rejections or of retries above which the whole fleet is taken to be overloaded.
	overloadedShare = 0.5
	// lateReadShare is the part of the latency objective after which a request was read so late that reading itself is
	// what is short.
	lateReadShare = 1.0 / 8
)

// requestArrived counts, queues or rejects a request that was just read.
func (c *Controller) requestArrived(event RequestArrived) {
	if event.Class < 0 || event.Class >= len(c.classes.all) {
		c.emit(Fail{ID: event.ID}) // Nothing is known of it but that it is owed an answer.
		return
	}
	r := &request{RequestArrived: event, arrivedAt: c.now - event.Age, dueAt: event.Deadline}
	class := c.classes.of(r)
	if !c.settings.DeadlinePropagated || event.Deadline == 0 {
		r.dueAt = r.arrivedAt + class.Deadline
	}
	c.requests.add(r)
	c.memory.requestQueued(r.QueuedKB)
	c.demand.requestArrived(r.Retry)
	c.signal.requestArrived(r.Caller)
	c.connections.requestArrived(r.Caller, r.arrivedAt, c.now)
	r.overQuota = c.quotas.charge(r.Tenant, r.Retry)
	if r.CostHint > 0 {
		class.costHint.add(r.CostHint.Seconds())
	}
	if r.Original != 0 && c.replayOriginal(r) {
		return
	}
	if !class.bestEffort {
		c.demand.priorityRequestArrived(class.slotSeconds(r.CostHint))
	}
	class.enqueue(r)
	if !c.retainKey(r) || c.mayNotStart(r) {
		c.reject(r, false)
	}
}

// serviceTime is the time from start to end that r should take at present, with the margin of its class.
func (c *Controller) serviceTime(r *request) time.Duration {
	class := c.classes.of(r)
	slotSeconds := class.slotSeconds(r.CostHint) * c.slowdown.factor
	callSeconds := class.callsPerRequest.value * c.calls.callSeconds()
	return seconds(class.serviceMargin * (slotSeconds + callSeconds))
}

// mayNotStart reports whether r must not be run here, however short the queue is.
func (c *Controller) mayNotStart(r *request) bool {
	if c.drain.forbids(r.arrivedAt+r.Age, c.now+c.serviceTime(r)) {
		return true
	}
	class := c.classes.of(r)
	return c.health.reason != reasonNone && (class.Idempotency != Idempotent || len(class.queue) > 1)
}

// isTooLate reports whether r cannot be answered in time to be worth its work. Late answers are for idle times.
func (c *Controller) isTooLate(r *request) bool {
	class := c.classes.of(r)
	latest := class.usefulUntil(r)
	if class.LateWeightShare > 0 && c.requests.counts[stateQueued] <= c.settings.Cores {
		latest = r.dueAt
	}
	return c.now+c.serviceTime(r) > latest || c.drain.requested && c.mayNotStart(r)
}

// reject rejects a request that never ran. The advised pause grows with the share of rejections. What is past its use,
// or would meet only overloaded servers or add to late reading, should not be retried elsewhere.
func (c *Controller) reject(r *request, noRetry bool) {
	class := c.classes.of(r)
	c.demand.rejections++
	if !r.overQuota && !c.rejectsAll() {
		class.requestRejected()
		c.signal.requestRejected()
	}
	rejectedShare := math.Min(c.demand.rejectedShare(), 1)
	fleetLoad := rejectedShare // How overloaded the other servers are.
	if c.settings.RetriesMarked {
		fleetLoad = c.demand.retryRatio()
	}
	readLate := r.Age > seconds(lateReadShare*class.LatencyObjective.Seconds())
	noRetry = noRetry || c.now > class.usefulUntil(r) || fleetLoad > overloadedShare ||
		rejectedShare > overloadedShare && readLate
	pause := rejectedShare
	if c.rejectsAll() {
		pause = 1
	}
	retryAfter := time.Duration(pause * float64(c.settings.MaxRetryAfter))
	c.emit(Reject{ID: r.ID, NoRetry: noRetry, RetryAfter: retryAfter})
	c.releaseKey(r)
	c.remove(r)
}

// undoArrival takes back what the arrival of r counted, as nobody had asked for it. This guards against bursts of
// made-up requests: a server that rejected nearly all that was real took itself for one with capacity to spare.
func (c *Controller) undoArrival(r *request) {
	c.demand.undoArrival(r.Retry)
	c.signal.undoArrival()
	if !r.Retry && !r.overQuota {
		c.quotas.refund(r.Tenant)
	}
	if class := c.classes.of(r); !class.bestEffort && r.Original == 0 {
		c.demand.undoPriorityArrival(class.slotSeconds(r.CostHint))
	}
}
