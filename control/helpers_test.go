package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestController returns a controller for a server with two cores and two classes: idempotent best-effort requests
// (class 0) and keyed priority requests (class 1). modify, if not nil, changes the settings beforehand.
func newTestController(t *testing.T, modify func(*Settings)) *Controller {
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
	if modify != nil {
		modify(&settings)
	}
	controller, err := New(settings)
	require.NoError(t, err)
	return controller
}

// stepAfter passes the events to Step at the given time after the previous step.
func stepAfter(controller *Controller, elapsed time.Duration, events ...Event) []Action {
	return controller.Step(controller.now+elapsed, events)
}

// countActions counts the actions of type A.
func countActions[A Action](actions []Action) (count int) {
	for _, action := range actions {
		if _, ok := action.(A); ok {
			count++
		}
	}
	return count
}
