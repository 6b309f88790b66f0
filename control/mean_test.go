package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The initial value of the mean has the weight of its initial count of samples.
func TestRunningMeanWeighsInitialValue(t *testing.T) {
	mean := runningMean{count: 3, value: 1}
	mean.add(5)
	require.Equal(t, runningMean{count: 4, value: 2}, mean)
}

// A mean is based on about maxCount samples: after a change, five times as many samples move it to within one hundredth
// of the change from the new value.
func TestRunningMeanWindow(t *testing.T) {
	mean := runningMean{count: 1000, value: 1}
	for range 50 {
		mean.addWithin(3, 10)
	}
	require.Equal(t, 10.0, mean.count)
	require.InDelta(t, 3, mean.value, 0.02)
}

// A smoothed gauge covers 63 % of a change within limitStepInterval.
func TestSmoothedFollowsItsSamples(t *testing.T) {
	gauge := 0.0
	for range int(limitStepInterval / tickInterval) {
		gauge = smoothed(gauge, 1)
	}
	require.InDelta(t, 0.63, gauge, 0.03)
}
