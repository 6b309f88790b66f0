package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"github.com/benbjohnson/immutable"

	"pewterline/internal/microtime"
)

const (
	// maxSources bounds the number of observations of one kind about one endpoint; each is from another source.
	maxSources = 4
	// simultaneityWindow bounds the time between two observations that count as simultaneous.
	simultaneityWindow = microtime.Second
	// minWeight is the weight below which an observation is dropped.
	minWeight = 0.001
	// minLatencyWeight is the total weight that the observations of an endpoint's latency must exceed to be used.
	minLatencyWeight = 0.05
)

// GossipTable holds the observations of other instances. Every copy is an immutable snapshot, because the map in it is
// persistent.
type GossipTable struct {
	hopFactor    float64
	observations *immutable.SortedMap[observationKey, receivedObservation]
}

// observationKey identifies an observation. Each source has at most one observation of each kind about an endpoint in
// the table, so an observation that several instances forward counts once.
type observationKey struct {
	endpoint string
	kind     ObservationKind
	source   string
}

// observationOrder sorts observations by endpoint, kind and source.
type observationOrder struct{}

// Compare implements immutable.Comparer.
func (observationOrder) Compare(a, b observationKey) int {
	return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.kind, b.kind), cmp.Compare(a.source, b.source))
}

// receivedObservation is an observation from another instance, with the time on this instance's clock when it was made.
type receivedObservation struct {
	observation Observation
	madeAt      microtime.Time
}

func (r *receivedObservation) key() observationKey {
	return observationKey{endpoint: r.observation.Endpoint, kind: r.observation.Kind, source: r.observation.Source}
}

// NewGossipTable returns an empty table. hopFactor multiplies the weight of an observation at each hop.
func NewGossipTable(hopFactor float64) GossipTable {
	return GossipTable{
		hopFactor:    hopFactor,
		observations: immutable.NewSortedMap[observationKey, receivedObservation](observationOrder{}),
	}
}

// Len returns the number of observations.
func (g GossipTable) Len() int { return g.observations.Len() }

// weight returns the current weight of an observation: its evidence, halved for each half-life of its kind since it was
// made, and multiplied by the hop factor for each of its hops.
func (g GossipTable) weight(now microtime.Time, received *receivedObservation) float64 {
	age := float64(now - received.madeAt)
	decay := math.Exp2(-age / float64(received.observation.Kind.halfLife()))
	return received.observation.Evidence * decay * math.Pow(g.hopFactor, float64(received.observation.Hops))
}

// observationsAbout returns the observations of a kind about an endpoint, sorted by source.
func (g GossipTable) observationsAbout(endpoint string, kind ObservationKind) []receivedObservation {
	var found []receivedObservation
	iterator := g.observations.Iterator()
	iterator.Seek(observationKey{endpoint: endpoint, kind: kind})
	for !iterator.Done() {
		key, received, _ := iterator.Next()
		if key.endpoint != endpoint || key.kind != kind {
			break
		}
		found = append(found, received)
	}
	return found
}

// FailureWeight returns the total weight of the observations that an endpoint is unreachable, minus that of later or
// simultaneous observations that it is reachable; at least 0.
func (g GossipTable) FailureWeight(now microtime.Time, endpoint string) float64 {
	netWeight := 0.0
	lastFailure := notObserved
	for _, received := range g.observationsAbout(endpoint, Unreachable) {
		netWeight += g.weight(now, &received)
		lastFailure = max(lastFailure, received.madeAt)
	}
	if netWeight == 0 {
		return 0
	}
	for _, received := range g.observationsAbout(endpoint, Reachable) {
		// An observation that is clearly older than the latest failure does not contradict it.
		if received.madeAt > lastFailure-simultaneityWindow {
			netWeight -= g.weight(now, &received)
		}
	}
	return max(netWeight, 0)
}

// Latency returns the latency of an endpoint in microseconds according to gossip: the weighted mean of the
// observations. It returns false if they have too little weight.
func (g GossipTable) Latency(now microtime.Time, endpoint string) (float64, bool) {
	weightedSum := 0.0
	totalWeight := 0.0
	for _, received := range g.observationsAbout(endpoint, TypicalLatency) {
		weight := g.weight(now, &received)
		weightedSum += weight * received.observation.Value
		totalWeight += weight
	}
	return weightedSum / totalWeight, totalWeight > minLatencyWeight
}

// lastRecovery returns when an endpoint last recovered according to gossip, or notObserved.
func (g GossipTable) lastRecovery(endpoint string) microtime.Time {
	last := notObserved
	for _, received := range g.observationsAbout(endpoint, Recovered) {
		last = max(last, received.madeAt)
	}
	return last
}

// insert returns a copy of the table with a valid observation added. If the observation is stale, it returns the table
// unchanged and false.
func (g GossipTable) insert(now microtime.Time, observation Observation) (GossipTable, bool) {
	added := receivedObservation{observation: observation, madeAt: now - observation.Age}
	// Observations from before the recovery are about an earlier incarnation of the endpoint.
	if observation.Kind != Recovered && added.madeAt < g.lastRecovery(observation.Endpoint) {
		return g, false
	}
	if known, ok := g.observations.Get(added.key()); ok && !added.supersedes(&known) {
		return g, false
	}
	g.observations = g.observations.Set(added.key(), added)
	if observation.Kind == Recovered {
		g = g.withoutEarlierIncarnations(&added)
	}
	return g.withBoundedSources(now, observation.Endpoint, observation.Kind), true
}

// supersedes reports whether an observation is newer than a known one with the same key, or the same one received over
// fewer hops.
func (r *receivedObservation) supersedes(known *receivedObservation) bool {
	if r.madeAt != known.madeAt {
		return r.madeAt > known.madeAt
	}
	return r.observation.Hops < known.observation.Hops
}

// withoutEarlierIncarnations returns the table without observations of an endpoint that were made before its recovery.
func (g GossipTable) withoutEarlierIncarnations(recovery *receivedObservation) GossipTable {
	for _, kind := range []ObservationKind{Unreachable, Reachable, TypicalLatency} {
		for _, received := range g.observationsAbout(recovery.observation.Endpoint, kind) {
			if received.madeAt < recovery.madeAt {
				g.observations = g.observations.Delete(received.key())
			}
		}
	}
	return g
}

// withBoundedSources returns the table without the observation of the lowest weight if there are more than maxSources
// observations of a kind about an endpoint.
func (g GossipTable) withBoundedSources(now microtime.Time, endpoint string, kind ObservationKind) GossipTable {
	observations := g.observationsAbout(endpoint, kind)
	if len(observations) <= maxSources {
		return g
	}
	lowest := slices.MinFunc(observations, func(a, b receivedObservation) int {
		return cmp.Compare(g.weight(now, &a), g.weight(now, &b))
	})
	g.observations = g.observations.Delete(lowest.key())
	return g
}

// expire returns the table without the observations that have lost their weight, are older than MaxAge or are about
// unknown endpoints. Recoveries are kept for MaxAge whatever their weight, because they invalidate older observations.
func (g GossipTable) expire(now microtime.Time, known func(endpoint string) bool) GossipTable {
	for iterator := g.observations.Iterator(); !iterator.Done(); {
		key, received, _ := iterator.Next()
		negligible := g.weight(now, &received) < minWeight && key.kind != Recovered
		if now-received.madeAt > MaxAge || !known(key.endpoint) || negligible {
			g.observations = g.observations.Delete(key)
		}
	}
	return g
}
