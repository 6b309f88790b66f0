package loadbalancer

import (
	"math"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// sampleSize is the number of random endpoints of which the best is chosen. Two are enough to keep queues short; with
	// four the choice is closer to the least loaded endpoint, and many instances still spread their load.
	sampleSize = 4
	// explorationInterval is the number of idempotent requests of which one, on average, uses the first endpoint drawn.
	// Endpoints that never have the lowest cost are thus observed too.
	explorationInterval = 32
	// maxSlowStartDraws bounds the draws of one random choice, which is repeated if it hits an endpoint in slow start.
	maxSlowStartDraws = 8
	// peakLatencyHalfLife is the half-life of the excess of an endpoint's peak latency over the mean of its class while
	// the endpoint is idle.
	peakLatencyHalfLife = 2 * microtime.Second
	// defaultLatency is the assumed latency of a class until one of its requests has succeeded.
	defaultLatency = 100 * microtime.Millisecond
	// minHedgeSamples is the number of requests of a class that must have succeeded before requests of it are hedged.
	minHedgeSamples = 50
)

// Request describes a request for the selection of an endpoint.
type Request struct {
	Class      int
	Idempotent bool     // the request may be executed more than once
	Cheap      bool     // the request costs little and may be used as a health probe
	Exclude    []string // endpoints already tried; chosen only if no other endpoint is healthy and has capacity
}

// Choice is the endpoint chosen for an attempt.
type Choice struct {
	Endpoint string
	Probe    bool // the attempt is a health probe
}

// Pick chooses the endpoint of an attempt: the one with the lowest expected cost of a few drawn at random, as in
// M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001). If the request is idempotent and
// cheap, an endpoint whose probe is due takes precedence. Pick returns false if no endpoint has capacity now.
//
// Pick does not record the attempt: the caller must call AttemptStarted when it sends the attempt.
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
		// An endpoint in slow start is chosen only if it was drawn first. Otherwise it would get more than its share
		// whenever it has the lowest cost.
		if other.state != Warming && b.cost(now, other, request.Class) < b.cost(now, best, request.Class) {
			best = other
		}
	}
	return Choice{Endpoint: best.name}, true
}

// dueProbe returns the first endpoint whose probe is due and that the request may probe, or nil.
func (b *Balancer) dueProbe(now microtime.Time, request *Request) *endpoint {
	if !request.Idempotent || !request.Cheap {
		return nil
	}
	for _, e := range b.endpoints {
		due := !e.probe.inFlight && now >= max(e.probe.dueAt, e.retryAfter)
		if b.unhealthy(now, e) && e.state != Draining && due && !request.excludes(e) {
			return e
		}
	}
	return nil
}

func (r *Request) excludes(e *endpoint) bool { return slices.Contains(r.Exclude, e.name) }

// candidates returns the endpoints to select from: the healthy ones with capacity, or all with capacity if the fraction
// of unhealthy ones exceeds MaxEjectedShare. In that case the cause is probably this instance or an overload of all
// endpoints, and ejection would overload the few that remain.
func (b *Balancer) candidates(now microtime.Time, request *Request) []*endpoint {
	healthy, available := b.available(now, request)
	if b.ejectedShare(now) > b.config.MaxEjectedShare {
		return available
	}
	return healthy
}

// available returns the endpoints with capacity, and the healthy ones among them. Endpoints that the request excludes
// are returned only if no other endpoint with capacity is healthy.
func (b *Balancer) available(now microtime.Time, request *Request) (healthy, available []*endpoint) {
	for _, excluded := range []bool{false, true} {
		for _, e := range b.endpoints {
			unavailable := e.state == Draining || now < e.retryAfter || e.atConcurrencyLimit(now, &b.config)
			if unavailable || request.excludes(e) != excluded {
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

// draw returns a random endpoint. An endpoint in slow start is drawn with a lower probability.
func (b *Balancer) draw(now microtime.Time, candidates []*endpoint) *endpoint {
	for range maxSlowStartDraws {
		e := candidates[b.rng.IntN(len(candidates))]
		if factor := e.slowStartFactor(now, &b.config); factor >= 1 || b.rng.Float64() < factor {
			return e
		}
	}
	return candidates[b.rng.IntN(len(candidates))]
}

// cost returns the expected latency of another request, in microseconds, times the number of requests that would then
// be in flight, divided by the slow-start factor. It is the cost function of Finagle's peak EWMA balancer, extended by
// slow start.
func (b *Balancer) cost(now microtime.Time, target *endpoint, class int) float64 {
	latency := target.latency[class].peak
	if target.latency[class].count == 0 {
		latency = b.latency[class].mean
		if gossipLatency, ok := b.gossip.Latency(now, target.name); ok && latency > 0 {
			latency = max(latency, gossipLatency)
		}
	}
	// The peak decays towards the mean of the class while no request is in flight. Otherwise an endpoint would not be
	// chosen again after one slow answer, and no request could show that it is fast again.
	if mean := b.latency[class].mean; latency > mean && target.inFlight == 0 {
		latency = mean + (latency-mean)*math.Exp2(-float64(now-target.lastAnswerAt)/float64(peakLatencyHalfLife))
	}
	if latency == 0 {
		latency = float64(defaultLatency)
	}
	return latency * float64(1+target.inFlight) / target.slowStartFactor(now, &b.config)
}

// HedgeDelay returns how long after the start of an attempt of an idempotent request a hedged request may be sent: the
// given quantile of the latency of its class, as in J. Dean and L. Barroso, "The Tail at Scale" (2013). It returns
// microtime.Never while too few requests of the class have succeeded.
func (b *Balancer) HedgeDelay(class int, quantile float64) microtime.Time {
	if b.latency[class].count < minHedgeSamples {
		return microtime.Never
	}
	return b.latency[class].quantile(quantile)
}

// EarliestFinish estimates the earliest time at which an attempt that is sent now could be answered. It returns
// microtime.Never if no endpoint has capacity.
func (b *Balancer) EarliestFinish(now microtime.Time, request Request) microtime.Time {
	lowest := math.Inf(1)
	for _, e := range b.candidates(now, &request) {
		// The division removes the factor for requests in flight: they run concurrently and do not delay the attempt.
		lowest = min(lowest, b.cost(now, e, request.Class)/float64(1+e.inFlight))
	}
	if math.IsInf(lowest, 1) {
		return microtime.Never
	}
	return now + microtime.Time(lowest)
}
