package control_test

import (
	"fmt"
	"time"

	"pewterline/control"
)

// A server with one core receives two requests. It starts the first, queues the second and starts it when the first has
// finished.
func Example() {
	controller, err := control.New(control.Settings{
		Seed:                  1,
		Cores:                 1,
		MemoryKB:              100_000,
		RunningMemoryFactor:   8,
		MaxConcurrencyPerCore: 4,
		MaxConcurrencyWindow:  2 * time.Second,
		Classes: []control.Class{
			{Name: "lookup", LatencyObjective: 2 * time.Second, Deadline: 8 * time.Second, Weight: 1},
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	step := func(now time.Duration, events ...control.Event) {
		for _, action := range controller.Step(now, events) {
			switch action := action.(type) {
			case control.Start:
				fmt.Println(now, "start", action.ID)
			case control.ScheduleTick:
				// Call Step with a control.Tick and the machine's gauges after action.After.
			case control.Reject, control.Fail:
				// Send the answer.
			}
		}
	}
	step(0, control.RequestArrived{ID: 1, QueuedKB: 10}, control.RequestArrived{ID: 2, QueuedKB: 10})
	step(250*time.Millisecond, control.RequestFinished{ID: 1, Outcome: control.OutcomeOK, Took: 250 * time.Millisecond})
	// Output:
	// 0s start 1
	// 250ms start 2
}
