package control

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mathext"
)

// The latency law is the generalized exponential distribution F(x) = (1 - e^(-x/scale))^shape. It gives the largest
// mean latency at which a class meets the disengagement target.
const (
	// disengagementTarget is the largest acceptable share of disengaged users in a class.
	disengagementTarget = 0.01
	// minTargetRatio and maxTargetRatio bound the ratio of disengagement to target at which the bisection accepts a mean.
	minTargetRatio = 0.95
	maxTargetRatio = 0.98
	// bisectionPrecision is the bracket width, as a share of the deadline, at which the bisection of the mean stops.
	bisectionPrecision = 1.0 / 4096
	// integrationSteps is the number of integration steps over the disengagement curve. It keeps the relative error below
	// maxTargetRatio-minTargetRatio.
	integrationSteps = 64
	// shapeBisections is the number of bisection steps for the logarithm of the shape: enough to exhaust its precision.
	shapeBisections = 60
	// minCV and maxCV bound the coefficient of variation: lower values arise by chance, higher ones from outliers.
	minCV = 0.1
	maxCV = 3.0
)

// shapeForCV returns the shape parameter of the law with the given coefficient of variation (CV). The CV falls as the
// shape grows and does not depend on the scale.
func shapeForCV(cv float64) float64 {
	cv = clamp(cv, minCV, maxCV)
	low, high := -12.0, 40.0 // Bounds of the logarithm of the shape, for every CV from minCV to maxCV.
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

// unitMoments returns the mean and the variance of the law with the given shape and a scale of one.
func unitMoments(shape float64) (mean, variance float64) {
	return mathext.Digamma(shape+1) - mathext.Digamma(1), mathext.Zeta(2, 1) - mathext.Zeta(2, shape+1)
}

// meanLatencyBudget returns the largest mean latency at which a class with this CV meets the disengagement target. It
// is found by bisection over (0, deadline].
func meanLatencyBudget(cv float64, objective, deadline time.Duration) time.Duration {
	shape := shapeForCV(cv)
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
	cdf := func(x float64) float64 { return math.Pow(-math.Expm1(-x/scale), shape) }
	start, end := objective.Seconds(), deadline.Seconds()
	sum, previous := 0.0, cdf(start)
	for step := 1; step <= integrationSteps && end > start; step++ {
		current := cdf(start + (end-start)*float64(step)/integrationSteps)
		sum += (current - previous) * (float64(step) - 0.5) / integrationSteps
		previous = current
	}
	return sum + 1 - previous
}
