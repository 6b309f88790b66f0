package loadbalancer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// maxBackoffIntervals bounds the mean wait after failed exchanges with a peer, in exchange intervals.
	maxBackoffIntervals = 30
	// forgetFactor, times DeadAfterFailures, is the number of consecutive failures after which a peer is removed.
	forgetFactor = 3
	// peerSchedulerStream separates the scheduler's random numbers from those of other users of the same seed.
	peerSchedulerStream = 0x70656572
)

// PeerSchedulerConfig holds the parameters of a PeerScheduler. Zero values take the defaults.
type PeerSchedulerConfig struct {
	// Interval is the mean time between two exchanges.
	Interval microtime.Time
	// InitialPeers is the number of peers that an instance exchanges with at once when it starts.
	InitialPeers int
	// StartupTimeout is how long an instance that starts waits for its first exchange before it serves requests.
	StartupTimeout microtime.Time
	// DeadAfterFailures is the number of consecutive failed exchanges after which a peer counts as dead.
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

// PeerScheduler decides which other instances this one exchanges gossip with, and when. A peer whose exchanges fail is
// retried with exponential backoff. After too many failures it is removed, unless it is a seed from the configuration.
type PeerScheduler struct {
	config  PeerSchedulerConfig
	rng     *rand.Rand
	peers   []*peer
	started microtime.Time
	next    microtime.Time // when the next exchange begins
	ready   bool           // the result of Ready
	asked   bool           // the first exchanges have begun
}

// peer is another instance.
type peer struct {
	name                string // of a seed: empty before it answers
	address             string
	seed                bool
	consecutiveFailures int
	lastAnswerAt        microtime.Time // 0: never
	backoff             microtime.Time
	notBefore           microtime.Time // the next exchange begins no earlier
	exchanging          bool           // an exchange is in flight
}

// NewPeerScheduler returns the scheduler of an instance that starts now. seeds are the addresses of the peers in its
// configuration, and seed initializes the random numbers.
func NewPeerScheduler(now microtime.Time, config PeerSchedulerConfig, seeds []string, seed uint64) *PeerScheduler {
	config.applyDefaults()
	s := &PeerScheduler{
		config:  config,
		rng:     rand.New(rand.NewPCG(seed, peerSchedulerStream)),
		started: now,
		next:    now,
		ready:   len(seeds) == 0,
	}
	for _, address := range seeds {
		s.peers = append(s.peers, &peer{address: address, seed: true})
	}
	return s
}

// Ready reports whether requests may be served: the first peer has answered, all first exchanges have failed, or
// StartupTimeout has passed. Once ready, the instance stays ready.
func (s *PeerScheduler) Ready(now microtime.Time) bool {
	exchanging := func(p *peer) bool { return p.exchanging }
	switch {
	case s.ready:
	case now >= s.started+s.config.StartupTimeout:
		s.ready = true
	case s.asked:
		s.ready = !slices.ContainsFunc(s.peers, exchanging)
	}
	return s.ready
}

// NextCheck is when NextPeers has something to return, or Ready may change.
func (s *PeerScheduler) NextCheck() microtime.Time {
	if !s.ready {
		return min(s.next, s.started+s.config.StartupTimeout)
	}
	return s.next
}

// NextPeers returns the addresses to exchange with now: several at first, then one per interval. ExchangeSucceeded or
// ExchangeFailed must follow for each of them.
func (s *PeerScheduler) NextPeers(now microtime.Time) []string {
	s.Ready(now) // Update ready, which NextCheck depends on.
	if now < s.next {
		return nil
	}
	// Jitter, so that instances that were started together do not stay synchronized.
	jitter := microtime.Time(s.rng.Int64N(int64(s.config.Interval) / 2))
	s.next = now + s.config.Interval*3/4 + jitter
	count := 1
	if !s.asked {
		s.asked = true
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

// ExchangeSucceeded records that the peer at an address answered, and the name that it gave.
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
	if p.consecutiveFailures >= forgetFactor*s.config.DeadAfterFailures && !p.seed {
		s.peers = slices.DeleteFunc(s.peers, func(other *peer) bool { return other == p })
	}
}

// AddPeer adds an instance that a peer has reported, unless its address is known or there are MaxPeers peers.
func (s *PeerScheduler) AddPeer(address, name string) {
	if address == "" || s.lookup(address) != nil || len(s.peers) >= s.config.MaxPeers {
		return
	}
	s.peers = append(s.peers, &peer{address: address, name: name})
}

// PeerStatus is the status of another instance, for operators.
type PeerStatus struct {
	Name        string // empty before a seed has answered
	Address     string
	Alive       bool
	SinceAnswer microtime.Time // -1 if it never answered
}

// Peers returns the status of the other instances.
func (s *PeerScheduler) Peers(now microtime.Time) []PeerStatus {
	var statuses []PeerStatus
	for _, p := range s.peers {
		status := PeerStatus{
			Name:        p.name,
			Address:     p.address,
			Alive:       p.lastAnswerAt > 0 && p.consecutiveFailures < s.config.DeadAfterFailures,
			SinceAnswer: never,
		}
		if p.lastAnswerAt > 0 {
			status.SinceAnswer = now - p.lastAnswerAt
		}
		statuses = append(statuses, status)
	}
	return statuses
}
