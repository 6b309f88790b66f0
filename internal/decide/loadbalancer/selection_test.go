package loadbalancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/internal/microtime"
)

// The slower of two endpoints gets the smaller share, and the limit of one that takes ever longer falls.
func TestSlowEndpointGetsLess(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 10 * second
	const usual = 20 * microtime.Millisecond
	for i := range 200 {
		latencies := map[string]microtime.Time{"s0": usual, "s1": usual + microtime.Time(i)*5*microtime.Millisecond}
		for name, latency := range latencies {
			choice := Choice{Endpoint: name}
			for range 6 { // others are in flight meanwhile, so that the limit is used
				balancer.AttemptStarted(now, choice)
			}
			balancer.AttemptEnded(now, choice, Result{Outcome: Succeeded, Latency: latency})
			for range 5 {
				balancer.AttemptEnded(now, choice, Result{Outcome: Cancelled})
			}
		}
		now += 10 * microtime.Millisecond
	}
	require.Less(t, share(balancer, now, "s1"), 0.3)
	require.Less(t, status(balancer, now, "s1").ConcurrencyLimit, status(balancer, now, "s0").ConcurrencyLimit/1.5)
	require.Zero(t, status(balancer, now, "s0").InFlight)
}

func TestHedgeDelayNeedsSamples(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 10 * second
	require.Equal(t, microtime.Never, balancer.HedgeDelay(0, 0.95))
	for range 60 {
		attempt(balancer, now, "s0", Succeeded)
	}
	require.InEpsilon(t, float64(50*microtime.Millisecond), float64(balancer.HedgeDelay(0, 0.95)), 0.25)
}

// One slow answer does not keep an endpoint out for good.
func TestPeakLatencyFades(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 200 {
		attempt(balancer, now, endpointName(i%4), Succeeded)
	}
	end(balancer, now, Choice{Endpoint: "s0"}, Result{Outcome: Succeeded, Latency: 2 * second})
	require.Less(t, share(balancer, now, "s0"), 0.02)
	explored := countPicks(balancer, now, "s0", Request{Idempotent: true}, 4000)
	require.Greater(t, explored, 12, "an idempotent request now and then finds out")
	for i := 1; i < 4; i++ {
		attempt(balancer, now+20*second, endpointName(i), Succeeded)
	}
	s0 := balancer.byName["s0"]
	require.Less(t, balancer.cost(now+30*second, s0, 0), balancer.cost(now, s0, 0)/5)
}

// Whatever happens in whatever order: the number in flight is right, limits hold, no draining endpoint is chosen, and
// the same calls give the same choices.
func TestBalancerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		twins := newTwins()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			twins.now += microtime.Time(rapid.IntRange(0, 500_000).Draw(t, "wait"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				twins.pick(t)
			case 2, 3:
				twins.endOne(t)
			default:
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "endpoint"))
				twins.first.MarkDraining(twins.now, name)
				twins.second.MarkDraining(twins.now, name)
			}
			for name, count := range twins.inFlight {
				require.Equal(t, count, status(twins.first, twins.now, name).InFlight)
			}
		}
	})
}

// twins are two balancers of the same seed that get the same calls.
type twins struct {
	first    *Balancer
	second   *Balancer
	now      microtime.Time
	inFlight map[string]int
	attempts []Choice
}

func newTwins() *twins {
	w := &twins{now: second, inFlight: map[string]int{}}
	w.first, _ = New(Config{Classes: 1}, 7)
	w.second, _ = New(Config{Classes: 1}, 7)
	for i := range 4 {
		w.first.Add(w.now, fmt.Sprint(i))
		w.second.Add(w.now, fmt.Sprint(i))
	}
	return w
}

func (w *twins) pick(t *rapid.T) {
	request := Request{Idempotent: rapid.Bool().Draw(t, "idempotent"), Cheap: true}
	choice, ok := w.first.Pick(w.now, request)
	choice2, ok2 := w.second.Pick(w.now, request)
	require.Equal(t, []any{choice, ok}, []any{choice2, ok2})
	if !ok {
		return
	}
	chosen := status(w.first, w.now, choice.Endpoint)
	count := w.inFlight[choice.Endpoint]
	require.NotEqual(t, Draining, chosen.State)
	require.False(t, choice.Probe && !request.Idempotent)
	require.Zero(t, chosen.RetryAfter*microtime.Time(len(choice.Endpoint)))
	require.True(t, choice.Probe || count == 0 || float64(count) < chosen.ConcurrencyLimit)
	w.first.AttemptStarted(w.now, choice)
	w.second.AttemptStarted(w.now, choice)
	w.inFlight[choice.Endpoint]++
	w.attempts = append(w.attempts, choice)
}

func (w *twins) endOne(t *rapid.T) {
	if len(w.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.attempts)-1).Draw(t, "which")
	outcome := Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome"))
	result := Result{Outcome: outcome, Latency: 1000, RetryAfter: 200_000}
	w.first.AttemptEnded(w.now, w.attempts[i], result)
	w.second.AttemptEnded(w.now, w.attempts[i], result)
	w.inFlight[w.attempts[i].Endpoint]--
	w.attempts = append(w.attempts[:i], w.attempts[i+1:]...)
}
