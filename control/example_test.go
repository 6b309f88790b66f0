package control_test

import (
	"fmt"
	"time"

	"pewterline/control"
)

// A server with one core takes two requests: it runs one, holds the other, and runs it when the first is done.
func Example() {
	c, err := control.New(control.Settings{
		Seed: 1, Cores: 1, RunFactor: 8, MemoryKB: 100_000, CrowdPerCore: 4, CrowdOver: 2 * time.Second,
		Classes: []control.Class{{Name: "lookup", Aim: 2 * time.Second, Deadline: 8 * time.Second, Worth: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	step := func(now time.Duration, events ...control.Event) {
		for _, a := range c.Step(now, events) {
			switch a := a.(type) {
			case control.Run:
				fmt.Println(now, "run", a.ID)
			case control.Wake:
				// Call Step with a control.Tick and the machine's gauges after a.After.
			case control.Refuse, control.Fail:
				// Send the answer.
			}
		}
	}
	step(0, control.Arrive{ID: 1, HeldKB: 10}, control.Arrive{ID: 2, HeldKB: 10})
	step(250*time.Millisecond, control.Done{ID: 1, Outcome: control.OutcomeOK, Took: 250 * time.Millisecond})
	// Output:
	// 0s run 1
	// 250ms run 2
}
