package control

import (
	"cmp"
	"math"
	"slices"
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
	// minBudgetShare is the part of the latency objective that a queue budget keeps when the service time outgrows
	// the mean latency; it keeps the order of the objectives.
	minBudgetShare = 1.0 / 8
)

// classState is the queue of one class and what has been learned of it.
type classState struct {
	Class
	bestEffort    bool // of the lowest weight, where weights differ
	serviceMargin float64

	queue       []*request    // oldest first
	queueBudget time.Duration // a request should start within this of its arrival

	latencies       []float64   // seconds, of the last sampleWindow completions
	service         runningMean // seconds from start to end
	slot            runningMean // seconds of that on the cores or at the disk
	costHint        runningMean // seconds
	callsPerRequest runningMean
	rejectedShare   runningMean // of the last outcomes: rejected for want of time
	cv              float64     // coefficient of variation of the latencies
	disengagement   float64     // share of users who gave up on the latencies

	recentOutcomes   float64 // ended by a run or rejected; fades twice as fast as other recent counts
	recentRejections float64 // of them
}

// newClassState assumes of a class what its latency objective suggests.
func newClassState(class Class) *classState {
	assumed := runningMean{count: assumedSamples, value: class.LatencyObjective.Seconds() * assumedServiceShare}
	return &classState{
		Class:           class,
		queueBudget:     class.LatencyObjective,
		service:         assumed,
		slot:            assumed,
		callsPerRequest: runningMean{count: assumedSamples, value: 1},
		rejectedShare:   runningMean{count: priorSamples, value: 0},
		cv:              1,
	}
}

// inherit takes up what was learned of the class under another number.
func (k *classState) inherit(from *classState) {
	k.latencies = slices.Clone(from.latencies)
	k.service = from.service
	k.slot = from.slot
	k.costHint = from.costHint
	k.callsPerRequest = from.callsPerRequest
	k.rejectedShare = from.rejectedShare
	k.cv = from.cv
	k.disengagement = from.disengagement
}

// enqueue adds a request to the queue, behind those that reached the machine no later.
func (k *classState) enqueue(req *request) {
	k.queue = append(k.queue, req)
	slices.SortStableFunc(k.queue, func(a, b *request) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
}

// dequeue takes a request out of the queue.
func (k *classState) dequeue(req *request) {
	k.queue = slices.DeleteFunc(k.queue, func(queued *request) bool { return queued == req })
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

// requestCompleted counts a run that ended well.
func (k *classState) requestCompleted() {
	k.rejectedShare.add(0)
	k.recentOutcomes++
}

// addLatency takes in the latency of an answer that was sent to its caller.
func (k *classState) addLatency(latency time.Duration) {
	k.latencies = append(k.latencies, latency.Seconds())
	k.latencies = k.latencies[max(0, len(k.latencies)-sampleWindow):]
}

// fit measures the latencies and computes the queue budget from them.
func (k *classState) fit() {
	k.measure()
	meanBudget := meanLatencyBudget(k.cv, k.LatencyObjective, k.Deadline)
	// Unlike UTSLO: the service time may outgrow the mean latency, and a budget below zero would order requests by
	// their service time alone.
	k.queueBudget = max(meanBudget-seconds(k.service.value), seconds(minBudgetShare*k.LatencyObjective.Seconds()))
}

// measure computes CV and disengagement of the latencies. The disengagement curve is zero up to the objective, one from
// the deadline on and linear between them.
func (k *classState) measure() {
	var sum, squares, disengaged float64
	for _, latency := range k.latencies {
		sum += latency
		squares += latency * latency
		span := math.Max((k.Deadline - k.LatencyObjective).Seconds(), time.Millisecond.Seconds())
		disengaged += clamp((latency-k.LatencyObjective.Seconds())/span, 0, 1)
	}
	count := float64(len(k.latencies))
	mean := math.Max(sum/math.Max(count, 1), time.Microsecond.Seconds())
	cv := math.Sqrt(math.Max(squares/math.Max(count, 1)-mean*mean, 0)) / mean
	// Unlike UTSLO: a thin class is drawn towards the near-exponential law that just meets its target.
	const priorDisengagement = priorSamples * disengagementTarget * (minTargetRatio + maxTargetRatio) / 2
	k.cv = (count*cv + priorSamples) / (count + priorSamples)
	k.disengagement = (disengaged + priorDisengagement) / (count + priorSamples)
}

// missedShare is the share of users who give up on the class. Unlike UTSLO it counts those who are rejected: latencies
// alone tell nothing of them, and the more of a class were given up, the more of its slots would go to best effort.
func (k *classState) missedShare() float64 { return k.disengagement + k.rejectedShare.value }

// slotSeconds is the slot time that a request should take. Its hint scales one half of it, as hints are rough.
func (k *classState) slotSeconds(costHint time.Duration) float64 {
	if costHint > 0 && k.costHint.value > 0 {
		return k.slot.value * (1 + math.Min(costHint.Seconds()/k.costHint.value, maxHintRatio)) / 2
	}
	return k.slot.value
}

// usefulUntil is when an answer to a request stops earning its full weight.
func (k *classState) usefulUntil(req *request) time.Duration {
	objective := k.LatencyObjective
	if req.Retry {
		objective = seconds(retryObjectiveShare * objective.Seconds())
	}
	return min(req.arrivedAt+objective+seconds(k.ObjectiveStretch*req.CostHint.Seconds()), req.dueAt)
}
