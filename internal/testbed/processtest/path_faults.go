package processtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// The bounds of randomly drawn path faults.
const (
	maxDrawnLatencyMS  = 300
	minDrawnBandwidth  = 1000 // bytes a second
	drawnBandwidthSpan = 100_000
	maxDrawnCutAfter   = 5000 // bytes
)

// workerPoolPrefix is the prefix of the names of worker pools in a script.
const workerPoolPrefix = "w"

// pathFaultKinds returns the kinds of path fault that may be drawn. Their order determines which faults a seed yields.
func pathFaultKinds() []faults.Kind {
	return []faults.Kind{
		faults.StallPath,
		faults.Blackhole,
		faults.AddLatency,
		faults.LimitBandwidth,
		faults.CutConnection,
	}
}

// IsPathFault reports whether a kind of fault affects the path between two nodes.
func IsPathFault(kind faults.Kind) bool {
	switch kind {
	case faults.StallPath, faults.Blackhole, faults.AddLatency, faults.LimitBandwidth, faults.CutConnection:
		return true
	default:
		return false
	}
}

// sendingDirection returns the direction in which the node of a fault sends. Servers connect to worker pools, so a
// worker pool sends backward.
func sendingDirection(fault faults.Fault) RelayDirection {
	if strings.HasPrefix(fault.Node, workerPoolPrefix) {
		return Backward
	}
	return Forward
}

// Apply begins a fault of a script. It returns a function that ends the fault, or nil if the fault ends by itself. For
// a kind that a relay does not support it returns a *faults.Error.
func (r *Relay) Apply(fault faults.Fault) (heal func(), err error) {
	switch fault.Kind {
	case faults.StallPath:
		r.Hold(Forward, Backward)
	case faults.Blackhole: // Only data that the node sends is lost.
		r.Drop(sendingDirection(fault))
	case faults.AddLatency:
		r.AddLatency(time.Duration(fault.Amount*float64(time.Millisecond)), Forward, Backward)
	case faults.LimitBandwidth:
		r.LimitBandwidth(int(fault.Amount), Forward, Backward)
	case faults.CutConnection:
		r.Cut(int(fault.Amount), sendingDirection(fault))
		return nil, nil
	default:
		return nil, &faults.Error{Field: "kind", Reason: fmt.Sprintf("%s is not a fault of a relay", fault.Kind)}
	}
	return r.Heal, nil
}

// pathFaultConfig configures the path faults to draw.
type pathFaultConfig struct {
	Seed   uint64
	Count  int
	Within time.Duration // the faults begin within this time
	Node   string
	Peer   string
}

// drawPathFaults draws faults of the path between two nodes. The same configuration yields the same faults.
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

// DrawPathAmount draws the amount of a path fault if its kind has one. It removes the duration of a cut.
func DrawPathAmount(rng *rand.Rand, fault *faults.Fault) {
	switch fault.Kind {
	case faults.AddLatency:
		fault.Amount = float64(1 + rng.IntN(maxDrawnLatencyMS))
	case faults.LimitBandwidth:
		fault.Amount = float64(minDrawnBandwidth + rng.IntN(drawnBandwidthSpan))
	case faults.CutConnection:
		fault.Amount = float64(rng.IntN(maxDrawnCutAfter))
		fault.For = 0
	default: // No other kind of fault has an amount.
	}
}
