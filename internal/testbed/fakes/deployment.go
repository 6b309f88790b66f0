package fakes

import (
	"math/rand/v2"

	"pewterline/internal/microtime"
)

// Deployment is what the callers ask for and what its runs do, by class in the order of the settings.
type Deployment struct {
	TrafficShares []float64        // of the jobs
	MeanWork      []microtime.Time // that a run takes of a core, on average
	Calls         []CallRange      // that a run makes; empty: none
	Vault         bool             // there is a vault: callers send hints of the cost, heed an allowance, and check deeply
}

// CallRange is how many calls a run makes, from the fewest to the most.
type CallRange struct{ Min, Max int }

// The deployments. Work is a fifth of the real one's, for servers of two cores.
var (
	FirstDeployment = Deployment{
		TrafficShares: []float64{0.5, 0.3, 0.2},
		MeanWork:      []microtime.Time{30 * microtime.Millisecond, 60 * microtime.Millisecond, 120 * microtime.Millisecond},
	}
	SecondDeployment = Deployment{
		TrafficShares: []float64{0.35, 0.34, 0.31},
		MeanWork:      []microtime.Time{45 * microtime.Millisecond, 65 * microtime.Millisecond, 65 * microtime.Millisecond},
		Calls:         []CallRange{{1, 1}, {}, {0, 2}},
		Vault:         true,
	}
)

// drawSize draws how many times the average work of its class a request needs.
func drawSize(rng *rand.Rand) float64 { return 0.3 + 0.7*rng.ExpFloat64() }

// calls draws how many calls a run of a class makes.
func (d Deployment) calls(class int, rng *rand.Rand) int {
	if class >= len(d.Calls) || d.Calls[class].Max == 0 {
		return 0
	}
	c := d.Calls[class]
	return c.Min + rng.IntN(c.Max-c.Min+1)
}
