package control

import (
	"math"
	"math/rand/v2"
)

const (
	// priorityShareStep (gamma of UTSLO), divided by the mean CV, is the decrease of the priority share while the
	// priority classes meet their targets.
	priorityShareStep = 0.05
	// priorityShareGrowth (beta of UTSLO) is the relative increase of the priority share when the worst class misses its
	// target.
	priorityShareGrowth = 0.25
	// minPriorityShare and maxPriorityShare bound the share, so that neither lane is ever starved.
	minPriorityShare = 0.5
	maxPriorityShare = 0.95
)

// laneScheduler splits the slots between two lanes: the priority classes, whose requests start by earliest due start,
// and the best-effort classes, which are served round-robin.
type laneScheduler struct {
	rng            *rand.Rand
	priorityShare  float64 // alpha of UTSLO: the probability that a slot goes to the priority classes
	nextBestEffort int     // class index where the next best-effort scan starts
}

func newLaneScheduler(seed uint64) *laneScheduler {
	return &laneScheduler{rng: rand.New(rand.NewPCG(seed, 0)), priorityShare: maxPriorityShare}
}

// next returns the queued request to start next, nil if there is none. If one lane is empty, the other one is served.
// While calls are backlogged, classes that make calls are skipped, as their requests would only wait for permission to
// call.
func (s *laneScheduler) next(classes *classTable, callsBacklogged bool) *request {
	var priority, bestEffort *request
	for i := range classes.all {
		class := classes.all[(s.nextBestEffort+i)%len(classes.all)]
		if len(class.queue) == 0 || class.MakesCalls && callsBacklogged {
			continue
		}
		oldest := class.queue[0]
		if class.bestEffort && bestEffort == nil {
			bestEffort = oldest
		} else if !class.bestEffort && (priority == nil || classes.byDueStart(oldest, priority) < 0) {
			priority = oldest
		}
	}
	if bestEffort == nil || priority != nil && s.rng.Float64() < s.priorityShare {
		return priority
	}
	s.nextBestEffort = bestEffort.Class + 1
	return bestEffort
}

// adjustPriorityShare adjusts the share to how well the priority classes meet their targets. If a class has few
// samples, the step is reduced.
func (s *laneScheduler) adjustPriorityShare(classes *classTable) {
	worst, best, confidence := 0.0, math.Inf(1), 1.0
	cvSum, count := 0.0, 0.0
	for _, class := range classes.all {
		if class.bestEffort {
			continue
		}
		ratio := class.missedShare() / disengagementTarget
		worst = math.Max(worst, ratio)
		best = math.Min(best, ratio)
		cvSum += math.Max(class.cv, minCV)
		count++
		confidence = math.Min(confidence, float64(len(class.latencies))/sampleWindow)
	}
	if worst > maxTargetRatio {
		s.priorityShare = math.Min(s.priorityShare*(1+confidence*priorityShareGrowth), maxPriorityShare)
	} else if best < minTargetRatio {
		s.priorityShare = math.Max(s.priorityShare-confidence*priorityShareStep*count/cvSum, minPriorityShare)
	}
}

// startQueued starts queued requests while the limits permit, and rejects those that would end too late.
func (c *Controller) startQueued() {
	c.limiter.reached = false
	for {
		req := c.lanes.next(&c.classes, c.callsBacklogged())
		if req == nil {
			return
		}
		if c.isTooLate(req) || c.drain.requested && !c.mayRun(req) {
			c.reject(req, true)
			continue
		}
		if !c.canStart(req) {
			return
		}
		c.start(req)
	}
}

// callsBacklogged reports whether at least as many requests wait for permission to call as calls may be in flight.
func (c *Controller) callsBacklogged() bool {
	waiting := c.requests.counts[stateAwaitingCall]
	return waiting > 0 && float64(waiting) >= c.calls.maxInFlight()
}

// canStart reports whether the concurrency limit, the health of the machine, the concurrency ceiling and the memory
// permit a request to start. It also records whether the limit was reached.
func (c *Controller) canStart(req *request) bool {
	running := c.requests.counts[stateRunning]
	if c.limiter.checkReached(running) {
		return false
	}
	if c.health.reason != reasonNone && running > 0 {
		return false // An unhealthy machine is probed with one run at a time.
	}
	concurrency := running + c.requests.counts[stateAwaitingCall] + c.calls.occupied()
	return c.ceiling.allows(c.now, concurrency+1) && c.memory.fitsRun(c.keys.liveCount, req.QueuedKB)
}

// start starts a queued request.
func (c *Controller) start(req *request) {
	req.startedAt = c.now
	c.memory.requestStarted(req.QueuedKB)
	c.keys.requestStarted(req.ID)
	c.transition(req, stateRunning)
	c.emit(Start{ID: req.ID})
}
