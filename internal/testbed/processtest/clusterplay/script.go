package clusterplay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/processtest"
)

const (
	drawStream      = 2 // separates the random numbers of these scripts from others of the same seed
	drawnCallers    = 6
	faultsPerSecond = 3
	slowDiskMS      = 100
)

// drawnKinds returns the kinds of fault that may be drawn. Their order and number determine which script a seed yields.
// The loss of a machine is the most frequent kind, because replication exists to survive it.
func drawnKinds() []faults.Kind {
	return []faults.Kind{
		faults.Kill,
		faults.MachineLost, faults.MachineLost, faults.MachineLost, faults.MachineLost, faults.MachineLost,
		faults.Pause,
		faults.StallPath,
		faults.Blackhole,
		faults.AddLatency,
		faults.LimitBandwidth,
		faults.CutConnection,
		faults.StoreFail,
		faults.StoreSlow,
	}
}

// DrawScript draws a random script for Play from a seed: faults of servers, disks and connections at random times.
func DrawScript(seed uint64, seconds float64) faults.Script {
	rng := rand.New(rand.NewPCG(seed, drawStream))
	script := faults.Script{
		Seed:    seed,
		Servers: []int{3, 5}[seed%2],
		Proxies: drawnCallers,
		Length:  microtime.Time(seconds * 1e6),
		Rate:    1,
	}
	for range int(faultsPerSecond * seconds) {
		script.Faults = append(script.Faults, drawFault(rng, script))
	}
	slices.SortFunc(script.Faults, func(a, b faults.Fault) int { return cmp.Compare(a.At, b.At) })
	return script
}

// drawFault draws a fault. The order in which its fields are drawn determines which script a seed yields.
func drawFault(rng *rand.Rand, script faults.Script) faults.Fault {
	kinds := drawnKinds()
	fault := faults.Fault{At: microtime.Time(rng.Int64N(int64(script.Length)))}
	fault.Kind = kinds[rng.IntN(len(kinds))]
	index := rng.IntN(script.Servers)
	fault.Node = fmt.Sprintf("s%d", index)
	fault.For = 1 + microtime.Time(rng.Int64N(int64(microtime.Second)))
	if processtest.IsPathFault(fault.Kind) {
		fault.Peer = fmt.Sprintf("s%d", (index+1+rng.IntN(script.Servers-1))%script.Servers)
		processtest.DrawPathAmount(rng, &fault)
	}
	if fault.Kind == faults.StoreSlow {
		fault.Amount = slowDiskMS
	}
	return fault
}
