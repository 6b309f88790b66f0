package control

import (
	"math"
	"slices"
)

const (
	// bestEffortRateDivisor sets the minimum throughput planned for best effort: the total divided by it.
	bestEffortRateDivisor = 10
	// minCallsPerRequest keeps the weight per call finite for a class that rarely makes calls.
	minCallsPerRequest = 0.1
)

// loadPlan adds the queued requests in the order of their starts and sums up the work before each of them. If a request
// would start too late, the least valuable request planned so far is shed.
type loadPlan struct {
	controller *Controller
	planned    []*request
	slots      float64 // requests that run at once
	work       float64 // slot seconds of the planned requests
	calls      float64 // calls of the planned requests and of those that wait for permission to call
}

// shedLoad rejects queued requests if not all of them can be answered in time or held in memory.
func (c *Controller) shedLoad() {
	plan := loadPlan{
		controller: c,
		slots:      math.Max(1, c.limiter.limit),
		calls:      float64(c.requests.counts[stateAwaitingCall]),
	}
	if float64(c.requests.counts[stateRunning]) >= plan.slots {
		plan.work = c.slowdown.slotSeconds.value / plan.slots
	}
	rate := plan.slots / c.slowdown.factor
	plan.addLane(false, rate)
	// Priority requests that are yet to arrive will be started before the queued best-effort requests.
	plan.addLane(true, math.Max(rate-c.demand.priorityLoad, rate/bestEffortRateDivisor))
	for c.memoryUse() > memoryHighWater && len(plan.planned) > 0 {
		plan.shedLeastValuable(false)
	}
}

// addLane plans the queued requests of one lane, which is served at rate slot seconds per second.
func (p *loadPlan) addLane(bestEffort bool, rate float64) {
	var lane []*request
	for _, class := range p.controller.classes.all {
		if class.bestEffort == bestEffort {
			lane = append(lane, class.queue...)
		}
	}
	slices.SortStableFunc(lane, p.controller.classes.byDueStart)
	for _, req := range lane {
		class := p.controller.classes.of(req)
		latestStart := class.usefulUntil(req) - p.controller.serviceTime(req)
		p.planned = append(p.planned, req)
		startsLate := p.controller.now+seconds(p.work/rate) > latestStart
		p.work += class.slotSeconds(req.CostHint)
		// Unlike in UTSLO, requests that make calls wait in a second queue, which is limited by the calls in flight.
		callsLate := class.MakesCalls && p.controller.now+p.controller.calls.wait(p.calls) > latestStart
		p.calls += class.callsPerRequest.value
		if startsLate || callsLate {
			p.shedLeastValuable(!startsLate)
		}
	}
}

// shedLeastValuable rejects the planned request that leastValuable selects.
func (p *loadPlan) shedLeastValuable(perCall bool) {
	victim := p.leastValuable(perCall)
	req := p.planned[victim]
	class := p.controller.classes.of(req)
	p.work -= class.slotSeconds(req.CostHint)
	p.calls -= class.callsPerRequest.value
	p.controller.reject(req, false)
	p.planned = slices.Delete(p.planned, victim, victim+1)
}

// leastValuable returns the index of the planned request with the lowest weight for its work, the last one of equals.
// If perCall is set, it is the request with the lowest weight per call among those that make calls.
func (p *loadPlan) leastValuable(perCall bool) int {
	victim, lowest := len(p.planned)-1, math.Inf(1)
	for i, req := range p.planned {
		class := p.controller.classes.of(req)
		if perCall && !class.MakesCalls {
			continue
		}
		value := p.controller.weightPerSlotSecond(req)
		if perCall {
			value *= class.slotSeconds(req.CostHint) / math.Max(class.callsPerRequest.value, minCallsPerRequest)
		}
		if value <= lowest {
			victim, lowest = i, value
		}
	}
	return victim
}

// weightPerSlotSecond returns the weight that a request earns per second of its slot time.
func (c *Controller) weightPerSlotSecond(req *request) float64 {
	class := c.classes.of(req)
	weight := class.Weight
	if req.overQuota {
		weight *= c.settings.OverQuotaWeightShare
	}
	if c.settings.WeightPerWork {
		return weight
	}
	return weight / class.slotSeconds(req.CostHint)
}
