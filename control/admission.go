package control

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// overloadedShare is the share of rejections or of retries above which the whole fleet is taken to be overloaded.
	overloadedShare = 0.5
	// lateReadShare is the part of the latency objective after which a request was read so late that reading itself is
	// what is short.
	lateReadShare = 1.0 / 8
)

func (c *Controller) requestArrived(a RequestArrived) {
	if a.Class < 0 || a.Class >= len(c.classes) {
		c.emit(Fail{a.ID}) // nothing is known of it but that it is owed an answer
		return
	}
	k := c.classes[a.Class]
	r := &request{RequestArrived: a, arrivedAt: c.now - a.Age, dueAt: a.Deadline}
	if !c.settings.DeadlinePropagated || a.Deadline == 0 {
		r.dueAt = r.arrivedAt + k.Deadline
	}
	c.requests[a.ID], c.requestOrder = r, append(c.requestOrder, r)
	c.stateCounts[stateQueued]++
	c.demand.requestArrived(r.Retry)
	c.signal.requestArrived(r.Caller)
	c.memory.requestQueued(a.QueuedKB)
	c.connections.requestArrived(r.Caller, r.arrivedAt, c.now)
	r.overQuota = c.quotas.charge(r.Tenant, r.Retry)
	if a.CostHint > 0 {
		k.costHint.add(a.CostHint.Seconds())
	}
	if a.Original != 0 && c.replayOriginal(r) {
		return
	}
	if !k.bestEffort {
		c.demand.priorityRequestArrived(c.slotSeconds(r))
	}
	k.queue = append(k.queue, r)
	slices.SortStableFunc(k.queue, func(a, b *request) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	if !c.retainKey(r) || c.mayNotStart(r) {
		c.reject(r, false)
	}
}

// mayNotStart says that r cannot be run here whatever waits.
func (c *Controller) mayNotStart(r *request) bool {
	k, late := c.classes[r.Class], r.arrivedAt+r.Age > c.drainRequestedAt+c.settings.DrainGrace ||
		c.now+c.serviceTime(r) > c.stopAt
	return c.draining && late || c.health.reason != reasonNone && (k.Idempotency != Idempotent || len(k.queue) > 1)
}

// isTooLate says that r cannot be answered in time to be worth its work. Late answers are for idle times.
func (c *Controller) isTooLate(r *request) bool {
	use := c.usefulUntil(r)
	if c.classes[r.Class].LateWeightShare > 0 && c.stateCounts[stateQueued] <= c.settings.Cores {
		use = r.dueAt
	}
	return c.now+c.serviceTime(r) > use || c.draining && c.mayNotStart(r)
}

// reject rejects a request that never ran. The advised pause grows with the share of rejections. What is past its use,
// or would meet only overloaded servers or add to late reading, should not be retried elsewhere.
func (c *Controller) reject(r *request, noRetry bool) {
	class := c.classOf(r)
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
	noRetry = noRetry || c.now > c.usefulUntil(r) || fleetLoad > overloadedShare ||
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
	if !c.classOf(r).bestEffort && r.Original == 0 {
		c.demand.undoPriorityArrival(c.slotSeconds(r))
	}
}
