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
	// balancerEarlyTime is the time of the early requests.
	balancerEarlyTime = 10 * microtime.Second
	// balancerRunOut is how long a run goes on after its last request; all are over by then.
	balancerRunOut = 10 * microtime.Second
	// balancerCaller is the one caller of all requests.
	balancerCaller = 1
)

// The latencies of the histogram, in microseconds.
const (
	minLatency       = 1
	maxLatency       = 10_000_000
	latencyPrecision = 2 // significant digits
)

// uptimeAtStart is how long the servers have been up when a run starts.
const uptimeAtStart = 60 * microtime.Second

// balancerRun plays one policy.
type balancerRun struct {
	comparison  BalancerComparison
	policy      string
	clock       *simnet.World
	rng         *rand.Rand // of the traffic, which is the same for each policy
	servers     []*balancedServer
	balancer    *loadbalancer.Balancer
	retryPolicy *loadbalancer.RetryPolicy
	inFlight    map[string]int // by server
	turn        int            // of the policies that go round
	latencies   *hdrhistogram.Histogram

	requests, earlyRequests int
	onTime, earlyOnTime     int
	attempts, wasted        int
}

func newBalancerRun(comparison BalancerComparison, policy string) (*balancerRun, error) {
	clock := simnet.NewWorld(comparison.Seed)
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
		rng:         clock.Fork(comparison.Seed, "routes"), // The name is part of the seed.
		balancer:    balancer,
		retryPolicy: retryPolicy,
		inFlight:    map[string]int{},
		latencies:   hdrhistogram.New(minLatency, maxLatency, latencyPrecision),
	}
	for index := range comparison.Servers {
		server := &balancedServer{
			clock:     clock,
			name:      nodeName('s', index),
			factor:    1,
			startedAt: simnet.Start - uptimeAtStart,
		}
		run.servers = append(run.servers, server)
		balancer.Add(clock.Now(), server.name)
	}
	return run, nil
}

// impair schedules what goes wrong with the first server, at the start or after a third of the run.
func (r *balancerRun) impair() error {
	server, third := r.servers[0], r.comparison.Length/3
	switch r.comparison.Impairment {
	case impairmentNone, impairmentOverload:
	case impairmentSlow:
		r.clock.In(third, func() { server.factor = slowFactor })
	case impairmentCold:
		server.isRefused = true
		r.clock.In(third, func() {
			server.isRefused = false
			server.isCold = true
			server.startedAt = r.clock.Now()
		})
	case impairmentDying:
		r.clock.In(third, func() { server.isSilent = true })
		r.clock.In(third+3*microtime.Second, func() {
			server.isSilent = false
			server.isRefused = true
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

// applyGossip gives the balancer what an older instance knows of a server that is down.
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

// scheduleRequests draws the arrivals and the work of all requests.
func (r *balancerRun) scheduleRequests() {
	rate := r.comparison.Load * float64(r.comparison.Servers*balancedServerCores) / meanWork.Duration().Seconds()
	length := r.comparison.Length.Duration().Seconds()
	for at := 0.0; at < length; at += r.rng.ExpFloat64() / rate {
		work := microtime.Time(float64(meanWork) * (0.2 + 0.8*r.rng.ExpFloat64()))
		r.clock.At(simnet.Start+microtime.Time(at*1e6), func() { r.arrive(work) })
	}
}

// finish lets the run go on to its end.
func (r *balancerRun) finish() { r.clock.Run(simnet.Start + r.comparison.Length + balancerRunOut) }

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
