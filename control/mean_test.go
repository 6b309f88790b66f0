package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The first samples weigh as much as the count that the mean starts from says, the later ones less and less.
func TestRunningMeanStartsFromItsGuess(t *testing.T) {
	mean := runningMean{count: 3, value: 1}
	mean.add(5)
	require.Equal(t, runningMean{count: 4, value: 2}, mean)
}

// A mean looks back on no more samples than it is told: it comes within a hundredth of what is new after five times as
// many.
func TestRunningMeanForgets(t *testing.T) {
	mean := runningMean{count: 1000, value: 1}
	for range 50 {
		mean.addWithin(3, 10)
	}
	require.Equal(t, 10.0, mean.count)
	require.InDelta(t, 3, mean.value, 0.02)
}

// A gauge follows its samples within limitStepInterval.
func TestSmoothedFollowsItsSamples(t *testing.T) {
	gauge := 0.0
	for range int(limitStepInterval / tickInterval) {
		gauge = smoothed(gauge, 1)
	}
	require.InDelta(t, 0.63, gauge, 0.03)
}
