// Package modelcheck explores all reachable states of a model breadth-first, and reports a shortest trace to a
// forbidden state. A model consists of the state machines of a protocol, the messages between them, and their possible
// failures.
//
// The tests of packages consensus and execution use it. It stores the fingerprints of all reached states, and the
// states whose successors it has not explored yet. It never changes a state, and its report depends only on the model
// and the maximum number of states.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is a state of a model. It must not change after it was returned to the checker.
type State interface {
	// Fingerprint returns the same text for equal states and for states that differ only in names, such as those of
	// interchangeable replicas. Of states with the same fingerprint, only one is visited.
	Fingerprint() string
	// Successors returns the possible next steps, in an order that depends only on the state.
	Successors() []Step
	// Violation returns why the state is forbidden, or "" if it is not.
	Violation() string
}

// Step is a transition: a description of the event, and the state after it.
type Step struct {
	Description string
	State       State
}

// Report is the result of an exploration.
type Report struct {
	States      int // visited
	Transitions int
	Depth       int      // steps from the initial state to the last visited state
	Exhaustive  bool     // every reachable state was visited
	Violation   string   // of the first forbidden state; "" if there was none
	Trace       []string // descriptions of the steps to that state
}

// String describes the report, including the trace to a forbidden state.
func (r Report) String() string {
	if r.Violation != "" {
		return fmt.Sprintf("%s after %d steps:\n  %s", r.Violation, len(r.Trace), strings.Join(r.Trace, "\n  "))
	}
	return fmt.Sprintf("%d states by %d steps, %d deep, all of them: %v",
		r.States, r.Transitions, r.Depth, r.Exhaustive)
}

// fingerprint is a 128-bit hash of the text of a state's fingerprint.
type fingerprint [2]uint64

func fingerprintOf(state State) fingerprint {
	text := state.Fingerprint()
	return fingerprint{xxhash.Sum64String(text), xxhash.Sum64String("2" + text)}
}

// noParent is the parent of the initial state.
const noParent = -1

// node is a reached state.
type node struct {
	state       State  // nil after the visit, so that it can be garbage-collected
	parent      int32  // index of the node from which it was reached, or noParent
	description string // of the step from the parent
	depth       int32
}

// Explore visits states until there are no new ones, a forbidden state is visited, or a new state would exceed
// maxStates.
func Explore(initial State, maxStates int) Report {
	var report Report
	seen := map[fingerprint]bool{fingerprintOf(initial): true}
	nodes := []node{{state: initial, parent: noParent}}
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
	for at := int32(index); nodes[at].parent != noParent; at = nodes[at].parent {
		trace = append(trace, nodes[at].description)
	}
	slices.Reverse(trace)
	return trace
}
