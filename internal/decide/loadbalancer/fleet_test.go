package loadbalancer

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/internal/microtime"
)

const second = microtime.Second

func newFleet(t *testing.T, seed uint64, servers int) *Balancer {
	f, err := New(Config{Classes: 2}, seed)
	require.NoError(t, err)
	for i := range servers {
		f.Add(second, fmt.Sprintf("s%d", i))
	}
	return f
}

// try sends one to a server and has it end.
func try(f *Balancer, now microtime.Time, server string, o Outcome) {
	c := Choice{Endpoint: server}
	f.AttemptStarted(now, c)
	f.AttemptEnded(now, c, Result{Outcome: o, Latency: 50 * microtime.Millisecond})
}

func view(f *Balancer, now microtime.Time, server string) EndpointStatus {
	for _, v := range f.Endpoints(now) {
		if v.Name == server {
			return v
		}
	}
	return EndpointStatus{}
}

// share is the part of many picks that goes to a server; the picks are not sent.
func share(f *Balancer, now microtime.Time, server string) float64 {
	n := 0
	for range 4000 {
		if c, ok := f.Pick(now, Request{Class: 0}); ok && c.Endpoint == server {
			n++
		}
	}
	return float64(n) / 4000
}

var probe = Request{Idempotent: true, Cheap: true}

func TestLifeOfAServer(t *testing.T) {
	f, now := newFleet(t, 1, 4), 10*second
	for i := range 4 {
		try(f, now, fmt.Sprintf("s%d", i), Succeeded)
	}
	require.Equal(t, Up, view(f, now, "s0").State)
	try(f, now, "s0", TimedOut)
	require.Equal(t, Up, view(f, now, "s0").State, "once is nothing")
	try(f, now, "s0", TimedOut)
	require.Equal(t, Suspect, view(f, now, "s0").State)
	require.Zero(t, share(f, now, "s0"))
	// A probe is a safe and cheap request, one at a time, once its time has come; never an intake.
	now += second
	for range 50 {
		c, ok := f.Pick(now, Request{Idempotent: false, Cheap: true})
		require.True(t, ok)
		require.NotEqual(t, "s0", c.Endpoint)
	}
	c, ok := f.Pick(now, probe)
	require.True(t, ok)
	require.Equal(t, Choice{"s0", true}, c)
	f.AttemptStarted(now, c)
	c2, _ := f.Pick(now, probe)
	require.False(t, c2.Probe)
	f.AttemptEnded(now, c, Result{Outcome: Succeeded, Latency: 1000})
	require.Equal(t, Warming, view(f, now, "s0").State)
	// A connection that nobody takes is proof at once.
	try(f, now, "s1", ConnectFailed)
	require.Equal(t, Down, view(f, now, "s1").State)
	now += 20 * second
	c, _ = f.Pick(now, probe)
	require.Equal(t, Choice{"s1", true}, c)
	f.AttemptStarted(now, c)
	f.AttemptEnded(now, c, Result{Outcome: Succeeded, Latency: 1000})
	require.Equal(t, Warming, view(f, now, "s1").State)
	require.Zero(t, view(f, now, "s1").SinceRecovery)
	low := share(f, now, "s1")
	require.Less(t, low, 0.15)
	require.Greater(t, low, 0.01)
	now += 16 * second
	try(f, now, "s1", Succeeded)
	require.Equal(t, Up, view(f, now, "s1").State)
	// A farewell ends its part; once it has closed, it is down until it answers again.
	f.MarkDraining(now, "s2")
	require.Zero(t, share(f, now, "s2"))
	c, ok = f.Pick(now, probe)
	require.True(t, ok && c.Endpoint != "s2")
	f.MarkDrained(now, "s2")
	require.Equal(t, Down, view(f, now, "s2").State)
}

// Probes come at growing distances, with a spread, and within their bound.
func TestProbesBackOff(t *testing.T) {
	f, now := newFleet(t, 1, 3), 10*second
	var gaps []microtime.Time
	last := now
	try(f, now, "s0", ConnectFailed)
	for len(gaps) < 12 {
		now += 5 * microtime.Millisecond
		if c, ok := f.Pick(now, probe); ok && c.Probe {
			gaps = append(gaps, now-last)
			last = now
			f.AttemptStarted(now, c)
			f.AttemptEnded(now, c, Result{Outcome: ConnectFailed})
		}
	}
	require.Less(t, gaps[0], 400*microtime.Millisecond)
	for _, g := range gaps[6:] {
		require.GreaterOrEqual(t, g, 4*second)
		require.LessOrEqual(t, g, 12*second+10*microtime.Millisecond)
	}
}

