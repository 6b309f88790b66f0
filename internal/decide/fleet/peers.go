package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"pewterline/internal/micro"
)

// PeersConfig are the figures of the exchange between instances. Zero values take the defaults.
type PeersConfig struct {
	Every     micro.Time // an instance exchanges with one other about so often
	Patience  micro.Time // for an answer
	FirstMost int        // peers that a fresh instance asks at once
	FirstWait micro.Time // it serves without advice after that
	GoneTry   int        // exchanges in a row that fail, after which a peer is taken for gone
	Most      int        // peers that are remembered
}

func (c *PeersConfig) defaults() {
	c.Every = cmp.Or(c.Every, micro.Second)
	c.Patience = cmp.Or(c.Patience, 500*micro.Millisecond)
	c.FirstMost = cmp.Or(c.FirstMost, 3)
	c.FirstWait = cmp.Or(c.FirstWait, 200*micro.Millisecond)
	c.GoneTry = cmp.Or(c.GoneTry, 3)
	c.Most = cmp.Or(c.Most, 64)
}

// Peers decides which other instances this one exchanges with, and when. Each exchange is a sign of life in both
// directions; one that fails several times in a row is asked less and less often, and forgotten in the end unless it
// is a seed.
type Peers struct {
	cfg   PeersConfig
	rng   *rand.Rand
	list  []*peer
	start micro.Time
	next  micro.Time
	ready bool
	asked bool
}

type peer struct {
	name, address string // a seed's name is not known before it answers
	seed          bool
	failed        int
	heard         micro.Time // 0: never
	wait          micro.Time
	not           micro.Time // asked before
	out           bool       // an exchange is under way
}

// NewPeers returns the decisions of an instance that starts now, with the addresses of its seeds.
func NewPeers(now micro.Time, cfg PeersConfig, seeds []string, seed uint64) *Peers {
	cfg.defaults()
	p := &Peers{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x70656572)), start: now, next: now, ready: len(seeds) == 0}
	for _, a := range seeds {
		p.list = append(p.list, &peer{address: a, seed: true})
	}
	return p
}

// Ready says that requests may be served: the first answer has come, all that were asked have failed, or it has taken
// too long. Once ready, it stays so.
func (p *Peers) Ready(now micro.Time) bool {
	if p.ready || now >= p.start+p.cfg.FirstWait {
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

// Due is when Ask has something to tell, or Ready may change.
func (p *Peers) Due() micro.Time {
	if !p.ready {
		return min(p.next, p.start+p.cfg.FirstWait)
	}
	return p.next
}

// Ask lists the addresses to exchange with now: up to three at first, then one now and then.
func (p *Peers) Ask(now micro.Time) (addresses []string) {
	p.Ready(now) // it may have waited long enough
	if now < p.next {
		return nil
	}
	// Spread, so that instances that were started together do not go on in step.
	p.next = now + p.cfg.Every*3/4 + micro.Time(p.rng.Int64N(int64(p.cfg.Every)/2))
	most := 1
	if !p.asked {
		most, p.asked = p.cfg.FirstMost, true
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

func (p *Peers) at(address string) *peer {
	for _, x := range p.list {
		if x.address == address {
			return x
		}
	}
	return nil
}

// Answered says that the peer at an address has told what it knows.
func (p *Peers) Answered(now micro.Time, address, name string) {
	p.ready = true
	if x := p.at(address); x != nil {
		x.out, x.failed, x.wait, x.not, x.heard, x.name = false, 0, 0, 0, now, name
	}
}

// Failed says that an exchange with an address came to nothing.
func (p *Peers) Failed(now micro.Time, address string) {
	x := p.at(address)
	if x == nil {
		return
	}
	x.out = false
	x.failed++
	x.wait = min(max(2*x.wait, p.cfg.Every), 30*p.cfg.Every)
	x.not = now + x.wait/2 + micro.Time(p.rng.Int64N(int64(x.wait)))
	if x.failed >= 3*p.cfg.GoneTry && !x.seed {
		p.list = slices.DeleteFunc(p.list, func(o *peer) bool { return o == x })
	}
}

// Heard takes up an instance that another has told of. Beyond the bound nobody is taken up.
func (p *Peers) Heard(address, name string) {
	if address == "" || p.at(address) != nil || len(p.list) >= p.cfg.Most {
		return
	}
	p.list = append(p.list, &peer{address: address, name: name})
}

// PeerView is one other instance, for people and for telling others of it.
type PeerView struct {
	Name, Address string
	Alive         bool
	Heard         micro.Time // since; -1: never
}

// Views lists the other instances.
func (p *Peers) Views(now micro.Time) []PeerView {
	var out []PeerView
	for _, x := range p.list {
		v := PeerView{Name: x.name, Address: x.address, Alive: x.heard > 0 && x.failed < p.cfg.GoneTry, Heard: -1}
		if x.heard > 0 {
			v.Heard = now - x.heard
		}
		out = append(out, v)
	}
	return out
}
