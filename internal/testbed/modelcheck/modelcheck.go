// Package modelcheck explores the reachable states of a model breadth-first, and reports a shortest trace to a
// forbidden state. A model consists of the state machines of a protocol, the messages between them, and the possible
// faults.
//
// The tests of packages consensus and execution call it. It keeps the fingerprints of all visited states, and the
// states whose successors it has not computed yet. It never changes a state, and its report depends only on the model
// and the bound.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is a state of a model. It is immutable once it has been returned to Explore.
type State interface {
	// Fingerprint returns the same text for states that are equal, or equal up to a renaming of their parts. Explore
	// visits only one of them.
	Fingerprint() string
	// Successors returns the steps to all possible next states, in an order that depends only on this state.
	Successors() []Step
	// Violation describes why the state is forbidden, or returns "" if it is allowed.
	Violation() string
}

// Step is a transition: a description of the event, and the state after it.
type Step struct {
	Description string
	State       State
}

// Report is the result of an exploration.
type Report struct {
	States      int
	Transitions int
	Depth       int      // steps from the initial state to the last visited state
	Exhaustive  bool     // all reachable states were visited
	Violation   string   // of the first forbidden state; "" if there was none
	Trace       []string // descriptions of the steps to the forbidden state
}

// String describes the report, with the trace to a forbidden state.
func (r Report) String() string {
	if r.Violation != "" {
		return fmt.Sprintf("%s after %d steps:\n  %s", r.Violation, len(r.Trace), strings.Join(r.Trace, "\n  "))
	}
	return fmt.Sprintf("%d states by %d steps, %d deep, all of them: %v",
		r.States, r.Transitions, r.Depth, r.Exhaustive)
}

// fingerprint identifies a state by a 128-bit hash of its text.
type fingerprint [2]uint64

func fingerprintOf(state State) fingerprint {
	text := state.Fingerprint()
	return fingerprint{xxhash.Sum64String(text), xxhash.Sum64String("2" + text)}
}

// start is the parent index of the initial state.
const start = -1

// node is a state that was reached.
type node struct {
	state       State // nil once its successors are computed, so that it can be garbage-collected
	parent      int32 // index of the node that it was reached from
	description string
	depth       int32
}

// Explore visits the states that can be reached from the initial state. It stops early at a forbidden state, or when it
// has found maxStates states and there are more.
func Explore(initial State, maxStates int) Report {
	var report Report
	seen := map[fingerprint]bool{fingerprintOf(initial): true}
	nodes := []node{{state: initial, parent: start}}
	for i := 0; i < len(nodes); i++ {
		state := nodes[i].state
		nodes[i].state = nil
		report.States = i + 1
		report.Depth = int(nodes[i].depth)
		report.Violation = state.Violation()
		if report.Violation != "" {
			report.Trace = traceTo(nodes, i)
			return report
		}
		for _, step := range state.Successors() {
			report.Transitions++
			reached := fingerprintOf(step.State)
			if seen[reached] {
				continue
			}
			if len(nodes) >= maxStates {
				return report
			}
			seen[reached] = true
			nodes = append(nodes, node{
				state:       step.State,
				parent:      int32(i),
				description: step.Description,
				depth:       nodes[i].depth + 1,
			})
		}
	}
	report.Exhaustive = true
	return report
}

// traceTo returns the descriptions of the steps from the initial state to a node.
func traceTo(nodes []node, index int) (trace []string) {
	for at := int32(index); nodes[at].parent != start; at = nodes[at].parent {
		trace = append(trace, nodes[at].description)
	}
	slices.Reverse(trace)
	return trace
}
