package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The service time may outgrow the mean latency: the budget keeps a share of the objective, and objectives their order.
func TestBudgetStaysPositive(t *testing.T) {
	controller, err := New(Settings{Cores: 2, Classes: []Class{
		{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1},
		{LatencyObjective: 3 * time.Second, Deadline: 8 * time.Second, Weight: 1},
	}})
	require.NoError(t, err)
	for _, class := range controller.classes.all {
		for i := range int(priorSamples) {
			class.latencies = append(class.latencies, 1+float64(i%10))
		}
		class.service.value = 6
	}
	controller.fitBudgets()
	short, long := controller.classes.all[0].queueBudget, controller.classes.all[1].queueBudget
	if short <= 0 || long <= short {
		t.Errorf("budgets %v and %v: want both positive and in the order of the objectives", short, long)
	}
}

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

// The fitted law decides from the first completion: a thin class rests on the prior, near-exponential latency, and
// moves to its own CV as completions come.
func TestThinClassIsFitted(t *testing.T) {
	controller, err := New(Settings{Cores: 2, Classes: []Class{
		{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1},
	}})
	require.NoError(t, err)
	class := controller.classes.all[0]
	controller.fitBudgets()
	want := meanLatencyBudget(1, class.LatencyObjective, class.Deadline) - seconds(class.service.value)
	if class.queueBudget != want || want >= class.LatencyObjective {
		t.Fatalf("budget %v without completions, want %v, under the objective", class.queueBudget, want)
	}
	last := class.queueBudget
	for completions := 1; completions <= sampleWindow; completions *= 10 {
		for len(class.latencies) < completions {
			class.latencies = append(class.latencies, 0.9+0.2*float64(len(class.latencies)%2)) // A CV of about 0.1.
		}
		controller.fitBudgets()
		if class.queueBudget <= last {
			t.Errorf("%d completions of little spread leave the budget at %v, was %v",
				completions, class.queueBudget, last)
		}
		last = class.queueBudget
	}
}

// The disengagement curve is zero up to the objective, one from the deadline on and linear between them; few samples
// are drawn towards the prior.
func TestDisengagementOfLatencies(t *testing.T) {
	class := newClassState(Class{LatencyObjective: time.Second, Deadline: 3 * time.Second})
	for range 25 {
		class.addLatency(time.Second)
		class.addLatency(2 * time.Second)
		class.addLatency(3 * time.Second)
		class.addLatency(4 * time.Second)
	}
	class.measure()
	prior := disengagementTarget * (minTargetRatio + maxTargetRatio) / 2
	require.InDelta(t, (0.625+prior)/2, class.disengagement, 1e-9, "as many samples as the prior weighs")
	require.InDelta(t, (0.4472+1)/2, class.cv, 1e-4)
	class.rejectedShare.value = 0.25
	require.InDelta(t, class.disengagement+0.25, class.missedShare(), 1e-9)
}

// No more than the last completions are kept.
func TestLatenciesAreKeptForTheWindow(t *testing.T) {
	class := newClassState(Class{LatencyObjective: time.Second, Deadline: 3 * time.Second})
	for i := range sampleWindow + 10 {
		class.addLatency(time.Duration(i) * time.Second)
	}
	require.Len(t, class.latencies, sampleWindow)
	require.Equal(t, 10.0, class.latencies[0])
}

// A hint scales one half of the expected slot time, by no more than four times the mean hint.
func TestSlotTimeFollowsTheHint(t *testing.T) {
	class := newClassState(Class{LatencyObjective: time.Second, Deadline: 3 * time.Second})
	class.slot.value = 0.2
	require.Equal(t, 0.2, class.slotSeconds(time.Second), "no mean hint")
	class.costHint.add(0.1)
	require.Equal(t, 0.2, class.slotSeconds(0), "no hint")
	require.InDelta(t, 0.2, class.slotSeconds(100*time.Millisecond), 1e-9)
	require.InDelta(t, 0.3, class.slotSeconds(200*time.Millisecond), 1e-9)
	require.InDelta(t, 0.5, class.slotSeconds(time.Minute), 1e-9)
}

// An answer is of use within the objective, which the request's own work may stretch, and never after it is due.
func TestUsefulUntil(t *testing.T) {
	class := newClassState(Class{LatencyObjective: time.Second, ObjectiveStretch: 2, Deadline: 3 * time.Second})
	tests := []struct {
		name string
		req  request
		want time.Duration
	}{
		{"first attempt", request{}, 11 * time.Second},
		{"retry", request{RequestArrived: RequestArrived{Retry: true}}, 10700 * time.Millisecond},
		{"long work", request{RequestArrived: RequestArrived{CostHint: 500 * time.Millisecond}}, 12 * time.Second},
		{"longest work", request{RequestArrived: RequestArrived{CostHint: time.Minute}}, 13 * time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tc.req.arrivedAt, tc.req.dueAt = 10*time.Second, 13*time.Second
			require.Equal(t, tc.want, class.usefulUntil(&tc.req))
		})
	}
}

// The queue is in the order in which requests reached the machine, whenever they were read.
func TestQueueOrder(t *testing.T) {
	class := newClassState(Class{})
	first, second, third := &request{arrivedAt: 1}, &request{arrivedAt: 2}, &request{arrivedAt: 2}
	class.enqueue(second)
	class.enqueue(third)
	class.enqueue(first)
	require.Equal(t, []*request{first, second, third}, class.queue)
	class.dequeue(second)
	require.Len(t, class.queue, 2)
	require.Same(t, third, class.queue[1])
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
