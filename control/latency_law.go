package control

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mathext"
)

// The generalized exponential law F(x) = (1 - e^(-x/scale))^shape of latencies, and the largest mean latency at which
// it meets the disengagement target.
const (
	// disengagementTarget is the share of disengaged users that a class may suffer.
	disengagementTarget = 0.01
	// minTargetRatio and maxTargetRatio bound the ratio of disengagement to target at which the bisection accepts a mean.
	minTargetRatio = 0.95
	maxTargetRatio = 0.98
	// bisectionPrecision is the bracket width, as a share of the deadline, at which the bisection of the mean stops.
	bisectionPrecision = 1.0 / 4096
	// curveSteps is the number of integration steps; the relative error stays below maxTargetRatio-minTargetRatio.
	curveSteps = 64
	// shapeBisections is the number of halvings of the bracket of the shape's logarithm, which exhaust its precision.
	shapeBisections = 60
	// minCV and maxCV bound the coefficient of variation: values below are chance, values above are due to outliers.
	minCV = 0.1
	maxCV = 3.0
)

// lawShape returns the shape parameter of the law with the given coefficient of variation. The CV falls as the shape
// grows and does not depend on the scale.
func lawShape(cv float64) float64 {
	cv = clamp(cv, minCV, maxCV)
	low, high := -12.0, 40.0 // The logarithm of the shape: covers every CV between the bounds.
	for range shapeBisections {
		middle := (low + high) / 2
		if mean, variance := unitMoments(math.Exp(middle)); math.Sqrt(variance)/mean > cv {
			low = middle
		} else {
			high = middle
		}
	}
	return math.Exp((low + high) / 2)
}

// unitMoments returns mean and variance of the law with the given shape and a scale of one.
func unitMoments(shape float64) (mean, variance float64) {
	return mathext.Digamma(shape+1) - mathext.Digamma(1), mathext.Zeta(2, 1) - mathext.Zeta(2, shape+1)
}

// meanLatencyBudget is the largest mean latency at which a class of this CV meets the disengagement target, found by
// bisection over (0, deadline].
func meanLatencyBudget(cv float64, objective, deadline time.Duration) time.Duration {
	shape := lawShape(cv)
	unitMean, _ := unitMoments(shape)
	low, high := 0.0, deadline.Seconds()
	for high-low > bisectionPrecision*deadline.Seconds() {
		mean := (low + high) / 2
		ratio := disengagement(shape, mean/unitMean, objective, deadline) / disengagementTarget
		switch {
		case ratio < minTargetRatio:
			low = mean
		case ratio > maxTargetRatio:
			high = mean
		default:
			return seconds(mean)
		}
	}
	return seconds((low + high) / 2)
}

// disengagement integrates the disengagement curve over the law and returns the expected share of disengaged users.
// The curve is zero below the objective, one beyond the deadline and linear between them.
func disengagement(shape, scale float64, objective, deadline time.Duration) float64 {
	distribution := func(x float64) float64 { return math.Pow(-math.Expm1(-x/scale), shape) }
	start, end := objective.Seconds(), deadline.Seconds()
	sum, before := 0.0, distribution(start)
	for step := 1; step <= curveSteps && end > start; step++ {
		reached := distribution(start + (end-start)*float64(step)/curveSteps)
		sum += (reached - before) * (float64(step) - 0.5) / curveSteps
		before = reached
	}
	return sum + 1 - before
}
