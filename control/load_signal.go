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
	// weightDecrease and weightIncrease are the factors of a weight at a step: a second of overload cuts it to a quarter,
	// and it recovers without a wave of returning callers.
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

// updateLoadSignal sets the free value from the share of arrivals turned away, in small steps: callers hear it late.
func (c *Controller) updateLoadSignal() {
	if c.now < c.nextLoadSignal || c.settings.LoadSignal == LoadSignalNone {
		return
	}
	c.nextLoadSignal = c.now + loadSignalInterval
	pick := func(shut, more, less float64) float64 {
		if c.draining || c.unhealthyReason != "" {
			return shut
		} else if c.signalRejections > toleratedRejectionShare*c.signalArrivals {
			return more
		}
		return less
	}
	v, most := c.loadSignalValue, 1-1/float64(len(c.activeClasses)) // the class of most worth is always asked for
	switch c.settings.LoadSignal {
	case LoadSignalWeight: // never zero: a caller that never comes never hears better
		v = clamp(v*pick(0, weightDecrease, weightIncrease), minWeight, 1)
	case LoadSignalThreshold:
		if v = clamp(v+pick(1, thresholdRise, -thresholdFall), 0, pick(1, most, most)); c.overwhelmed {
			v = 1
		}
	default:
		v = c.allowance()
	}
	c.signalRejections, c.signalArrivals, c.maxOpenPerCaller = 0, 0, 0
	if v != c.loadSignalValue {
		c.loadSignalValue = v
		c.emit(SetLoadSignal{Value: v})
	}
}

// allowance is how many requests a caller may have open here. It grows while the cores idle and a caller uses
// it up, and shrinks as work is held and turned away. Guards against an even split, which shuts out the few
// callers that send most of the work while the cores idle; never far below it, as a caller that hears nothing
// for SignalHeeded sends without bound what other servers did not let it.
func (c *Controller) allowance() float64 {
	over := c.queuedMean/c.concurrencyLimit/queuedGoal + c.recentRejections/math.Max(c.recentArrivals, 1)/rejectedGoal
	factor := clamp(1+allowanceIdleGain*(1-c.cpuUtilization)-allowanceOverloadGain*over, weightDecrease, weightIncrease)
	if c.draining || c.unhealthyReason != "" {
		factor = weightDecrease
	} else if float64(c.maxOpenPerCaller) < math.Floor(c.loadSignalValue) {
		factor = math.Min(factor, 1) // no caller asks for more
	}
	least := minAllowancePerCore * float64(c.settings.Cores) / math.Max(1, float64(c.settings.Callers))
	return clamp(c.loadSignalValue*factor, least, math.Max(least, maxAllowancePerSlot*c.concurrencyLimit))
}
