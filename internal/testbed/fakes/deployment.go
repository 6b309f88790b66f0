package fakes

import (
	"math/rand/v2"

	"pewterline/internal/microtime"
)

// Deployment is what the callers ask for and what its runs do, by class in the order of the settings.
type Deployment struct {
	Shares []float64        // of the jobs
	Work   []microtime.Time // that a run takes of a core, on average
	Calls  []Calls          // that a run makes; empty: none
	Vault  bool             // there is a vault: callers send hints of the cost, heed an allowance, and check deeply
}

// Calls is how many calls a run makes, from the fewest to the most.
type Calls struct{ Least, Most int }

// The deployments. Work is a fifth of the real one's, for servers of two cores.
var (
	FirstDeployment = Deployment{
		Shares: []float64{0.5, 0.3, 0.2},
		Work:   []microtime.Time{30 * microtime.Millisecond, 60 * microtime.Millisecond, 120 * microtime.Millisecond},
	}
	SecondDeployment = Deployment{
		Shares: []float64{0.35, 0.34, 0.31},
		Work:   []microtime.Time{45 * microtime.Millisecond, 65 * microtime.Millisecond, 65 * microtime.Millisecond},
		Calls:  []Calls{{1, 1}, {}, {0, 2}},
		Vault:  true,
	}
)

// drawSize draws how many times the average work of its class a request needs.
func drawSize(rng *rand.Rand) float64 { return 0.3 + 0.7*rng.ExpFloat64() }

// calls draws how many calls a run of a class makes.
func (d Deployment) calls(class int, rng *rand.Rand) int {
	if class >= len(d.Calls) || d.Calls[class].Most == 0 {
		return 0
	}
	c := d.Calls[class]
	return c.Least + rng.IntN(c.Most-c.Least+1)
}
