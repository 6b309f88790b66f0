package loadbalancer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// maxBackoffIntervals bounds the mean wait after failed exchanges with a peer, in multiples of Interval.
	maxBackoffIntervals = 30
	// removalFactor is the number of consecutive failures after which a peer is removed, in multiples of
	// DeadAfterFailures.
	removalFactor = 3
	// peerSchedulerStream separates the scheduler's random numbers from those of other users of the same seed.
	peerSchedulerStream = 0x70656572
)

// PeerSchedulerConfig holds the parameters of a PeerScheduler. Zero values take the defaults.
type PeerSchedulerConfig struct {
	// Interval is the mean time between two exchanges.
	Interval microtime.Time
	// InitialPeers is the number of peers with which an instance exchanges gossip concurrently when it starts.
	InitialPeers int
	// StartupTimeout bounds how long an instance waits after its start for the first exchange before it serves requests.
	StartupTimeout microtime.Time
	// DeadAfterFailures is the number of consecutive failed exchanges after which a peer counts as not alive.
	DeadAfterFailures int
	// MaxPeers bounds the number of known peers.
	MaxPeers int
}

func (c *PeerSchedulerConfig) applyDefaults() {
	c.Interval = cmp.Or(c.Interval, microtime.Second)
	c.InitialPeers = cmp.Or(c.InitialPeers, 3)
	c.StartupTimeout = cmp.Or(c.StartupTimeout, 200*microtime.Millisecond)
	c.DeadAfterFailures = cmp.Or(c.DeadAfterFailures, 3)
	c.MaxPeers = cmp.Or(c.MaxPeers, 64)
}

// PeerScheduler decides with which other instances this one exchanges gossip, and when. It retries a peer whose
// exchanges fail with exponential backoff. After too many failures it removes the peer, unless the peer is a seed from
// the configuration.
type PeerScheduler struct {
	config                  PeerSchedulerConfig
	rng                     *rand.Rand
	peers                   []*peer
	startedAt               microtime.Time
	nextExchangeAt          microtime.Time
	ready                   bool // the result of Ready
	initialExchangesStarted bool // the first call of NextPeers has returned the initial peers
}

// peer is another instance.
type peer struct {
	name                string // empty for a seed that has not answered
	address             string
	seed                bool
	consecutiveFailures int
	lastAnswerAt        microtime.Time // 0 if it has never answered
	backoff             microtime.Time // mean wait after the last failed exchange
	notBefore           microtime.Time // earliest time of the next exchange
	exchanging          bool           // an exchange is in flight
}

// NewPeerScheduler returns the scheduler of an instance that starts now. seeds are the addresses of the peers in its
// configuration; seed initializes the random number generator.
func NewPeerScheduler(now microtime.Time, config PeerSchedulerConfig, seeds []string, seed uint64) *PeerScheduler {
	config.applyDefaults()
	s := &PeerScheduler{
		config:         config,
		rng:            rand.New(rand.NewPCG(seed, peerSchedulerStream)),
		startedAt:      now,
		nextExchangeAt: now,
		ready:          len(seeds) == 0,
	}
	for _, address := range seeds {
		s.peers = append(s.peers, &peer{address: address, seed: true})
	}
	return s
}

// Ready reports whether the instance may serve requests: there are no seeds, a peer has answered, all initial exchanges
// have failed, or StartupTimeout has passed. Once ready, the instance stays ready.
func (s *PeerScheduler) Ready(now microtime.Time) bool {
	exchanging := func(p *peer) bool { return p.exchanging }
	switch {
	case s.ready:
	case now >= s.startedAt+s.config.StartupTimeout:
		s.ready = true
	case s.initialExchangesStarted:
		s.ready = !slices.ContainsFunc(s.peers, exchanging)
	}
	return s.ready
}

