package control

import (
	"math"
	"slices"
	"time"
)

const (
	// callsInFlightShare is the part of callBudget.share that may be in flight at once: more slows the dependency.
	callsInFlightShare = 0.35
	// callStockMargin is how many expected call times the stock must hold before a call is made.
	callStockMargin = 1.5
	// fullCallStockShare is the part of the maximum stock that always suffices for a call, however long calls take.
	fullCallStockShare = 0.9
	// callTimePriorCalls is the weight, in calls, of the long-term mean call time against the recent calls.
	callTimePriorCalls = 3.0
	// meanCallShare is the part of callBudget.share that calls use on average; the rest is left for bursts.
	meanCallShare = 0.6
	// minCallWindow is the shortest window over which the dependency's calls in flight are averaged.
	minCallWindow = time.Second
)

// callBudget keeps the calls in flight to a shared dependency below this server's share of what the dependency
// survives, and estimates how long a call takes. It is a token bucket of call seconds that is refilled at meanCallShare
// of the share. When calls take longer, the bucket empties and calls pause, so that the mean over the dependency's
// window stays below the share. This prevents the servers from overloading a dependency that slows down. Its cost:
// capacity that other servers leave unused stays unused, as servers do not report their use to each other.
type callBudget struct {
	share           float64         // calls in flight that this server may hold on average; infinite if not limited
	window          time.Duration   // over which the dependency's calls in flight are averaged
	abandonedTime   time.Duration   // how long an abandoned call still occupies the dependency
	stockSeconds    float64         // call seconds that may still be spent
	inFlight        int             // calls that have not ended
	abandonedUntil  []time.Duration // for each abandoned call: when it stops occupying the dependency
	recentSeconds   float64         // call seconds in flight, fading with fadeTime
	recentCalls     float64         // calls that succeeded, fading with fadeTime
	meanCallSeconds runningMean     // over many calls
}

// configure applies the settings. A changed share starts with an empty stock.
func (b *callBudget) configure(settings *Settings) {
	b.window = max(settings.CallConcurrencyWindow, minCallWindow)
	b.abandonedTime = settings.AbandonedCallTime
	if settings.Dependency != DependencyShared || settings.CallConcurrencyShare <= 0 {
		b.share, b.stockSeconds = math.Inf(1), math.Inf(1)
	} else if b.share != settings.CallConcurrencyShare {
		b.share, b.stockSeconds = settings.CallConcurrencyShare, 0
	}
}

// advance moves the clock by elapsed seconds and multiplies the recent sums by fade.
func (b *callBudget) advance(now time.Duration, elapsed, fade float64) {
	b.abandonedUntil = slices.DeleteFunc(b.abandonedUntil, func(until time.Duration) bool { return until <= now })
	b.recentCalls *= fade
	b.recentSeconds *= fade
	b.recentSeconds += elapsed * float64(b.occupied())
	if b.limited() {
		refilled := b.stockSeconds + elapsed*(meanCallShare*b.share-float64(b.occupied()))
		b.stockSeconds = math.Min(refilled, b.maxStock())
	}
}

// limited reports whether the settings limit the calls.
func (b *callBudget) limited() bool { return b.share < math.Inf(1) }

// occupied is how many calls occupy the dependency: those in flight and those recently abandoned.
func (b *callBudget) occupied() int { return b.inFlight + len(b.abandonedUntil) }

// maxInFlight is how many calls may occupy the dependency at once.
func (b *callBudget) maxInFlight() float64 { return math.Max(1, callsInFlightShare*b.share) }

// maxStock is how many call seconds may be spent in a burst.
func (b *callBudget) maxStock() float64 { return (1 - meanCallShare) * b.share * b.window.Seconds() }

// callSeconds is the current estimate of the time that a call takes. Time spent by calls still in flight counts too.
func (b *callBudget) callSeconds() float64 {
	return (b.recentSeconds + callTimePriorCalls*b.meanCallSeconds.value) / (b.recentCalls + callTimePriorCalls)
}

// wait estimates how long a queue of this many calls waits for permission.
func (b *callBudget) wait(calls float64) time.Duration {
	rate := math.Min(meanCallShare*b.share, b.maxInFlight())
	return seconds(math.Max(0, calls*b.callSeconds()-math.Max(b.stockSeconds, 0)) / rate)
}

// requiredStock is how many call seconds the stock must hold before a call is made.
func (b *callBudget) requiredStock() float64 {
	return math.Min(callStockMargin*b.callSeconds(), fullCallStockShare*b.maxStock())
}

// allows reports whether a call may be made now, given the stock it requires in call seconds.
func (b *callBudget) allows(requiredStock float64) bool {
	return float64(b.occupied()+1) <= b.maxInFlight() && b.stockSeconds >= requiredStock
}

// timeout is how long a call may take for a request that can wait for patience: no longer than the stock lasts when it
// is split evenly over the calls that may be in flight at once.
func (b *callBudget) timeout(patience time.Duration) time.Duration {
	if b.limited() {
		patience = min(patience, seconds(b.stockSeconds/b.maxInFlight())-b.abandonedTime)
	}
	return max(patience, tickInterval)
}

// abandoned records that a call has timed out and keeps occupying the dependency for abandonedTime.
func (b *callBudget) abandoned(now time.Duration) {
	if b.abandonedTime > 0 {
		b.abandonedUntil = append(b.abandonedUntil, now+b.abandonedTime)
	}
}

// succeeded updates the call time estimates with a call that succeeded.
func (b *callBudget) succeeded(took time.Duration) {
	b.meanCallSeconds.add(took.Seconds())
	b.recentCalls++
}
