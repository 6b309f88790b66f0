// Package reload decides which slots of a table classes and tenants have after a reload of the settings. Open
// requests, kept keys and what was learned hold on to a slot, so that each keeps the class it was read in, whatever
// the new settings say.
//
// The request core (package dispatch) calls it with the tables in force and keeps the tables it returns. The package
// owns nothing and never changes its arguments; it is without I/O, goroutines or a clock.
package reload

import (
	"fmt"
	"slices"

	"pewterline/control"
)

// MaxSlots is how many slots a table may have: a bound on reloads that change everything each time.
const MaxSlots = 256

// TooManyError says that a table would have more than MaxSlots slots.
type TooManyError struct {
	// Setting is the list at fault, "classes" or "tenants".
	Setting string
	// Count is how many slots there would be.
	Count int
	// Including says which slots of earlier settings count as well.
	Including string
}

func (e *TooManyError) Error() string {
	return fmt.Sprintf("settings.%s: %d %s, those %s included, are too many", e.Setting, e.Count, e.Setting, e.Including)
}

// PlaceClasses places the classes of new settings in a table. An unchanged class keeps its slot, which may have been
// retired; a new or changed one takes the first retired slot that is free, or one at the end. All others are retired.
// free says that nothing holds on to a slot. The error is a *TooManyError.
func PlaceClasses(table, next []control.Class, free func(slot int) bool) ([]control.Class, error) {
	placed := slices.Clone(table)
	for i := range placed {
		placed[i].Retired = true
	}
	var changed []control.Class
	for _, class := range next {
		if slot := unchangedSlot(placed, class); slot >= 0 {
			placed[slot] = class
		} else {
			changed = append(changed, class)
		}
	}
	for _, class := range changed {
		slot := freeSlot(placed[:len(table)], free)
		switch {
		case slot >= 0:
			placed[slot] = class
		case len(placed) == MaxSlots:
			return nil, &TooManyError{"classes", MaxSlots + 1, "of open requests and kept keys"}
		default:
			placed = append(placed, class)
		}
	}
	return placed, nil
}

// unchangedSlot finds the first retired slot that has just this class; -1 if there is none.
func unchangedSlot(table []control.Class, class control.Class) int {
	return slices.IndexFunc(table, func(before control.Class) bool {
		retired := before.Retired
		before.Retired = false
		return retired && before == class
	})
}

// freeSlot finds the first retired slot that nothing holds on to; -1 if there is none.
func freeSlot(table []control.Class, free func(slot int) bool) int {
	for slot := range table {
		if table[slot].Retired && free(slot) {
			return slot
		}
	}
	return -1
}

// PlaceTenants places the tenants of new settings in a table, by their names. Those that are gone keep their slot and
// quota. The error is a *TooManyError.
func PlaceTenants(table, next []control.Tenant) ([]control.Tenant, error) {
	placed := slices.Clone(table)
	for _, tenant := range next {
		if slot := tenantSlot(placed, tenant.Name); slot >= 0 {
			placed[slot] = tenant
			continue
		}
		if placed = append(placed, tenant); len(placed) > MaxSlots {
			return nil, &TooManyError{"tenants", len(placed), "that are gone"}
		}
	}
	return placed, nil
}

// tenantSlot finds the last slot of a tenant; -1 if there is none.
func tenantSlot(table []control.Tenant, name string) int {
	for slot, tenant := range slices.Backward(table) {
		if tenant.Name == name {
			return slot
		}
	}
	return -1
}
