// Package modelcheck visits all states that a model can reach, nearest first, and reports a shortest way to a forbidden
// one. A model is the state machines of a protocol, the messages between them, and what can go wrong.
//
// The tests of packages consensus and execution call it. It keeps the fingerprints of all states and the states that it
// has not gone on from yet; it never changes a state, and its report depends on nothing but the model and the bound.
package modelcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is a state of a model. It is never changed once it was given out.
type State interface {
	// Fingerprint is the same for states that are the same, or that behave alike but for names: those are visited once.
	Fingerprint() string
	// Successors are the states that can follow, in an order that depends on nothing but the state.
	Successors() []Step
	// Violation says why the state is forbidden; "": it is not.
	Violation() string
}

// Step is what happens, and the state after it.
type Step struct {
	Description string
	State       State
}

// Report is what was visited.
type Report struct {
	States      int
	Transitions int
	Depth       int      // steps from the start to the state that was visited last
	Exhaustive  bool     // every state was visited, none was left out by the bound
	Violation   string   // of the first forbidden state; "": there was none
	Trace       []string // the steps to that state
}

// String describes the report, with the trace to a forbidden state.
func (r Report) String() string {
	if r.Violation != "" {
		return fmt.Sprintf("%s after %d steps:\n  %s", r.Violation, len(r.Trace), strings.Join(r.Trace, "\n  "))
	}
	return fmt.Sprintf("%d states by %d steps, %d deep, all of them: %v",
		r.States, r.Transitions, r.Depth, r.Exhaustive)
}

// fingerprint tells states apart by 128 bits of their text.
type fingerprint [2]uint64

func fingerprintOf(state State) fingerprint {
	text := state.Fingerprint()
	return fingerprint{xxhash.Sum64String(text), xxhash.Sum64String("2" + text)}
}

// start is the parent of the state that a model begins with.
const start = -1

// node is a state that was reached.
type node struct {
	state       State // nil once its successors are known, so that it can be collected
	parent      int32 // index of the node that it was reached from
	description string
	depth       int32
}

// Explore visits states until there are no new ones, one is forbidden, or maxStates were reached.
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

// traceTo returns the steps from the start to a node.
func traceTo(nodes []node, index int) (trace []string) {
	for at := int32(index); nodes[at].parent != start; at = nodes[at].parent {
		trace = append(trace, nodes[at].description)
	}
	slices.Reverse(trace)
	return trace
}
