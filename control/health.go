package control

import (
	"fmt"
	"math"
)

const (
	// maxErrorShare is the share of errors above which answering errors is worse than rejecting.
	maxErrorShare = 0.3
	// minErrors is how many recent errors are needed to distinguish a failing machine from chance.
	minErrors = 3.0
	// stallServiceTimes is how much slot time without progress counts as a hang, in mean service times. If service times
	// are exponentially distributed, the probability of no completion in this time is e^-24.
	stallServiceTimes = 24.0
	// minRecentRejections is how many recent rejections of the class of highest weight are needed to judge their share.
	minRecentRejections = 4.0
	// slowMachineFactor is the slowdown above which the machine itself is considered slow. Overload and causes that all
	// servers share slow a machine down less.
	slowMachineFactor = 2.5
	// overwhelmedShare is the share of rejections in the class of highest weight above which callers should avoid the
	// server.
	overwhelmedShare = 0.6
)

// unhealthyReason is why a machine is unhealthy.
type unhealthyReason uint8

const (
	reasonNone    unhealthyReason = iota
	reasonFailing                 // too many runs end with an error
	reasonHung                    // no run and no call makes progress
)

// String returns the reason in one word; it is empty for reasonNone.
func (r unhealthyReason) String() string {
	switch r {
	case reasonNone:
		return ""
	case reasonFailing:
		return "failing"
	case reasonHung:
		return "hung"
	}
	return "unknown reason"
}

// healthMonitor detects a machine that hangs or fails, or that cannot do even its most valuable work in time. A machine
// of the last kind must be reported because it rejects requests quickly: it has few requests outstanding, which
// attracts callers that balance by them. The evidence fades, so that an unhealthy machine is tried again.
type healthMonitor struct {
	reason      unhealthyReason
	overwhelmed bool // even the class of highest weight is mostly rejected

	recentRuns         float64 // runs that ended, fading with fadeTime
	recentErrors       float64 // the runs among recentRuns that ended with an error
	stalledSeconds     float64 // slot time spent since the last progress
	slowdownAtProgress float64 // slowdown factor at the last progress, at least 1
}

func newHealthMonitor() *healthMonitor { return &healthMonitor{slowdownAtProgress: 1} }

// advance adds elapsed seconds × running to the slot time without progress and multiplies the recent counts by fade.
func (h *healthMonitor) advance(elapsed, fade float64, running int) {
	h.recentErrors *= fade
	h.recentRuns *= fade
	h.stalledSeconds += elapsed * float64(running)
}

// progressed records that a run or a call made progress, and the slowdown at that time, so that a cold or slow machine
// is not mistaken for a hung one.
func (h *healthMonitor) progressed(slowdown float64) {
	h.stalledSeconds = 0
	h.slowdownAtProgress = math.Max(slowdown, 1)
}

// runSucceeded counts a successful run.
func (h *healthMonitor) runSucceeded() { h.recentRuns++ }

// runFailed counts a run that ended with an error.
func (h *healthMonitor) runFailed() {
	h.recentRuns++
	h.recentErrors++
}

// healthy returns the answer to health checks.
func (h *healthMonitor) healthy() bool { return h.reason == reasonNone && !h.overwhelmed }

// check repeats the diagnosis. running is the number of running requests, top is the class of highest weight. It
// returns whether the diagnosis has changed, and a log line about the change for the operators.
func (h *healthMonitor) check(running int, slowdown *slowdownEstimate, top *classState) (changed bool, line Log) {
	reasonBefore, healthyBefore := h.reason, h.healthy()
	h.reason = h.diagnose(running, slowdown)
	h.overwhelmed = slowdown.factor > slowMachineFactor && top.recentRejections >= minRecentRejections &&
		top.recentRejections > overwhelmedShare*top.recentOutcomes
	if h.healthy() == healthyBefore && h.reason == reasonBefore {
		return false, Log{}
	}
	return true, Log{Text: fmt.Sprintf(
		"health changed: healthy %v, reason %q, was %q, %.0f%% errors, slowdown %.1f, %.0f of %.0f rejected",
		h.healthy(), h.reason, reasonBefore, 100*h.recentErrors/math.Max(h.recentRuns, 1), slowdown.factor,
		top.recentRejections, top.recentOutcomes)}
}

func (h *healthMonitor) diagnose(running int, slowdown *slowdownEstimate) unhealthyReason {
	switch {
	case h.recentErrors >= minErrors && h.recentErrors > maxErrorShare*h.recentRuns:
		return reasonFailing
	case running > 0 && h.stalledSeconds > stallServiceTimes*slowdown.slotSeconds.value*h.slowdownAtProgress:
		return reasonHung
	}
	return reasonNone
}
