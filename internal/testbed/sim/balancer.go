package sim

import (
	"errors"
	"fmt"

	"pewterline/internal/microtime"
)

// BalancerComparison compares load balancing policies. All have the same traffic, servers, impairment and retry
// budget. The servers are queues before a few cores, not whole programs.
type BalancerComparison struct {
	Servers    int
	Load       float64 // as a share of what all servers can do
	Length     microtime.Time
	Impairment string // one of Impairments
	Seed       uint64
	Warm       bool // the balancer starts with the gossip of an instance that has been running
}

// Impairments are what may go wrong with the first server of a comparison.
var Impairments = []string{
	impairmentNone, impairmentSlow, impairmentCold, impairmentDying, impairmentDead, impairmentOverload,
}

const (
	impairmentNone = "none"
	impairmentSlow = "slow"
	impairmentCold = "cold"
	// impairmentDying is a server that stops answering, and then refuses connections.
	impairmentDying = "dying"
	impairmentDead  = "dead"
	// impairmentOverload leaves the servers alone: it goes with a Load above 1.
	impairmentOverload = "overload"
)

// Policies are the policies that are compared, in the order of the results.
var Policies = []string{policyBalancer, policyLeastOpen, policyRoundRobin, policyRandom}

const (
	// policyBalancer is the server's own: package loadbalancer.
	policyBalancer = "fleet"
	// policyLeastOpen chooses the server with the fewest requests in flight from here.
	policyLeastOpen  = "least open"
	policyRoundRobin = "round robin"
	policyRandom     = "random"
)

// errUnknownImpairment is returned for an impairment that is not one of Impairments.
var errUnknownImpairment = errors.New("unknown impairment")

// PolicyResult is how a policy did.
type PolicyResult struct {
	Policy        string
	P50, P99      microtime.Time // latencies of what was served
	OnTime        float64        // served within the latency objective, as a share of all requests
	EarlyOnTime   float64        // the same, of the requests of the first ten seconds
	Amplification float64        // attempts for each request
	Wasted        int            // attempts at a server that was down
}

// Run plays every policy. An error says that the comparison is not valid.
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

// play plays one policy.
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
