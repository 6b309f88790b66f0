package handoff_test

import (
	"fmt"

	"pewterline/internal/decide/handoff"
)

// The successor reads an attempt of a key that the old process holds. The attempt waits, and is answered with the
// result of the run in the old process.
func ExampleKey() {
	var old, successor handoff.Key
	show := func(process string, actions []handoff.Action) { fmt.Printf("%s %v\n", process, actions) }

	show("old:", old.Step(handoff.Owner, handoff.Attempt, false))
	show("new:", successor.Step(handoff.Requester, handoff.Attempt, false))
	show("old:", old.Step(handoff.Owner, handoff.PeerClaimed, false))
	show("new:", successor.Step(handoff.Requester, handoff.PeerStarted, true))
	show("old:", old.Step(handoff.Owner, handoff.LocalFinished, false))
	show("new:", successor.Step(handoff.Requester, handoff.PeerFinished, true))
	fmt.Println(old.State, successor.State)
	// Output:
	// old: [admit]
	// new: [queue claim]
	// old: [notify started]
	// new: []
	// old: [notify finished]
	// new: [serve]
	// done done
}
