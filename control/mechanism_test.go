package control

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// At CV 1 the law is the exponential: shape 1, mean equal to scale.
func TestShapeOfExponential(t *testing.T) {
	if phi := lawShape(1); math.Abs(phi-1) > 1e-6 {
		t.Errorf("shape at CV 1 is %v, want 1", phi)
	}
	if m, v := unitMoments(1); math.Abs(m-1) > 1e-9 || math.Abs(v-1) > 1e-9 {
		t.Errorf("unit moments %v, %v, want 1, 1", m, v)
	}
}

// The fitted law, sampled by inversion, has the CV it was fitted to, at the extremes too.
func TestShapeAgainstSamples(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for _, cv := range []float64{minCV, 0.3, 0.7, 1, 1.5, 2.5} {
		phi := lawShape(cv)
		var sum, sq float64
		const n = 400_000
		for range n {
			x := -math.Log1p(-math.Pow(rng.Float64(), 1/phi))
			sum, sq = sum+x, sq+x*x
		}
		m := sum / n
		if got := math.Sqrt(sq/n-m*m) / m; math.Abs(got-cv) > 0.03*cv {
			t.Errorf("CV %v: samples of the fitted law have %v", cv, got)
		}
	}
}

// For the exponential the sum over the linear curve has a closed form: w/(d-a)·(e^{-a/w} − e^{-d/w}).
func TestDisengagedClosedForm(t *testing.T) {
	a, d := 2*time.Second, 8*time.Second
	for _, w := range []float64{0.3, 0.6, 1, 2} {
		want := w / 6 * (math.Exp(-2/w) - math.Exp(-8/w))
		if got := disengagement(1, w, a, d); math.Abs(got-want) > 0.02*want {
			t.Errorf("scale %v: %v, want %v", w, got, want)
		}
	}
}

// M meets the target within the source's band, or the bracket is under its precision; more spread, less latency.
func TestMeanBudget(t *testing.T) {
	aim, deadline := 2500*time.Millisecond, 9*time.Second
	last := time.Duration(math.MaxInt64)
	for _, cv := range []float64{0.2, 0.5, 0.8, 1, 1.5, 2.5} {
		m := meanLatencyBudget(cv, aim, deadline)
		phi := lawShape(cv)
		unit, _ := unitMoments(phi)
		step := bisectionPrecision * deadline.Seconds()
		over := disengagement(phi, (m.Seconds()+2*step)/unit, aim, deadline)
		under := disengagement(phi, math.Max(m.Seconds()-2*step, 1e-9)/unit, aim, deadline)
		if over < minTargetRatio*disengagementTarget || under > maxTargetRatio*disengagementTarget {
			t.Errorf("CV %v: M %v is off the target: %v to %v", cv, m, under, over)
		}
		if m >= last {
			t.Errorf("CV %v: M %v does not fall with the spread", cv, m)
		}
		last = m
	}
}

// S may outgrow M: the budget keeps a share of the aim, and aims their order.
func TestBudgetStaysPositive(t *testing.T) {
	c, err := New(Settings{Cores: 2, Classes: []Class{
		{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1},
		{LatencyObjective: 3 * time.Second, Deadline: 8 * time.Second, Weight: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range c.classes.all {
		for i := range int(priorSamples) {
			k.latencies = append(k.latencies, 1+float64(i%10))
		}
		k.service.value = 6
	}
	c.fitBudgets()
	if a, b := c.classes.all[0].queueBudget, c.classes.all[1].queueBudget; a <= 0 || b <= a {
		t.Errorf("budgets %v and %v: want both positive and in the order of the aims", a, b)
	}
}

// Alpha grows by a quarter while the worst class misses its target and falls by gamma over the mean CV else.
func TestAlpha(t *testing.T) {
	c, _ := New(Settings{Cores: 2, Classes: []Class{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 2}}})
	if !c.classes.all[0].bestEffort || c.classes.all[1].bestEffort {
		t.Fatal("the lowest worth is best effort, the other is not")
	}
	k := c.classes.all[1]
	for i := range int(priorSamples) {
		k.latencies = append(k.latencies, 0.1+0.1*float64(i%2))
	}
	before := c.lanes.priorityShare
	c.fitBudgets()
	// A tenth of the window is filled: a tenth of a step.
	if want := before - priorityShareStep/k.cv/10; math.Abs(c.lanes.priorityShare-want) > 1e-9 {
		t.Errorf("alpha %v after spare time, want %v", c.lanes.priorityShare, want)
	}
	for i := range k.latencies {
		k.latencies[i] = 3
	}
	c.lanes.priorityShare, before = 0.5, 0.5
	c.fitBudgets()
	if want := before * (1 + priorityShareGrowth/10); math.Abs(c.lanes.priorityShare-want) > 1e-9 {
		t.Errorf("alpha %v after a missed target, want %v", c.lanes.priorityShare, want)
	}
	// Who is turned away has missed the target, however good the latencies of the others are.
	for i := range k.latencies {
		k.latencies[i] = 0.1 + 0.1*float64(i%2)
	}
	c.lanes.priorityShare, before = 0.6, 0.6
	for id := RequestID(1); id <= 4; id++ {
		c.handle(RequestArrived{ID: id, Class: 1, QueuedKB: 1})
		c.reject(c.requests.byID[id], false)
	}
	c.fitBudgets()
	if want := before * (1 + priorityShareGrowth/10); math.Abs(c.lanes.priorityShare-want) > 1e-9 {
		t.Errorf("alpha %v after four were turned away, want %v", c.lanes.priorityShare, want)
	}
}

// Where all classes tie none is best effort: a single lane by due time.
func TestNoBestEffortAmongEquals(t *testing.T) {
	c, _ := New(Settings{Cores: 1, Classes: []Class{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1}, {LatencyObjective: time.Second,
			Deadline: 4 * time.Second, Weight: 1}}})
	for i, k := range c.classes.all {
		if k.bestEffort {
			t.Errorf("class %d is best effort among equals", i)
		}
	}
}

// The fitted law decides from the first completion: a thin class rests on the prior, near-exponential latency, and
// moves to its own CV as completions come.
func TestThinClassIsFitted(t *testing.T) {
	c, _ := New(Settings{Cores: 2, Classes: []Class{{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second,
		Weight: 1}}})
	k := c.classes.all[0]
	c.fitBudgets()
	if want := meanLatencyBudget(1, k.LatencyObjective,
		k.Deadline) - seconds(k.service.value); k.queueBudget != want || want >= k.LatencyObjective {
		t.Fatalf("budget %v without completions, want %v, under the aim", k.queueBudget, want)
	}
	for n, last := 1, k.queueBudget; n <= sampleWindow; n *= 10 {
		for len(k.latencies) < n {
			k.latencies = append(k.latencies, 0.9+0.2*float64(len(k.latencies)%2)) // CV about 0.1
		}
		c.fitBudgets()
		if k.queueBudget <= last {
			t.Errorf("%d completions of little spread leave the budget at %v, was %v", n, k.queueBudget, last)
		}
		last = k.queueBudget
	}
}
