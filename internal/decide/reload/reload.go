// Package reload assigns the classes and tenants of reloaded settings to slots of the tables in force. Open requests,
// retained keys and statistics refer to a slot by its index, so that a slot must keep its class as long as it is in
// use.
//
// The request core (package dispatch) calls it with the tables in force and uses the tables that it returns. The
// package has no state, never modifies its arguments, and uses no I/O, goroutines or clock.
package reload

import (
	"fmt"
	"slices"

	"pewterline/control"
)

// MaxSlots bounds the slots of a table, which would otherwise grow with each reload that changes all classes.
const MaxSlots = 256

// TooManySlotsError means that a table would need more than MaxSlots slots.
type TooManySlotsError struct {
	// Setting names the list that is too long, "classes" or "tenants".
	Setting string
	// Count is the number of slots that would be needed.
	Count int
	// Including describes the slots of earlier settings that Count includes.
	Including string
}

func (e *TooManySlotsError) Error() string {
	return fmt.Sprintf("settings.%s: too many: %d %s, including those %s", e.Setting, e.Count, e.Setting, e.Including)
}

// PlaceClasses returns a copy of table with the classes of new settings. An unchanged class keeps its slot, even if it
// was retired before; a new or changed one gets the first retired slot that is free, or a new one at the end. All other
// slots are retired. free reports whether a slot is not in use. The error is a *TooManySlotsError.
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
			return nil, &TooManySlotsError{"classes", MaxSlots + 1, "of open requests and retained keys"}
		default:
			placed = append(placed, class)
		}
	}
	return placed, nil
}

// unchangedSlot returns the first retired slot whose class is otherwise equal to class; -1 if there is none.
func unchangedSlot(table []control.Class, class control.Class) int {
	return slices.IndexFunc(table, func(before control.Class) bool {
		retired := before.Retired
		before.Retired = false
		return retired && before == class
	})
}

// freeSlot returns the first retired slot that is free; -1 if there is none.
func freeSlot(table []control.Class, free func(slot int) bool) int {
	for slot := range table {
		if table[slot].Retired && free(slot) {
			return slot
		}
	}
	return -1
}

// PlaceTenants returns a copy of table with the tenants of new settings, which keep their slot by name. Removed tenants
// keep their slot and quota. The error is a *TooManySlotsError.
func PlaceTenants(table, next []control.Tenant) ([]control.Tenant, error) {
	placed := slices.Clone(table)
	for _, tenant := range next {
		if slot := tenantSlot(placed, tenant.Name); slot >= 0 {
			placed[slot] = tenant
			continue
		}
		if placed = append(placed, tenant); len(placed) > MaxSlots {
			return nil, &TooManySlotsError{"tenants", len(placed), "that were removed"}
		}
	}
	return placed, nil
}

// tenantSlot returns the last slot of a tenant; -1 if there is none.
func tenantSlot(table []control.Tenant, name string) int {
	for slot, tenant := range slices.Backward(table) {
		if tenant.Name == name {
			return slot
		}
	}
	return -1
}
