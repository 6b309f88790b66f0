package loadbalancer

import "math"

const (
	// minGradient bounds the factor by which the limit falls.
	minGradient = 0.5
	// baselineDrift is the factor by which the baseline rises with each success, so that it adapts to lasting changes.
	baselineDrift = 1.002
	// latencyTolerance is the multiple of the baseline up to which the latency does not lower the limit.
	latencyTolerance = 1.5
	// limitSmoothing is the weight of the new value in the limit.
	limitSmoothing = 0.2
	// rejectionFactor is the factor of the limit after a rejection or a failure.
	rejectionFactor = 0.9
)

// concurrencyLimit is how many attempts may be in flight at an endpoint. It follows the gradient of the latency, like
// gradient2 of Netflix's concurrency-limits: while the latency is near its recent minimum, the limit rises by its
// square root; as the latency grows, it falls.
type concurrencyLimit struct {
	limit    float64
	baseline float64 // recent minimum of the mean latency, in microseconds; 0 before the first success
}

// recordSuccess adapts the limit to the mean latency, with inFlight further attempts at the endpoint.
func (l *concurrencyLimit) recordSuccess(meanLatency float64, inFlight int, maxLimit float64) {
	if l.baseline == 0 || meanLatency < l.baseline {
		l.baseline = meanLatency
	}
	l.baseline *= baselineDrift
	gradient := min(1, max(minGradient, latencyTolerance*l.baseline/meanLatency))
	next := l.limit*gradient + math.Sqrt(l.limit)
	if next > l.limit && float64(inFlight) < l.limit/2 {
		return // Latencies at low concurrency do not show that the limit is too low.
	}
	l.limit += limitSmoothing * (min(max(next, 1), maxLimit) - l.limit)
}

// decrease lowers the limit after a rejection or a failure: the endpoint has less capacity than was assumed.
func (l *concurrencyLimit) decrease() { l.limit = max(1, rejectionFactor*l.limit) }
