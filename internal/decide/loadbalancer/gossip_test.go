package loadbalancer

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

func observe(endpoint string, kind ObservationKind, age microtime.Time, source string, hops int) Observation {
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

// tell applies the observations of an instance that has been up for long.
func tell(b *Balancer, now microtime.Time, sender string, observations ...Observation) GossipResult {
	return b.ApplyGossip(now, "me", GossipSender{sender, 1000 * second}, observations)
}

// An instance that starts ejects an endpoint that a running one knows to be down, and probes it once that is stale.
func TestGossipOfUnreachableEndpoint(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	result := tell(balancer, now, "old", observe("s0", Unreachable, second, "old", 1))
	require.Equal(t, GossipResult{Accepted: 1}, result)
	require.Zero(t, share(balancer, now, "s0"))
	require.Positive(t, share(balancer, now+60*second, "s0"), "the observation is stale")
	choice, ok := balancer.Pick(now, probeRequest)
	require.True(t, ok)
	require.False(t, choice.Probe, "the instance that told us probes")
	now += 12 * second
	choice, ok = balancer.Pick(now, probeRequest)
	require.True(t, ok)
	require.Equal(t, Choice{"s0", true}, choice, "an idempotent, cheap request finds out")
	end(balancer, now, choice, Result{Outcome: Succeeded, Latency: 1000})
	require.Positive(t, share(balancer, now, "s0"), "own observations take precedence")
}

// A sender that has just restarted has seen little, whatever it says.
func TestSenderThatJustRestarted(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	balancer.ApplyGossip(now, "me", GossipSender{"young", second / 2}, []Observation{
		observe("s0", Unreachable, second/4, "young", 1),
		observe("s1", Unreachable, second/4, "other", 2),
	})
	require.Less(t, balancer.gossip.FailureWeight(now, "s0"), 0.5)
	require.Positive(t, share(balancer, now, "s0"))
	require.Positive(t, share(balancer, now, "s1"), "nor does what it repeats weigh more")
	early := observe("s2", Unreachable, 30*second, "young", 1)
	result := balancer.ApplyGossip(now, "me", GossipSender{"young", second}, []Observation{early})
	require.Equal(t, 1, result.Invalid, "it cannot have seen what was before its start")
	require.ErrorContains(t, result.Err, "30s")
}

// Two instances that repeat each other's gossip do not make it stronger, nor younger.
func TestRepeatedGossipDoesNotGrow(t *testing.T) {
	one := newBalancer(t, 1, 2)
	other := newBalancer(t, 2, 2)
	now := 100 * second
	one.ApplyGossip(now, "a", GossipSender{"old", 1000 * second},
		[]Observation{observe("s0", Unreachable, 0, "old", 1)})
	first := one.gossip.FailureWeight(now, "s0")
	last := first
	for range 30 {
		now += second / 2
		other.ApplyGossip(now, "b", GossipSender{"a", 500 * second}, one.ComposeGossip(now, "a", 100))
		one.ApplyGossip(now, "a", GossipSender{"b", 500 * second}, other.ComposeGossip(now, "b", 100))
		require.LessOrEqual(t, one.gossip.FailureWeight(now, "s0"), last)
		require.Less(t, other.gossip.FailureWeight(now, "s0"), one.gossip.FailureWeight(now, "s0"))
		last = one.gossip.FailureWeight(now, "s0")
	}
	require.InEpsilon(t, first*math.Exp2(-1.5), last, 0.01, "it fades as if it had been told once")
	require.Equal(t, 1, one.gossip.Len())
}

// Observations older than an endpoint's recovery are dropped, whoever saw the recovery, and in whichever order they
// come.
func TestGossipOlderThanRecovery(t *testing.T) {
	for _, recoveryFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("recovery first %t", recoveryFirst), func(t *testing.T) {
			balancer := newBalancer(t, 1, 3)
			now := 100 * second
			told := []Observation{observe("s0", Recovered, 2*second, "x", 1), observe("s0", Unreachable, 5*second, "y", 1)}
			if !recoveryFirst {
				told[0], told[1] = told[1], told[0]
			}
			tell(balancer, now, "x", told...)
			require.Zero(t, balancer.gossip.FailureWeight(now, "s0"))
			tell(balancer, now, "x", observe("s0", Unreachable, second, "y", 1))
			require.Positive(t, balancer.gossip.FailureWeight(now, "s0"), "it has gone down again since")
		})
	}
	t.Run("own observation of the recovery", func(t *testing.T) {
		balancer := newBalancer(t, 1, 3)
		now := 100 * second
		attempt(balancer, now-10*second, "s0", ConnectFailed)
		attempt(balancer, now-3*second, "s0", Succeeded)
		result := tell(balancer, now, "x", observe("s0", Unreachable, 5*second, "x", 1))
		require.Equal(t, GossipResult{Stale: 1}, result)
	})
}

