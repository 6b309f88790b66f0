package fakes

import (
	"math/rand/v2"

	"pewterline/internal/microtime"
)

// Deployment is what the callers ask for and what its runs do, by class in the order of the settings.
type Deployment struct {
	TrafficShares []float64        // of the jobs
	MeanWork      []microtime.Time // that a run takes of a core
	Calls         []CallRange      // that a run makes; empty: none
	// Vault says that there is a vault: callers send hints of the cost, heed an allowance, and check health deeply.
	Vault bool
}

// CallRange is how many calls a run makes, from the fewest to the most.
type CallRange struct{ Min, Max int }

// The deployments, which nothing changes. Work is a fifth of the real one's, for servers of two cores.
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
		Vault:         true,
	}
)

// drawClass draws the class of a job.
func (d Deployment) drawClass(rng *rand.Rand) int {
	rest := rng.Float64()
	class := 0
	for class < len(d.TrafficShares)-1 && rest > d.TrafficShares[class] {
		rest -= d.TrafficShares[class]
		class++
	}
	return class
}

// drawCalls draws how many calls a run of a class makes.
func (d Deployment) drawCalls(class int, rng *rand.Rand) int {
	if class >= len(d.Calls) || d.Calls[class].Max == 0 {
		return 0
	}
	calls := d.Calls[class]
	return calls.Min + rng.IntN(calls.Max-calls.Min+1)
}

// drawSize draws how many times the average work of its class a request needs.
func drawSize(rng *rand.Rand) float64 { return 0.3 + 0.7*rng.ExpFloat64() }