// NextCheck returns when NextPeers may next return addresses or the result of Ready may change.
func (s *PeerScheduler) NextCheck() microtime.Time {
	if !s.ready {
		return min(s.nextExchangeAt, s.startedAt+s.config.StartupTimeout)
	}
	return s.nextExchangeAt
}

// NextPeers returns the addresses of the peers to exchange gossip with now: InitialPeers in the first call, then one in
// each interval. The caller must call ExchangeSucceeded or ExchangeFailed for each of them.
func (s *PeerScheduler) NextPeers(now microtime.Time) []string {
	s.Ready(now) // Updates the field ready, on which NextCheck depends.
	if now < s.nextExchangeAt {
		return nil
	}
	// Jitter keeps instances that were started at the same time from exchanging in lockstep.
	jitter := microtime.Time(s.rng.Int64N(int64(s.config.Interval) / 2))
	s.nextExchangeAt = now + s.config.Interval*3/4 + jitter
	count := 1
	if !s.initialExchangesStarted {
		s.initialExchangesStarted = true
		count = s.config.InitialPeers
	}
	var eligible []*peer
	for _, p := range s.peers {
		if !p.exchanging && now >= p.notBefore {
			eligible = append(eligible, p)
		}
	}
	var addresses []string
	for range min(count, len(eligible)) {
		i := s.rng.IntN(len(eligible))
		eligible[i].exchanging = true
		addresses = append(addresses, eligible[i].address)
		eligible = slices.Delete(eligible, i, i+1)
	}
	return addresses
}

func (s *PeerScheduler) lookup(address string) *peer {
	for _, p := range s.peers {
		if p.address == address {
			return p
		}
	}
	return nil
}

// ExchangeSucceeded records that the peer at an address answered with its name.
func (s *PeerScheduler) ExchangeSucceeded(now microtime.Time, address, name string) {
	s.ready = true
	p := s.lookup(address)
	if p == nil {
		return
	}
	p.name = name
	p.exchanging = false
	p.consecutiveFailures = 0
	p.backoff = 0
	p.notBefore = 0
	p.lastAnswerAt = now
}

// ExchangeFailed records that the peer at an address did not answer.
func (s *PeerScheduler) ExchangeFailed(now microtime.Time, address string) {
	p := s.lookup(address)
	if p == nil {
		return
	}
	p.exchanging = false
	p.consecutiveFailures++
	p.backoff = min(max(2*p.backoff, s.config.Interval), maxBackoffIntervals*s.config.Interval)
	p.notBefore = now + p.backoff/2 + microtime.Time(s.rng.Int64N(int64(p.backoff)))
	if p.consecutiveFailures >= removalFactor*s.config.DeadAfterFailures && !p.seed {
		s.peers = slices.DeleteFunc(s.peers, func(other *peer) bool { return other == p })
	}
}

// AddPeer adds an instance that a peer has reported, unless its address is empty or known, or there are MaxPeers peers.
func (s *PeerScheduler) AddPeer(address, name string) {
	if address == "" || s.lookup(address) != nil || len(s.peers) >= s.config.MaxPeers {
		return
	}
	s.peers = append(s.peers, &peer{address: address, name: name})
}

// PeerStatus is the status of another instance, for operators.
type PeerStatus struct {
	Name        string // empty for a seed that has not answered
	Address     string
	Alive       bool
	SinceAnswer microtime.Time // -1 if the peer has never answered
}

// Peers returns the status of the other instances.
func (s *PeerScheduler) Peers(now microtime.Time) []PeerStatus {
	var statuses []PeerStatus
	for _, p := range s.peers {
		status := PeerStatus{
			Name:        p.name,
			Address:     p.address,
			Alive:       p.lastAnswerAt > 0 && p.consecutiveFailures < s.config.DeadAfterFailures,
			SinceAnswer: notObserved,
		}
		if p.lastAnswerAt > 0 {
			status.SinceAnswer = now - p.lastAnswerAt
		}
		statuses = append(statuses, status)
	}
	return statuses
}
