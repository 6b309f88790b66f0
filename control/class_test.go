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
