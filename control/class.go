package control

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// priorSamples is the weight, in completions, of the prior for the statistics of a class.
	priorSamples = 100.0
	// assumedServiceShare is the assumed service time of a new class, as a share of its latency objective.
	assumedServiceShare = 1.0 / 8
	// assumedSamples is the weight, in completions, of the assumptions about a new class.
	assumedSamples = 4.0
	// bestEffortServiceMargin is how many mean service times a best-effort request must have left to be started. With
	// less, too many answers would be late.
	bestEffortServiceMargin = 1.5
	// priorityServiceMargin is the same for the priority classes. It is smaller, as even a moderate chance to answer such
	// a request in time is worth more than the best-effort request that would run instead.
	priorityServiceMargin = 0.5
	// retryObjectiveShare is the assumed part of the latency objective that a retry has left. The objective is measured
	// from the first attempt, whose time is not known here.
	retryObjectiveShare = 0.7
	// maxHintRatio bounds the ratio of a cost hint to the mean hint of its class, as hints are rough.
	maxHintRatio = 4
	// minBudgetShare bounds a queue budget from below, as a share of the latency objective. It applies when the service
	// time exceeds the mean latency budget, and keeps the classes ordered by their objectives.
	minBudgetShare = 1.0 / 8
)

// classState is the queue of one class and the statistics of its requests.
type classState struct {
	Class
	bestEffort    bool    // the class has the lowest weight, and weights differ
	serviceMargin float64 // mean service times that a request must have left to be started

	queue       []*request    // oldest first
	queueBudget time.Duration // time after its arrival within which a request should start

	latencies       []float64   // in seconds, of the last sampleWindow completions
	service         runningMean // seconds from start to end of a run
	slot            runningMean // seconds of a run on the cores or at the disk
	costHint        runningMean // seconds
	callsPerRequest runningMean
	rejectedShare   runningMean // share of outcomes that were rejections under load
	cv              float64     // coefficient of variation of the latencies
	disengagement   float64     // share of users who gave up on the latencies

	recentOutcomes   float64 // successful runs and rejections; fades twice as fast as other recent counts
	recentRejections float64 // the rejections among recentOutcomes
}

// newClassState returns the state of a class without samples. Its estimates are derived from the latency objective.
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

// inherit copies the statistics of from, the state of the class of this name under its former index.
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

// enqueue adds a request to the queue, which is ordered by the time at which the requests reached the machine.
func (k *classState) enqueue(req *request) {
	k.queue = append(k.queue, req)
	slices.SortStableFunc(k.queue, func(a, b *request) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
}

// dequeue removes a request from the queue.
func (k *classState) dequeue(req *request) {
	k.queue = slices.DeleteFunc(k.queue, func(queued *request) bool { return queued == req })
}

// advance multiplies the recent counts by fade twice, so that they fade twice as fast as other figures. The health that
// is derived from them reaches callers with a delay, so slower fading would make it outdated.
func (k *classState) advance(fade float64) {
	k.recentOutcomes = k.recentOutcomes * fade * fade
	k.recentRejections = k.recentRejections * fade * fade
}

// requestRejected counts a rejection under load.
func (k *classState) requestRejected() {
	k.rejectedShare.add(1)
	k.recentOutcomes++
	k.recentRejections++
}

// requestCompleted counts a successful run.
func (k *classState) requestCompleted() {
	k.rejectedShare.add(0)
	k.recentOutcomes++
}

// addLatency adds the latency of an answer that was sent to its caller.
func (k *classState) addLatency(latency time.Duration) {
	k.latencies = append(k.latencies, latency.Seconds())
	k.latencies = k.latencies[max(0, len(k.latencies)-sampleWindow):]
}

// fit recomputes the statistics of the latencies and derives the queue budget from them.
func (k *classState) fit() {
	k.measure()
	meanBudget := meanLatencyBudget(k.cv, k.LatencyObjective, k.Deadline)
	// Unlike UTSLO, this bounds the queue budget from below: the service time may exceed the mean latency budget, and
	// negative queue budgets would order requests by their service time alone.
	k.queueBudget = max(meanBudget-seconds(k.service.value), seconds(minBudgetShare*k.LatencyObjective.Seconds()))
}

// measure computes the coefficient of variation and the disengagement of the latencies. The disengagement curve is 0 up
// to the objective, 1 from the deadline on and linear between them.
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
	// Unlike UTSLO, the estimates of a class with few samples are drawn towards a prior: the exponential law (CV 1) that
	// just meets the target.
	const priorDisengagement = priorSamples * disengagementTarget * (minTargetRatio + maxTargetRatio) / 2
	k.cv = (count*cv + priorSamples) / (count + priorSamples)
	k.disengagement = (disengaged + priorDisengagement) / (count + priorSamples)
}

// missedShare returns the share of users who gave up or were rejected. Unlike UTSLO it includes rejections, which the
// latencies do not show. Without them, a class with many rejections would seem to meet its target and lose slots to
// best effort.
func (k *classState) missedShare() float64 { return k.disengagement + k.rejectedShare.value }

// slotSeconds returns the expected slot time of a request, in seconds. A cost hint scales only half of the estimate, as
// hints are rough.
func (k *classState) slotSeconds(costHint time.Duration) float64 {
	if costHint > 0 && k.costHint.value > 0 {
		return k.slot.value * (1 + math.Min(costHint.Seconds()/k.costHint.value, maxHintRatio)) / 2
	}
	return k.slot.value
}

// usefulUntil returns the clock time after which an answer to a request no longer earns its full weight.
func (k *classState) usefulUntil(req *request) time.Duration {
	objective := k.LatencyObjective
	if req.Retry {
		objective = seconds(retryObjectiveShare * objective.Seconds())
	}
	return min(req.arrivedAt+objective+seconds(k.ObjectiveStretch*req.CostHint.Seconds()), req.dueAt)
}
