package reload

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/control"
)

func drawn(t *rapid.T) (out []control.Class) {
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 5, rapid.ID).Draw(t, "names") {
		out = append(out, control.Class{Name: name, LatencyObjective: time.Second, Deadline: time.Duration(rapid.IntRange(1, 3).Draw(t, "s")) * time.Second})
	}
	return out
}

// Guards open requests and kept keys: whatever comes, a place that something holds on to keeps its class, each class of the
// settings has one place that is not retired, and the table does not grow beyond what is held and what is new.
func TestHeldPlacesKeepTheirClass(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "18")) // the same verdict every time
	rapid.Check(t, func(t *rapid.T) {
		table := drawn(t)
		for range rapid.IntRange(1, 8).Draw(t, "reloads") {
			next := drawn(t)
			held := make([]bool, len(table))
			n := 0
			for i := range held {
				if held[i] = rapid.Bool().Draw(t, "held"); held[i] {
					n++
				}
			}
			got, err := PlaceClasses(table, next, func(i int) bool { return !held[i] })
			require.NoError(t, err)
			for i, k := range table {
				if held[i] {
					k.Retired = got[i].Retired
					require.Equal(t, k, got[i])
				}
			}
			live := slices.DeleteFunc(slices.Clone(got), func(k control.Class) bool { return k.Retired })
			require.ElementsMatch(t, next, live)
			require.LessOrEqual(t, len(got), max(len(table), n+len(next)))
			table = got
		}
	})
}

func TestBound(t *testing.T) {
	table := make([]control.Class, MaxSlots)
	_, err := PlaceClasses(table, []control.Class{{Name: "more"}}, func(int) bool { return false })
	require.ErrorContains(t, err, "too many")
	_, err = PlaceTenants(make([]control.Tenant, MaxSlots), []control.Tenant{{Name: "more"}})
	require.ErrorContains(t, err, "too many")
}