// A refusal with advice has the server left alone for so long, and no longer.
func TestRefusalIsHeeded(t *testing.T) {
	f, now := newFleet(t, 1, 2), 10*second
	c := Choice{Endpoint: "s0"}
	f.AttemptStarted(now, c)
	f.AttemptEnded(now, c, Result{Outcome: Rejected, RetryAfter: 700 * microtime.Millisecond})
	require.Zero(t, share(f, now+699*microtime.Millisecond, "s0"))
	require.Positive(t, share(f, now+700*microtime.Millisecond, "s0"))
	require.Equal(t, Up, view(f, now, "s0").State, "who refuses is there")
}

// Every server refuses at once: nobody is ejected, nothing is picked while they wish to be left alone, and all come back.
func TestAllRefuseAtOnce(t *testing.T) {
	f, now := newFleet(t, 1, 12), 10*second
	for i := range 12 {
		c := Choice{Endpoint: fmt.Sprintf("s%d", i)}
		f.AttemptStarted(now, c)
		f.AttemptEnded(now, c, Result{Outcome: Rejected, RetryAfter: second})
	}
	_, ok := f.Pick(now, Request{})
	require.False(t, ok)
	require.Equal(t, microtime.Never, f.EarliestFinish(now, Request{}))
	_, ok = f.Pick(now+second, Request{})
	require.True(t, ok)
}

// All but one die at once: the last one is not crowded; the others share what its limit leaves, and are found to be back.
func TestAllButOneDieAtOnce(t *testing.T) {
	f, now := newFleet(t, 1, 12), 10*second
	for i := range 12 {
		try(f, now, fmt.Sprintf("s%d", i), Succeeded)
	}
	for i := range 11 {
		try(f, now, fmt.Sprintf("s%d", i), ConnectFailed)
	}
	require.Less(t, share(f, now, "s11"), 0.5, "routing goes on among all")
	for i := range 6 { // half are back
		try(f, now+second, fmt.Sprintf("s%d", i), Succeeded)
	}
	require.Zero(t, share(f, now+second, "s8"), "and among the good ones once they are enough")
}

// All return cold at once: each warms, and together they take everything.
func TestAllReturnColdAtOnce(t *testing.T) {
	f, now := newFleet(t, 1, 6), 10*second
	for i := range 6 {
		name := fmt.Sprintf("s%d", i)
		try(f, now, name, ConnectFailed)
		try(f, now+second, name, Succeeded)
		require.Equal(t, Warming, view(f, now+second, name).State)
	}
	for i := range 6 {
		require.InDelta(t, 1.0/6, share(f, now+second, fmt.Sprintf("s%d", i)), 0.05)
	}
}

// The slower of two servers gets the smaller part, and the limit of one that takes ever longer falls.
func TestSlowServersGetLess(t *testing.T) {
	f, now := newFleet(t, 1, 2), 10*second
	for i := range 200 {
		for name, took := range map[string]microtime.Time{"s0": 20 * microtime.Millisecond, "s1": 20*microtime.Millisecond + microtime.Time(i)*5*microtime.Millisecond} {
			c := Choice{Endpoint: name}
			for range 6 { // others are open meanwhile, so that the limit is in use
				f.AttemptStarted(now, c)
			}
			f.AttemptEnded(now, c, Result{Outcome: Succeeded, Latency: took})
			for range 5 {
				f.AttemptEnded(now, c, Result{Outcome: Cancelled})
			}
		}
		now += 10 * microtime.Millisecond
	}
	require.Less(t, share(f, now, "s1"), 0.3)
	require.Less(t, view(f, now, "s1").ConcurrencyLimit, view(f, now, "s0").ConcurrencyLimit/1.5)
	require.Zero(t, view(f, now, "s0").InFlight)
}

func TestQuantiles(t *testing.T) {
	var l latency
	for i := range 1000 {
		l.add(float64(i*37%100+1) * 1000) // 1 to 100 ms, evenly
	}
	require.InEpsilon(t, 50e3, float64(l.quantile(0.5)), 0.35)
	require.InEpsilon(t, 95e3, float64(l.quantile(0.95)), 0.35)
	for range 400 { // the old fade
		l.add(400e3)
	}
	require.InEpsilon(t, 400e3, float64(l.quantile(0.1)), 0.2)
}

