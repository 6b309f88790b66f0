package loadbalancer

import (
	"math"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// sampleSize is the number of random endpoints of which the best is chosen. Two are enough to keep queues short; four
	// came closer to the least loaded endpoint in our measurements, and still spread the load of many instances.
	sampleSize = 4
	// explorationInterval is the mean number of idempotent requests per one that uses the first endpoint drawn, so that
	// even an endpoint that never looks best is observed.
	explorationInterval = 32
	// maxSlowStartDraws bounds how often a draw is repeated because an endpoint is warming up.
	maxSlowStartDraws = 8
	// peakLatencyHalfLife is the half-life of the excess of a peak latency over the mean while no answer comes.
	peakLatencyHalfLife = 2 * microtime.Second
	// defaultLatency is the assumed latency before a request of a class has been served.
	defaultLatency = 100 * microtime.Millisecond
	// minHedgeSamples is how many requests of a class must have been served before one of them is hedged.
	minHedgeSamples = 50
)

// Request describes a request for the selection of an endpoint.
type Request struct {
	Class      int
	Idempotent bool     // it may be executed more than once
	Cheap      bool     // it costs little, so that it may probe an endpoint
	Exclude    []string // endpoints that were tried already; they are chosen only if there is no other
}

// Choice is the endpoint of an attempt.
type Choice struct {
	Endpoint string
	Probe    bool // the attempt is a health probe
}

// Pick chooses the endpoint of an attempt: of a few drawn at random, the one with the lowest expected cost, as in
// M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001). An endpoint whose probe is due is
// chosen first if the request is idempotent and cheap. It returns false if no endpoint has capacity now.
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
		// An endpoint that is warming up can only be the first drawn, so that slow start limits its share even if it has
		// the lowest cost.
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

// candidates returns the endpoints to select from: the healthy ones with capacity, or all with capacity if more than
// MaxEjectedShare are unhealthy. If most endpoints look unhealthy, the cause is probably this instance or an overload
// of all of them, and ejecting them would overload the few that remain.
func (b *Balancer) candidates(now microtime.Time, request *Request) []*endpoint {
	healthy, available := b.available(now, request)
	if b.ejectedShare(now) > b.config.MaxEjectedShare {
		return available
	}
	return healthy
}

// available returns the endpoints with capacity, and the healthy ones among them. Excluded endpoints are included only
// if no other one is healthy.
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

// cost is the expected latency of another request, in microseconds, times the requests that would then be in flight:
// the cost function of Finagle's peak EWMA balancer. It is used for comparison only.
func (b *Balancer) cost(now microtime.Time, target *endpoint, class int) float64 {
	latency := target.latency[class].peak
	if target.latency[class].count == 0 {
		latency = b.latency[class].mean
		if told, ok := b.gossip.Latency(now, target.name); ok && latency > 0 {
			latency = max(latency, told)
		}
	}
	// The peak fades towards the mean while no request is in flight. Otherwise an endpoint would never be chosen after
	// one slow answer, and no request would show that it is fast again.
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

// EarliestFinish estimates the earliest time at which an attempt that is sent now could be answered. It is
// microtime.Never if no endpoint has capacity.
func (b *Balancer) EarliestFinish(now microtime.Time, request Request) microtime.Time {
	lowest := math.Inf(1)
	for _, e := range b.candidates(now, &request) {
		// The requests in flight run concurrently, so they do not delay the attempt.
		lowest = min(lowest, b.cost(now, e, request.Class)/float64(1+e.inFlight))
	}
	if math.IsInf(lowest, 1) {
		return microtime.Never
	}
	return now + microtime.Time(lowest)
}
