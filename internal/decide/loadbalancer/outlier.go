package loadbalancer

import "pewterline/internal/microtime"

// An endpoint with attempts in flight that does not answer for silenceLatencyFactor times the usual latency, within
// bounds, becomes Suspect.
const (
	silenceLatencyFactor = 3
	minSilenceTimeout    = 300 * microtime.Millisecond
	maxSilenceTimeout    = 2 * microtime.Second
)

// usualLatencyQuantile is the quantile of the latency from which the silence timeout is computed.
const usualLatencyQuantile = 0.95

// Result is how an attempt ended.
type Result struct {
	Class      int
	Outcome    Outcome
	Latency    microtime.Time
	RetryAfter microtime.Time // of a rejection: how long the endpoint must get no attempts
	NoRetry    bool           // of a rejection: no other endpoint should be tried
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
		target.lastAnswerAt = now // A failure is an answer, but does not bring the endpoint back into use.
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

// recordAnswer records a success or a rejection, which brings an ejected endpoint back into use.
func (b *Balancer) recordAnswer(now microtime.Time, target *endpoint) {
	target.lastAnswerAt = now
	target.consecutiveFailures = 0
	target.probe.backoff = 0
	switch target.state {
	case Unobserved:
		target.setState(now, Up)
	case Down:
		// It may have restarted, so that the earlier statistics do not apply.
		target.recoveredAt = now
		target.resetStatistics(&b.config)
		target.setState(now, Warming)
	case Suspect:
		target.setState(now, Warming)
		target.stateSince -= b.config.SlowStart / 2 // A shorter slow start, as it may only have been slow.
	case Warming:
		if now >= target.stateSince+b.config.SlowStart {
			target.setState(now, Up)
		}
	case Up, Draining:
	}
}

// recordFailure counts an attempt without an answer. It ejects the endpoint after too many consecutive ones.
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

// SilenceTimeout is how long an endpoint with attempts in flight may give no answer before it becomes Suspect.
func (b *Balancer) SilenceTimeout() microtime.Time {
	usual := microtime.Time(0)
	for class := range b.latency {
		usual = max(usual, b.latency[class].quantile(usualLatencyQuantile))
	}
	return min(max(silenceLatencyFactor*usual, minSilenceTimeout), maxSilenceTimeout)
}

// detectSilence makes endpoints Suspect that have not answered for SilenceTimeout. This detects a machine that has
// vanished without closing its connections, before the attempts there reach their deadlines. Without it, gossip would
// report such a machine as reachable for seconds.
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

// unhealthy reports whether an endpoint should be ejected. candidates ignores it if too many endpoints are unhealthy.
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

// ejectedShare is the share of the endpoints that are unhealthy.
func (b *Balancer) ejectedShare(now microtime.Time) float64 {
	unhealthy := 0
	for _, e := range b.endpoints {
		if b.unhealthy(now, e) {
			unhealthy++
		}
	}
	return float64(unhealthy) / float64(max(len(b.endpoints), 1))
}
