package loadbalancer

import (
	"math"

	"pewterline/internal/microtime"
)

// The histogram has logarithmic buckets: four for each doubling of the latency, from 64 microseconds.
const (
	histogramBuckets   = 72
	firstBucketLog2    = 6
	bucketsPerDoubling = 4.0
)

const (
	// histogramRetention is the factor by which the older counts decay with each observation.
	histogramRetention = 0.98
	// maxHistogramWeight is the weight of an observation above which all counts are scaled down, as float32 would lose
	// precision.
	maxHistogramWeight = 1e6
	// meanSmoothing is the weight of a new observation in the exponentially weighted mean.
	meanSmoothing = 0.1
	// peakDecay is the weight in the peak of an observation that is lower than the peak.
	peakDecay = 0.05
)

// latencyStats describes recent latencies: a mean, a peak that rises at once and falls slowly (as in Finagle's peak
// EWMA balancer), and a histogram whose counts decay exponentially.
type latencyStats struct {
	count int
	mean  float64 // microseconds
	peak  float64 // microseconds
	// weight is the weight of the last observation in the histogram. It grows with each observation, which has the same
	// effect as decaying all counts.
	weight  float32
	total   float32                   // sum of the weighted counts
	buckets [histogramBuckets]float32 // weighted counts
}

func bucketIndex(micros float64) int {
	return min(max(int(bucketsPerDoubling*(math.Log2(max(micros, 1))-firstBucketLog2)), 0), histogramBuckets-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(index int) microtime.Time {
	return microtime.Time(math.Exp2(firstBucketLog2 + float64(index+1)/bucketsPerDoubling))
}

// add records a latency in microseconds.
func (s *latencyStats) add(micros float64) {
	if s.count == 0 {
		s.mean = micros
		s.peak = micros
		s.weight = 1
	}
	s.count++
	s.mean += meanSmoothing * (micros - s.mean)
	if micros > s.peak {
		s.peak = micros
	} else {
		s.peak += peakDecay * (micros - s.peak)
	}
	s.weight /= histogramRetention
	if s.weight > maxHistogramWeight {
		s.rescale()
	}
	s.buckets[bucketIndex(micros)] += s.weight
	s.total += s.weight
}

// rescale divides all counts by the weight, so that the weight becomes 1.
func (s *latencyStats) rescale() {
	for i := range s.buckets {
		s.buckets[i] /= s.weight
	}
	s.total /= s.weight
	s.weight = 1
}

// merge adds the histogram and the count of other. The mean and the peak of s do not change.
func (s *latencyStats) merge(other *latencyStats) {
	if other.count == 0 {
		return
	}
	s.count += other.count
	for i, weightedCount := range other.buckets {
		s.buckets[i] += weightedCount / other.weight
		s.total += weightedCount / other.weight
	}
}

// quantile returns the upper bound of the bucket that contains the quantile, or 0 if nothing was observed.
func (s *latencyStats) quantile(quantile float64) microtime.Time {
	if s.count == 0 {
		return 0
	}
	remaining := float32(quantile) * s.total
	for i, weightedCount := range s.buckets {
		remaining -= weightedCount
		if remaining <= 0 && weightedCount > 0 {
			return bucketEnd(i)
		}
	}
	return bucketEnd(histogramBuckets - 1)
}
