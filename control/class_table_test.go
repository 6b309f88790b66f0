package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Where all classes tie none is best effort: a single lane by due start.
func TestNoBestEffortAmongEquals(t *testing.T) {
	controller, err := New(Settings{Cores: 1, Classes: []Class{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
	}})
	require.NoError(t, err)
	for i, class := range controller.classes.all {
		if class.bestEffort {
			t.Errorf("class %d is best effort among equals", i)
		}
	}
}

// A class that keeps number and name keeps its state, one that has another number inherits what was learned under its
// name, and a new one starts from its objective.
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
	require.Same(t, classA, table.mostValuable(), "the other one is retired")
}
