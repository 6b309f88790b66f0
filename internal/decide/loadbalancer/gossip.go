package loadbalancer

import (
	"cmp"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// evidencePerSecond is how much an instance can have learned of one endpoint in a second of its life.
	evidencePerSecond = 1.0
	maxEvidence       = 20.0
	// maxReachableEvidence and maxLatencyEvidence bound the evidence of the instance's own observations of these kinds.
	maxReachableEvidence = 10
	maxLatencyEvidence   = 10
	// minDownEvidence and minSuspectEvidence are what the instance's own states count at least.
	minDownEvidence    = 8
	minSuspectEvidence = 4
	// minLatencySamples is how many requests an endpoint must have served before its latency is told.
	minLatencySamples = 5
)

// GossipResult counts what became of the observations of a message.
type GossipResult struct {
	Accepted int
	Stale    int // older than what is known, or of an earlier incarnation
	Ignored  int // about endpoints that are not in the endpoint list, or made by this instance
	Invalid  int
	Err      error // the first fault; it wraps ErrInvalidGossip
}

func (r *GossipResult) addInvalid(err error) {
	r.Invalid++
	if r.Err == nil {
		r.Err = err
	}
}

// ApplyGossip takes over what another instance told. The instance's own observations take precedence: what is told
// counts only for endpoints at which no attempt of this instance has ended. self is the name of this instance, whose
// own observations come back to it.
func (b *Balancer) ApplyGossip(now microtime.Time, self string, sender GossipSender,
	observations []Observation) GossipResult {
	var result GossipResult
	if err := sender.validate(); err != nil {
		result.addInvalid(err)
		return result
	}
	// A sender that has just started has seen little, whatever it says, and what it repeats rests on no more.
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

// accept takes over a valid observation of an endpoint. It returns false if the observation tells nothing new.
func (b *Balancer) accept(now microtime.Time, target *endpoint, observation Observation) bool {
	// The instance's own observation of a recovery goes before older gossip.
	beforeRecovery := target.recoveredAt >= 0 && now-observation.Age < target.recoveredAt
	if observation.Kind != Recovered && beforeRecovery || observation.Evidence <= 0 {
		return false
	}
	next, ok := b.gossip.insert(now, observation)
	if !ok {
		return false
	}
	b.gossip = next
	// The instance that told will find out when the endpoint is back; this one probes only after a while, each instance
	// at a time of its own.
	if observation.Kind == Unreachable && target.state == Unobserved && target.probe.at <= now {
		wait := microtime.Time(b.rng.Int64N(int64(b.config.MaxProbeBackoff)))
		target.probe.at = now + b.config.MaxProbeBackoff/2 + wait
	}
	return true
}

// ComposeGossip returns what this instance tells another: its own observations, then what it was told, one hop further
// and by falling weight. limit bounds the number of observations.
func (b *Balancer) ComposeGossip(now microtime.Time, self string, limit int) []Observation {
	var observations []Observation
	for _, e := range b.endpoints {
		observations = append(observations, e.ownObservations(now, self)...)
	}
	observations = append(observations, b.forwardedObservations(now)...)
	return observations[:min(len(observations), limit)]
}

// ownObservations returns what this instance has observed of an endpoint within MaxAge.
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

// forwardedObservations returns what others have told, one hop further and by falling weight.
func (b *Balancer) forwardedObservations(now microtime.Time) []Observation {
	var held []heldObservation
	for iterator := b.gossip.observations.Iterator(); !iterator.Done(); {
		_, h, _ := iterator.Next()
		if h.observation.Hops < MaxHops && now-h.madeAt <= MaxAge {
			held = append(held, h)
		}
	}
	slices.SortStableFunc(held, func(first, second heldObservation) int {
		return cmp.Compare(b.gossip.weight(now, &second), b.gossip.weight(now, &first))
	})
	forwarded := make([]Observation, 0, len(held))
	for _, h := range held {
		observation := h.observation
		observation.Age = now - h.madeAt
		observation.Hops++
		forwarded = append(forwarded, observation)
	}
	return forwarded
}

// GossipSnapshot returns what others have told as of now; it does not change afterwards.
func (b *Balancer) GossipSnapshot() GossipTable { return b.gossip }

// ExpireGossip forgets what has lost its weight. It is to be called from time to time.
func (b *Balancer) ExpireGossip(now microtime.Time) {
	b.gossip = b.gossip.expire(now, func(endpoint string) bool { return b.byName[endpoint] != nil })
}
