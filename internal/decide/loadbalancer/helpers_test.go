package loadbalancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

const second = microtime.Second

// probeRequest is a request that may be used as a health probe.
var probeRequest = Request{Idempotent: true, Cheap: true}

// newBalancer returns a balancer for two request classes, with the given number of endpoints: s0, s1 and so on.
func newBalancer(t *testing.T, seed uint64, endpoints int) *Balancer {
	t.Helper()
	balancer, err := New(Config{Classes: 2}, seed)
	require.NoError(t, err)
	for i := range endpoints {
		balancer.Add(second, endpointName(i))
	}
	return balancer
}

func endpointName(i int) string { return fmt.Sprintf("s%d", i) }

// recordAttempt records an attempt at an endpoint that ends at once with an outcome and a latency of 50 ms.
func recordAttempt(b *Balancer, now microtime.Time, endpoint string, outcome Outcome) {
	recordAttemptResult(b, now, Choice{Endpoint: endpoint}, Result{Outcome: outcome, Latency: 50 * microtime.Millisecond})
}

// recordAttemptResult records an attempt that ends at once with a result.
func recordAttemptResult(b *Balancer, now microtime.Time, choice Choice, result Result) {
	b.AttemptStarted(now, choice)
	b.AttemptEnded(now, choice, result)
}

// statusOf returns the status of an endpoint, or the zero value if the balancer does not know it.
func statusOf(b *Balancer, now microtime.Time, endpoint string) EndpointStatus {
	for _, s := range b.Endpoints(now) {
		if s.Name == endpoint {
			return s
		}
	}
	return EndpointStatus{}
}

func requireState(t *testing.T, want State, b *Balancer, now microtime.Time, endpoint string, msgAndArgs ...any) {
	t.Helper()
	require.Equal(t, want, statusOf(b, now, endpoint).State, msgAndArgs...)
}

// selectionShare returns the fraction of many calls of Pick that choose an endpoint. It records no attempts.
func selectionShare(b *Balancer, now microtime.Time, endpoint string) float64 {
	const picks = 4000
	return float64(countPicks(b, now, endpoint, Request{Class: 0}, picks)) / picks
}

// countPicks returns how many of a number of calls of Pick choose an endpoint. It records no attempts.
func countPicks(b *Balancer, now microtime.Time, endpoint string, request Request, picks int) int {
	count := 0
	for range picks {
		if choice, ok := b.Pick(now, request); ok && choice.Endpoint == endpoint {
			count++
		}
	}
	return count
}
