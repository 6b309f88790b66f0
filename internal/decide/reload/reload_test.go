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

// drawClasses draws settings with up to five classes.
func drawClasses(t *rapid.T) []control.Class {
	var classes []control.Class
	known := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	for _, name := range rapid.SliceOfNDistinct(known, 1, 5, rapid.ID).Draw(t, "names") {
		seconds := rapid.IntRange(1, 3).Draw(t, "s")
		classes = append(classes, control.Class{
			Name: name, LatencyObjective: time.Second, Deadline: time.Duration(seconds) * time.Second,
		})
	}
	return classes
}

// Guards open requests and kept keys: whatever comes, a slot that something holds on to keeps its class, each class
// of the settings has one slot that is not retired, and the table does not grow beyond what is held and what is new.
func TestHeldSlotsKeepTheirClass(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "18")) // the same verdict every time
	rapid.Check(t, func(t *rapid.T) {
		table := drawClasses(t)
		for range rapid.IntRange(1, 8).Draw(t, "reloads") {
			next := drawClasses(t)
			held := make([]bool, len(table))
			heldCount := 0
			for i := range held {
				if held[i] = rapid.Bool().Draw(t, "held"); held[i] {
					heldCount++
				}
			}
			placed, err := PlaceClasses(table, next, func(slot int) bool { return !held[slot] })
			require.NoError(t, err)
			for i, class := range table {
				if held[i] {
					class.Retired = placed[i].Retired
					require.Equal(t, class, placed[i])
				}
			}
			serving := slices.DeleteFunc(slices.Clone(placed), func(class control.Class) bool { return class.Retired })
			require.ElementsMatch(t, next, serving)
			require.LessOrEqual(t, len(placed), max(len(table), heldCount+len(next)))
			table = placed
		}
	})
}

func TestBound(t *testing.T) {
	var tooMany *TooManyError
	table := make([]control.Class, MaxSlots)
	_, err := PlaceClasses(table, []control.Class{{Name: "more"}}, func(int) bool { return false })
	require.ErrorAs(t, err, &tooMany)
	require.EqualError(t, err,
		"settings.classes: 257 classes, those of open requests and kept keys included, are too many")
	_, err = PlaceTenants(make([]control.Tenant, MaxSlots), []control.Tenant{{Name: "more"}})
	require.ErrorAs(t, err, &tooMany)
	require.EqualError(t, err, "settings.tenants: 257 tenants, those that are gone included, are too many")
}

// Tenants are placed by their names, with the quota of the new settings; those that are gone stay.
func TestPlaceTenants(t *testing.T) {
	table := []control.Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 2}}
	placed, err := PlaceTenants(table, []control.Tenant{{Name: "c", Quota: 3}, {Name: "b", Quota: 4}})
	require.NoError(t, err)
	require.Equal(t, []control.Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 4}, {Name: "c", Quota: 3}}, placed)
	require.Equal(t, control.Tenant{Name: "b", Quota: 2}, table[1], "the table in force is not changed")
}
