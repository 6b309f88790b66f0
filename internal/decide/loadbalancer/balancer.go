package loadbalancer

import (
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
)

// Balancer selects endpoints for attempts, based on the observations of this instance and on gossip. It is not safe for
// concurrent use.
type Balancer struct {
	config    Config
	rng       *rand.Rand
	endpoints []*endpoint // in the order they were added, so that no decision depends on the order of a map
	byName    map[string]*endpoint
	latency   []latencyStats // by class, over all endpoints
	gossip    GossipTable
}

// balancerStream separates the balancer's random numbers from those of other users of the same seed.
const balancerStream = 0x666c6565

// New returns a balancer without endpoints. The error is that of Config.Validate.
func New(config Config, seed uint64) (*Balancer, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.applyDefaults()
	return &Balancer{
		config:  config,
		rng:     rand.New(rand.NewPCG(seed, balancerStream)),
		byName:  map[string]*endpoint{},
		latency: make([]latencyStats, config.Classes),
		gossip:  NewGossipTable(config.GossipHopFactor),
	}, nil
}

// Add adds an endpoint. It does nothing if the endpoint is known already.
func (b *Balancer) Add(now microtime.Time, name string) {
	if b.byName[name] != nil {
		return
	}
	e := newEndpoint(now, name, &b.config)
	b.byName[name] = e
	b.endpoints = append(b.endpoints, e)
}

// Remove removes an endpoint that is no longer in the endpoint list, and discards its statistics.
func (b *Balancer) Remove(name string) {
	e := b.byName[name]
	if e == nil {
		return
	}
	delete(b.byName, name)
	i := slices.Index(b.endpoints, e)
	b.endpoints = slices.Delete(b.endpoints, i, i+1)
}

// MarkDraining records that an endpoint has announced its shutdown. It gets no new attempts from then on.
func (b *Balancer) MarkDraining(now microtime.Time, name string) {
	if e := b.byName[name]; e != nil && e.state != Down {
		e.setState(now, Draining)
	}
}

// MarkDrained records that a draining endpoint has closed its last connection. It is Down until a probe succeeds.
func (b *Balancer) MarkDrained(now microtime.Time, name string) {
	if e := b.byName[name]; e != nil && e.state == Draining {
		e.setState(now, Down)
		e.probe.backoff = b.config.InitialProbeBackoff
		e.probe.dueAt = now + e.probe.backoff
	}
}

// EndpointStatus is the status of an endpoint, for operators.
type EndpointStatus struct {
	Name    string
	State   State
	InState microtime.Time // time since the endpoint entered the state
	// InFlight is the number of attempts that have started and not ended.
	InFlight         int
	ConcurrencyLimit float64
	P50              microtime.Time // latency of successful attempts, over all classes
	P95              microtime.Time
	SinceAnswer      microtime.Time // time since the last answer; -1 if there was none
	SinceRecovery    microtime.Time // time since the recovery from Down; -1 if this instance has not observed one
	RetryAfter       microtime.Time // remaining time during which the endpoint must get no attempts
	Observed         int            // number of attempts that have ended, without cancelled ones
	GossipWeight     float64        // weight of the gossip that the endpoint is unreachable
}

// Endpoints returns the status of all endpoints in the order in which they were added.
func (b *Balancer) Endpoints(now microtime.Time) []EndpointStatus {
	statuses := make([]EndpointStatus, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		statuses = append(statuses, b.status(now, e))
	}
	return statuses
}

func (b *Balancer) status(now microtime.Time, target *endpoint) EndpointStatus {
	latency := target.overallLatency()
	status := EndpointStatus{
		Name:             target.name,
		State:            target.state,
		InState:          now - target.stateSince,
		InFlight:         target.inFlight,
		ConcurrencyLimit: target.concurrency.limit,
		P50:              latency.quantile(0.5),
		P95:              latency.quantile(0.95),
		SinceAnswer:      notObserved,
		SinceRecovery:    notObserved,
		RetryAfter:       max(target.retryAfter-now, 0),
		Observed:         target.observations,
		GossipWeight:     b.gossip.FailureWeight(now, target.name),
	}
	if target.lastAnswerAt > 0 {
		status.SinceAnswer = now - target.lastAnswerAt
	}
	if target.recoveredAt >= 0 {
		status.SinceRecovery = now - target.recoveredAt
	}
	return status
}
