package loadbalancer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
)

// PeerSchedulerConfig are the figures of the exchange between instances. Zero values take the defaults.
type PeerSchedulerConfig struct {
	Interval          microtime.Time // an instance exchanges with one other about so often
	Patience          microtime.Time // for an answer
	InitialPeers      int            // peers that a fresh instance asks at once
	StartupTimeout    microtime.Time // it serves without advice after that
	DeadAfterFailures int            // exchanges in a row that fail, after which a peer is taken for gone
	MaxPeers          int            // peers that are remembered
}

func (c *PeerSchedulerConfig) defaults() {
	c.Interval = cmp.Or(c.Interval, microtime.Second)
	c.Patience = cmp.Or(c.Patience, 500*microtime.Millisecond)
	c.InitialPeers = cmp.Or(c.InitialPeers, 3)
	c.StartupTimeout = cmp.Or(c.StartupTimeout, 200*microtime.Millisecond)
	c.DeadAfterFailures = cmp.Or(c.DeadAfterFailures, 3)
	c.MaxPeers = cmp.Or(c.MaxPeers, 64)
}

// PeerScheduler decides which other instances this one exchanges with, and when. Each exchange is a sign of life in both
// directions; one that fails several times in a row is asked less and less often, and forgotten in the end unless it
// is a seed.
type PeerScheduler struct {
	cfg   PeerSchedulerConfig
	rng   *rand.Rand
	list  []*peer
	start microtime.Time
	next  microtime.Time
	ready bool
	asked bool
}

type peer struct {
	name, address string // a seed's name is not known before it answers
	seed          bool
	failed        int
	heard         microtime.Time // 0: never
	wait          microtime.Time
	not           microtime.Time // asked before
	out           bool           // an exchange is under way
}

// NewPeerScheduler returns the decisions of an instance that starts now, with the addresses of its seeds.
func NewPeerScheduler(now microtime.Time, cfg PeerSchedulerConfig, seeds []string, seed uint64) *PeerScheduler {
	cfg.defaults()
	p := &PeerScheduler{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x70656572)), start: now, next: now, ready: len(seeds) == 0}
	for _, a := range seeds {
		p.list = append(p.list, &peer{address: a, seed: true})
	}
	return p
}

// Ready says that requests may be served: the first answer has come, all that were asked have failed, or it has taken
// too long. Once ready, it stays so.
func (p *PeerScheduler) Ready(now microtime.Time) bool {
	if p.ready || now >= p.start+p.cfg.StartupTimeout {
		p.ready = true
	}
	if !p.ready && p.asked {
		out := 0
		for _, x := range p.list {
			if x.out {
				out++
			}
		}
		p.ready = out == 0
	}
	return p.ready
}

// NextCheck is when Ask has something to tell, or Ready may change.
func (p *PeerScheduler) NextCheck() microtime.Time {
	if !p.ready {
		return min(p.next, p.start+p.cfg.StartupTimeout)
	}
	return p.next
}

// NextPeers lists the addresses to exchange with now: up to three at first, then one now and then.
func (p *PeerScheduler) NextPeers(now microtime.Time) (addresses []string) {
	p.Ready(now) // it may have waited long enough
	if now < p.next {
		return nil
	}
	// Spread, so that instances that were started together do not go on in step.
	p.next = now + p.cfg.Interval*3/4 + microtime.Time(p.rng.Int64N(int64(p.cfg.Interval)/2))
	most := 1
	if !p.asked {
		most, p.asked = p.cfg.InitialPeers, true
	}
	var can []*peer
	for _, x := range p.list {
		if !x.out && now >= x.not {
			can = append(can, x)
		}
	}
	for range min(most, len(can)) {
		i := p.rng.IntN(len(can))
		can[i].out = true
		addresses = append(addresses, can[i].address)
		can = slices.Delete(can, i, i+1)
	}
	return addresses
}

func (p *PeerScheduler) at(address string) *peer {
	for _, x := range p.list {
		if x.address == address {
			return x
		}
	}
	return nil
}

// ExchangeSucceeded says that the peer at an address has told what it knows.
func (p *PeerScheduler) ExchangeSucceeded(now microtime.Time, address, name string) {
	p.ready = true
	if x := p.at(address); x != nil {
		x.out, x.failed, x.wait, x.not, x.heard, x.name = false, 0, 0, 0, now, name
	}
}

// ExchangeFailed says that an exchange with an address came to nothing.
func (p *PeerScheduler) ExchangeFailed(now microtime.Time, address string) {
	x := p.at(address)
	if x == nil {
		return
	}
	x.out = false
	x.failed++
	x.wait = min(max(2*x.wait, p.cfg.Interval), 30*p.cfg.Interval)
	x.not = now + x.wait/2 + microtime.Time(p.rng.Int64N(int64(x.wait)))
	if x.failed >= 3*p.cfg.DeadAfterFailures && !x.seed {
		p.list = slices.DeleteFunc(p.list, func(o *peer) bool { return o == x })
	}
}

// AddPeer takes up an instance that another has told of. Beyond the bound nobody is taken up.
func (p *PeerScheduler) AddPeer(address, name string) {
	if address == "" || p.at(address) != nil || len(p.list) >= p.cfg.MaxPeers {
		return
	}
	p.list = append(p.list, &peer{address: address, name: name})
}

// PeerStatus is one other instance, for people and for telling others of it.
type PeerStatus struct {
	Name, Address string
	Alive         bool
	SinceAnswer   microtime.Time // since; -1: never
}

// Peers lists the other instances.
func (p *PeerScheduler) Peers(now microtime.Time) []PeerStatus {
	var out []PeerStatus
	for _, x := range p.list {
		v := PeerStatus{Name: x.name, Address: x.address, Alive: x.heard > 0 && x.failed < p.cfg.DeadAfterFailures, SinceAnswer: -1}
		if x.heard > 0 {
			v.SinceAnswer = now - x.heard
		}
		out = append(out, v)
	}
	return out
}
