package orderedset

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type element struct {
	Position
	id int
}

func ids(elements []*element) []int {
	var listed []int
	for _, e := range elements {
		listed = append(listed, e.id)
	}
	return listed
}

// Elements keep the order in which they were added. The last element takes the place of a removed one.
func TestOrder(t *testing.T) {
	var set Set[*element]
	require.Zero(t, set.Len())
	require.Empty(t, set.Items())
	var elements []*element
	for id := range 5 {
		elements = append(elements, &element{id: id})
		set.Add(elements[id])
	}
	require.Equal(t, []int{0, 1, 2, 3, 4}, ids(set.Items()))
	tests := []struct {
		name   string
		remove int
		want   []int
	}{
		{"one in the middle", 1, []int{0, 4, 2, 3}},
		{"the one that was moved", 4, []int{0, 3, 2}},
		{"the last", 2, []int{0, 3}},
		{"the first", 0, []int{3}},
		{"the only one", 3, nil},
	}
	for _, tc := range tests {
		set.Remove(elements[tc.remove])
		require.Equal(t, tc.want, ids(set.Items()), tc.name)
		require.Equal(t, len(tc.want), set.Len(), tc.name)
	}
	set.Add(elements[4])
	require.Equal(t, []int{4}, ids(set.Items()), "a removed element can be added again")
}

// After any sequence of calls, the set contains exactly the elements that were added and not removed, and the same
// calls give the same order.
func TestSameCallsGiveTheSameOrder(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "7")) // fixed, so that every run checks the same cases
	rapid.Check(t, func(t *rapid.T) {
		var first, second Set[*element]
		var inFirst, inSecond []*element
		added := 0
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			if len(inFirst) == 0 || rapid.Bool().Draw(t, "add") {
				inFirst = append(inFirst, &element{id: added})
				inSecond = append(inSecond, &element{id: added})
				first.Add(inFirst[len(inFirst)-1])
				second.Add(inSecond[len(inSecond)-1])
				added++
			} else {
				at := rapid.IntRange(0, len(inFirst)-1).Draw(t, "remove")
				first.Remove(inFirst[at])
				second.Remove(inSecond[at])
				inFirst = slices.Delete(inFirst, at, at+1)
				inSecond = slices.Delete(inSecond, at, at+1)
			}
			require.ElementsMatch(t, ids(inFirst), ids(first.Items()))
			require.Equal(t, ids(first.Items()), ids(second.Items()))
		}
	})
}
