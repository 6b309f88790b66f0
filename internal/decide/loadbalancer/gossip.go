package loadbalancer

import (
	"cmp"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// evidencePerSecond bounds the evidence in an observation per second of its sender's uptime.
	evidencePerSecond = 1.0
	// maxEvidence bounds the evidence in any observation.
	maxEvidence = 20.0
	// maxReachableEvidence and maxLatencyEvidence bound the evidence in this instance's own observations of the kinds
	// Reachable and TypicalLatency.
	maxReachableEvidence = 10
	maxLatencyEvidence   = 10
	// minDownEvidence and minSuspectEvidence are the least evidence in this instance's own observations of endpoints in
	// the states Down and Suspect.
	minDownEvidence    = 8
	minSuspectEvidence = 4
	// minLatencySamples is how many requests an endpoint must have served before its latency is sent to other instances.
	minLatencySamples = 5
)

// GossipResult counts the observations of a gossip message by how they were handled.
type GossipResult struct {
	Accepted int
	Stale    int   // not newer than the known one, or about an earlier incarnation of the endpoint
	Ignored  int   // about an endpoint that is not in the endpoint list, or made by this instance
	Invalid  int   // out of bounds
	Err      error // error of the first invalid observation or of the sender; it wraps ErrInvalidGossip
}

func (r *GossipResult) addInvalid(err error) {
	r.Invalid++
	if r.Err == nil {
		r.Err = err
	}
}

// ApplyGossip adds the observations in a message from another instance to the gossip table. This instance's own
// observations take precedence: gossip ejects only endpoints at which no attempt by this instance has ended. self is
// the name of this instance. Its own observations are ignored when other instances send them back.
func (b *Balancer) ApplyGossip(now microtime.Time, self string, sender GossipSender,
	observations []Observation) GossipResult {
	var result GossipResult
	if err := sender.validate(); err != nil {
		result.addInvalid(err)
		return result
	}
	// A sender that has just started cannot have much evidence. The bound also applies to observations that it forwards.
	evidenceBound := min(maxEvidence, evidencePerSecond*sender.Uptime.Duration().Seconds())
	for _, observation := range observations {
		err := ValidateObservation(observation)
		if err == nil {
			err = sender.validateOwn(&observation)
		}
		if err != nil {
			result.addInvalid(err)
			continue
		}
		target := b.byName[observation.Endpoint]
		if target == nil || observation.Source == self {
			result.Ignored++
			continue
		}
		observation.Evidence = min(observation.Evidence, evidenceBound)
		if b.accept(now, target, observation) {
			result.Accepted++
		} else {
			result.Stale++
		}
	}
	return result
}

// accept adds a valid observation of an endpoint to the gossip table. It returns false if the observation is stale or
// has no evidence left.
func (b *Balancer) accept(now microtime.Time, target *endpoint, observation Observation) bool {
	// A recovery that this instance has observed itself invalidates older gossip.
	beforeRecovery := target.recoveredAt >= 0 && now-observation.Age < target.recoveredAt
	if observation.Kind != Recovered && beforeRecovery || observation.Evidence <= 0 {
		return false
	}
	updated, ok := b.gossip.insert(now, observation)
	if !ok {
		return false
	}
	b.gossip = updated
	// The source of the observation probes the endpoint and reports its recovery. This instance probes it only after a
	// random wait, so that not all instances probe at the same time.
	if observation.Kind == Unreachable && target.state == Unobserved && target.probe.dueAt <= now {
		wait := microtime.Time(b.rng.Int64N(int64(b.config.MaxProbeBackoff)))
		target.probe.dueAt = now + b.config.MaxProbeBackoff/2 + wait
	}
	return true
}

// ComposeGossip returns the observations to send to another instance: first this instance's own, then those of other
// instances by descending weight, with the hop count increased by one. limit bounds their number.
func (b *Balancer) ComposeGossip(now microtime.Time, self string, limit int) []Observation {
	var observations []Observation
	for _, e := range b.endpoints {
		observations = append(observations, e.ownObservations(now, self)...)
	}
	observations = append(observations, b.forwardedObservations(now)...)
	return observations[:min(len(observations), limit)]
}

// ownObservations returns this instance's observations of an endpoint that are not older than MaxAge.
func (e *endpoint) ownObservations(now microtime.Time, self string) []Observation {
	var own []Observation
	add := func(kind ObservationKind, value, evidence float64, madeAt microtime.Time) {
		if evidence <= 0 || now-madeAt > MaxAge {
			return
		}
		own = append(own, Observation{
			Endpoint: e.name,
			Kind:     kind,
			Value:    value,
			Evidence: min(evidence, maxEvidence),
			Age:      now - madeAt,
			Source:   self,
			Hops:     1,
		})
	}
	switch e.state {
	case Down:
		add(Unreachable, 0, max(minDownEvidence, float64(e.consecutiveFailures)), e.lastFailureAt)
	case Suspect:
		add(Unreachable, 0, max(minSuspectEvidence, float64(e.consecutiveFailures)), e.lastFailureAt)
	case Up, Warming:
		add(Reachable, 0, float64(min(e.observations, maxReachableEvidence)), e.lastAnswerAt)
	case Unobserved, Draining:
	}
	if e.recoveredAt >= 0 {
		add(Recovered, 0, 1, e.recoveredAt)
	}
	if latency := e.overallLatency(); latency.count >= minLatencySamples && e.lastAnswerAt > 0 {
		evidence := float64(min(latency.count, 2*maxLatencyEvidence)) / 2
		add(TypicalLatency, float64(latency.quantile(0.5)), evidence, e.lastAnswerAt)
	}
	return own
}

// forwardedObservations returns the observations of other instances that may still be forwarded, by descending weight
// and with the hop count increased by one.
func (b *Balancer) forwardedObservations(now microtime.Time) []Observation {
	var received []receivedObservation
	for iterator := b.gossip.observations.Iterator(); !iterator.Done(); {
		_, observed, _ := iterator.Next()
		if observed.observation.Hops < MaxHops && now-observed.madeAt <= MaxAge {
			received = append(received, observed)
		}
	}
	slices.SortStableFunc(received, func(first, second receivedObservation) int {
		return cmp.Compare(b.gossip.weight(now, &second), b.gossip.weight(now, &first))
	})
	forwarded := make([]Observation, 0, len(received))
	for _, observed := range received {
		observation := observed.observation
		observation.Age = now - observed.madeAt
		observation.Hops++
		forwarded = append(forwarded, observation)
	}
	return forwarded
}

// GossipSnapshot returns an immutable snapshot of the observations of other instances.
func (b *Balancer) GossipSnapshot() GossipTable { return b.gossip }

// ExpireGossip drops the observations that have lost their weight, are older than MaxAge or are about an endpoint that
// was removed. It should be called periodically.
func (b *Balancer) ExpireGossip(now microtime.Time) {
	b.gossip = b.gossip.expire(now, func(endpoint string) bool { return b.byName[endpoint] != nil })
}
