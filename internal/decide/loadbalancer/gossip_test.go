package loadbalancer

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// newObservation returns a valid observation with an evidence of 10 attempts and, for TypicalLatency, a value of 1 ms.
func newObservation(endpoint string, kind ObservationKind, age microtime.Time, source string, hops int) Observation {
	return Observation{
		Endpoint: endpoint,
		Kind:     kind,
		Value:    1000,
		Evidence: 10,
		Age:      age,
		Source:   source,
		Hops:     hops,
	}
}

// applyGossip applies observations from an instance whose uptime is long enough not to bound their evidence.
func applyGossip(b *Balancer, now microtime.Time, sender string, observations ...Observation) GossipResult {
	return b.ApplyGossip(now, "me", GossipSender{sender, 1000 * second}, observations)
}

// An instance that has just started ejects an endpoint that a running instance reports as unreachable, and probes it
// after a wait. A success at the endpoint returns it to service.
func TestGossipOfUnreachableEndpoint(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	result := applyGossip(balancer, now, "old", newObservation("s0", Unreachable, second, "old", 1))
	require.Equal(t, GossipResult{Accepted: 1}, result)
	require.Zero(t, selectionShare(balancer, now, "s0"))
	require.Positive(t, selectionShare(balancer, now+60*second, "s0"), "the observation has lost its weight")
	choice, ok := balancer.Pick(now, probeRequest)
	require.True(t, ok)
	require.False(t, choice.Probe, "only the source of the observation probes for now")
	now += 12 * second
	choice, ok = balancer.Pick(now, probeRequest)
	require.True(t, ok)
	require.Equal(t, Choice{"s0", true}, choice, "an idempotent and cheap request probes the endpoint")
	recordAttemptResult(balancer, now, choice, Result{Outcome: Succeeded, Latency: 1000})
	require.Positive(t, selectionShare(balancer, now, "s0"), "own observations take precedence")
}

// The evidence of a sender that has just started is bounded by its uptime, also in observations that it forwards. If it
// claims to have made an observation before its start, that observation is invalid.
func TestRecentlyStartedSender(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	balancer.ApplyGossip(now, "me", GossipSender{"young", second / 2}, []Observation{
		newObservation("s0", Unreachable, second/4, "young", 1),
		newObservation("s1", Unreachable, second/4, "other", 2),
	})
	require.Less(t, balancer.gossip.FailureWeight(now, "s0"), 0.5)
	require.Positive(t, selectionShare(balancer, now, "s0"))
	require.Positive(t, selectionShare(balancer, now, "s1"), "the bound applies to forwarded observations")
	beforeStart := newObservation("s2", Unreachable, 30*second, "young", 1)
	result := balancer.ApplyGossip(now, "me", GossipSender{"young", second}, []Observation{beforeStart})
	require.Equal(t, 1, result.Invalid, "a sender cannot have made an observation before its start")
	require.ErrorContains(t, result.Err, "30s")
}

// Two instances that keep forwarding the same observation to each other neither increase its weight nor reset its age.
func TestRepeatedGossipGainsNoWeight(t *testing.T) {
	balancerA := newBalancer(t, 1, 2)
	balancerB := newBalancer(t, 2, 2)
	now := 100 * second
	balancerA.ApplyGossip(now, "a", GossipSender{"old", 1000 * second},
		[]Observation{newObservation("s0", Unreachable, 0, "old", 1)})
	initialWeight := balancerA.gossip.FailureWeight(now, "s0")
	lastWeight := initialWeight
	for range 30 {
		now += second / 2
		balancerB.ApplyGossip(now, "b", GossipSender{"a", 500 * second}, balancerA.ComposeGossip(now, "a", 100))
		balancerA.ApplyGossip(now, "a", GossipSender{"b", 500 * second}, balancerB.ComposeGossip(now, "b", 100))
		require.LessOrEqual(t, balancerA.gossip.FailureWeight(now, "s0"), lastWeight)
		require.Less(t, balancerB.gossip.FailureWeight(now, "s0"), balancerA.gossip.FailureWeight(now, "s0"))
		lastWeight = balancerA.gossip.FailureWeight(now, "s0")
	}
	require.InEpsilon(t, initialWeight*math.Exp2(-1.5), lastWeight, 0.01, "the weight decays as if received only once")
	require.Equal(t, 1, balancerA.gossip.Len())
}

// Observations older than an endpoint's recovery are dropped, in whichever order they are received, and also if this
// instance observed the recovery itself.
func TestGossipOlderThanRecovery(t *testing.T) {
	for _, recoveryFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("recovery first %t", recoveryFirst), func(t *testing.T) {
			balancer := newBalancer(t, 1, 3)
			now := 100 * second
			observations := []Observation{
				newObservation("s0", Recovered, 2*second, "x", 1),
				newObservation("s0", Unreachable, 5*second, "y", 1),
			}
			if !recoveryFirst {
				observations[0], observations[1] = observations[1], observations[0]
			}
			applyGossip(balancer, now, "x", observations...)
			require.Zero(t, balancer.gossip.FailureWeight(now, "s0"))
			applyGossip(balancer, now, "x", newObservation("s0", Unreachable, second, "y", 1))
			require.Positive(t, balancer.gossip.FailureWeight(now, "s0"), "a failure after the recovery counts")
		})
	}
	t.Run("own observation of the recovery", func(t *testing.T) {
		balancer := newBalancer(t, 1, 3)
		now := 100 * second
		recordAttempt(balancer, now-10*second, "s0", ConnectFailed)
		recordAttempt(balancer, now-3*second, "s0", Succeeded)
		result := applyGossip(balancer, now, "x", newObservation("s0", Unreachable, 5*second, "x", 1))
		require.Equal(t, GossipResult{Stale: 1}, result)
	})
}

