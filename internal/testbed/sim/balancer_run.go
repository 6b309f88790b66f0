package sim

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	balancerObjective      = 1800 * microtime.Millisecond // latency objective of a request
	balancerDeadline       = 4500 * microtime.Millisecond // from its arrival
	balancerConnectTimeout = microtime.Second
	// balancerEarlyPeriod is the period from the start in which requests count as early.
	balancerEarlyPeriod = 10 * microtime.Second
	// balancerSettlingTime is how long a run continues after its last request. All requests have ended by then.
	balancerSettlingTime = 10 * microtime.Second
	// balancerCaller is the caller ID of all requests.
	balancerCaller = 1
)

// Range and precision of the latency histogram, in microseconds.
const (
	minLatency       = 1
	maxLatency       = 10_000_000
	latencyPrecision = 2 // significant digits
)

// uptimeAtStart is the uptime of the servers at the start of a run.
const uptimeAtStart = 60 * microtime.Second

// balancerRun is the simulation of one policy.
type balancerRun struct {
	comparison  BalancerComparison
	policy      string
	clock       *simnet.Clock
	rng         *rand.Rand // for the traffic, which is the same for each policy
	servers     []*balancedServer
	balancer    *loadbalancer.Balancer
	retryPolicy *loadbalancer.RetryPolicy
	inFlight    map[string]int // by server
	nextServer  int            // index for policyRoundRobin and the ties of policyLeastInFlight
	latencies   *hdrhistogram.Histogram

	requests, earlyRequests int
	onTime, earlyOnTime     int
	attempts, wasted        int
}

func newBalancerRun(comparison BalancerComparison, policy string) (*balancerRun, error) {
	clock := simnet.NewClock(comparison.Seed)
	balancer, err := loadbalancer.New(loadbalancer.Config{Classes: 1}, comparison.Seed)
	if err != nil {
		return nil, err
	}
	retryPolicy, err := loadbalancer.NewRetryPolicy(loadbalancer.RetryConfig{})
	if err != nil {
		return nil, err
	}
	run := &balancerRun{
		comparison:  comparison,
		policy:      policy,
		clock:       clock,
		rng:         clock.Fork(comparison.Seed, "routes"), // The name enters the seed.
		balancer:    balancer,
		retryPolicy: retryPolicy,
		inFlight:    map[string]int{},
		latencies:   hdrhistogram.New(minLatency, maxLatency, latencyPrecision),
	}
	for index := range comparison.Servers {
		server := &balancedServer{
			clock:          clock,
			name:           nodeName('s', index),
			slowdownFactor: 1,
			startedAt:      simnet.Start - uptimeAtStart,
		}
		run.servers = append(run.servers, server)
		balancer.Add(clock.Now(), server.name)
	}
	return run, nil
}

// impair impairs the first server, at the start or after a third of the run.
func (r *balancerRun) impair() error {
	server, third := r.servers[0], r.comparison.Length/3
	switch r.comparison.Impairment {
	case impairmentNone, impairmentOverload:
	case impairmentSlow:
		r.clock.In(third, func() { server.slowdownFactor = slowFactor })
	case impairmentCold:
		server.isRefusing = true
		r.clock.In(third, func() {
			server.isRefusing = false
			server.isCold = true
			server.startedAt = r.clock.Now()
		})
	case impairmentDying:
		r.clock.In(third, func() { server.isSilent = true })
		r.clock.In(third+3*microtime.Second, func() {
			server.isSilent = false
			server.isRefusing = true
			server.queue = nil
			server.busyCores = 0
		})
	case impairmentDead:
		server.isSilent = true
	default:
		return fmt.Errorf("%w %q, not one of %v", errUnknownImpairment, r.comparison.Impairment, Impairments)
	}
	if r.comparison.Warm && server.isDown() {
		r.applyGossip(server)
	}
	return nil
}

// applyGossip gives the balancer the observation of a long-running instance that a server is down.
func (r *balancerRun) applyGossip(server *balancedServer) {
	sender := loadbalancer.GossipSender{Name: "old", Uptime: 600 * microtime.Second}
	r.balancer.ApplyGossip(r.clock.Now(), "new", sender, []loadbalancer.Observation{{
		Endpoint: server.name,
		Kind:     loadbalancer.Unreachable,
		Evidence: 10,
		Age:      microtime.Second,
		Source:   sender.Name,
		Hops:     1,
	}})
}

// scheduleRequests schedules all requests, with random arrival times and processor times.
func (r *balancerRun) scheduleRequests() {
	rate := r.comparison.Load * float64(r.comparison.Servers*balancedServerCores) / meanWork.Duration().Seconds()
	length := r.comparison.Length.Duration().Seconds()
	for at := 0.0; at < length; at += r.rng.ExpFloat64() / rate {
		work := microtime.Time(float64(meanWork) * (0.2 + 0.8*r.rng.ExpFloat64()))
		r.clock.At(simnet.Start+microtime.Time(at*1e6), func() { r.arrive(work) })
	}
}

// finish runs the simulation to its end.
func (r *balancerRun) finish() {
	r.clock.Run(simnet.Start + r.comparison.Length + balancerSettlingTime)
}

func (r *balancerRun) result() PolicyResult {
	requests := float64(max(r.requests, 1))
	return PolicyResult{
		Policy:        r.policy,
		P50:           microtime.Time(r.latencies.ValueAtQuantile(50)),
		P99:           microtime.Time(r.latencies.ValueAtQuantile(99)),
		OnTime:        float64(r.onTime) / requests,
		EarlyOnTime:   float64(r.earlyOnTime) / float64(max(r.earlyRequests, 1)),
		Amplification: float64(r.attempts) / requests,
		Wasted:        r.wasted,
	}
}
