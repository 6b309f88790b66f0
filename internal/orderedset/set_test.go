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

// Elements stay in the order in which they came; the last one takes the place of one that goes.
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
	require.Equal(t, []int{4}, ids(set.Items()), "an element that went may come again")
}

// Whatever is added and removed, the set holds just that, and the same calls give the same order.
func TestSameCallsGiveTheSameOrder(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "7")) // the same verdict every time
	rapid.Check(t, func(t *rapid.T) {
		var one, other Set[*element]
		var inOne, inOther []*element
		added := 0
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			if len(inOne) == 0 || rapid.Bool().Draw(t, "add") {
				inOne = append(inOne, &element{id: added})
				inOther = append(inOther, &element{id: added})
				one.Add(inOne[len(inOne)-1])
				other.Add(inOther[len(inOther)-1])
				added++
			} else {
				at := rapid.IntRange(0, len(inOne)-1).Draw(t, "remove")
				one.Remove(inOne[at])
				other.Remove(inOther[at])
				inOne = slices.Delete(inOne, at, at+1)
				inOther = slices.Delete(inOther, at, at+1)
			}
			require.ElementsMatch(t, ids(inOne), ids(one.Items()))
			require.Equal(t, ids(one.Items()), ids(other.Items()))
		}
	})
}
