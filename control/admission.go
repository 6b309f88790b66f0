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
	c.stateCounts[stateQueued], c.recentArrivals, c.signalArrivals = c.stateCounts[stateQueued]+1,
		c.recentArrivals+1, c.signalArrivals+1
	c.memory.requestQueued(a.QueuedKB)
	c.connections.requestArrived(r.Caller, r.arrivedAt, c.now)
	c.openPerCaller[r.Caller]++
	c.maxOpenPerCaller = max(c.maxOpenPerCaller, c.openPerCaller[r.Caller])
	r.overQuota = c.quotas.charge(r.Tenant, r.Retry)
	if a.Retry {
		c.recentRetries++
	}
	if a.CostHint > 0 {
		k.costHint.add(a.CostHint.Seconds())
	}
	if a.Original != 0 && c.replayOriginal(r) {
		return
	}
	if !k.bestEffort {
		c.priorityLoad += c.slotSeconds(r) / fadeTime.Seconds()
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
	return c.draining && late || c.unhealthyReason != "" && (k.Idempotency != Idempotent || len(k.queue) > 1)
}

// isTooLate says that r cannot be answered in time to be worth its work. Late answers are for idle times.
func (c *Controller) isTooLate(r *request) bool {
	use := c.usefulUntil(r)
	if c.classes[r.Class].LateWeightShare > 0 && c.stateCounts[stateQueued] <= c.settings.Cores {
		use = r.dueAt
	}
	return c.now+c.serviceTime(r) > use || c.draining && c.mayNotStart(r)
}

// reject turns away a request that never ran; the advice grows with the share turned away. What is past its
// use, or would meet only full servers or add to late reading, should not be tried elsewhere.
func (c *Controller) reject(r *request, last bool) {
	c.recentRejections++
	if k := c.classes[r.Class]; !r.overQuota && !c.draining && c.unhealthyReason == "" {
		k.rejectedShare.add(1)
		k.recentOutcomes, k.recentRejections, c.signalRejections = k.recentOutcomes+1, k.recentRejections+1,
			c.signalRejections+1
	}
	deep := math.Min(c.recentRejections/math.Max(c.recentArrivals, 1), 1)
	fleet := deep // how full the others are
	if c.settings.RetriesMarked {
		fleet = c.recentRetries / math.Max(c.recentArrivals-c.recentRetries, 1)
	}
	late := r.Age > seconds(lateReadShare*c.classes[r.Class].LatencyObjective.Seconds())
	last = last || c.now > c.usefulUntil(r) || fleet > overloadedShare || deep > overloadedShare && late
	if c.unhealthyReason != "" || c.draining {
		deep = 1
	}
	c.emit(Reject{ID: r.ID, NoRetry: last, RetryAfter: time.Duration(deep * float64(c.settings.MaxRetryAfter))})
	c.releaseKey(r)
	c.remove(r)
}

// undoArrival takes back what the arrival of r counted, as nobody had asked for it. Guards against bursts of made-up
// requests: a server that turned away nearly all that was real took itself for one with room.
func (c *Controller) undoArrival(r *request) {
	c.recentArrivals, c.signalArrivals = math.Max(c.recentArrivals-1, 0), math.Max(c.signalArrivals-1, 0)
	if r.Retry {
		c.recentRetries = math.Max(c.recentRetries-1, 0)
	} else if !r.overQuota {
		c.quotas.refund(r.Tenant)
	}
	if k := c.classes[r.Class]; !k.bestEffort && r.Original == 0 {
		c.priorityLoad = math.Max(c.priorityLoad-c.slotSeconds(r)/fadeTime.Seconds(), 0)
	}
}