func TestHedgeNeedsKnowledge(t *testing.T) {
	f, now := newFleet(t, 1, 2), 10*second
	require.Equal(t, microtime.Never, f.HedgeDelay(0, 0.95))
	for range 60 {
		try(f, now, "s0", Succeeded)
	}
	require.InEpsilon(t, float64(50*microtime.Millisecond), float64(f.HedgeDelay(0, 0.95)), 0.25)
}

func tell(server string, kind ObservationKind, age microtime.Time, source string, hops int) Observation {
	return Observation{Endpoint: server, Kind: kind, Evidence: 10, Age: age, Source: source, Hops: hops, Value: 1000}
}

// A fresh instance leaves a server alone that a running one knows dead, and tries it again once that news is stale.
func TestAdviceOfADeadServer(t *testing.T) {
	f, now := newFleet(t, 1, 4), 100*second
	a := f.ApplyGossip(now, "me", GossipSender{"old", 1000 * second}, []Observation{tell("s0", Unreachable, second, "old", 1)})
	require.Equal(t, GossipResult{Accepted: 1}, a)
	require.Zero(t, share(f, now, "s0"))
	require.Positive(t, share(f, now+60*second, "s0"), "its news is stale")
	c, ok := f.Pick(now, probe)
	require.True(t, ok)
	require.False(t, c.Probe, "who told us looks")
	now += 12 * second
	c, ok = f.Pick(now, probe)
	require.True(t, ok)
	require.Equal(t, Choice{"s0", true}, c, "a safe, cheap request finds out")
	f.AttemptStarted(now, c)
	f.AttemptEnded(now, c, Result{Outcome: Succeeded, Latency: 1000})
	require.Positive(t, share(f, now, "s0"), "own observation overrides")
}

// An adviser that has just restarted has seen little, whatever it says.
func TestAdviserThatHasJustRestarted(t *testing.T) {
	f, now := newFleet(t, 1, 4), 100*second
	f.ApplyGossip(now, "me", GossipSender{"young", second / 2}, []Observation{tell("s0", Unreachable, second/4, "young", 1), tell("s1", Unreachable, second/4, "other", 2)})
	require.Less(t, f.told.FailureWeight(now, "s0"), 0.5)
	require.Positive(t, share(f, now, "s0"))
	require.Positive(t, share(f, now, "s1"), "nor does its hearsay weigh more")
	a := f.ApplyGossip(now, "me", GossipSender{"young", second}, []Observation{tell("s2", Unreachable, 30*second, "young", 1)})
	require.Equal(t, 1, a.Invalid, "it cannot have seen what was before its start")
	require.ErrorContains(t, a.Err, "30s")
}

// Two instances that repeat each other's hearsay do not make it stronger, nor younger.
func TestHearsayDoesNotGrow(t *testing.T) {
	a, b, now := newFleet(t, 1, 2), newFleet(t, 2, 2), 100*second
	a.ApplyGossip(now, "a", GossipSender{"old", 1000 * second}, []Observation{tell("s0", Unreachable, 0, "old", 1)})
	first := a.told.FailureWeight(now, "s0")
	last := first
	for range 30 {
		now += second / 2
		b.ApplyGossip(now, "b", GossipSender{"a", 500 * second}, a.ComposeGossip(now, "a", 100))
		a.ApplyGossip(now, "a", GossipSender{"b", 500 * second}, b.ComposeGossip(now, "b", 100))
		require.LessOrEqual(t, a.told.FailureWeight(now, "s0"), last)
		require.Less(t, b.told.FailureWeight(now, "s0"), a.told.FailureWeight(now, "s0"))
		last = a.told.FailureWeight(now, "s0")
	}
	require.InEpsilon(t, first*math.Exp2(-1.5), last, 0.01, "it fades as if it had been told once")
	require.Equal(t, 1, a.told.Len())
}

// News older than a server's return is none, whoever saw the return, and in whichever order the news comes.
func TestNewsOlderThanTheReturn(t *testing.T) {
	for _, backFirst := range []bool{true, false} {
		f, now := newFleet(t, 1, 3), 100*second
		facts := []Observation{tell("s0", Recovered, 2*second, "x", 1), tell("s0", Unreachable, 5*second, "y", 1)}
		if !backFirst {
			facts[0], facts[1] = facts[1], facts[0]
		}
		f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, facts)
		require.Zero(t, f.told.FailureWeight(now, "s0"))
		f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, []Observation{tell("s0", Unreachable, second, "y", 1)})
		require.Positive(t, f.told.FailureWeight(now, "s0"), "it has died again since")
	}
	f, now := newFleet(t, 1, 3), 100*second // our own sight of it
	try(f, now-10*second, "s0", ConnectFailed)
	try(f, now-3*second, "s0", Succeeded)
	a := f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, []Observation{tell("s0", Unreachable, 5*second, "x", 1)})
	require.Equal(t, GossipResult{Stale: 1}, a)
}

