package control

import (
	"math"
	"time"
)

const (
	// loadSignalInterval is a quarter of the time for which callers usually keep a value.
	loadSignalInterval = 250 * time.Millisecond
	// toleratedRejectionShare is the share of rejections below which a server is not overloaded.
	toleratedRejectionShare = 0.02
	// weightDecrease and weightIncrease are the factors of a weight at a step: a second of overload cuts it to a
	// quarter, and it recovers without a wave of returning callers.
	weightDecrease = 0.7
	weightIncrease = 1.15
	// minWeight is the probability that a caller still tries a server that is overloaded.
	minWeight = 0.01
	// minAllowancePerCore, split over the callers, is the smallest allowance.
	minAllowancePerCore = 1.5
	// maxAllowancePerSlot is the largest allowance over the concurrency limit.
	maxAllowancePerSlot = 2.0
	// queuedGoal is the length of the queue, over the concurrency limit, that ends all growth of an allowance.
	queuedGoal = 0.1
	// rejectedGoal is the share of rejections that does.
	rejectedGoal = 0.1
	// allowanceIdleGain is the growth of an allowance at a step while all cores idle.
	allowanceIdleGain = 0.25
	// allowanceOverloadGain is its reduction at a step while queue or rejections are at their goal.
	allowanceOverloadGain = 0.05
	// thresholdRise and thresholdFall are the steps of an admission threshold, in ranks: one that is kept too long
	// leaves cores idle.
	thresholdRise = 0.05
	thresholdFall = 0.1
)

// loadSignal sets the value that callers read as Settings.LoadSignal says. It moves in small steps, as callers hear of
// it late.
type loadSignal struct {
	kind          LoadSignalKind
	cores         int
	callers       int
	activeClasses int

	value      float64
	nextUpdate time.Duration
	queuedMean float64 // length of the queue, smoothed

	// Since the last update.
	arrivals         float64
	rejections       float64 // of requests within their tenant's quota
	maxOpenPerCaller int     // the most requests that one caller had open

	openPerCaller map[uint32]int // requests that each caller has open here
}

// loadConditions are what a load signal follows, beside what it counts itself.
type loadConditions struct {
	rejectsAll       bool // the server drains or is unhealthy
	overwhelmed      bool // even the class of most weight is rejected
	rejectedShare    float64
	cpuUtilization   float64
	concurrencyLimit float64
}

func newLoadSignal(kind LoadSignalKind) *loadSignal {
	signal := &loadSignal{openPerCaller: map[uint32]int{}}
	if kind == LoadSignalWeight {
		signal.value = 1
	}
	return signal
}

// configure takes up settings and keeps the value.
func (s *loadSignal) configure(settings *Settings) {
	s.kind = settings.LoadSignal
	s.cores = settings.Cores
	s.callers = settings.Callers
	s.activeClasses = len(settings.activeClasses())
}

// requestArrived counts a request of a caller.
func (s *loadSignal) requestArrived(caller uint32) {
	s.arrivals++
	s.openPerCaller[caller]++
	s.maxOpenPerCaller = max(s.maxOpenPerCaller, s.openPerCaller[caller])
}

// undoArrival takes back the count of an arrival that nobody had asked for.
func (s *loadSignal) undoArrival() { s.arrivals = math.Max(s.arrivals-1, 0) }

// requestRejected counts a rejection for want of time.
func (s *loadSignal) requestRejected() { s.rejections++ }

// requestEnded notes that a caller has one request less open here.
func (s *loadSignal) requestEnded(caller uint32) {
	s.openPerCaller[caller]--
	if s.openPerCaller[caller] == 0 {
		delete(s.openPerCaller, caller)
	}
}

// observe takes in the length of the queue, once a tick.
func (s *loadSignal) observe(queued int) { s.queuedMean = smoothed(s.queuedMean, float64(queued)) }

// update moves the value, if it is time, and reports whether it has changed.
func (s *loadSignal) update(now time.Duration, conditions loadConditions) (changed bool) {
	if now < s.nextUpdate || s.kind == LoadSignalNone {
		return false
	}
	s.nextUpdate = now + loadSignalInterval
	before := s.value
	switch s.kind {
	case LoadSignalWeight:
		s.value = s.weight(conditions)
	case LoadSignalThreshold:
		s.value = s.threshold(conditions)
	default:
		s.value = s.allowance(conditions)
	}
	s.arrivals, s.rejections, s.maxOpenPerCaller = 0, 0, 0
	return s.value != before
}

func (s *loadSignal) overloaded() bool { return s.rejections > toleratedRejectionShare*s.arrivals }

// weight is the probability that a caller does not skip this server. It is never zero: a caller that never comes never
// hears that the server has recovered.
func (s *loadSignal) weight(conditions loadConditions) float64 {
	factor := weightIncrease
	switch {
	case conditions.rejectsAll:
		factor = 0
	case s.overloaded():
		factor = weightDecrease
	}
	return clamp(s.value*factor, minWeight, 1)
}

// threshold is the rank below which callers send nothing. The class of most weight is always asked for, unless the
// server is of no use.
func (s *loadSignal) threshold(conditions loadConditions) float64 {
	step, highest := -thresholdFall, 1-1/float64(s.activeClasses)
	switch {
	case conditions.rejectsAll:
		step, highest = 1, 1
	case s.overloaded():
		step = thresholdRise
	}
	if conditions.overwhelmed {
		return 1
	}
	return clamp(s.value+step, 0, highest)
}

// allowance is how many requests a caller may have outstanding here. It grows while the cores idle and a caller uses
// it up, and shrinks as work is queued and rejected. This guards against an even split, which shuts out the few
// callers that send most of the work while the cores idle. It is never far below an even split, as a caller that hears
// nothing for Settings.LoadSignalTTL sends without bound what other servers did not let it.
func (s *loadSignal) allowance(conditions loadConditions) float64 {
	overload := s.queuedMean/conditions.concurrencyLimit/queuedGoal + conditions.rejectedShare/rejectedGoal
	factor := 1 + allowanceIdleGain*(1-conditions.cpuUtilization) - allowanceOverloadGain*overload
	factor = clamp(factor, weightDecrease, weightIncrease)
	if conditions.rejectsAll {
		factor = weightDecrease
	} else if float64(s.maxOpenPerCaller) < math.Floor(s.value) {
		factor = math.Min(factor, 1) // No caller asks for more.
	}
	least := minAllowancePerCore * float64(s.cores) / math.Max(1, float64(s.callers))
	return clamp(s.value*factor, least, math.Max(least, maxAllowancePerSlot*conditions.concurrencyLimit))
}

// maxValue is the highest value that makes sense.
func (s *loadSignal) maxValue(concurrencyLimit float64) float64 {
	if s.kind == LoadSignalAllowance {
		return maxAllowancePerSlot * concurrencyLimit
	}
	return 1
}
