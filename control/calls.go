package control

import (
	"math"
	"slices"
	"time"
)

const (
	// callsInFlightShare is the part of the share in calls that may be in flight at once: more slows the dependency.
	callsInFlightShare = 0.35
	// callStockMargin is how many expected call times must be in stock before a call.
	callStockMargin = 1.5
	// fullCallStockShare is the part of a full stock that always suffices for a call.
	fullCallStockShare = 0.9
	// callTimePriorCalls is the weight, in calls, of the long mean of call times against the recent ones.
	callTimePriorCalls = 3.0
	// meanCallShare is the part of the share that calls use in the mean; the rest may be used in a burst.
	meanCallShare = 0.6
	// callBackoff is the pause before the next attempt of a call; it doubles each time.
	callBackoff = 50 * time.Millisecond
	// maxBackoffDoublings bounds the pause.
	maxBackoffDoublings = 6
	// maxCallAttempts bounds the attempts of a call of an idempotent request.
	maxCallAttempts = 3
)

func (c *Controller) callsInFlight() int { return c.stateCounts[stateCalling] + len(c.abandonedUntil) }

// maxCallsInFlight is how many calls may be in hand at once.
func (c *Controller) maxCallsInFlight() float64 { return math.Max(1, callsInFlightShare*c.callShare) }

// maxCallStock is what may be spent at once beside callsMean of the share: they stay under the share over the
// dependency's window, however long calls take, by resting. Guards against all servers calling as it slows
// down; harm where others leave room, which nobody tells.
func (c *Controller) maxCallStock() float64 {
	return (1 - meanCallShare) * c.callShare * c.settings.CallConcurrencyWindow.Seconds()
}

// callWait is how long so many calls wait.
func (c *Controller) callWait(calls float64) time.Duration {
	rate := math.Min(meanCallShare*c.callShare, c.maxCallsInFlight())
	return seconds(math.Max(0, calls*c.callSeconds()-math.Max(c.callStockSeconds, 0)) / rate)
}

// callSeconds is the time that a call takes at present, those still in hand included.
func (c *Controller) callSeconds() float64 {
	return (c.recentCallSeconds + callTimePriorCalls*c.callTime.value) / (c.recentCalls + callTimePriorCalls)
}

// grantCalls lets the waiting calls go, the earliest due first, and ends those that cannot help any more.
func (c *Controller) grantCalls() {
	idle := func(r *request) bool { return r.state != stateAwaitingCall || r.answered }
	wait := slices.DeleteFunc(slices.Clone(c.requestOrder), idle)
	slices.SortStableFunc(wait, c.byDueStart)
	need := math.Min(callStockMargin*c.callSeconds(), fullCallStockShare*c.maxCallStock())
	for _, r := range wait {
		k := c.classes[r.Class]
		switch {
		case c.now > c.usefulUntil(r) && k.LateWeightShare == 0 && k.Idempotency == Idempotent:
			c.fail(r)
		case r.stateSince > c.now: // turned away a moment ago
		case float64(c.callsInFlight()+1) <= c.maxCallsInFlight() && c.callStockSeconds >= need:
			patience := r.dueAt - c.now
			if c.callShare < math.Inf(1) { // what is in stock, split among all that may be in hand
				patience = min(patience, seconds(c.callStockSeconds/c.maxCallsInFlight())-c.settings.AbandonedCallTime)
			}
			c.transition(r, stateCalling)
			c.emit(Call{ID: r.ID, Timeout: max(patience, tickInterval)})
		case k.SkippedCallWeightShare > 0 && c.now+c.serviceTime(r) > c.usefulUntil(r):
			c.transition(r, stateRunning)
			c.emit(SkipCall{r.ID})
		}
	}
}

func (c *Controller) callFinished(e CallFinished) {
	r := c.requests[e.ID]
	if r == nil || r.state != stateCalling {
		return
	}
	if e.Outcome == OutcomeTimeout && c.settings.AbandonedCallTime > 0 {
		// it is still in the dependency's hands
		c.abandonedUntil = append(c.abandonedUntil, c.now+c.settings.AbandonedCallTime)
	}
	if e.Outcome == OutcomeOK {
		c.callTime.add(e.Took.Seconds())
		c.recentCalls++
		r.callsSucceeded++
		c.transition(r, stateRunning)
		return
	}
	c.transition(r, stateAwaitingCall)
	r.stateSince = c.now + callBackoff<<min(r.callsFailed, 6) // no storm of calls on what is already full
	r.callsFailed++
	final := c.classes[r.Class].Idempotency != Idempotent || r.callsFailed >= maxCallAttempts
	if !e.Outcome.provesNotRun() && final && !r.answered {
		c.fail(r) // may have taken effect: never called again
	}
}
