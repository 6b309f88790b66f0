package modelcheck

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// jugs are two jugs of 3 and 5 that are filled, emptied and poured over.
type jugs struct {
	a, b   int
	forbid int
}

func (j jugs) Fingerprint() string { return fmt.Sprint(j.a, j.b) }

func (j jugs) Violation() string {
	if j.b == j.forbid {
		return fmt.Sprintf("%d in the larger one", j.b)
	}
	return ""
}

func (j jugs) Successors() (out []Step) {
	add := func(what string, a, b int) { out = append(out, Step{what, jugs{a, b, j.forbid}}) }
	add("fill a", 3, j.b)
	add("fill b", j.a, 5)
	add("empty a", 0, j.b)
	add("empty b", j.a, 0)
	n := min(j.a, 5-j.b)
	add("a to b", j.a-n, j.b+n)
	n = min(j.b, 3-j.a)
	add("b to a", j.a+n, j.b-n)
	return out
}

// The trace is a shortest one; without a forbidden state, all are visited; and a bound that cuts the visit short is told.
func TestAll(t *testing.T) {
	report := Explore(jugs{forbid: 4}, 100)
	require.Equal(t, "4 in the larger one", report.Violation)
	require.Len(t, report.Trace, 6)
	at := State(jugs{forbid: 4})
	for _, what := range report.Trace { // it replays
		found := false
		for _, s := range at.Successors() {
			if s.Description == what {
				at, found = s.State, true
				break
			}
		}
		require.True(t, found, what)
	}
	require.Equal(t, "4 in the larger one", at.Violation())
	report = Explore(jugs{forbid: 7}, 100)
	require.Empty(t, report.Violation)
	require.True(t, report.Exhaustive)
	require.Equal(t, 16, report.States)
	require.False(t, Explore(jugs{forbid: 7}, 5).Exhaustive)
}
