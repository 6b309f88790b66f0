package loadbalancer

import (
	"math/rand/v2"

	"pewterline/internal/microtime"
)

// notObserved is the value of an instant or a span whose event has not been observed.
const notObserved microtime.Time = -1

// endpoint is the state of an upstream endpoint, as derived from the attempts of this instance.
type endpoint struct {
	name                string
	state               State
	stateSince          microtime.Time
	consecutiveFailures int
	lastFailureAt       microtime.Time
	probe               probeSchedule
	// retryAfter is the instant until which no attempts may be sent, from the RetryAfter of the endpoint's rejections.
	retryAfter microtime.Time
	inFlight   int
	// busySince is when inFlight last rose from 0.
	busySince    microtime.Time
	concurrency  concurrencyLimit
	latency      []latencyStats // by class
	lastAnswerAt microtime.Time
	// recoveredAt is when the endpoint last recovered from Down, or notObserved.
	recoveredAt  microtime.Time
	observations int
}

func newEndpoint(now microtime.Time, name string, config *Config) *endpoint {
	e := &endpoint{name: name, stateSince: now, recoveredAt: notObserved}
	e.resetStatistics(config)
	return e
}

// resetStatistics discards the statistics of an earlier incarnation of the endpoint.
func (e *endpoint) resetStatistics(config *Config) {
	e.latency = make([]latencyStats, config.Classes)
	e.concurrency = concurrencyLimit{limit: config.InitialConcurrency}
}

func (e *endpoint) setState(now microtime.Time, state State) {
	if e.state != state {
		e.state = state
		e.stateSince = now
	}
}

// overallLatency merges the latency statistics of all classes.
func (e *endpoint) overallLatency() latencyStats {
	var overall latencyStats
	for class := range e.latency {
		overall.merge(&e.latency[class])
	}
	return overall
}

// slowStartFactor returns the fraction of its normal traffic that the endpoint gets: less than 1 during slow start.
func (e *endpoint) slowStartFactor(now microtime.Time, config *Config) float64 {
	if e.state != Warming {
		return 1
	}
	progress := float64(now-e.stateSince) / float64(config.SlowStart)
	return min(1, config.SlowStartShare+(1-config.SlowStartShare)*progress)
}

// atConcurrencyLimit reports whether the endpoint has no capacity for another attempt. One attempt is always allowed.
func (e *endpoint) atConcurrencyLimit(now microtime.Time, config *Config) bool {
	return float64(e.inFlight) >= e.concurrency.limit*e.slowStartFactor(now, config) && e.inFlight > 0
}

// probeSchedule is the schedule of the health probes of an endpoint that is Suspect or Down.
type probeSchedule struct {
	dueAt    microtime.Time
	backoff  microtime.Time // mean wait before the next probe
	inFlight bool
}

// backOff doubles the mean wait within its bounds and schedules the next probe after 0.5 to 1.5 times that wait. The
// factor is random, so that many instances do not probe at the same time. If gossip confirms the failure, the mean wait
// is at least half of MaxProbeBackoff.
func (p *probeSchedule) backOff(now microtime.Time, config *Config, rng *rand.Rand, confirmedByGossip bool) {
	p.backoff = min(max(2*p.backoff, config.InitialProbeBackoff), config.MaxProbeBackoff)
	if confirmedByGossip {
		p.backoff = max(p.backoff, config.MaxProbeBackoff/2)
	}
	p.dueAt = now + p.backoff/2 + microtime.Time(rng.Int64N(int64(p.backoff)))
}
