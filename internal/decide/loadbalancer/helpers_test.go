package loadbalancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

const second = microtime.Second

// probeRequest is one that may probe an endpoint.
var probeRequest = Request{Idempotent: true, Cheap: true}

// newBalancer returns a balancer with the endpoints s0, s1 and so on.
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

// attempt sends an attempt to an endpoint and ends it at once.
func attempt(b *Balancer, now microtime.Time, endpoint string, outcome Outcome) {
	end(b, now, Choice{Endpoint: endpoint}, Result{Outcome: outcome, Latency: 50 * microtime.Millisecond})
}

// end sends an attempt and ends it at once with a result.
func end(b *Balancer, now microtime.Time, choice Choice, result Result) {
	b.AttemptStarted(now, choice)
	b.AttemptEnded(now, choice, result)
}

func status(b *Balancer, now microtime.Time, endpoint string) EndpointStatus {
	for _, s := range b.Endpoints(now) {
		if s.Name == endpoint {
			return s
		}
	}
	return EndpointStatus{}
}

func requireState(t *testing.T, want State, b *Balancer, now microtime.Time, endpoint string, why ...any) {
	t.Helper()
	require.Equal(t, want, status(b, now, endpoint).State, why...)
}

// share is the part of many choices that falls on an endpoint; no attempt is sent.
func share(b *Balancer, now microtime.Time, endpoint string) float64 {
	const picks = 4000
	return float64(countPicks(b, now, endpoint, Request{Class: 0}, picks)) / picks
}

func countPicks(b *Balancer, now microtime.Time, endpoint string, request Request, picks int) int {
	count := 0
	for range picks {
		if choice, ok := b.Pick(now, request); ok && choice.Endpoint == endpoint {
			count++
		}
	}
	return count
}
