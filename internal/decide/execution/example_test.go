package execution_test

import (
	"fmt"

	"pewterline/internal/decide/execution"
)

// A request runs under the execution lease of its key. Recording its result fails at first, and succeeds on the retry.
func ExampleLifecycle() {
	var lifecycle execution.Lifecycle
	for _, event := range []execution.Event{
		execution.EventAttemptArrived,
		execution.EventLeaseGranted,
		execution.EventRunSucceeded,
		execution.EventUnavailable,
		execution.EventRetryDue,
		execution.EventResultFound,
	} {
		actions := lifecycle.Step(event)
		fmt.Printf("%v: %v, now %v\n", event, actions, lifecycle.State)
	}
	// Output:
	// attempt arrived: [acquire lease], now acquiring
	// lease granted: [start], now running
	// run succeeded: [record], now recording
	// unavailable: [report unrecorded retry later], now unrecorded
	// retry due: [record], now recording
	// result found: [serve], now recorded
}