// An endpoint that is unreachable for one instance only stays in use by those that reach it.
func TestOwnObservationsTakePrecedence(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	for i := range 4 {
		attempt(balancer, now, endpointName(i), Succeeded)
	}
	tell(balancer, now, "x", observe("s0", Unreachable, 0, "x", 1), observe("s0", TypicalLatency, 0, "x", 1))
	require.InDelta(t, 0.25, share(balancer, now, "s0"), 0.05)
	// And an instance that starts weighs it against those that reach it.
	fresh := newBalancer(t, 2, 4)
	tell(fresh, now, "x", observe("s0", Unreachable, 0, "x", 1))
	tell(fresh, now, "y", balancer.ComposeGossip(now, "y", 100)...)
	attempt(balancer, now, "s0", Succeeded)
	tell(fresh, now, "z", observe("s0", Reachable, 0, "z", 1))
	require.Positive(t, share(fresh, now, "s0"))
}

// What is out of bounds is not accepted.
func TestInvalidGossip(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	valid := observe("s0", Unreachable, second, "x", 1)
	for name, spoil := range map[string]func(*Observation){
		"negative age":          func(o *Observation) { o.Age = -1 },
		"age over the bound":    func(o *Observation) { o.Age = MaxAge + 1 },
		"unknown kind":          func(o *Observation) { o.Kind = 99 },
		"no kind":               func(o *Observation) { o.Kind = 0 },
		"too many hops":         func(o *Observation) { o.Hops = 99 },
		"negative hops":         func(o *Observation) { o.Hops = -1 },
		"evidence not a number": func(o *Observation) { o.Evidence = math.NaN() },
		"infinite evidence":     func(o *Observation) { o.Evidence = math.Inf(1) },
		"no evidence":           func(o *Observation) { o.Evidence = 0 },
		"no endpoint":           func(o *Observation) { o.Endpoint = "" },
		"long source":           func(o *Observation) { o.Source = string(make([]byte, 65)) },
		"infinite latency":      func(o *Observation) { o.Kind, o.Value = TypicalLatency, math.Inf(1) },
		"own without a hop":     func(o *Observation) { o.Hops = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			observation := valid
			spoil(&observation)
			result := tell(balancer, now, "x", observation)
			require.Equal(t, 1, result.Invalid)
			require.ErrorIs(t, result.Err, ErrInvalidGossip)
		})
	}
	result := balancer.ApplyGossip(now, "me", GossipSender{"x", -1}, []Observation{valid})
	require.Equal(t, 1, result.Invalid)
}

// A flood of observations costs no more memory than the bound, and all of it is given back in time.
func TestGossipIsBounded(t *testing.T) {
	balancer := newBalancer(t, 1, 4)
	now := 100 * second
	var flood []Observation
	for i := range 100_000 {
		flood = append(flood, observe(endpointName(i%1000), Unreachable, second, fmt.Sprintf("z%d", i), 2))
	}
	result := tell(balancer, now, "x", flood...)
	require.Equal(t, 100_000-400, result.Ignored)
	require.LessOrEqual(t, balancer.gossip.Len(), 4*maxSources)
	balancer.Remove("s0")
	balancer.ExpireGossip(now)
	require.Empty(t, balancer.gossip.about("s0", Unreachable))
	balancer.ExpireGossip(now + 2*MaxAge)
	require.Zero(t, balancer.gossip.Len())
}

// A snapshot stays as it is while the event loop goes on.
func TestGossipSnapshotIsImmutable(t *testing.T) {
	balancer := newBalancer(t, 1, 2)
	now := 100 * second
	tell(balancer, now, "x", observe("s0", Unreachable, 0, "x", 1))
	before := balancer.GossipSnapshot()
	tell(balancer, now, "x", observe("s1", Unreachable, 0, "x", 1))
	require.Equal(t, []int{1, 2}, []int{before.Len(), balancer.GossipSnapshot().Len()})
}

// Every value of an enumeration has a name of its own, and an unknown one shows its number.
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
