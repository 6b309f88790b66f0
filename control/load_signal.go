package control

import (
	"math"
	"time"
)

const (
	// loadSignalInterval is the interval of updates: a quarter of the usual Settings.LoadSignalTTL.
	loadSignalInterval = 250 * time.Millisecond
	// toleratedRejectionShare is the share of rejections up to which a server does not count as overloaded.
	toleratedRejectionShare = 0.02
	// weightDecrease and weightIncrease are the factors of a weight at each update: a second of overload cuts it to a
	// quarter, and it recovers slowly enough that callers do not all return at once.
	weightDecrease = 0.7
	weightIncrease = 1.15
	// minWeight is the probability with which a caller still tries a server that stays overloaded.
	minWeight = 0.01
	// minAllowancePerCore, times the cores and split evenly over the callers, is the smallest allowance.
	minAllowancePerCore = 1.5
	// maxAllowancePerSlot is the largest allowance, as a multiple of the concurrency limit.
	maxAllowancePerSlot = 2.0
	// overloadQueueShare is the queue length, as a share of the concurrency limit, that counts as full overload for
	// an allowance.
	overloadQueueShare = 0.1
	// overloadRejectedShare is the share of rejections that counts as full overload for an allowance.
	overloadRejectedShare = 0.1
	// allowanceIdleGain is the relative growth of an allowance at each update while all cores are idle.
	allowanceIdleGain = 0.25
	// allowanceOverloadGain is the relative reduction of an allowance at each update at full overload.
	allowanceOverloadGain = 0.05
	// thresholdRise and thresholdFall are the steps of an admission threshold, which lies on the scale of
	// RequestArrived.Rank. It falls faster than it rises, as a threshold that stays high for too long leaves cores idle.
	thresholdRise = 0.05
	thresholdFall = 0.1
)

// loadSignal controls the value of SetLoadSignal, whose meaning Settings.LoadSignal defines. The value changes in small
// steps, as it reaches callers with a delay.
type loadSignal struct {
	kind          LoadSignalKind
	cores         int
	callers       int
	activeClasses int

	value      float64
	nextUpdate time.Duration
	queuedMean float64 // number of queued requests, smoothed

	// Counts since the last update.
	arrivals         float64
	rejections       float64 // only of requests within their tenant's quota
	maxOpenPerCaller int     // the largest number of requests that one caller had open at once

	openPerCaller map[uint32]int // open requests of each caller at this server
}

// loadConditions are the inputs of a load signal in addition to its own counts.
type loadConditions struct {
	rejectsAll       bool // the server drains or is unhealthy
	overwhelmed      bool // even the class of highest weight is mostly rejected
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

// configure applies the settings and keeps the value.
func (s *loadSignal) configure(settings *Settings) {
	s.kind = settings.LoadSignal
	s.cores = settings.Cores
	s.callers = settings.Callers
	s.activeClasses = len(settings.activeClasses())
}

// requestArrived counts a request of the caller.
func (s *loadSignal) requestArrived(caller uint32) {
	s.arrivals++
	s.openPerCaller[caller]++
	s.maxOpenPerCaller = max(s.maxOpenPerCaller, s.openPerCaller[caller])
}

// undoArrival removes a request that the backend does not support from the counts.
func (s *loadSignal) undoArrival() { s.arrivals = math.Max(s.arrivals-1, 0) }

// requestRejected counts a rejection under load.
func (s *loadSignal) requestRejected() { s.rejections++ }

// requestEnded records that a request of the caller has ended.
func (s *loadSignal) requestEnded(caller uint32) {
	s.openPerCaller[caller]--
	if s.openPerCaller[caller] == 0 {
		delete(s.openPerCaller, caller)
	}
}

// observe records the number of queued requests. It is called once per tick.
func (s *loadSignal) observe(queued int) { s.queuedMean = smoothed(s.queuedMean, float64(queued)) }

// update recomputes the value if loadSignalInterval has passed, and reports whether the value has changed.
func (s *loadSignal) update(now time.Duration, conditions loadConditions) (changed bool) {
	if now < s.nextUpdate || s.kind == LoadSignalNone {
		return false
	}
	s.nextUpdate = now + loadSignalInterval
	before := s.value
	switch s.kind {
	case LoadSignalWeight:
		s.value = s.nextWeight(conditions)
	case LoadSignalThreshold:
		s.value = s.nextThreshold(conditions)
	default:
		s.value = s.nextAllowance(conditions)
	}
	s.arrivals, s.rejections, s.maxOpenPerCaller = 0, 0, 0
	return s.value != before
}

func (s *loadSignal) overloaded() bool { return s.rejections > toleratedRejectionShare*s.arrivals }

// nextWeight returns the probability that a caller does not skip this server. It is never zero, as a caller that sends
// nothing would never learn that the server has recovered.
func (s *loadSignal) nextWeight(conditions loadConditions) float64 {
	factor := weightIncrease
	switch {
	case conditions.rejectsAll:
		factor = 0
	case s.overloaded():
		factor = weightDecrease
	}
	return clamp(s.value*factor, minWeight, 1)
}

// nextThreshold returns the rank below which callers send nothing. It always admits the class of highest weight, unless
// the server drains, is unhealthy or is overwhelmed.
func (s *loadSignal) nextThreshold(conditions loadConditions) float64 {
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

// nextAllowance returns how many requests a caller may have outstanding at this server. The allowance grows while cores
// are idle and a caller uses all of it, and shrinks while requests are queued or rejected. A fixed even split over the
// callers would limit busy callers while cores are idle. The allowance never falls far below an even split: a caller
// that gets no answer for Settings.LoadSignalTTL discards the value, and then sends this server an unlimited number of
// requests that other servers did not admit.
func (s *loadSignal) nextAllowance(conditions loadConditions) float64 {
	overload := s.queuedMean/conditions.concurrencyLimit/overloadQueueShare +
		conditions.rejectedShare/overloadRejectedShare
	factor := 1 + allowanceIdleGain*(1-conditions.cpuUtilization) - allowanceOverloadGain*overload
	factor = clamp(factor, weightDecrease, weightIncrease)
	if conditions.rejectsAll {
		factor = weightDecrease
	} else if float64(s.maxOpenPerCaller) < math.Floor(s.value) {
		factor = math.Min(factor, 1) // No caller uses all of the allowance.
	}
	least := minAllowancePerCore * float64(s.cores) / math.Max(1, float64(s.callers))
	return clamp(s.value*factor, least, math.Max(least, maxAllowancePerSlot*conditions.concurrencyLimit))
}

// maxValue returns the highest valid value.
func (s *loadSignal) maxValue(concurrencyLimit float64) float64 {
	if s.kind == LoadSignalAllowance {
		return maxAllowancePerSlot * concurrencyLimit
	}
	return 1
}
