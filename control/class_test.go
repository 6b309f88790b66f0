package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The service time may exceed the mean latency budget. The queue budget is then a share of the latency objective, so
// that the classes stay ordered by their objectives.
func TestQueueBudgetStaysPositive(t *testing.T) {
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

// The latency law is fitted from the first completion on. A class with few completions is close to the prior, which is
// an exponential law (CV 1), and moves to its own CV with further completions.
func TestClassWithFewSamplesIsFitted(t *testing.T) {
	controller, err := New(Settings{Cores: 2, Classes: []Class{
		{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1},
	}})
	require.NoError(t, err)
	class := controller.classes.all[0]
	controller.fitBudgets()
	want := meanLatencyBudget(1, class.LatencyObjective, class.Deadline) - seconds(class.service.value)
	if class.queueBudget != want || want >= class.LatencyObjective {
		t.Fatalf("budget %v without completions, want %v, below the objective", class.queueBudget, want)
	}
	previous := class.queueBudget
	for completions := 1; completions <= sampleWindow; completions *= 10 {
		for len(class.latencies) < completions {
			class.latencies = append(class.latencies, 0.9+0.2*float64(len(class.latencies)%2)) // A CV of about 0.1.
		}
		controller.fitBudgets()
		if class.queueBudget <= previous {
			t.Errorf("%d completions of little spread: budget %v, want more than %v",
				completions, class.queueBudget, previous)
		}
		previous = class.queueBudget
	}
}

// The disengagement curve is 0 up to the objective, 1 from the deadline on and linear between them. With few samples,
// the statistics are drawn towards the prior.
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
	require.InDelta(t, (0.625+prior)/2, class.disengagement, 1e-9, "as many samples as the prior counts for")
	require.InDelta(t, (0.4472+1)/2, class.cv, 1e-4)
	class.rejectedShare.value = 0.25
	require.InDelta(t, class.disengagement+0.25, class.missedShare(), 1e-9)
}

// Only the latencies of the last sampleWindow completions are kept.
func TestLatenciesAreKeptForTheWindow(t *testing.T) {
	class := newClassState(Class{LatencyObjective: time.Second, Deadline: 3 * time.Second})
	for i := range sampleWindow + 10 {
		class.addLatency(time.Duration(i) * time.Second)
	}
	require.Len(t, class.latencies, sampleWindow)
	require.Equal(t, 10.0, class.latencies[0])
}

// A cost hint scales one half of the expected slot time. A hint above four times the mean hint counts as four times.
func TestSlotTimeFollowsTheHint(t *testing.T) {
	class := newClassState(Class{LatencyObjective: time.Second, Deadline: 3 * time.Second})
	class.slot.value = 0.2
	require.Equal(t, 0.2, class.slotSeconds(time.Second), "no mean hint yet")
	class.costHint.add(0.1)
	require.Equal(t, 0.2, class.slotSeconds(0), "no hint")
	require.InDelta(t, 0.2, class.slotSeconds(100*time.Millisecond), 1e-9)
	require.InDelta(t, 0.3, class.slotSeconds(200*time.Millisecond), 1e-9)
	require.InDelta(t, 0.5, class.slotSeconds(time.Minute), 1e-9)
}

// An answer earns its full weight within the latency objective, which a cost hint may stretch, and never after the
// deadline.
func TestUsefulUntil(t *testing.T) {
	class := newClassState(Class{LatencyObjective: time.Second, ObjectiveStretch: 2, Deadline: 3 * time.Second})
	tests := []struct {
		name string
		req  request
		want time.Duration
	}{
		{"first attempt", request{}, 11 * time.Second},
		{"retry", request{RequestArrived: RequestArrived{Retry: true}}, 10700 * time.Millisecond},
		{"stretched objective", request{RequestArrived: RequestArrived{CostHint: 500 * time.Millisecond}}, 12 * time.Second},
		{"stretched past deadline", request{RequestArrived: RequestArrived{CostHint: time.Minute}}, 13 * time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tc.req.arrivedAt, tc.req.dueAt = 10*time.Second, 13*time.Second
			require.Equal(t, tc.want, class.usefulUntil(&tc.req))
		})
	}
}

// The queue is ordered by the time at which requests reached the machine, not by the time at which they were read.
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
