package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/decide/reload"
)

// namesMost bounds the counts that are kept of classes that are gone.
const namesMost = 1000

// Reload takes up other settings while serving. What is open, and the results that are kept, keep their class; what was
// learned of classes that stay is kept. busy says that a place is held on to outside of the core. It returns the settings
// as they are now, with the places of all classes and tenants; an error says that nothing has changed.
func (c *Core) Reload(next control.Settings, busy func(class int) bool) (control.Settings, error) {
	held := make([]bool, len(c.settings.Classes))
	for _, r := range c.live {
		held[r.Class] = true
	}
	for _, e := range c.keys.byName {
		held[e.class] = true
	}
	var err error
	now := c.settings
	placed := next
	if placed.Classes, err = reload.PlaceClasses(now.Classes, next.Classes, func(i int) bool { return !held[i] && !busy(i) }); err != nil {
		return now, fmt.Errorf("routing: %w", err)
	}
	if placed.Tenants, err = reload.PlaceTenants(now.Tenants, next.Tenants); err != nil {
		return now, fmt.Errorf("routing: %w", err)
	}
	if len(c.byName)+len(next.Classes) > namesMost {
		return now, fmt.Errorf("routing: settings.classes: over %d names since the start", namesMost)
	}
	if err := checkCalls(next, c.runner); err != nil {
		return now, err
	}
	if c.begun {
		err = c.ctl.Reconfigure(placed)
	} else {
		_, err = control.New(placed)
	}
	if err != nil {
		return now, fmt.Errorf("routing: settings: %w", err)
	}
	if placed.LoadSignal != now.LoadSignal { // the value in force had another meaning
		c.say, c.saying = 0, false
	}
	placed.Seed, placed.ColdStart = now.Seed, now.ColdStart
	c.settings = placed
	c.tally()
	return placed, nil
}
