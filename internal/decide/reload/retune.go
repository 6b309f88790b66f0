// Package reload decides which places of a table classes and tenants have after the settings change, so that whatever holds
// on to a place keeps what it had. It is without I/O, goroutines or a clock.
package reload

import (
	"fmt"

	"pewterline/control"
)

// MaxSlots is how many places a table may have: a bound on reloads that change everything each time.
const MaxSlots = 256

// PlaceClasses places the classes of new settings in a table. An unchanged class keeps its place, which may have been retired; a
// new or changed one takes the first retired place that is free, or one at the end. All others are retired. free says that
// nothing holds on to a place.
func PlaceClasses(table, next []control.Class, free func(place int) bool) ([]control.Class, error) {
	out := append([]control.Class(nil), table...)
	for i := range out {
		out[i].Retired = true
	}
	placed := make([]bool, len(next))
	for n, k := range next {
		for i := range out {
			was := out[i]
			if was.Retired = false; out[i].Retired && was == k {
				out[i], placed[n] = k, true
				break
			}
		}
	}
	for n, k := range next {
		if placed[n] {
			continue
		}
		at := -1
		for i := range table {
			if out[i].Retired && free(i) {
				at = i
				break
			}
		}
		if at < 0 {
			if at = len(out); at == MaxSlots {
				return nil, fmt.Errorf("settings.classes: %d classes, those of open requests and kept keys included, are too many", MaxSlots+1)
			}
			out = append(out, k)
		}
		out[at] = k
	}
	return out, nil
}

// PlaceTenants places the tenants of new settings in a table, by their names. Those that are gone keep their place and share.
func PlaceTenants(table, next []control.Tenant) ([]control.Tenant, error) {
	out := append([]control.Tenant(nil), table...)
	for _, t := range next {
		at := -1
		for i := range out {
			if out[i].Name == t.Name {
				at = i
			}
		}
		if at >= 0 {
			out[at] = t
		} else if out = append(out, t); len(out) > MaxSlots {
			return nil, fmt.Errorf("settings.tenants: %d tenants, those that are gone included, are too many", len(out))
		}
	}
	return out, nil
}
