package control

import (
	"math"
	"time"
)

const (
	// overloadedShare is the share of rejections, or the ratio of retries to first attempts, above which the whole fleet
	// is assumed to be overloaded.
	overloadedShare = 0.5
	// lateReadShare is a share of the latency objective. If a request was read later than this after its arrival, the
	// server cannot even read its connections fast enough.
	lateReadShare = 1.0 / 8
)

// requestArrived counts, queues or rejects a request that was just read.
func (c *Controller) requestArrived(event RequestArrived) {
	if event.Class < 0 || event.Class >= len(c.classes.all) {
		c.emit(Fail{ID: event.ID}) // The settings do not match the host's; the request must still be answered.
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
	if !c.retainKey(req) || !c.mayRun(req) {
		c.reject(req, false)
	}
}

// serviceTime returns the expected time from the start to the end of a request at the current speed of the machine,
// multiplied by the safety margin of its class.
func (c *Controller) serviceTime(req *request) time.Duration {
	class := c.classes.of(req)
	slotSeconds := class.slotSeconds(req.CostHint) * c.slowdown.factor
	callSeconds := class.callsPerRequest.value * c.calls.callSeconds()
	return seconds(class.serviceMargin * (slotSeconds + callSeconds))
}

// mayRun reports whether a drain and the health of the machine permit running a request, regardless of the load. An
// unhealthy machine accepts one idempotent request of each class at a time, to find out whether it has recovered.
func (c *Controller) mayRun(req *request) bool {
	if c.drain.forbids(req.arrivedAt+req.Age, c.now+c.serviceTime(req)) {
		return false
	}
	if c.health.reason == reasonNone {
		return true
	}
	class := c.classes.of(req)
	return class.Idempotency == Idempotent && len(class.queue) <= 1
}

// isTooLate reports whether the answer to a request would come too late to be worth the work. An answer between the
// latency objective and the deadline is worth it only while the queue is short, and only in a class that earns weight
// for late answers.
func (c *Controller) isTooLate(req *request) bool {
	class := c.classes.of(req)
	latest := class.usefulUntil(req)
	if class.LateWeightShare > 0 && c.requests.counts[stateQueued] <= c.settings.Cores {
		latest = req.dueAt
	}
	return c.now+c.serviceTime(req) > latest
}

// reject rejects a request that never ran. The Retry-After advice grows with the share of rejections. The caller is
// asked not to retry at another server if a retry would come too late, if the whole fleet seems overloaded, or if
// this server is overloaded and reads its connections late.
func (c *Controller) reject(req *request, noRetry bool) {
	class := c.classes.of(req)
	c.demand.rejections++
	if !req.overQuota && !c.rejectsAll() {
		class.requestRejected()
		c.signal.requestRejected()
	}
	rejectedShare := math.Min(c.demand.rejectedShare(), 1)
	fleetLoad := rejectedShare // Estimates how overloaded the other servers are.
	if c.settings.RetriesMarked {
		fleetLoad = c.demand.retryRatio()
	}
	readLate := req.Age > seconds(lateReadShare*class.LatencyObjective.Seconds())
	noRetry = noRetry || c.now > class.usefulUntil(req) || fleetLoad > overloadedShare ||
		rejectedShare > overloadedShare && readLate
	retryAfterShare := rejectedShare
	if c.rejectsAll() {
		retryAfterShare = 1
	}
	retryAfter := time.Duration(retryAfterShare * float64(c.settings.MaxRetryAfter))
	c.emit(Reject{ID: req.ID, NoRetry: noRetry, RetryAfter: retryAfter})
	c.releaseKey(req)
	c.remove(req)
}

// undoArrival removes a request from the counts after the host rejected its run, so that fabricated requests cannot
// lower the share of rejections.
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
