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

// loadPlan adds the queued requests in the order of their starts and sums the work before each of them. If a request
// would start too late, the least valuable one planned so far is shed.
type loadPlan struct {
	controller *Controller
	planned    []*request
	slots      float64 // requests that run at once
	work       float64 // slot seconds of the planned requests
	calls      float64 // calls of the planned requests
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
	// Priority requests that have yet to arrive will be started before best effort.
	plan.addLane(true, math.Max(rate-c.demand.priorityLoad, rate/bestEffortRateDivisor))
	for c.memoryUse() > memoryHighWater && len(plan.planned) > 0 {
		plan.shedLeastValuable(false)
	}
}

// addLane plans the queued requests of a lane that is served at rate, in slot seconds per second.
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
		// Unlike UTSLO: calls are a second queue behind the first, with a capacity of their own.
		callsLate := class.MakesCalls && p.controller.now+p.controller.calls.wait(p.calls) > latestStart
		p.calls += class.callsPerRequest.value
		if startsLate || callsLate {
			p.shedLeastValuable(!startsLate)
		}
	}
}

// shedLeastValuable rejects the least valuable planned request; with forCalls, of the requests that make calls.
func (p *loadPlan) shedLeastValuable(forCalls bool) {
	victim := p.leastValuable(forCalls)
	req := p.planned[victim]
	class := p.controller.classes.of(req)
	p.work -= class.slotSeconds(req.CostHint)
	p.calls -= class.callsPerRequest.value
	p.controller.reject(req, false)
	p.planned = slices.Delete(p.planned, victim, victim+1)
}

// leastValuable returns the index of the planned request with the lowest weight per work, the last one of equals. With
// forCalls it is the one with the lowest weight per call, of the requests that make calls.
func (p *loadPlan) leastValuable(forCalls bool) int {
	victim, lowest := len(p.planned)-1, math.Inf(1)
	for i, req := range p.planned {
		class := p.controller.classes.of(req)
		if forCalls && !class.MakesCalls {
			continue
		}
		value := p.controller.weightForWork(req)
		if forCalls {
			value *= class.slotSeconds(req.CostHint) / math.Max(class.callsPerRequest.value, minCallsPerRequest)
		}
		if value <= lowest {
			victim, lowest = i, value
		}
	}
	return victim
}

// weightForWork is the weight that a request earns per slot second.
func (c *Controller) weightForWork(req *request) float64 {
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
