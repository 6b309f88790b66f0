package loadbalancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// An endpoint is suspect after several failures, down after a failed connect, and warms up after a successful probe.
func TestEndpointLifecycle(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 4 {
		attempt(balancer, now, endpointName(i), Succeeded)
	}
	requireState(t, Up, balancer, now, "s0")
	attempt(balancer, now, "s0", TimedOut)
	requireState(t, Up, balancer, now, "s0", "one failure is not enough")
	attempt(balancer, now, "s0", TimedOut)
	requireState(t, Suspect, balancer, now, "s0")
	require.Zero(t, share(balancer, now, "s0"))

	// A probe is an idempotent and cheap request, one at a time, once it is due.
	now += second
	for range 50 {
		choice, ok := balancer.Pick(now, Request{Idempotent: false, Cheap: true})
		require.True(t, ok)
		require.NotEqual(t, "s0", choice.Endpoint)
	}
	choice, ok := balancer.Pick(now, probeRequest)
	require.True(t, ok)
	require.Equal(t, Choice{"s0", true}, choice)
	balancer.AttemptStarted(now, choice)
	other, _ := balancer.Pick(now, probeRequest)
	require.False(t, other.Probe)
	balancer.AttemptEnded(now, choice, Result{Outcome: Succeeded, Latency: 1000})
	requireState(t, Warming, balancer, now, "s0")
}

// A connect that fails is proof at once; the endpoint is ramped up when it is back.
func TestRecoveryFromDown(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 4 {
		attempt(balancer, now, endpointName(i), Succeeded)
	}
	now += second
	attempt(balancer, now, "s1", ConnectFailed)
	requireState(t, Down, balancer, now, "s1")
	now += 20 * second
	choice, _ := balancer.Pick(now, probeRequest)
	require.Equal(t, Choice{"s1", true}, choice)
	end(balancer, now, choice, Result{Outcome: Succeeded, Latency: 1000})
	requireState(t, Warming, balancer, now, "s1")
	require.Zero(t, status(balancer, now, "s1").SinceRecovery)
	low := share(balancer, now, "s1")
	require.Less(t, low, 0.15)
	require.Greater(t, low, 0.01)
	now += 16 * second
	attempt(balancer, now, "s1", Succeeded)
	requireState(t, Up, balancer, now, "s1")
}

// A draining endpoint gets nothing new; once it has closed, it is down until it answers again.
func TestDrainingEndpoint(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 4 {
		attempt(balancer, now, endpointName(i), Succeeded)
	}
	balancer.MarkDraining(now, "s2")
	require.Zero(t, share(balancer, now, "s2"))
	choice, ok := balancer.Pick(now, probeRequest)
	require.True(t, ok && choice.Endpoint != "s2")
	balancer.MarkDrained(now, "s2")
	requireState(t, Down, balancer, now, "s2")
}

// The probes of an endpoint come with a growing backoff, with jitter, and within its bound.
func TestProbesBackOff(t *testing.T) {
	balancer := newBalancer(t, 1, 3)
	now := 10 * second
	var gaps []microtime.Time
	last := now
	attempt(balancer, now, "s0", ConnectFailed)
	for len(gaps) < 12 {
		now += 5 * microtime.Millisecond
		if choice, ok := balancer.Pick(now, probeRequest); ok && choice.Probe {
			gaps = append(gaps, now-last)
			last = now
			end(balancer, now, choice, Result{Outcome: ConnectFailed})
		}
	}
	require.Less(t, gaps[0], 400*microtime.Millisecond)
	for _, gap := range gaps[6:] {
		require.GreaterOrEqual(t, gap, 4*second)
		require.LessOrEqual(t, gap, 12*second+10*microtime.Millisecond)
	}
}

// An endpoint that rejects with a retry-after gets nothing for so long, and no longer.
func TestRetryAfterIsHonored(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 10 * second
	end(balancer, now, Choice{Endpoint: "s0"}, Result{Outcome: Rejected, RetryAfter: 700 * microtime.Millisecond})
	require.Zero(t, share(balancer, now+699*microtime.Millisecond, "s0"))
	require.Positive(t, share(balancer, now+700*microtime.Millisecond, "s0"))
	requireState(t, Up, balancer, now, "s0", "an endpoint that rejects is alive")
}

// All endpoints reject at once: none is ejected, none is chosen before its retry-after, and all come back.
func TestAllRejectAtOnce(t *testing.T) {
	balancer := newBalancer(t, 1, 12)
	now := 10 * second
	for i := range 12 {
		end(balancer, now, Choice{Endpoint: endpointName(i)}, Result{Outcome: Rejected, RetryAfter: second})
	}
	_, ok := balancer.Pick(now, Request{})
	require.False(t, ok)
	require.Equal(t, microtime.Never, balancer.EarliestFinish(now, Request{}))
	_, ok = balancer.Pick(now+second, Request{})
	require.True(t, ok)
}

// All but one go down at once: the last one is not overloaded, the others share what its limit leaves, and are found to
// be back.
func TestAllButOneGoDown(t *testing.T) {
	balancer := newBalancer(t, 1, 12)
	now := 10 * second
	for i := range 12 {
		attempt(balancer, now, endpointName(i), Succeeded)
	}
	for i := range 11 {
		attempt(balancer, now, endpointName(i), ConnectFailed)
	}
	require.Less(t, share(balancer, now, "s11"), 0.5, "selection goes on among all")
	for i := range 6 { // half are back
		attempt(balancer, now+second, endpointName(i), Succeeded)
	}
	require.Zero(t, share(balancer, now+second, "s8"), "and among the healthy ones once they are enough")
}

// All recover at once: each warms up, and together they take everything.
func TestAllRecoverAtOnce(t *testing.T) {
	balancer := newBalancer(t, 1, 6)
	now := 10 * second
	for i := range 6 {
		name := endpointName(i)
		attempt(balancer, now, name, ConnectFailed)
		attempt(balancer, now+second, name, Succeeded)
		requireState(t, Warming, balancer, now+second, name)
	}
	for i := range 6 {
		require.InDelta(t, 1.0/6, share(balancer, now+second, endpointName(i)), 0.05)
	}
}

// A machine that vanished is suspect as soon as it has said nothing for a multiple of the usual latency, though its
// attempts have not ended; a busy one that answers is not.
func TestSilenceIsDetected(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 200 {
		attempt(balancer, now, endpointName(i%4), Succeeded)
	}
	timeout := balancer.SilenceTimeout()
	require.Equal(t, 300*microtime.Millisecond, timeout)
	balancer.AttemptStarted(now, Choice{Endpoint: "s0"})
	balancer.AttemptStarted(now, Choice{Endpoint: "s1"})
	now += timeout - 1
	balancer.AttemptEnded(now, Choice{Endpoint: "s1"}, Result{Outcome: Succeeded, Latency: timeout})
	balancer.AttemptStarted(now, Choice{Endpoint: "s1"})
	require.Positive(t, share(balancer, now, "s0"))
	now += 2
	balancer.Pick(now, Request{})
	requireState(t, Suspect, balancer, now, "s0")
	requireState(t, Up, balancer, now, "s1")
	now += second
	choice, ok := balancer.Pick(now, probeRequest)
	require.True(t, ok && choice.Probe && choice.Endpoint == "s0", "its stuck attempt is no bar to a probe")
}