// A server that is bad for one instance only stays in use by those that see it themselves.
func TestBadLinkOfOneInstance(t *testing.T) {
	f, now := newFleet(t, 1, 4), 100*second
	for i := range 4 {
		try(f, now, fmt.Sprintf("s%d", i), Succeeded)
	}
	f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, []Observation{tell("s0", Unreachable, 0, "x", 1), tell("s0", TypicalLatency, 0, "x", 1)})
	require.InDelta(t, 0.25, share(f, now, "s0"), 0.05)
	// And a fresh one weighs it against those that see it well.
	g := newFleet(t, 2, 4)
	g.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, []Observation{tell("s0", Unreachable, 0, "x", 1)})
	g.ApplyGossip(now, "me", GossipSender{"y", 1000 * second}, f.ComposeGossip(now, "y", 100))
	try(f, now, "s0", Succeeded)
	g.ApplyGossip(now, "me", GossipSender{"z", 1000 * second}, []Observation{tell("s0", Reachable, 0, "z", 1)})
	require.Positive(t, share(g, now, "s0"))
}

// What lies out of bounds is refused, and nothing grows.
func TestFaultyAdvice(t *testing.T) {
	f, now := newFleet(t, 1, 4), 100*second
	good := tell("s0", Unreachable, second, "x", 1)
	for name, spoil := range map[string]func(*Observation){
		"age": func(x *Observation) { x.Age = -1 }, "old": func(x *Observation) { x.Age = MaxAge + 1 }, "kind": func(x *Observation) { x.Kind = 99 },
		"no kind": func(x *Observation) { x.Kind = 0 }, "hops": func(x *Observation) { x.Hops = 99 }, "below": func(x *Observation) { x.Hops = -1 },
		"evidence": func(x *Observation) { x.Evidence = math.NaN() }, "endless": func(x *Observation) { x.Evidence = math.Inf(1) }, "none": func(x *Observation) { x.Evidence = 0 },
		"name": func(x *Observation) { x.Endpoint = "" }, "long": func(x *Observation) { x.Source = string(make([]byte, 65)) },
		"value": func(x *Observation) { x.Kind, x.Value = TypicalLatency, math.Inf(1) }, "own at one hand": func(x *Observation) { x.Hops = 0 },
	} {
		x := good
		spoil(&x)
		a := f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, []Observation{x})
		require.Equal(t, 1, a.Invalid, name)
		require.Error(t, a.Err, name)
	}
	require.Equal(t, 1, f.ApplyGossip(now, "me", GossipSender{"x", -1}, []Observation{good}).Invalid)
	var many []Observation
	for i := range 100_000 {
		many = append(many, tell(fmt.Sprintf("s%d", i%1000), Unreachable, second, fmt.Sprintf("z%d", i), 2))
	}
	a := f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, many)
	require.Equal(t, 100_000-400, a.Ignored)
	require.LessOrEqual(t, f.told.Len(), 4*sourcesMost)
	f.Remove("s0")
	f.ExpireGossip(now)
	require.Empty(t, f.told.of("s0", Unreachable))
	f.ExpireGossip(now + 2*MaxAge)
	require.Zero(t, f.told.Len())
}

// A snapshot stays as it is while the loop goes on.
func TestSnapshotStays(t *testing.T) {
	f, now := newFleet(t, 1, 2), 100*second
	f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, []Observation{tell("s0", Unreachable, 0, "x", 1)})
	before := f.GossipSnapshot()
	f.ApplyGossip(now, "me", GossipSender{"x", 1000 * second}, []Observation{tell("s1", Unreachable, 0, "x", 1)})
	require.Equal(t, []int{1, 2}, []int{before.Len(), f.GossipSnapshot().Len()})
}

func TestConfigIsChecked(t *testing.T) {
	for name, c := range map[string]Config{"classes": {}, "suspect_after": {Classes: 1, SuspectAfterFailures: 9}, "probe_first": {Classes: 1, InitialProbeBackoff: -1},
		"warm_from": {Classes: 1, SlowStartShare: 2}, "eject_most": {Classes: 1, MaxEjectedShare: 1}, "limit_first": {Classes: 1, InitialConcurrency: 999},
		"hearsay_keep": {Classes: 1, GossipHopFactor: 1}} {
		require.ErrorContains(t, c.Validate(), name)
	}
}

