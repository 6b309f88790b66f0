package processtest

import (
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

const (
	playCallers       = 6
	serverDrawStream  = 1 // separates the random numbers of these scripts from others of the same seed
	secondsPerUpgrade = 2
	maxProcessFaults  = 4 // exclusive
	maxPathFaults     = 4 // exclusive
)

// scriptLength converts a length in seconds to the time type of scripts.
func scriptLength(seconds float64) microtime.Time { return microtime.Time(seconds * 1e6) }

// DrawScript draws a random script for Play from a seed. It consists of upgrades, which run one after the other, and of
// faults at random times.
func DrawScript(seed uint64, seconds float64) faults.Script {
	rng := rand.New(rand.NewPCG(seed, serverDrawStream))
	script := faults.Script{
		Seed:    seed,
		Servers: 1,
		Proxies: playCallers,
		Length:  scriptLength(seconds),
		Rate:    1,
		Store:   seed%2 == 0,
	}
	for range 1 + int(seconds/secondsPerUpgrade) {
		upgrade := faults.Fault{At: drawTime(rng, script.Length), Kind: faults.Terminate, Node: oldestNode}
		script.Faults = append(script.Faults, upgrade)
	}
	for range rng.IntN(maxProcessFaults) {
		script.Servers = 2
		script.Faults = append(script.Faults, drawProcessFault(rng, script.Length))
	}
	paths := pathFaultConfig{
		Seed:   seed,
		Count:  rng.IntN(maxPathFaults),
		Within: script.Length.Duration(),
		Node:   oldestNode,
		Peer:   "w0",
	}
	script.Faults = append(script.Faults, drawPathFaults(paths)...)
	slices.SortFunc(script.Faults, func(a, b faults.Fault) int { return int(a.At - b.At) })
	return script
}

// drawProcessFault draws a fault of the oldest or the newest process. A reload affects all processes.
func drawProcessFault(rng *rand.Rand, length microtime.Time) faults.Fault {
	nodes := []string{oldestNode, "s1"}
	kinds := []faults.Kind{faults.Kill, faults.Pause, faults.ReloadConfig}
	// The order in which the fields are drawn determines which script a seed yields.
	fault := faults.Fault{At: drawTime(rng, length)}
	fault.Node = nodes[rng.IntN(len(nodes))]
	fault.Kind = kinds[rng.IntN(len(kinds))]
	if fault.Kind == faults.ReloadConfig {
		fault.Node = oldestNode
	} else {
		fault.For = 1 + drawTime(rng, microtime.Second)
	}
	return fault
}

// drawTime draws a time from 0 to a bound, exclusive.
func drawTime(rng *rand.Rand, bound microtime.Time) microtime.Time {
	return microtime.Time(rng.Int64N(int64(bound)))
}
