package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestController returns the controller of a small server with two classes, idempotent best effort and keyed
// priority requests, after change was made to its settings.
func newTestController(t *testing.T, change func(*Settings)) *Controller {
	t.Helper()
	settings := Settings{
		Cores: 2, MemoryKB: 10_000, KeyKB: 100, RunningMemoryFactor: 4, MaxConcurrencyPerCore: 6,
		MaxRetryAfter: time.Second,
		Classes: []Class{
			{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1, MakesCalls: true},
			{LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 4, MakesCalls: true,
				Idempotency: IdempotentByKey, RetentionWindow: 30 * time.Second},
		},
	}
	if change != nil {
		change(&settings)
	}
	controller, err := New(settings)
	require.NoError(t, err)
	return controller
}

// stepAfter plays the events some time after the last step.
func stepAfter(controller *Controller, after time.Duration, events ...Event) []Action {
	return controller.Step(controller.now+after, events)
}

// countActions counts the actions of one type.
func countActions[A Action](actions []Action) (count int) {
	for _, action := range actions {
		if _, ok := action.(A); ok {
			count++
		}
	}
	return count
}
