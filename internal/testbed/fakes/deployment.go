package fakes

import (
	"math/rand/v2"

	"pewterline/internal/microtime"
)

// Deployment describes the traffic of the callers and the work of the runs, by class in the order of the settings.
type Deployment struct {
	TrafficShares []float64        // share of the jobs
	MeanWork      []microtime.Time // average core time of a run
	Calls         []CallRange      // calls of a run to the vault; empty if no class makes calls
	// HasVault adds a vault; callers then send cost hints, respect allowances and send deep health checks.
	HasVault bool
}

// CallRange is the range of the number of calls that a run makes.
type CallRange struct{ Min, Max int }

// The simulated deployments; read-only. Work is scaled to a fifth of the real deployments', for servers with two cores.
var (
	// FirstDeployment has tenants, and runs that make no calls.
	FirstDeployment = Deployment{
		TrafficShares: []float64{0.5, 0.3, 0.2},
		MeanWork:      []microtime.Time{30 * microtime.Millisecond, 60 * microtime.Millisecond, 120 * microtime.Millisecond},
	}
	// SecondDeployment has a vault, which some of the runs call.
	SecondDeployment = Deployment{
		TrafficShares: []float64{0.35, 0.34, 0.31},
		MeanWork:      []microtime.Time{45 * microtime.Millisecond, 65 * microtime.Millisecond, 65 * microtime.Millisecond},
		Calls:         []CallRange{{Min: 1, Max: 1}, {}, {Min: 0, Max: 2}},
		HasVault:      true,
	}
)

// drawClass returns a random class for a job, by traffic share.
func (d Deployment) drawClass(rng *rand.Rand) int {
	rest := rng.Float64()
	class := 0
	for class < len(d.TrafficShares)-1 && rest > d.TrafficShares[class] {
		rest -= d.TrafficShares[class]
		class++
	}
	return class
}

// drawCalls returns a random number of calls for a run of a class.
func (d Deployment) drawCalls(class int, rng *rand.Rand) int {
	if class >= len(d.Calls) || d.Calls[class].Max == 0 {
		return 0
	}
	calls := d.Calls[class]
	return calls.Min + rng.IntN(calls.Max-calls.Min+1)
}

// drawSize returns a random size of a request, as a multiple of its class's average work.
func drawSize(rng *rand.Rand) float64 { return 0.3 + 0.7*rng.ExpFloat64() }
