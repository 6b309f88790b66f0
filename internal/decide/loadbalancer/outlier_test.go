package loadbalancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// An endpoint becomes Suspect after two consecutive failures, gets one probe at a time, and becomes Warming after a
// successful probe.
func TestEndpointLifecycle(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 4 {
		recordAttempt(balancer, now, endpointName(i), Succeeded)
	}
	requireState(t, Up, balancer, now, "s0")
	recordAttempt(balancer, now, "s0", TimedOut)
	requireState(t, Up, balancer, now, "s0", "one failure is not enough")
	recordAttempt(balancer, now, "s0", TimedOut)
	requireState(t, Suspect, balancer, now, "s0")
	require.Zero(t, selectionShare(balancer, now, "s0"))

	// Only idempotent and cheap requests are used as probes, one at a time, once the probe is due.
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

// One failed connect makes an endpoint Down. After it recovers, slow start limits its share of the traffic.
func TestRecoveryFromDown(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 4 {
		recordAttempt(balancer, now, endpointName(i), Succeeded)
	}
	now += second
	recordAttempt(balancer, now, "s1", ConnectFailed)
	requireState(t, Down, balancer, now, "s1")
	now += 20 * second
	choice, _ := balancer.Pick(now, probeRequest)
	require.Equal(t, Choice{"s1", true}, choice)
	recordAttemptResult(balancer, now, choice, Result{Outcome: Succeeded, Latency: 1000})
	requireState(t, Warming, balancer, now, "s1")
	require.Zero(t, statusOf(balancer, now, "s1").SinceRecovery)
	warmingShare := selectionShare(balancer, now, "s1")
	require.Less(t, warmingShare, 0.15)
	require.Greater(t, warmingShare, 0.01)
	now += 16 * second
	recordAttempt(balancer, now, "s1", Succeeded)
	requireState(t, Up, balancer, now, "s1")
}

// A draining endpoint gets no new attempts. It is Down once its last connection is closed.
func TestDrainingEndpoint(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 4 {
		recordAttempt(balancer, now, endpointName(i), Succeeded)
	}
	balancer.MarkDraining(now, "s2")
	require.Zero(t, selectionShare(balancer, now, "s2"))
	choice, ok := balancer.Pick(now, probeRequest)
	require.True(t, ok && choice.Endpoint != "s2")
	balancer.MarkDrained(now, "s2")
	requireState(t, Down, balancer, now, "s2")
}

// The intervals between probes grow up to MaxProbeBackoff, with jitter.
func TestProbesBackOff(t *testing.T) {
	balancer := newBalancer(t, 1, 3)
	now := 10 * second
	var gaps []microtime.Time
	last := now
	recordAttempt(balancer, now, "s0", ConnectFailed)
	for len(gaps) < 12 {
		now += 5 * microtime.Millisecond
		if choice, ok := balancer.Pick(now, probeRequest); ok && choice.Probe {
			gaps = append(gaps, now-last)
			last = now
			recordAttemptResult(balancer, now, choice, Result{Outcome: ConnectFailed})
		}
	}
	require.Less(t, gaps[0], 400*microtime.Millisecond)
	for _, gap := range gaps[6:] {
		require.GreaterOrEqual(t, gap, 4*second)
		require.LessOrEqual(t, gap, 12*second+10*microtime.Millisecond)
	}
}

// An endpoint that rejects an attempt with RetryAfter gets no attempts for exactly that time.
func TestRetryAfterIsHonored(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 10 * second
	recordAttemptResult(balancer, now, Choice{Endpoint: "s0"},
		Result{Outcome: Rejected, RetryAfter: 700 * microtime.Millisecond})
	require.Zero(t, selectionShare(balancer, now+699*microtime.Millisecond, "s0"))
	require.Positive(t, selectionShare(balancer, now+700*microtime.Millisecond, "s0"))
	requireState(t, Up, balancer, now, "s0", "a rejection is not a failure of the endpoint")
}

// When all endpoints reject attempts at the same time, none is chosen before its RetryAfter ends, and they are chosen
// again afterwards.
func TestAllRejectAtOnce(t *testing.T) {
	balancer := newBalancer(t, 1, 12)
	now := 10 * second
	for i := range 12 {
		recordAttemptResult(balancer, now, Choice{Endpoint: endpointName(i)}, Result{Outcome: Rejected, RetryAfter: second})
	}
	_, ok := balancer.Pick(now, Request{})
	require.False(t, ok)
	require.Equal(t, microtime.Never, balancer.EarliestFinish(now, Request{}))
	_, ok = balancer.Pick(now+second, Request{})
	require.True(t, ok)
}

// When all endpoints but one go down, selection uses all of them, so that the last one is not overloaded. Once enough
// have recovered, the ones that are still down are ejected.
func TestAllButOneGoDown(t *testing.T) {
	balancer := newBalancer(t, 1, 12)
	now := 10 * second
	for i := range 12 {
		recordAttempt(balancer, now, endpointName(i), Succeeded)
	}
	for i := range 11 {
		recordAttempt(balancer, now, endpointName(i), ConnectFailed)
	}
	require.Less(t, selectionShare(balancer, now, "s11"), 0.5, "selection uses all endpoints while most are unhealthy")
	for i := range 6 { // half of the endpoints recover
		recordAttempt(balancer, now+second, endpointName(i), Succeeded)
	}
	require.Zero(t, selectionShare(balancer, now+second, "s8"), "only healthy endpoints are selected again")
}

// When all endpoints recover at the same time, all are Warming and share the traffic evenly.
func TestAllRecoverAtOnce(t *testing.T) {
	balancer := newBalancer(t, 1, 6)
	now := 10 * second
	for i := range 6 {
		name := endpointName(i)
		recordAttempt(balancer, now, name, ConnectFailed)
		recordAttempt(balancer, now+second, name, Succeeded)
		requireState(t, Warming, balancer, now+second, name)
	}
	for i := range 6 {
		require.InDelta(t, 1.0/6, selectionShare(balancer, now+second, endpointName(i)), 0.05)
	}
}

// An endpoint that sends no answer for SilenceTimeout becomes Suspect although its attempts have not ended. An endpoint
// with attempts in flight that does answer stays Up.
func TestSilenceIsDetected(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 10 * second
	for i := range 200 {
		recordAttempt(balancer, now, endpointName(i%4), Succeeded)
	}
	timeout := balancer.SilenceTimeout()
	require.Equal(t, 300*microtime.Millisecond, timeout)
	balancer.AttemptStarted(now, Choice{Endpoint: "s0"})
	balancer.AttemptStarted(now, Choice{Endpoint: "s1"})
	now += timeout - 1
	balancer.AttemptEnded(now, Choice{Endpoint: "s1"}, Result{Outcome: Succeeded, Latency: timeout})
	balancer.AttemptStarted(now, Choice{Endpoint: "s1"})
	require.Positive(t, selectionShare(balancer, now, "s0"))
	now += 2
	balancer.Pick(now, Request{})
	requireState(t, Suspect, balancer, now, "s0")
	requireState(t, Up, balancer, now, "s1")
	now += second
	choice, ok := balancer.Pick(now, probeRequest)
	require.True(t, ok && choice.Probe && choice.Endpoint == "s0", "an attempt still in flight does not prevent a probe")
}
