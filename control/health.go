package control

import (
	"fmt"
	"math"
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
)

// unhealthyReason says what is wrong with the machine.
type unhealthyReason uint8

const (
	reasonNone    unhealthyReason = iota
	reasonFailing                 // too many runs end with an error
	reasonHung                    // nothing gets on
)

// String returns the reason in a word; it is empty for reasonNone.
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

// healthMonitor tells a machine that hangs or fails, or that cannot do even its most valuable work in time: it rejects
// that at once, which draws callers that count outstanding requests, more than they sent before. The evidence fades,
// so that a machine is tried again.
type healthMonitor struct {
	reason      unhealthyReason
	overwhelmed bool // even the class of most weight is rejected

	recentRuns         float64 // runs that ended, fading with fadeTime
	recentErrors       float64 // of them, with an error
	stalledSeconds     float64 // slot time spent since anything progressed
	slowdownAtProgress float64 // slowdown factor at that time, at least 1
}

func newHealthMonitor() *healthMonitor { return &healthMonitor{slowdownAtProgress: 1} }

// advance spends elapsed seconds on so many running requests; recent figures are multiplied by fade.
func (h *healthMonitor) advance(elapsed, fade float64, running int) {
	h.recentErrors *= fade
	h.recentRuns *= fade
	h.stalledSeconds += elapsed * float64(running)
}

// progressed notes that a run or a call got on: a cold or slow machine is judged against its slowdown at that time.
func (h *healthMonitor) progressed(slowdown float64) {
	h.stalledSeconds = 0
	h.slowdownAtProgress = math.Max(slowdown, 1)
}

// runSucceeded counts a run that ended well.
func (h *healthMonitor) runSucceeded() { h.recentRuns++ }

// runFailed counts a run that ended with an error.
func (h *healthMonitor) runFailed() {
	h.recentRuns++
	h.recentErrors++
}

// healthy is the answer to health checks.
func (h *healthMonitor) healthy() bool { return h.reason == reasonNone && !h.overwhelmed }

// check diagnoses the machine anew with so many running requests; top is the class of most weight. It returns whether
// the diagnosis has changed, and a line that says so to the operators.
func (h *healthMonitor) check(running int, slowdown *slowdownEstimate, top *classState) (changed bool, line Log) {
	reasonBefore, healthyBefore := h.reason, h.healthy()
	h.reason = h.diagnose(running, slowdown)
	h.overwhelmed = slowdown.factor > slowMachineFactor && top.recentRejections >= minRecentRejections &&
		top.recentRejections > overwhelmedShare*top.recentOutcomes
	if h.healthy() == healthyBefore && h.reason == reasonBefore {
		return false, Log{}
	}
	return true, Log{Text: fmt.Sprintf("health: %v, %q after %q, %.0f%% errors, pace %.1f, %.0f of %.0f turned away",
		h.healthy(), h.reason, reasonBefore, 100*h.recentErrors/math.Max(h.recentRuns, 1), slowdown.factor,
		top.recentRejections, top.recentOutcomes)}
}

func (h *healthMonitor) diagnose(running int, slowdown *slowdownEstimate) unhealthyReason {
	switch {
	case h.recentErrors >= minErrors && h.recentErrors > maxErrorShare*h.recentRuns:
		return reasonFailing
	case running > 0 && h.stalledSeconds > stallServices*slowdown.slotSeconds.value*h.slowdownAtProgress:
		return reasonHung
	}
	return reasonNone
}