// Gossip that an endpoint is unreachable does not eject it at an instance that reaches it. An instance that has just
// started does not eject it either if it also receives observations that the endpoint is reachable.
func TestOwnObservationsTakePrecedence(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	for i := range 4 {
		recordAttempt(balancer, now, endpointName(i), Succeeded)
	}
	applyGossip(balancer, now, "x",
		newObservation("s0", Unreachable, 0, "x", 1), newObservation("s0", TypicalLatency, 0, "x", 1))
	require.InDelta(t, 0.25, selectionShare(balancer, now, "s0"), 0.05)
	// newInstance has no observations of its own and weighs both kinds of gossip.
	newInstance := newBalancer(t, 2, 4)
	applyGossip(newInstance, now, "x", newObservation("s0", Unreachable, 0, "x", 1))
	applyGossip(newInstance, now, "y", balancer.ComposeGossip(now, "y", 100)...)
	recordAttempt(balancer, now, "s0", Succeeded)
	applyGossip(newInstance, now, "z", newObservation("s0", Reachable, 0, "z", 1))
	require.Positive(t, selectionShare(newInstance, now, "s0"))
}

// Observations and senders with a field out of bounds are rejected.
func TestInvalidGossip(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	valid := newObservation("s0", Unreachable, second, "x", 1)
	for name, modify := range map[string]func(*Observation){
		"negative age":                func(o *Observation) { o.Age = -1 },
		"age over the bound":          func(o *Observation) { o.Age = MaxAge + 1 },
		"unknown kind":                func(o *Observation) { o.Kind = 99 },
		"no kind":                     func(o *Observation) { o.Kind = 0 },
		"too many hops":               func(o *Observation) { o.Hops = 99 },
		"negative hops":               func(o *Observation) { o.Hops = -1 },
		"evidence not a number":       func(o *Observation) { o.Evidence = math.NaN() },
		"infinite evidence":           func(o *Observation) { o.Evidence = math.Inf(1) },
		"no evidence":                 func(o *Observation) { o.Evidence = 0 },
		"no endpoint":                 func(o *Observation) { o.Endpoint = "" },
		"long source":                 func(o *Observation) { o.Source = string(make([]byte, 65)) },
		"infinite latency":            func(o *Observation) { o.Kind, o.Value = TypicalLatency, math.Inf(1) },
		"own observation with 0 hops": func(o *Observation) { o.Hops = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			observation := valid
			modify(&observation)
			result := applyGossip(balancer, now, "x", observation)
			require.Equal(t, 1, result.Invalid)
			require.ErrorIs(t, result.Err, ErrInvalidGossip)
		})
	}
	result := balancer.ApplyGossip(now, "me", GossipSender{"x", -1}, []Observation{valid})
	require.Equal(t, 1, result.Invalid)
}

// A flood of observations is stored only up to maxSources for each endpoint, and all observations expire.
func TestGossipIsBounded(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	var flood []Observation
	for i := range 100_000 {
		flood = append(flood, newObservation(endpointName(i%1000), Unreachable, second, fmt.Sprintf("z%d", i), 2))
	}
	result := applyGossip(balancer, now, "x", flood...)
	require.Equal(t, 100_000-400, result.Ignored)
	require.LessOrEqual(t, balancer.gossip.Len(), 4*maxSources)
	balancer.Remove("s0")
	balancer.ExpireGossip(now)
	require.Empty(t, balancer.gossip.observationsAbout("s0", Unreachable))
	balancer.ExpireGossip(now + 2*MaxAge)
	require.Zero(t, balancer.gossip.Len())
}

// A snapshot does not change when the balancer accepts more gossip.
func TestGossipSnapshotIsImmutable(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 100 * second
	applyGossip(balancer, now, "x", newObservation("s0", Unreachable, 0, "x", 1))
	before := balancer.GossipSnapshot()
	applyGossip(balancer, now, "x", newObservation("s1", Unreachable, 0, "x", 1))
	require.Equal(t, []int{1, 2}, []int{before.Len(), balancer.GossipSnapshot().Len()})
}

// Every value of an enumeration has a unique name, and the name of an unknown value contains its number.
func TestEnumerationsHaveNames(t *testing.T) {
	names := map[string]bool{}
	for state := Unobserved; state <= Draining; state++ {
		names[state.String()] = true
	}
	for outcome := Succeeded; outcome <= Cancelled; outcome++ {
		names[outcome.String()] = true
	}
	for kind := Unreachable; kind < endOfKinds; kind++ {
		names[kind.String()] = true
	}
	for decision := RetryElsewhere; decision <= ReportIndeterminate; decision++ {
		names[decision.String()] = true
	}
	require.Len(t, names, 6+7+4+5)
	for name := range names {
		require.False(t, strings.Contains(name, "("), name)
	}
	require.Equal(t, "State(99)", State(99).String())
	require.Equal(t, "Outcome(99)", Outcome(99).String())
	require.Equal(t, "ObservationKind(99)", ObservationKind(99).String())
	require.Equal(t, "Decision(99)", Decision(99).String())
}
