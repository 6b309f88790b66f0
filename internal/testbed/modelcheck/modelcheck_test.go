package modelcheck

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// jugs is a model of two jugs, of 3 and 5 litres, that can be filled, emptied and poured into each other.
type jugs struct {
	small, large int
	forbidden    int // content of the large jug that is a violation
}

// Fingerprint is part of State.
func (j jugs) Fingerprint() string { return fmt.Sprint(j.small, j.large) }

// Violation is part of State.
func (j jugs) Violation() string {
	if j.large == j.forbidden {
		return fmt.Sprintf("%d in the larger one", j.large)
	}
	return ""
}

// Successors is part of State.
func (j jugs) Successors() []Step {
	step := func(description string, small, large int) Step {
		return Step{Description: description, State: jugs{small, large, j.forbidden}}
	}
	toLarge := min(j.small, 5-j.large)
	toSmall := min(j.large, 3-j.small)
	return []Step{
		step("fill the small one", 3, j.large),
		step("fill the large one", j.small, 5),
		step("empty the small one", 0, j.large),
		step("empty the large one", j.small, 0),
		step("pour the small one into the large one", j.small-toLarge, j.large+toLarge),
		step("pour the large one into the small one", j.small+toSmall, j.large-toSmall),
	}
}

// Explore reports a shortest trace, and following its steps leads to the violation.
func TestExploreFindsViolation(t *testing.T) {
	report := Explore(jugs{forbidden: 4}, 100)
	require.Equal(t, "4 in the larger one", report.Violation)
	require.Len(t, report.Trace, 6)
	state := State(jugs{forbidden: 4})
	for _, description := range report.Trace {
		found := false
		for _, step := range state.Successors() {
			if step.Description == description {
				state = step.State
				found = true
				break
			}
		}
		require.True(t, found, description)
	}
	require.Equal(t, "4 in the larger one", state.Violation())
}

// If no forbidden state is reachable, Explore visits all states. If the bound ends the search early, the report says
// that the search was not exhaustive.
func TestExploreBound(t *testing.T) {
	report := Explore(jugs{forbidden: 7}, 100)
	require.Empty(t, report.Violation)
	require.True(t, report.Exhaustive)
	require.Equal(t, 16, report.States)
	require.False(t, Explore(jugs{forbidden: 7}, 5).Exhaustive)
}

func ExampleExplore() {
	fmt.Println(Explore(jugs{forbidden: 4}, 100))
	fmt.Println(Explore(jugs{forbidden: 7}, 100))
	// Output:
	// 4 in the larger one after 6 steps:
	//   fill the large one
	//   pour the large one into the small one
	//   empty the small one
	//   pour the large one into the small one
	//   fill the large one
	//   pour the large one into the small one
	// 16 states by 96 steps, 7 deep, all of them: true
}
