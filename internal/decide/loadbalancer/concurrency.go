package loadbalancer

import "math"

const (
	// minGradient is the lower bound of the gradient, which is the factor by which the latency lowers the limit.
	minGradient = 0.5
	// baselineDrift is the factor by which the baseline rises with each success, so that it adapts to lasting changes
	// of the latency.
	baselineDrift = 1.002
	// latencyTolerance is the multiple of the baseline above which the latency lowers the limit.
	latencyTolerance = 1.5
	// limitSmoothing is the weight of the newly computed limit in the moving average.
	limitSmoothing = 0.2
	// rejectionFactor multiplies the limit after a rejection or a failure.
	rejectionFactor = 0.9
)

// concurrencyLimit is how many attempts may be in flight at an endpoint. It follows the gradient of the latency, like
// Gradient2Limit of Netflix's concurrency-limits: while the latency is near its recent minimum, the limit rises by its
// square root; when the latency grows, the limit falls.
type concurrencyLimit struct {
	limit    float64
	baseline float64 // recent minimum of the mean latency, in microseconds; 0 before the first success
}

// recordSuccess adapts the limit to the mean latency. inFlight is the number of other attempts at the endpoint.
func (l *concurrencyLimit) recordSuccess(meanLatency float64, inFlight int, maxLimit float64) {
	if l.baseline == 0 || meanLatency < l.baseline {
		l.baseline = meanLatency
	}
	l.baseline *= baselineDrift
	gradient := min(1, max(minGradient, latencyTolerance*l.baseline/meanLatency))
	newLimit := l.limit*gradient + math.Sqrt(l.limit)
	if newLimit > l.limit && float64(inFlight) < l.limit/2 {
		return // The limit is not in use, so the latency does not show that it is too low.
	}
	l.limit += limitSmoothing * (min(max(newLimit, 1), maxLimit) - l.limit)
}

// decrease lowers the limit after a rejection or a failure, as the endpoint has less capacity than assumed.
func (l *concurrencyLimit) decrease() { l.limit = max(1, rejectionFactor*l.limit) }
