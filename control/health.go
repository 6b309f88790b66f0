package control

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// maxErrorShare is the share of errors above which answering errors is worse than rejecting.
	maxErrorShare = 0.3
	// minErrors is how many recent errors it takes to tell a failing machine from chance.
	minErrors = 3.0
	// stallServices is how many mean services of slot time without progress mean a hang: by chance, e^-24.
	stallServices = 24.0
	// minRecentRejections is how many recent rejections of the class of most weight it takes to tell.
	minRecentRejections = 4.0
	// slowMachineFactor is the slowdown above which a machine is far slower than usual: neither overload nor a cause
	// that all servers share.
	slowMachineFactor = 2.5
	// overwhelmedShare is the share of rejections, in the class of most weight, above which the server is of no use.
	overwhelmedShare = 0.6
	// usualSlowdownSamples is how many completions the usual slowdown looks back on.
	usualSlowdownSamples = 4000.0
)

// checkHealth tells callers of a machine that hangs or fails, or cannot do even its worthiest work in time: it
// turns that away at once, which draws callers that count what is open, more than they sent before. The
// evidence fades, so that it is taken back.
func (c *Controller) checkHealth() {
	was, wasGood := c.unhealthyReason, c.unhealthyReason == "" && !c.overwhelmed
	c.unhealthyReason = ""
	if c.recentErrors >= minErrors && c.recentErrors > maxErrorShare*c.recentRuns {
		c.unhealthyReason = "failing"
	} else if c.stateCounts[stateRunning] > 0 && c.stalledSeconds > stallServices*c.slotTime.value*c.slowdownAtProgress {
		c.unhealthyReason = "hung"
	}
	top := slices.MaxFunc(c.activeClasses, func(a, b *classState) int { return cmp.Compare(a.Weight, b.Weight) })
	c.overwhelmed = c.slowdown > slowMachineFactor && top.recentRejections >= minRecentRejections &&
		top.recentRejections > overwhelmedShare*top.recentOutcomes
	if good := c.unhealthyReason == "" && !c.overwhelmed; !c.draining && (good != wasGood || c.unhealthyReason != was) {
		c.emit(SetHealth{Healthy: good, Cached: true})
		c.emit(Log{Text: fmt.Sprintf("health: %v, %q after %q, %.0f%% errors, pace %.1f, %.0f of %.0f turned away",
			good, c.unhealthyReason, was, 100*c.recentErrors/math.Max(c.recentRuns, 1), c.slowdown, top.recentRejections,
			top.recentOutcomes)})
	}
}
