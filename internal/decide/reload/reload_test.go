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

// Guards open requests and retained keys against a reload that changes the class of their slot. After any sequence of
// reloads, a slot in use keeps its class, each class of the settings has exactly one slot that is not retired, and the
// table has no more slots than before or than are in use and in the settings together.
func TestSlotsInUseKeepTheirClass(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "18")) // fixed, so that every run checks the same cases
	rapid.Check(t, func(t *rapid.T) {
		table := drawClasses(t)
		for range rapid.IntRange(1, 8).Draw(t, "reloads") {
			next := drawClasses(t)
			inUse := make([]bool, len(table))
			inUseCount := 0
			for i := range inUse {
				if inUse[i] = rapid.Bool().Draw(t, "in use"); inUse[i] {
					inUseCount++
				}
			}
			placed, err := PlaceClasses(table, next, func(slot int) bool { return !inUse[slot] })
			require.NoError(t, err)
			for i, class := range table {
				if inUse[i] {
					class.Retired = placed[i].Retired
					require.Equal(t, class, placed[i])
				}
			}
			serving := slices.DeleteFunc(slices.Clone(placed), func(class control.Class) bool { return class.Retired })
			require.ElementsMatch(t, next, serving)
			require.LessOrEqual(t, len(placed), max(len(table), inUseCount+len(next)))
			table = placed
		}
	})
}

// A reload that would need more than MaxSlots slots is rejected.
func TestMaxSlots(t *testing.T) {
	var tooMany *TooManySlotsError
	table := make([]control.Class, MaxSlots)
	_, err := PlaceClasses(table, []control.Class{{Name: "more"}}, func(int) bool { return false })
	require.ErrorAs(t, err, &tooMany)
	require.EqualError(t, err,
		"settings.classes: too many: 257 classes, including those of open requests and retained keys")
	_, err = PlaceTenants(make([]control.Tenant, MaxSlots), []control.Tenant{{Name: "more"}})
	require.ErrorAs(t, err, &tooMany)
	require.EqualError(t, err, "settings.tenants: too many: 257 tenants, including those that were removed")
}

// Tenants keep their slot by name and get the quota of the new settings. Removed tenants keep their slot and quota.
func TestPlaceTenants(t *testing.T) {
	table := []control.Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 2}}
	placed, err := PlaceTenants(table, []control.Tenant{{Name: "c", Quota: 3}, {Name: "b", Quota: 4}})
	require.NoError(t, err)
	require.Equal(t, []control.Tenant{{Name: "a", Quota: 1}, {Name: "b", Quota: 4}, {Name: "c", Quota: 3}}, placed)
	require.Equal(t, control.Tenant{Name: "b", Quota: 2}, table[1], "the table in force must not be modified")
}
