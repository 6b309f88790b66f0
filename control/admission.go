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
	req := &request{RequestArrived: event, arrivedAt: c.now - event.Age, dueAt: event.Deadline}
	class := c.classes.of(req)
	if !c.settings.DeadlinePropagated || event.Deadline == 0 {
		req.dueAt = req.arrivedAt + class.Deadline
	}
	c.requests.add(req)
	c.memory.requestQueued(req.QueuedKB)
	c.demand.requestArrived(req.Retry)
	c.signal.requestArrived(req.Caller)
	c.connections.requestArrived(req.Caller, req.arrivedAt, c.now)
	req.overQuota = c.quotas.charge(req.Tenant, req.Retry)
	if req.CostHint > 0 {
		class.costHint.add(req.CostHint.Seconds())
	}
	if req.Original != 0 && c.replayOriginal(req) {
		return
	}
	if !class.bestEffort {
		c.demand.priorityRequestArrived(class.slotSeconds(req.CostHint))
	}
	class.enqueue(req)
	if !c.retainKey(req) || c.mayNotStart(req) {
		c.reject(req, false)
	}
}

// serviceTime is the time from start to end that a request should take at present, with the margin of its class.
func (c *Controller) serviceTime(req *request) time.Duration {
	class := c.classes.of(req)
	slotSeconds := class.slotSeconds(req.CostHint) * c.slowdown.factor
	callSeconds := class.callsPerRequest.value * c.calls.callSeconds()
	return seconds(class.serviceMargin * (slotSeconds + callSeconds))
}

// mayNotStart reports whether a request must not be run here, however short the queue is.
func (c *Controller) mayNotStart(req *request) bool {
	if c.drain.forbids(req.arrivedAt+req.Age, c.now+c.serviceTime(req)) {
		return true
	}
	class := c.classes.of(req)
	return c.health.reason != reasonNone && (class.Idempotency != Idempotent || len(class.queue) > 1)
}

// isTooLate reports whether a request cannot be answered in time to be worth its work. Late answers are for idle
// times.
func (c *Controller) isTooLate(req *request) bool {
	class := c.classes.of(req)
	latest := class.usefulUntil(req)
	if class.LateWeightShare > 0 && c.requests.counts[stateQueued] <= c.settings.Cores {
		latest = req.dueAt
	}
	return c.now+c.serviceTime(req) > latest || c.drain.requested && c.mayNotStart(req)
}

// reject rejects a request that never ran. The advised pause grows with the share of rejections. What is past its use,
// or would meet only overloaded servers or add to late reading, should not be retried elsewhere.
func (c *Controller) reject(req *request, noRetry bool) {
	class := c.classes.of(req)
	c.demand.rejections++
	if !req.overQuota && !c.rejectsAll() {
		class.requestRejected()
		c.signal.requestRejected()
	}
	rejectedShare := math.Min(c.demand.rejectedShare(), 1)
	fleetLoad := rejectedShare // How overloaded the other servers are.
	if c.settings.RetriesMarked {
		fleetLoad = c.demand.retryRatio()
	}
	readLate := req.Age > seconds(lateReadShare*class.LatencyObjective.Seconds())
	noRetry = noRetry || c.now > class.usefulUntil(req) || fleetLoad > overloadedShare ||
		rejectedShare > overloadedShare && readLate
	pause := rejectedShare
	if c.rejectsAll() {
		pause = 1
	}
	retryAfter := time.Duration(pause * float64(c.settings.MaxRetryAfter))
	c.emit(Reject{ID: req.ID, NoRetry: noRetry, RetryAfter: retryAfter})
	c.releaseKey(req)
	c.remove(req)
}

// undoArrival takes back what the arrival of a request counted, as nobody had asked for it. This guards against bursts
// of made-up requests: a server that rejected nearly all that was real took itself for one with capacity to spare.
func (c *Controller) undoArrival(req *request) {
	c.demand.undoArrival(req.Retry)
	c.signal.undoArrival()
	if !req.Retry && !req.overQuota {
		c.quotas.refund(req.Tenant)
	}
	if class := c.classes.of(req); !class.bestEffort && req.Original == 0 {
		c.demand.undoPriorityArrival(class.slotSeconds(req.CostHint))
	}
}
