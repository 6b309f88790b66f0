package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// If all classes have the same weight, none is best effort: all requests are in one lane, ordered by due start.
func TestNoBestEffortAmongEqualWeights(t *testing.T) {
	controller, err := New(Settings{Cores: 1, Classes: []Class{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
	}})
	require.NoError(t, err)
	for i, class := range controller.classes.all {
		if class.bestEffort {
			t.Errorf("class %d is best effort though all weights are equal", i)
		}
	}
}

// A class that keeps its index and its name keeps its state. A class that has changed its index inherits the statistics
// under its name. The estimates of a new class are derived from its latency objective.
func TestClassesAreReconfigured(t *testing.T) {
	var table classTable
	settings := Settings{Classes: []Class{
		{Name: "a", LatencyObjective: time.Second, Weight: 1},
		{Name: "b", LatencyObjective: time.Second, Weight: 2},
	}}
	table.configure(&settings)
	classA, classB := table.all[0], table.all[1]
	require.True(t, classA.bestEffort)
	require.False(t, classB.bestEffort)
	classB.slot, classB.recentOutcomes = runningMean{500, 0.3}, 7
	settings.Classes = []Class{
		{Name: "a", LatencyObjective: time.Second, Weight: 3},
		{Name: "c", LatencyObjective: time.Second, Weight: 1},
		{Name: "b", LatencyObjective: time.Second, Weight: 4, Retired: true},
	}
	table.configure(&settings)
	require.Same(t, classA, table.all[0])
	require.Equal(t, 3.0, classA.Weight)
	require.False(t, classA.bestEffort)
	require.Equal(t, runningMean{assumedSamples, 0.125}, table.all[1].slot)
	require.True(t, table.all[1].bestEffort)
	require.Equal(t, runningMean{500, 0.3}, table.all[2].slot)
	require.Zero(t, table.all[2].recentOutcomes)
	require.Len(t, table.active, 2)
	require.Same(t, classA, table.mostValuable(), "the class of the highest weight is retired")
}
