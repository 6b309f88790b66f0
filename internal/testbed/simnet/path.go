package simnet

import (
	"pewterline/internal/microtime"
)

// Quality holds the latency, bandwidth and reliability of a path between two nodes.
type Quality struct {
	Latency   microtime.Time // one way
	Jitter    microtime.Time // the most that is added to the latency at random
	Bandwidth int            // bytes a second of each connection in each direction; 0: unlimited
	Loss      float64        // probability that a datagram is lost
	Duplicate float64        // probability that a datagram is delivered twice
}

// Path is the network path between two nodes. Faults change its fields.
type Path struct {
	Quality
	StalledUntil microtime.Time // until then traffic is delayed, but not lost
	LostUntil    microtime.Time // until then connects time out and datagrams are lost
}

// Path returns the path between two nodes, in either order, and creates it if there is none.
func (n *Net) Path(a, b string) *Path {
	if a > b {
		a, b = b, a
	}
	path := n.paths[[2]string{a, b}]
	if path == nil {
		path = &Path{Quality: n.Default}
		n.paths[[2]string{a, b}] = path
	}
	return path
}

// delay returns the one-way latency of a path with random jitter.
func (n *Net) delay(path *Path) microtime.Time {
	delay := path.Latency
	if path.Jitter > 0 {
		delay += microtime.Time(n.clock.rng.Int64N(int64(path.Jitter)))
	}
	return delay
}
