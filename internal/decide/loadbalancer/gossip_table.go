package loadbalancer

import (
	"cmp"
	"math"
	"slices"

	"github.com/benbjohnson/immutable"

	"pewterline/internal/microtime"
)

const (
	// maxSources bounds the observations of one kind about one endpoint.
	maxSources = 4
	// contemporary is the span within which two observations count as simultaneous.
	contemporary = microtime.Second
	// minWeight is the weight below which an observation is dropped.
	minWeight = 0.001
	// minLatencyWeight is the total weight that observations of a latency must exceed to be used.
	minLatencyWeight = 0.05
)

// GossipTable holds the observations of other instances. A copy is a snapshot that does not change, because the map
// inside is persistent.
type GossipTable struct {
	hopFactor    float64
	observations *immutable.SortedMap[observationKey, receivedObservation]
}

// observationKey identifies an observation. Each source has one observation of each kind about an endpoint, so that an
// observation that many instances forward counts once.
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

// receivedObservation is an observation with the instant, on this instance's clock, when it was made.
type receivedObservation struct {
	observation Observation
	madeAt      microtime.Time
}

func (h *receivedObservation) key() observationKey {
	return observationKey{endpoint: h.observation.Endpoint, kind: h.observation.Kind, source: h.observation.Source}
}

// NewGossipTable returns an empty table. hopFactor is the factor of an observation's weight with each hop.
func NewGossipTable(hopFactor float64) GossipTable {
	return GossipTable{
		hopFactor:    hopFactor,
		observations: immutable.NewSortedMap[observationKey, receivedObservation](observationOrder{}),
	}
}

// Len returns the number of observations.
func (g GossipTable) Len() int { return g.observations.Len() }

// weight is the current weight of an observation: its evidence, halved with each half-life of its kind, and multiplied
// by the hop factor for each of its hops.
func (g GossipTable) weight(now microtime.Time, received *receivedObservation) float64 {
	age := float64(now - received.madeAt)
	decay := math.Exp2(-age / float64(received.observation.Kind.halfLife()))
	return received.observation.Evidence * decay * math.Pow(g.hopFactor, float64(received.observation.Hops))
}

// about lists the observations of a kind about an endpoint, by source.
func (g GossipTable) about(endpoint string, kind ObservationKind) []receivedObservation {
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

// FailureWeight is the weight of the observations that an endpoint is unreachable, less that of later ones that it is
// reachable; at least 0.
func (g GossipTable) FailureWeight(now microtime.Time, endpoint string) float64 {
	sum := 0.0
	last := never
	for _, received := range g.about(endpoint, Unreachable) {
		sum += g.weight(now, &received)
		last = max(last, received.madeAt)
	}
	if sum == 0 {
		return 0
	}
	for _, received := range g.about(endpoint, Reachable) {
		// An observation from well before the failure does not contradict it.
		if received.madeAt > last-contemporary {
			sum -= g.weight(now, &received)
		}
	}
	return max(sum, 0)
}

// Latency is the latency of an endpoint in microseconds according to gossip: the weighted mean of the sources. It
// returns false if the observations have too little weight.
func (g GossipTable) Latency(now microtime.Time, endpoint string) (float64, bool) {
	sum := 0.0
	weights := 0.0
	for _, received := range g.about(endpoint, TypicalLatency) {
		weight := g.weight(now, &received)
		sum += weight * received.observation.Value
		weights += weight
	}
	return sum / weights, weights > minLatencyWeight
}

// lastRecovery is when an endpoint last recovered according to gossip; never if there is no such observation.
func (g GossipTable) lastRecovery(endpoint string) microtime.Time {
	last := never
	for _, received := range g.about(endpoint, Recovered) {
		last = max(last, received.madeAt)
	}
	return last
}

// insert returns the table with a valid observation added. It returns false and the unchanged table if the observation
// is stale.
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

// supersedes reports whether an observation is newer than a known one of the same key, or the same over fewer hops.
func (h *receivedObservation) supersedes(known *receivedObservation) bool {
	if h.madeAt != known.madeAt {
		return h.madeAt > known.madeAt
	}
	return h.observation.Hops < known.observation.Hops
}

// withoutEarlierIncarnations drops the observations of an endpoint from before its recovery.
func (g GossipTable) withoutEarlierIncarnations(recovery *receivedObservation) GossipTable {
	for _, kind := range []ObservationKind{Unreachable, Reachable, TypicalLatency} {
		for _, received := range g.about(recovery.observation.Endpoint, kind) {
			if received.madeAt < recovery.madeAt {
				g.observations = g.observations.Delete(received.key())
			}
		}
	}
	return g
}

// withBoundedSources drops the observation of the lowest weight if an endpoint has more than maxSources of a kind.
func (g GossipTable) withBoundedSources(now microtime.Time, endpoint string, kind ObservationKind) GossipTable {
	all := g.about(endpoint, kind)
	if len(all) <= maxSources {
		return g
	}
	lightest := slices.MinFunc(all, func(a, b receivedObservation) int {
		return cmp.Compare(g.weight(now, &a), g.weight(now, &b))
	})
	g.observations = g.observations.Delete(lightest.key())
	return g
}

// expire returns the table without the observations that have lost their weight or are about unknown endpoints.
func (g GossipTable) expire(now microtime.Time, known func(endpoint string) bool) GossipTable {
	for iterator := g.observations.Iterator(); !iterator.Done(); {
		key, received, _ := iterator.Next()
		light := g.weight(now, &received) < minWeight && key.kind != Recovered
		if now-received.madeAt > MaxAge || !known(key.endpoint) || light {
			g.observations = g.observations.Delete(key)
		}
	}
	return g
}
