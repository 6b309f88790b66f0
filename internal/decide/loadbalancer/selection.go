package loadbalancer

import (
	"math"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// sampleSize is the number of endpoints of which one is chosen. Two are enough to keep queues short; four came nearer
	// to the least loaded of all in our measurements, and still spread what many instances send.
	sampleSize = 4
	// explorationInterval: one idempotent request in so many takes the first endpoint drawn, so that each endpoint is
	// observed, also one that never looks best.
	explorationInterval = 32
	// maxSlowStartDraws bounds how often a draw is repeated because an endpoint is warming up.
	maxSlowStartDraws = 8
	// peakLatencyHalfLife is after how long without an answer the excess of a peak latency counts half.
	peakLatencyHalfLife = 2 * microtime.Second
	// defaultLatency is assumed while no request of a class has been served.
	defaultLatency = 100 * microtime.Millisecond
	// minHedgeSamples is how many requests of a class must have been served before one of them is hedged.
	minHedgeSamples = 50
)

// Request is what a selection depends on.
type Request struct {
	Class      int
	Idempotent bool     // it may be executed more than once
	Cheap      bool     // it costs little, so that it may probe an endpoint
	Exclude    []string // endpoints that were tried already; they are chosen only where there is no other
}

// Choice is the endpoint of an attempt.
type Choice struct {
	Endpoint string
	Probe    bool // the attempt finds out whether the endpoint has recovered
}

// Pick chooses the endpoint of an attempt: of a few drawn at random, the one with the lowest expected cost, as in
// M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001). An endpoint whose probe is due is
// chosen first if the request is idempotent and cheap. It returns false if no endpoint takes the request now.
//
// Pick records no attempt: AttemptStarted must follow.
func (b *Balancer) Pick(now microtime.Time, request Request) (Choice, bool) {
	b.detectSilence(now)
	if e := b.dueProbe(now, &request); e != nil {
		return Choice{Endpoint: e.name, Probe: true}, true
	}
	candidates := b.candidates(now, &request)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := b.draw(now, candidates)
	if request.Idempotent && b.rng.IntN(explorationInterval) == 0 {
		return Choice{Endpoint: best.name}, true
	}
	for range sampleSize - 1 {
		other := b.draw(now, candidates)
		// An endpoint that is warming up can only be the first drawn, so that its share stays what slow start allows,
		// however fast it seems.
		if other.state != Warming && b.cost(now, other, request.Class) < b.cost(now, best, request.Class) {
			best = other
		}
	}
	return Choice{Endpoint: best.name}, true
}

// dueProbe returns the first endpoint that the request may probe now, or nil.
func (b *Balancer) dueProbe(now microtime.Time, request *Request) *endpoint {
	if !request.Idempotent || !request.Cheap {
		return nil
	}
	for _, e := range b.endpoints {
		due := !e.probe.inFlight && now >= max(e.probe.at, e.retryAfter)
		if b.unhealthy(now, e) && e.state != Draining && due && !request.excludes(e) {
			return e
		}
	}
	return nil
}

func (r *Request) excludes(e *endpoint) bool { return slices.Contains(r.Exclude, e.name) }

// candidates returns the endpoints that may take the request: the healthy ones with capacity, or all with capacity
// where more than the allowed share is ejected. Where most look unhealthy, it is likelier that this instance is, or
// that all are slow; then the last few must not be overloaded, and the concurrency limits alone hold.
func (b *Balancer) candidates(now microtime.Time, request *Request) []*endpoint {
	healthy, available := b.available(now, request)
	if b.ejectedShare(now) > b.config.MaxEjectedShare {
		return available
	}
	return healthy
}

// available returns the endpoints that are known to take requests, and the healthy ones among them. Excluded endpoints
// come in only if no other is healthy.
func (b *Balancer) available(now microtime.Time, request *Request) (healthy, available []*endpoint) {
	for _, excluded := range []bool{false, true} {
		for _, e := range b.endpoints {
			closed := e.state == Draining || now < e.retryAfter || e.atConcurrencyLimit(now, &b.config)
			if closed || request.excludes(e) != excluded {
				continue
			}
			available = append(available, e)
			if !b.unhealthy(now, e) {
				healthy = append(healthy, e)
			}
		}
		if len(healthy) > 0 {
			break
		}
	}
	return healthy, available
}

// draw draws an endpoint at random, one that is warming up with a lower probability.
func (b *Balancer) draw(now microtime.Time, candidates []*endpoint) *endpoint {
	for range maxSlowStartDraws {
		e := candidates[b.rng.IntN(len(candidates))]
		if factor := e.slowStartFactor(now, &b.config); factor >= 1 || b.rng.Float64() < factor {
			return e
		}
	}
	return candidates[b.rng.IntN(len(candidates))]
}

// cost is the expected latency of a further request, in microseconds, times the requests that would then be in flight:
// the cost function of Finagle's peak EWMA balancer. It serves for comparison only.
func (b *Balancer) cost(now microtime.Time, target *endpoint, class int) float64 {
	latency := target.latency[class].peak
	if target.latency[class].count == 0 {
		latency = b.latency[class].mean
		if told, ok := b.gossip.Latency(now, target.name); ok && latency > 0 {
			latency = max(latency, told)
		}
	}
	// A peak that no later request confirms fades towards the mean. Otherwise one slow answer would keep an endpoint out
	// of every choice, and nobody would find out that it is fast again, or gone.
	if mean := b.latency[class].mean; latency > mean && target.inFlight == 0 {
		latency = mean + (latency-mean)*math.Exp2(-float64(now-target.lastAnswerAt)/float64(peakLatencyHalfLife))
	}
	if latency == 0 {
		latency = float64(defaultLatency)
	}
	return latency * float64(1+target.inFlight) / target.slowStartFactor(now, &b.config)
}

// HedgeDelay is how long after an attempt of an idempotent request a hedged request may be sent: the quantile of the
// latency of its class, as in J. Dean and L. Barroso, "The Tail at Scale" (2013). It is microtime.Never while too few
// requests of the class have been served.
func (b *Balancer) HedgeDelay(class int, quantile float64) microtime.Time {
	if b.latency[class].count < minHedgeSamples {
		return microtime.Never
	}
	return b.latency[class].quantile(quantile)
}

// EarliestFinish estimates when an attempt that is sent now would be answered at best. It is microtime.Never if no
// endpoint takes the request.
func (b *Balancer) EarliestFinish(now microtime.Time, request Request) microtime.Time {
	lowest := math.Inf(1)
	for _, e := range b.candidates(now, &request) {
		// The requests in flight run side by side, so that they do not count here.
		lowest = min(lowest, b.cost(now, e, request.Class)/float64(1+e.inFlight))
	}
	if math.IsInf(lowest, 1) {
		return microtime.Never
	}
	return now + microtime.Time(lowest)
}
