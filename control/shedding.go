package control

import (
	"math"
	"slices"
)

const (
	// bestEffortRateDivisor divides the throughput into the least part that best effort is planned with.
	bestEffortRateDivisor = 10
	// minCallsPerRequest keeps the weight for each call finite where a class hardly calls.
	minCallsPerRequest = 0.1
)

// shedLoad walks the held work in the order of its starts; where one would come too late, the least worth before
// it is turned away.
func (c *Controller) shedLoad() {
	var taken []*request
	slots, work, calls := math.Max(1, c.limiter.limit), 0.0, float64(c.stateCounts[stateAwaitingCall])
	if float64(c.stateCounts[stateRunning]) >= slots {
		work = c.slowdown.slotSeconds.value / slots
	}
	shed := func(forCalls bool) {
		v := c.leastValuable(taken, forCalls)
		work -= c.slotSeconds(taken[v])
		calls -= c.classes[taken[v].Class].callsPerRequest.value
		c.reject(taken[v], false)
		taken = slices.Delete(taken, v, v+1)
	}
	for _, best := range []bool{false, true} {
		rate := slots / c.slowdown.factor
		if best {
			rate = math.Max(rate-c.demand.priorityLoad, rate/bestEffortRateDivisor)
		}
		var lane []*request
		for _, k := range c.classes {
			if k.bestEffort == best {
				lane = append(lane, k.queue...)
			}
		}
		slices.SortStableFunc(lane, c.byDueStart)
		for _, r := range lane {
			k, limit := c.classes[r.Class], c.usefulUntil(r)-c.serviceTime(r)
			taken = append(taken, r)
			late := c.now+seconds(work/rate) > limit
			work += c.slotSeconds(r)
			// Departure: calls are a second queue behind the first, with a bound and a shortage of their own.
			lateCall := k.MakesCalls && c.now+c.calls.wait(calls) > limit
			calls += k.callsPerRequest.value
			if late || lateCall {
				shed(!late)
			}
		}
	}
	for c.memoryUse() > memoryHighWater && len(taken) > 0 {
		shed(false)
	}
}

// leastValuable is the index of the least worth for its work, the last of equals. For calls, only requests that call
// are asked, by their worth a call.
func (c *Controller) leastValuable(rs []*request, forCalls bool) int {
	v, low := len(rs)-1, math.Inf(1)
	for i, r := range rs {
		w, k := c.weightPerWork(r), c.classes[r.Class]
		if forCalls {
			w *= c.slotSeconds(r) / math.Max(k.callsPerRequest.value, minCallsPerRequest)
		}
		if w <= low && (k.MakesCalls || !forCalls) {
			v, low = i, w
		}
	}
	return v
}
