// Package modelcheck visits all states that a model can reach, nearest first, and tells how it got to a forbidden one. A model is
// the state machines of a protocol, the messages between them, and what can go wrong.
package modelcheck

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is a state of a model. It is never changed once it was given out.
type State interface {
	// Key is the same for states that are the same, or that behave alike but for names: those are visited once.
	Fingerprint() string
	// Next are the states that can follow, in an order that depends on nothing but the state.
	Successors() []Step
	// Wrong says why the state is forbidden; "": it is not.
	Violation() string
}

// Step is what happens, and the state after it.
type Step struct {
	Description string
	State       State
}

// Report is what was visited.
type Report struct {
	States, Transitions, Depth int
	Exhaustive                 bool   // every state was visited, none is left out by the bound
	Violation                  string // of the first forbidden state, "" for none
	Trace                      []string
}

func (r Report) String() string {
	if r.Violation != "" {
		return fmt.Sprintf("%s after %d steps:\n  %s", r.Violation, len(r.Trace), strings.Join(r.Trace, "\n  "))
	}
	return fmt.Sprintf("%d states by %d steps, %d deep, all of them: %v", r.States, r.Transitions, r.Depth, r.Exhaustive)
}

type visited struct {
	state State // nil once its steps were taken
	from  int32
	what  string
	depth int32
}

// Explore visits states until there are no new ones, one is forbidden, or so many were visited. States are told apart by 128 bits
// of their keys.
func Explore(start State, most int) (r Report) {
	seen := map[[2]uint64]bool{hash(start.Fingerprint()): true}
	list := []visited{{state: start, from: -1}}
	for i := 0; i < len(list); i++ {
		v := &list[i]
		r.States, r.Depth = i+1, int(v.depth)
		if r.Violation = v.state.Violation(); r.Violation != "" {
			for at := int32(i); list[at].from >= 0; at = list[at].from {
				r.Trace = append([]string{list[at].what}, r.Trace...)
			}
			return r
		}
		state, depth := v.state, v.depth
		v.state = nil
		for _, s := range state.Successors() {
			r.Transitions++
			k := hash(s.State.Fingerprint())
			if seen[k] {
				continue
			}
			if len(list) >= most {
				return r
			}
			seen[k] = true
			list = append(list, visited{s.State, int32(i), s.Description, depth + 1})
		}
	}
	r.Exhaustive = true
	return r
}

func hash(key string) [2]uint64 {
	return [2]uint64{xxhash.Sum64String(key), xxhash.Sum64String("2" + key)}
}
