package loadbalancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/internal/microtime"
)

// The slower of two endpoints gets the smaller share of the traffic, and its concurrency limit falls as its latency
// grows.
func TestSlowEndpointGetsSmallerShare(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 10 * second
	const baseLatency = 20 * microtime.Millisecond
	for i := range 200 {
		latencies := map[string]microtime.Time{
			"s0": baseLatency,
			"s1": baseLatency + microtime.Time(i)*5*microtime.Millisecond,
		}
		for name, latency := range latencies {
			choice := Choice{Endpoint: name}
			for range 6 { // The limit adapts only if enough attempts are in flight.
				balancer.AttemptStarted(now, choice)
			}
			balancer.AttemptEnded(now, choice, Result{Outcome: Succeeded, Latency: latency})
			for range 5 {
				balancer.AttemptEnded(now, choice, Result{Outcome: Cancelled})
			}
		}
		now += 10 * microtime.Millisecond
	}
	require.Less(t, selectionShare(balancer, now, "s1"), 0.3)
	require.Less(t, statusOf(balancer, now, "s1").ConcurrencyLimit, statusOf(balancer, now, "s0").ConcurrencyLimit/1.5)
	require.Zero(t, statusOf(balancer, now, "s0").InFlight)
}

func TestHedgeDelayNeedsSamples(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 10 * second
	require.Equal(t, microtime.Never, balancer.HedgeDelay(0, 0.95))
	for range 60 {
		recordAttempt(balancer, now, "s0", Succeeded)
	}
	require.InEpsilon(t, float64(50*microtime.Millisecond), float64(balancer.HedgeDelay(0, 0.95)), 0.25)
}

// An endpoint gets few requests after one slow answer. Its cost decays while it is idle, so that it is chosen again.
func TestPeakLatencyDecays(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 200 {
		recordAttempt(balancer, now, endpointName(i%4), Succeeded)
	}
	recordAttemptResult(balancer, now, Choice{Endpoint: "s0"}, Result{Outcome: Succeeded, Latency: 2 * second})
	require.Less(t, selectionShare(balancer, now, "s0"), 0.02)
	explorations := countPicks(balancer, now, "s0", Request{Idempotent: true}, 4000)
	require.Greater(t, explorations, 12, "some idempotent requests go to a random endpoint")
	for i := 1; i < 4; i++ {
		recordAttempt(balancer, now+20*second, endpointName(i), Succeeded)
	}
	s0 := balancer.byName["s0"]
	require.Less(t, balancer.cost(now+30*second, s0, 0), balancer.cost(now, s0, 0)/5)
}

// For random sequences of picks, outcomes and drains: the balancer counts the attempts in flight correctly, respects
// the concurrency limits and chooses no draining endpoint, and two balancers with the same seed make the same choices.
func TestBalancerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pair := newBalancerPair()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			pair.now += microtime.Time(rapid.IntRange(0, 500_000).Draw(t, "wait"))
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				pair.pick(t)
			case 2, 3:
				pair.endAttempt(t)
			default:
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "endpoint"))
				pair.first.MarkDraining(pair.now, name)
				pair.second.MarkDraining(pair.now, name)
			}
			for name, count := range pair.inFlight {
				require.Equal(t, count, statusOf(pair.first, pair.now, name).InFlight)
			}
		}
	})
}

// balancerPair holds two balancers with the same seed. Each call is made to both.
type balancerPair struct {
	first    *Balancer
	second   *Balancer
	now      microtime.Time
	inFlight map[string]int
	attempts []Choice
}

func newBalancerPair() *balancerPair {
	p := &balancerPair{now: second, inFlight: map[string]int{}}
	p.first, _ = New(Config{Classes: 1}, 7)
	p.second, _ = New(Config{Classes: 1}, 7)
	for i := range 4 {
		p.first.Add(p.now, fmt.Sprint(i))
		p.second.Add(p.now, fmt.Sprint(i))
	}
	return p
}

func (p *balancerPair) pick(t *rapid.T) {
	request := Request{Idempotent: rapid.Bool().Draw(t, "idempotent"), Cheap: true}
	choice, ok := p.first.Pick(p.now, request)
	secondChoice, secondOK := p.second.Pick(p.now, request)
	require.Equal(t, []any{choice, ok}, []any{secondChoice, secondOK})
	if !ok {
		return
	}
	chosen := statusOf(p.first, p.now, choice.Endpoint)
	count := p.inFlight[choice.Endpoint]
	require.NotEqual(t, Draining, chosen.State)
	require.False(t, choice.Probe && !request.Idempotent)
	require.Zero(t, chosen.RetryAfter*microtime.Time(len(choice.Endpoint)))
	require.True(t, choice.Probe || count == 0 || float64(count) < chosen.ConcurrencyLimit)
	p.first.AttemptStarted(p.now, choice)
	p.second.AttemptStarted(p.now, choice)
	p.inFlight[choice.Endpoint]++
	p.attempts = append(p.attempts, choice)
}

func (p *balancerPair) endAttempt(t *rapid.T) {
	if len(p.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.attempts)-1).Draw(t, "attempt index")
	outcome := Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome"))
	result := Result{Outcome: outcome, Latency: 1000, RetryAfter: 200_000}
	p.first.AttemptEnded(p.now, p.attempts[i], result)
	p.second.AttemptEnded(p.now, p.attempts[i], result)
	p.inFlight[p.attempts[i].Endpoint]--
	p.attempts = append(p.attempts[:i], p.attempts[i+1:]...)
}
