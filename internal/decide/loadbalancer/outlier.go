package loadbalancer

import "pewterline/internal/microtime"

// An endpoint with attempts in flight becomes Suspect if it does not answer for silenceLatencyFactor times the usual
// latency, bounded by minSilenceTimeout and maxSilenceTimeout.
const (
	silenceLatencyFactor = 3
	minSilenceTimeout    = 300 * microtime.Millisecond
	maxSilenceTimeout    = 2 * microtime.Second
)

// usualLatencyQuantile is the quantile of the latency that counts as usual for the silence timeout.
const usualLatencyQuantile = 0.95

// Result is how an attempt ended.
type Result struct {
	Class      int
	Outcome    Outcome
	Latency    microtime.Time
	RetryAfter microtime.Time // only of a rejection: how long the endpoint must get no attempts
	NoRetry    bool           // only of a rejection: no other endpoint should be tried
}

// AttemptStarted records that an attempt was sent to the endpoint that Pick chose.
func (b *Balancer) AttemptStarted(now microtime.Time, choice Choice) {
	target := b.byName[choice.Endpoint]
	if target == nil {
		return
	}
	if target.inFlight == 0 {
		target.busySince = now
	}
	target.inFlight++
	if choice.Probe {
		target.probe.inFlight = true
	}
}

// AttemptEnded records how an attempt ended. Attempts at endpoints that were removed are ignored.
func (b *Balancer) AttemptEnded(now microtime.Time, choice Choice, result Result) {
	target := b.byName[choice.Endpoint]
	if target == nil {
		return
	}
	target.inFlight = max(target.inFlight-1, 0)
	if choice.Probe {
		target.probe.inFlight = false
	}
	if result.Outcome == Cancelled {
		return
	}
	target.observations++
	switch result.Outcome {
	case Succeeded:
		b.recordAnswer(now, target)
		b.recordLatency(target, &result)
	case Rejected:
		b.recordAnswer(now, target)
		target.retryAfter = max(target.retryAfter, now+result.RetryAfter)
		target.concurrency.decrease()
	case Failed:
		target.lastAnswerAt = now // A failure is an answer, but does not return the endpoint to service.
		target.concurrency.decrease()
	default:
		b.recordFailure(now, target, result.Outcome)
	}
}

func (b *Balancer) recordLatency(target *endpoint, result *Result) {
	stats := &target.latency[result.Class]
	stats.add(float64(result.Latency))
	b.latency[result.Class].add(float64(result.Latency))
	target.concurrency.recordSuccess(stats.mean, target.inFlight, b.config.MaxConcurrency)
}

// recordAnswer records a success or a rejection, which returns an ejected endpoint to service.
func (b *Balancer) recordAnswer(now microtime.Time, target *endpoint) {
	target.lastAnswerAt = now
	target.consecutiveFailures = 0
	target.probe.backoff = 0
	switch target.state {
	case Unobserved:
		target.setState(now, Up)
	case Down:
		// The endpoint may have restarted, so the earlier statistics no longer apply.
		target.recoveredAt = now
		target.resetStatistics(&b.config)
		target.setState(now, Warming)
	case Suspect:
		target.setState(now, Warming)
		target.stateSince -= b.config.SlowStart / 2 // Half of the slow start, as the endpoint may only have been slow.
	case Warming:
		if now >= target.stateSince+b.config.SlowStart {
			target.setState(now, Up)
		}
	case Up, Draining:
	}
}

// recordFailure counts an attempt that got no answer. Too many consecutive ones, or one failed connect, eject the
// endpoint.
func (b *Balancer) recordFailure(now microtime.Time, target *endpoint, outcome Outcome) {
	target.consecutiveFailures++
	target.lastFailureAt = now
	target.concurrency.decrease()
	switch {
	case outcome == ConnectFailed || target.consecutiveFailures >= b.config.DownAfterFailures:
		target.setState(now, Down)
	case target.consecutiveFailures >= b.config.SuspectAfterFailures || target.state == Suspect || target.state == Warming:
		if target.state != Down {
			target.setState(now, Suspect)
		}
	default:
		return
	}
	confirmedByGossip := b.gossip.FailureWeight(now, target.name) >= b.config.GossipThreshold/2
	target.probe.backOff(now, &b.config, b.rng, confirmedByGossip)
}

// SilenceTimeout returns how long an endpoint with attempts in flight may send no answer before it becomes Suspect.
func (b *Balancer) SilenceTimeout() microtime.Time {
	usual := microtime.Time(0)
	for class := range b.latency {
		usual = max(usual, b.latency[class].quantile(usualLatencyQuantile))
	}
	return min(max(silenceLatencyFactor*usual, minSilenceTimeout), maxSilenceTimeout)
}

// detectSilence makes endpoints Suspect that have attempts in flight and have not answered for SilenceTimeout. This
// detects a machine that failed without closing its connections, before its attempts reach their deadlines. Otherwise
// gossip would report such a machine as reachable for seconds.
func (b *Balancer) detectSilence(now microtime.Time) {
	timeout := b.SilenceTimeout()
	for _, e := range b.endpoints {
		if e.inFlight == 0 || e.state == Down || e.state == Suspect || e.state == Draining {
			continue
		}
		if now-max(e.busySince, e.lastAnswerAt) > timeout {
			e.consecutiveFailures = max(e.consecutiveFailures, b.config.SuspectAfterFailures-1)
			b.recordFailure(now, e, TimedOut)
		}
	}
}

// unhealthy reports whether an endpoint should be ejected. The method candidates ejects none if too many are unhealthy.
func (b *Balancer) unhealthy(now microtime.Time, target *endpoint) bool {
	switch target.state {
	case Suspect, Down, Draining:
		return true
	case Unobserved:
		return b.gossip.FailureWeight(now, target.name) >= b.config.GossipThreshold
	case Up, Warming:
	}
	return false
}

// ejectedShare returns the fraction of the endpoints that are unhealthy.
func (b *Balancer) ejectedShare(now microtime.Time) float64 {
	unhealthy := 0
	for _, e := range b.endpoints {
		if b.unhealthy(now, e) {
			unhealthy++
		}
	}
	return float64(unhealthy) / float64(max(len(b.endpoints), 1))
}
