package processtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// The bounds of drawn faults of a path.
const (
	maxDrawnLatencyMS  = 300
	minDrawnBandwidth  = 1000 // bytes a second
	drawnBandwidthSpan = 100_000
	maxDrawnCutAfter   = 5000 // bytes
)

// workerPoolPrefix begins the names of the worker pools in a script.
const workerPoolPrefix = "w"

// pathFaultKinds are the faults of a path that may be drawn. Their order gives what a seed draws.
func pathFaultKinds() []faults.Kind {
	return []faults.Kind{
		faults.StallPath,
		faults.Blackhole,
		faults.AddLatency,
		faults.LimitBandwidth,
		faults.CutConnection,
	}
}

// IsPathFault reports whether a fault is one of the path between two nodes.
func IsPathFault(kind faults.Kind) bool {
	switch kind {
	case faults.StallPath, faults.Blackhole, faults.AddLatency, faults.LimitBandwidth, faults.CutConnection:
		return true
	default:
		return false
	}
}

// sendingDirection returns the direction that a fault's node sends in: a worker pool does not connect, it is connected
// to.
func sendingDirection(fault faults.Fault) RelayDirection {
	if strings.HasPrefix(fault.Node, workerPoolPrefix) {
		return Backward
	}
	return Forward
}

// Apply begins a fault of a script, and returns what ends it; nil where it ends by itself. For kinds that are no
// relay's it returns a *faults.Error.
func (r *Relay) Apply(fault faults.Fault) (heal func(), err error) {
	switch fault.Kind {
	case faults.StallPath:
		r.Hold(Forward, Backward)
	case faults.Blackhole: // One way: what the node sends is lost.
		r.Drop(sendingDirection(fault))
	case faults.AddLatency:
		r.AddLatency(time.Duration(fault.Amount*float64(time.Millisecond)), Forward, Backward)
	case faults.LimitBandwidth:
		r.LimitBandwidth(int(fault.Amount), Forward, Backward)
	case faults.CutConnection:
		r.Cut(int(fault.Amount), sendingDirection(fault))
		return nil, nil
	default:
		return nil, &faults.Error{Field: "kind", Reason: fmt.Sprintf("%s is no fault of a relay", fault.Kind)}
	}
	return r.Heal, nil
}

// pathFaultConfig says which faults of a path are drawn.
type pathFaultConfig struct {
	Seed   uint64
	Count  int
	Within time.Duration // they begin within it
	Node   string
	Peer   string
}

// drawPathFaults draws faults of the path between two nodes. The same configuration gives the same faults.
func drawPathFaults(cfg pathFaultConfig) (drawn []faults.Fault) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	kinds := pathFaultKinds()
	for range cfg.Count {
		fault := faults.Fault{Kind: kinds[rng.IntN(len(kinds))], Node: cfg.Node, Peer: cfg.Peer}
		if rng.IntN(2) == 0 {
			fault.Node, fault.Peer = cfg.Peer, cfg.Node
		}
		fault.At = microtime.FromDuration(time.Duration(rng.Int64N(int64(cfg.Within))))
		fault.For = microtime.FromDuration(time.Duration(rng.Int64N(int64(cfg.Within / 4))))
		DrawPathAmount(rng, &fault)
		drawn = append(drawn, fault)
	}
	return drawn
}

// DrawPathAmount draws the amount of a fault of a path, where its kind has one. A cut has no length.
func DrawPathAmount(rng *rand.Rand, fault *faults.Fault) {
	switch fault.Kind {
	case faults.AddLatency:
		fault.Amount = float64(1 + rng.IntN(maxDrawnLatencyMS))
	case faults.LimitBandwidth:
		fault.Amount = float64(minDrawnBandwidth + rng.IntN(drawnBandwidthSpan))
	case faults.CutConnection:
		fault.Amount = float64(rng.IntN(maxDrawnCutAfter))
		fault.For = 0
	default: // The other kinds have no amount.
	}
}
