package loadbalancer

import "math"

const (
	// minGradient bounds how fast the limit falls.
	minGradient = 0.5
	// baselineDrift lets the baseline latency rise with each success, so that a lasting change is accepted.
	baselineDrift = 1.002
	// latencyTolerance is how far the latency may rise over the baseline before the limit falls.
	latencyTolerance = 1.5
	// limitSmoothing is the part of the way that the limit goes towards its new value.
	limitSmoothing = 0.2
	// rejectionFactor is the part of the limit that is left after a rejection or a failure.
	rejectionFactor = 0.9
)

// concurrencyLimit is how many attempts may be in flight at an endpoint. It follows the gradient of the latency, as
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
		return // A limit that is not used up has not been shown to be too low.
	}
	l.limit += limitSmoothing * (min(max(next, 1), maxLimit) - l.limit)
}

// decrease lowers the limit after a rejection or a failure: the endpoint has less capacity than was assumed.
func (l *concurrencyLimit) decrease() { l.limit = max(1, rejectionFactor*l.limit) }