// Whatever happens in whatever order, what is open is never negative, limits hold, nobody is picked who left, and the
// same calls give the same picks.
func TestFleetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, _ := New(Config{Classes: 1}, 7)
		b, _ := New(Config{Classes: 1}, 7)
		now := second
		for i := range 4 {
			a.Add(now, fmt.Sprint(i))
			b.Add(now, fmt.Sprint(i))
		}
		open := map[string]int{}
		var out []Choice
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += microtime.Time(rapid.IntRange(0, 500_000).Draw(t, "wait"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				q := Request{Idempotent: rapid.Bool().Draw(t, "safe"), Cheap: true}
				c, ok := a.Pick(now, q)
				d, ok2 := b.Pick(now, q)
				require.Equal(t, []any{c, ok}, []any{d, ok2})
				if !ok {
					continue
				}
				v := view(a, now, c.Endpoint)
				require.NotEqual(t, Draining, v.State)
				require.False(t, c.Probe && !q.Idempotent)
				require.Zero(t, v.RetryAfter*microtime.Time(len(c.Endpoint)))
				require.True(t, c.Probe || open[c.Endpoint] == 0 || float64(open[c.Endpoint]) < v.ConcurrencyLimit)
				a.AttemptStarted(now, c)
				b.AttemptStarted(now, c)
				open[c.Endpoint]++
				out = append(out, c)
			case 2, 3:
				if len(out) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				r := Result{Outcome: Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")), Latency: 1000, RetryAfter: 200_000}
				a.AttemptEnded(now, out[i], r)
				b.AttemptEnded(now, out[i], r)
				open[out[i].Endpoint]--
				out = append(out[:i], out[i+1:]...)
			default:
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "server"))
				a.MarkDraining(now, name)
				b.MarkDraining(now, name)
			}
			for name, n := range open {
				require.Equal(t, n, view(a, now, name).InFlight)
			}
		}
	})
}

// A machine that is gone without a word is suspect as soon as it has said nothing for some times what requests take,
// though its tries have not ended; a busy one that answers is not.
func TestSilenceIsNoticed(t *testing.T) {
	f, now := newFleet(t, 1, 4), 10*second
	for i := range 200 {
		try(f, now, fmt.Sprintf("s%d", i%4), Succeeded)
	}
	patience := f.SilenceTimeout()
	require.Equal(t, 300*microtime.Millisecond, patience)
	f.AttemptStarted(now, Choice{Endpoint: "s0"})
	f.AttemptStarted(now, Choice{Endpoint: "s1"})
	now += patience - 1
	f.AttemptEnded(now, Choice{Endpoint: "s1"}, Result{Outcome: Succeeded, Latency: patience})
	f.AttemptStarted(now, Choice{Endpoint: "s1"})
	require.Positive(t, share(f, now, "s0"))
	now += 2
	f.Pick(now, Request{})
	require.Equal(t, Suspect, view(f, now, "s0").State)
	require.Equal(t, Up, view(f, now, "s1").State)
	now += second
	c, ok := f.Pick(now, probe)
	require.True(t, ok && c.Probe && c.Endpoint == "s0", "its stuck try is no bar to a probe")
}

// One slow answer does not keep a server out for good.
func TestPeaksFade(t *testing.T) {
	f, now := newFleet(t, 1, 4), 10*second
	for i := range 200 {
		try(f, now, fmt.Sprintf("s%d", i%4), Succeeded)
	}
	f.AttemptStarted(now, Choice{Endpoint: "s0"})
	f.AttemptEnded(now, Choice{Endpoint: "s0"}, Result{Outcome: Succeeded, Latency: 2 * second})
	require.Less(t, share(f, now, "s0"), 0.02)
	n := 0
	for range 4000 {
		if c, ok := f.Pick(now, Request{Idempotent: true}); ok && c.Endpoint == "s0" {
			n++
		}
	}
	require.Greater(t, n, 12, "a safe request now and then finds out")
	for i := 1; i < 4; i++ {
		try(f, now+20*second, fmt.Sprintf("s%d", i), Succeeded)
	}
	require.Less(t, f.expected(now+30*second, f.byName["s0"], 0), f.expected(now, f.byName["s0"], 0)/5)
}
