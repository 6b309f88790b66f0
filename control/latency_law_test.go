package control

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// At CV 1 the law is the exponential distribution: the shape is 1 and the mean equals the scale.
func TestShapeOfExponential(t *testing.T) {
	if shape := shapeForCV(1); math.Abs(shape-1) > 1e-6 {
		t.Errorf("shape at CV 1 is %v, want 1", shape)
	}
	if mean, variance := unitMoments(1); math.Abs(mean-1) > 1e-9 || math.Abs(variance-1) > 1e-9 {
		t.Errorf("unit moments %v, %v, want 1, 1", mean, variance)
	}
}

// Samples of the fitted law, drawn by inversion, have the CV that the law was fitted to, also near the bounds.
func TestShapeAgainstSamples(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for _, cv := range []float64{minCV, 0.3, 0.7, 1, 1.5, 2.5} {
		shape := shapeForCV(cv)
		var sum, squares float64
		const samples = 400_000
		for range samples {
			x := -math.Log1p(-math.Pow(rng.Float64(), 1/shape))
			sum += x
			squares += x * x
		}
		mean := sum / samples
		if got := math.Sqrt(squares/samples-mean*mean) / mean; math.Abs(got-cv) > 0.03*cv {
			t.Errorf("CV %v: samples of the fitted law have CV %v", cv, got)
		}
	}
}

// For the exponential distribution, the integral over the linear curve has a closed form:
// scale/(deadline-objective)·(e^{-objective/scale} − e^{-deadline/scale}).
func TestDisengagementClosedForm(t *testing.T) {
	objective, deadline := 2*time.Second, 8*time.Second
	for _, scale := range []float64{0.3, 0.6, 1, 2} {
		want := scale / 6 * (math.Exp(-2/scale) - math.Exp(-8/scale))
		if got := disengagement(1, scale, objective, deadline); math.Abs(got-want) > 0.02*want {
			t.Errorf("scale %v: %v, want %v", scale, got, want)
		}
	}
}

// The budget meets the target to within the accepted ratios (those of UTSLO) or the precision of the bisection, and
// falls as the CV grows.
func TestMeanLatencyBudget(t *testing.T) {
	objective, deadline := 2500*time.Millisecond, 9*time.Second
	last := time.Duration(math.MaxInt64)
	for _, cv := range []float64{0.2, 0.5, 0.8, 1, 1.5, 2.5} {
		budget := meanLatencyBudget(cv, objective, deadline)
		shape := shapeForCV(cv)
		unitMean, _ := unitMoments(shape)
		margin := 2 * bisectionPrecision * deadline.Seconds()
		over := disengagement(shape, (budget.Seconds()+margin)/unitMean, objective, deadline)
		under := disengagement(shape, math.Max(budget.Seconds()-margin, 1e-9)/unitMean, objective, deadline)
		if over < minTargetRatio*disengagementTarget || under > maxTargetRatio*disengagementTarget {
			t.Errorf("CV %v: budget %v misses the target: disengagement %v to %v", cv, budget, under, over)
		}
		if budget >= last {
			t.Errorf("CV %v: budget %v is not below that of the smaller CV", cv, budget)
		}
		last = budget
	}
}
