package sim

import (
	"errors"
	"fmt"

	"pewterline/internal/microtime"
)

// BalancerComparison compares load balancing policies under the same traffic, servers, impairment and retry budget. The
// servers are models that consist of a queue and a few cores, not the server program.
type BalancerComparison struct {
	Servers    int
	Load       float64 // as a share of the capacity of all servers
	Length     microtime.Time
	Impairment string // one of Impairments
	Seed       uint64
	Warm       bool // the balancer starts with gossip from an instance that has been running
}

// Impairments are the possible impairments of a comparison.
var Impairments = []string{
	impairmentNone, impairmentSlow, impairmentCold, impairmentDying, impairmentDead, impairmentOverload,
}

const (
	impairmentNone = "none"
	impairmentSlow = "slow"
	impairmentCold = "cold"
	// impairmentDying is a server that first stops responding and later refuses connections.
	impairmentDying = "dying"
	impairmentDead  = "dead"
	// impairmentOverload changes no server. It labels comparisons with a Load above 1.
	impairmentOverload = "overload"
)

// Policies are the compared policies, in the order of the results.
var Policies = []string{policyBalancer, policyLeastInFlight, policyRoundRobin, policyRandom}

const (
	// policyBalancer is the policy of the server, package loadbalancer.
	policyBalancer = "fleet"
	// policyLeastInFlight chooses the server with the fewest requests in flight from this balancer.
	policyLeastInFlight = "least open"
	policyRoundRobin    = "round robin"
	policyRandom        = "random"
)

// errUnknownImpairment is returned for an impairment that is not in Impairments.
var errUnknownImpairment = errors.New("unknown impairment")

// PolicyResult is the result of one policy.
type PolicyResult struct {
	Policy        string
	P50, P99      microtime.Time // latencies of succeeded requests
	OnTime        float64        // share of all requests that succeeded within the latency objective
	EarlyOnTime   float64        // the same share of the requests of the first ten seconds
	Amplification float64        // attempts per request
	Wasted        int            // attempts sent to a server that was down
}

// Run simulates every policy. It returns an error if the comparison is not valid.
func (c BalancerComparison) Run() ([]PolicyResult, error) {
	results := make([]PolicyResult, 0, len(Policies))
	for _, policy := range Policies {
		result, err := c.play(policy)
		if err != nil {
			return nil, fmt.Errorf("sim: compare the policy %q: %w", policy, err)
		}
		results = append(results, result)
	}
	return results, nil
}

// play simulates one policy.
func (c BalancerComparison) play(policy string) (PolicyResult, error) {
	run, err := newBalancerRun(c, policy)
	if err != nil {
		return PolicyResult{}, err
	}
	if err := run.impair(); err != nil {
		return PolicyResult{}, err
	}
	run.scheduleRequests()
	run.finish()
	return run.result(), nil
}
