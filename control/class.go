package control

import (
	"math"
	"time"
)

const (
	// priorSamples is the weight, in completions, of the prior that a class's moments start from.
	priorSamples = 100.0
	// assumedServiceShare is the service time, as a share of the latency objective, that is assumed of a new class.
	assumedServiceShare = 1.0 / 8
	// assumedSamples is the weight, in completions, of what is assumed of a new class.
	assumedSamples = 4.0
	// bestEffortServiceMargin is how many mean service times a request of best effort must have left to be started:
	// with less of it, too many would be late.
	bestEffortServiceMargin = 1.5
	// priorityServiceMargin is the same for the other classes: a fair chance to be in time is worth more there than
	// the best effort in its place.
	priorityServiceMargin = 0.5
	// retryObjectiveShare is the part of the latency objective that a retry is taken to have left. It counts from the
	// first attempt, which came at a time that nobody tells.
	retryObjectiveShare = 0.7
	// maxHintRatio bounds a cost hint over the mean hint of its class: hints are rough.
	maxHintRatio = 4
)

// classState is what has been learned of one class.
type classState struct {
	Class
	bestEffort                bool        // best effort: of the lowest worth
	queue                     []*request  // held, oldest first
	latencies                 []float64   // latencies of the last completions, seconds
	service, slot             runningMean // start to end; of that, on the cores or at the disk; seconds
	costHint, callsPerRequest runningMean // the hint, seconds; calls a request
	rejectedShare             runningMean // turned away for want of time, of its last outcomes
	// ended by a run or turned away; turned away; fading twice as fast as others
	recentOutcomes, recentRejections float64
	cv, disengagement, serviceMargin float64
	queueBudget                      time.Duration // Q
}

// advance multiplies the recent counts by fade twice, so that they fade twice as fast as other figures: callers hear of
// them late enough.
func (k *classState) advance(fade float64) {
	k.recentOutcomes = k.recentOutcomes * fade * fade
	k.recentRejections = k.recentRejections * fade * fade
}

// requestRejected counts a rejection for want of time.
func (k *classState) requestRejected() {
	k.rejectedShare.add(1)
	k.recentOutcomes++
	k.recentRejections++
}

// measure measures a class's CV and disengagement: none up to the aim, all from the deadline, linear between.
func (k *classState) measure() {
	var sum, sq, u float64
	for _, x := range k.latencies {
		sum, sq = sum+x, sq+x*x
		span := math.Max((k.Deadline - k.LatencyObjective).Seconds(), time.Millisecond.Seconds())
		u += clamp((x-k.LatencyObjective.Seconds())/span, 0, 1)
	}
	n := float64(len(k.latencies))
	m := math.Max(sum/math.Max(n, 1), time.Microsecond.Seconds())
	// Departure: a thin class is drawn towards the source's near-exponential law that just meets its target.
	cv := math.Sqrt(math.Max(sq/math.Max(n, 1)-m*m, 0)) / m
	k.cv, k.disengagement = (n*cv+priorSamples)/(n+priorSamples),
		(u+priorSamples*disengagementTarget*(minTargetRatio+maxTargetRatio)/2)/(n+priorSamples)
}

// slotSeconds is the slot time that r should take, scaled by its hint half of the way: hints are rough.
func (c *Controller) slotSeconds(r *request) float64 {
	k := c.classes[r.Class]
	if r.CostHint > 0 && k.costHint.value > 0 {
		return k.slot.value * (1 + math.Min(r.CostHint.Seconds()/k.costHint.value, maxHintRatio)) / 2
	}
	return k.slot.value
}

// serviceTime is the time from start to end that r should take at present.
func (c *Controller) serviceTime(r *request) time.Duration {
	k := c.classes[r.Class]
	return seconds(k.serviceMargin * (c.slotSeconds(r)*c.slowdown.factor + k.callsPerRequest.value*c.calls.callSeconds()))
}

// weightPerWork is the worth of r for each unit of work.
func (c *Controller) weightPerWork(r *request) float64 {
	w := c.classes[r.Class].Weight
	if r.overQuota {
		w *= c.settings.OverQuotaWeightShare
	}
	if c.settings.WeightPerWork {
		return w
	}
	return w / c.slotSeconds(r)
}

// usefulUntil is when an answer to r stops earning its full worth.
func (c *Controller) usefulUntil(r *request) time.Duration {
	k := c.classes[r.Class]
	aim := k.LatencyObjective
	if r.Retry { // it counts from the first try, which came earlier, nobody tells when
		aim = seconds(retryObjectiveShare * aim.Seconds())
	}
	return min(r.arrivedAt+aim+seconds(k.ObjectiveStretch*r.CostHint.Seconds()), r.dueAt)
}
