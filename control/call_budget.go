package control

import (
	"math"
	"slices"
	"time"
)

const (
	// callsInFlightShare is the part of callBudget.share that may be in flight at once. More would slow the dependency
	// down.
	callsInFlightShare = 0.35
	// callTokenMargin is how many tokens must be available before a call is made, as a multiple of the expected call time.
	callTokenMargin = 1.5
	// sufficientTokenShare is the part of the token bucket that always suffices for a call, however long calls take.
	sufficientTokenShare = 0.9
	// callTimePriorCalls is the weight, in calls, of the long-term mean call time against the recent calls.
	callTimePriorCalls = 3.0
	// meanCallShare is the part of callBudget.share that calls use on average; the rest is left for bursts.
	meanCallShare = 0.6
	// minCallWindow is the shortest window over which the dependency's calls in flight are averaged.
	minCallWindow = time.Second
)

// callBudget keeps the calls in flight to a shared dependency below this server's share of what the dependency
// survives, and estimates how long a call takes. It is a token bucket: a token is one second of one call in flight, and
// the bucket is refilled at the rate of meanCallShare of the share. When calls take longer, the bucket empties and no
// calls are made until it is refilled, so that the mean over the dependency's window stays below the share. This
// prevents the servers from overloading a dependency that slows down. The drawback is that capacity that other servers
// leave unused stays unused, as servers do not report their use to each other.
type callBudget struct {
	share           float64         // calls in flight that this server may hold on average; infinite if not limited
	window          time.Duration   // window over which the dependency's calls in flight are averaged
	abandonedTime   time.Duration   // how long an abandoned call still occupies the dependency
	tokens          float64         // call seconds that may still be used; negative if overspent
	inFlight        int             // calls that have not ended
	abandonedUntil  []time.Duration // for each abandoned call: when it stops occupying the dependency
	recentSeconds   float64         // call seconds in flight, fading with fadeTime
	recentCalls     float64         // calls that succeeded, fading with fadeTime
	meanCallSeconds runningMean     // over many calls
}

// configure applies the settings. If the share changes, the bucket starts empty.
func (b *callBudget) configure(settings *Settings) {
	b.window = max(settings.CallConcurrencyWindow, minCallWindow)
	b.abandonedTime = settings.AbandonedCallTime
	if settings.Dependency != DependencyShared || settings.CallConcurrencyShare <= 0 {
		b.share, b.tokens = math.Inf(1), math.Inf(1)
	} else if b.share != settings.CallConcurrencyShare {
		b.share, b.tokens = settings.CallConcurrencyShare, 0
	}
}

// advance moves the clock by elapsed seconds and multiplies the recent sums by fade.
func (b *callBudget) advance(now time.Duration, elapsed, fade float64) {
	b.abandonedUntil = slices.DeleteFunc(b.abandonedUntil, func(until time.Duration) bool { return until <= now })
	b.recentCalls *= fade
	b.recentSeconds *= fade
	b.recentSeconds += elapsed * float64(b.occupied())
	if b.limited() {
		refilled := b.tokens + elapsed*(meanCallShare*b.share-float64(b.occupied()))
		b.tokens = math.Min(refilled, b.maxTokens())
	}
}

// limited reports whether the settings limit the calls in flight.
func (b *callBudget) limited() bool { return b.share < math.Inf(1) }

// occupied returns how many calls occupy the dependency: those in flight and those recently abandoned.
func (b *callBudget) occupied() int { return b.inFlight + len(b.abandonedUntil) }

// maxInFlight returns how many calls may occupy the dependency at once.
func (b *callBudget) maxInFlight() float64 { return math.Max(1, callsInFlightShare*b.share) }

// maxTokens returns the size of the bucket: the call seconds that a burst may use.
func (b *callBudget) maxTokens() float64 { return (1 - meanCallShare) * b.share * b.window.Seconds() }

// callSeconds returns the current estimate of the time that a call takes. It includes the time that calls still in
// flight have taken so far.
func (b *callBudget) callSeconds() float64 {
	return (b.recentSeconds + callTimePriorCalls*b.meanCallSeconds.value) / (b.recentCalls + callTimePriorCalls)
}

// wait estimates how long the last of the given number of queued calls waits for permission.
func (b *callBudget) wait(calls float64) time.Duration {
	rate := math.Min(meanCallShare*b.share, b.maxInFlight())
	return seconds(math.Max(0, calls*b.callSeconds()-math.Max(b.tokens, 0)) / rate)
}

// requiredTokens returns how many call seconds must be available before a call is made.
func (b *callBudget) requiredTokens() float64 {
	return math.Min(callTokenMargin*b.callSeconds(), sufficientTokenShare*b.maxTokens())
}

// allows reports whether a call may be made now, given the call seconds that must be available.
func (b *callBudget) allows(requiredTokens float64) bool {
	return float64(b.occupied()+1) <= b.maxInFlight() && b.tokens >= requiredTokens
}

// timeout returns how long a call may take: at most maxWait, the time for which the request can wait, and no longer
// than the tokens last when they are split evenly over the calls that may be in flight at once.
func (b *callBudget) timeout(maxWait time.Duration) time.Duration {
	if b.limited() {
		maxWait = min(maxWait, seconds(b.tokens/b.maxInFlight())-b.abandonedTime)
	}
	return max(maxWait, tickInterval)
}

// callAbandoned records that a call has timed out and keeps occupying the dependency for abandonedTime.
func (b *callBudget) callAbandoned(now time.Duration) {
	if b.abandonedTime > 0 {
		b.abandonedUntil = append(b.abandonedUntil, now+b.abandonedTime)
	}
}

// callSucceeded updates the call time estimates with a call that succeeded.
func (b *callBudget) callSucceeded(took time.Duration) {
	b.meanCallSeconds.add(took.Seconds())
	b.recentCalls++
}
