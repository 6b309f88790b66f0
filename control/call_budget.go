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
	// minCallWindow is the shortest window over which the dependency's calls in flight are averaged.
	minCallWindow = time.Second
)

// callBudget keeps the calls in flight to a shared dependency below this server's share of what it survives, and
// estimates how long a call takes. It spends a stock of call seconds that is refilled at meanCallShare of the share:
// calls stay below the share over the dependency's window, however long they take, by resting. This guards against all
// servers calling as the dependency slows down. It does harm where other servers leave room, which nobody tells.
type callBudget struct {
	share           float64       // of calls in flight; infinite where none is stated
	window          time.Duration // over which the dependency's calls in flight are averaged
	abandonedTime   time.Duration // an abandoned call occupies the dependency for so long
	stockSeconds    float64       // call seconds that may still be spent
	inFlight        int           // calls that have not ended
	abandonedUntil  []time.Duration
	recentSeconds   float64     // call seconds in flight, fading with fadeTime
	recentCalls     float64     // calls that succeeded, fading with fadeTime
	meanCallSeconds runningMean // over many calls
}

// configure takes up settings. Another share starts with an empty stock.
func (b *callBudget) configure(settings *Settings) {
	b.window = max(settings.CallConcurrencyWindow, minCallWindow)
	b.abandonedTime = settings.AbandonedCallTime
	if settings.Dependency != DependencyShared || settings.CallConcurrencyShare <= 0 {
		b.share, b.stockSeconds = math.Inf(1), math.Inf(1)
	} else if b.share != settings.CallConcurrencyShare {
		b.share, b.stockSeconds = settings.CallConcurrencyShare, 0
	}
}

// advance moves the clock by elapsed seconds; recent figures are multiplied by fade.
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

// limited reports whether the settings state a share.
func (b *callBudget) limited() bool { return b.share < math.Inf(1) }

// occupied is how many calls occupy the dependency: those in flight and those abandoned a moment ago.
func (b *callBudget) occupied() int { return b.inFlight + len(b.abandonedUntil) }

// maxInFlight is how many calls may occupy the dependency at once.
func (b *callBudget) maxInFlight() float64 { return math.Max(1, callsInFlightShare*b.share) }

// maxStock is how many call seconds may be spent in a burst.
func (b *callBudget) maxStock() float64 { return (1 - meanCallShare) * b.share * b.window.Seconds() }

// callSeconds is the time that a call takes at present, those still in flight included.
func (b *callBudget) callSeconds() float64 {
	return (b.recentSeconds + callTimePriorCalls*b.meanCallSeconds.value) / (b.recentCalls + callTimePriorCalls)
}

// wait is how long a queue of so many calls waits.
func (b *callBudget) wait(calls float64) time.Duration {
	rate := math.Min(meanCallShare*b.share, b.maxInFlight())
	return seconds(math.Max(0, calls*b.callSeconds()-math.Max(b.stockSeconds, 0)) / rate)
}

// requiredStock is how many call seconds must be in stock before a call.
func (b *callBudget) requiredStock() float64 {
	return math.Min(callStockMargin*b.callSeconds(), fullCallStockShare*b.maxStock())
}

// allows reports whether a call may be made that needs so much in stock.
func (b *callBudget) allows(requiredStock float64) bool {
	return float64(b.occupied()+1) <= b.maxInFlight() && b.stockSeconds >= requiredStock
}

// timeout is how long a call may take whose request has patience left: no longer than the stock lasts if it is split
// among all calls that may be in flight.
func (b *callBudget) timeout(patience time.Duration) time.Duration {
	if b.limited() {
		patience = min(patience, seconds(b.stockSeconds/b.maxInFlight())-b.abandonedTime)
	}
	return max(patience, tickInterval)
}

// abandoned notes that a call has timed out and occupies the dependency for a while yet.
func (b *callBudget) abandoned(now time.Duration) {
	if b.abandonedTime > 0 {
		b.abandonedUntil = append(b.abandonedUntil, now+b.abandonedTime)
	}
}

// succeeded learns from a call that succeeded.
func (b *callBudget) succeeded(took time.Duration) {
	b.meanCallSeconds.add(took.Seconds())
	b.recentCalls++
}
