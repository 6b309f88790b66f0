package loadbalancer

import (
	"math"

	"pewterline/internal/microtime"
)

const (
	buckets   = 72   // of a histogram: from 64 microseconds up, four to each doubling
	firstLog2 = 6    // of the first bucket
	perDouble = 4.0  // buckets
	forget    = 0.98 // part of the counts that is kept from one observation to the next
	smooth    = 0.1  // part of a new observation in the mean
	decay     = 0.05 // part of the way that the peak falls towards a lower observation
)

// latency is what runs took of late: a mean, a peak that rises at once and falls slowly (as the peak EWMA of Finagle's
// load balancers), and a histogram in logarithmic buckets whose counts fade.
type latency struct {
	n          int
	mean, peak float64 // microseconds
	weight     float32 // of the next observation: it grows, in place of all counts fading
	total      float32
	counts     [buckets]float32
}

func bucketOf(us float64) int {
	return min(max(int(perDouble*(math.Log2(max(us, 1))-firstLog2)), 0), buckets-1)
}

func (l *latency) add(us float64) {
	if l.n == 0 {
		l.mean, l.peak, l.weight = us, us, 1
	}
	l.n++
	l.mean += smooth * (us - l.mean)
	if us > l.peak {
		l.peak = us
	} else {
		l.peak += decay * (us - l.peak)
	}
	if l.weight /= forget; l.weight > 1e6 {
		for i := range l.counts {
			l.counts[i] /= l.weight
		}
		l.total /= l.weight
		l.weight = 1
	}
	l.counts[bucketOf(us)] += l.weight
	l.total += l.weight
}

// merge adds what another has seen.
func (l *latency) merge(o latency) {
	if o.n == 0 {
		return
	}
	l.n += o.n
	for i, c := range o.counts {
		l.counts[i] += c / o.weight
		l.total += c / o.weight
	}
}

// quantile is the upper bound of the bucket that holds it; 0 where nothing was seen.
func (l *latency) quantile(q float64) microtime.Time {
	if l.n == 0 {
		return 0
	}
	left := float32(q) * l.total
	for i, c := range l.counts {
		if left -= c; left <= 0 && c > 0 {
			return microtime.Time(math.Exp2(firstLog2 + float64(i+1)/perDouble))
		}
	}
	return microtime.Time(math.Exp2(firstLog2 + buckets/perDouble))
}

// limit is how many requests may be open at a server. It follows the gradient of what they take, as in the
// concurrency limits of Netflix (gradient2): while the recent latency is near the least of late, it rises by a small
// queue; as it grows, the limit falls.
type limit struct {
	most  float64
	least float64 // latency of late, microseconds; drifts up, so that a change for good is taken in
}

const (
	gradientLeast = 0.5
	drift         = 1.002
	tolerance     = 1.5
)

func (l *limit) served(lat latency, open int, most float64) {
	if l.least == 0 || lat.mean < l.least {
		l.least = lat.mean
	}
	l.least *= drift
	gradient := min(1, max(gradientLeast, tolerance*l.least/lat.mean))
	next := l.most*gradient + math.Sqrt(l.most)
	if next > l.most && float64(open) < l.most/2 {
		return // a limit that is not in use has not been shown to be too low
	}
	l.most += 0.2 * (min(max(next, 1), most) - l.most)
}

// refused lowers the limit: the server takes less than we thought.
func (l *limit) refused() { l.most = max(1, 0.9*l.most) }
