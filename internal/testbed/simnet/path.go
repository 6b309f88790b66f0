package simnet

import (
	"pewterline/internal/microtime"
)

// Quality is how good a path between two nodes is.
type Quality struct {
	Latency   microtime.Time // one way
	Jitter    microtime.Time // added at random, up to this
	Bandwidth int            // bytes a second in each direction; 0: no bound
	Loss      float64        // chance of a datagram
	Duplicate float64        // chance of a datagram
}

// Path is the way between two nodes. Faults change it.
type Path struct {
	Quality
	StalledUntil microtime.Time // nothing passes before, and nothing is lost
	LostUntil    microtime.Time // connects and datagrams get no answer before
}

// Path is the way between two nodes, in either direction.
func (n *Net) Path(a, b string) *Path {
	if a > b {
		a, b = b, a
	}
	p := n.paths[[2]string{a, b}]
	if p == nil {
		p = &Path{Quality: n.Default}
		n.paths[[2]string{a, b}] = p
	}
	return p
}

func (n *Net) delay(p *Path) microtime.Time {
	d := p.Latency
	if p.Jitter > 0 {
		d += microtime.Time(n.world.rng.Int64N(int64(p.Jitter)))
	}
	return d
}
