package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/decide/reload"
)

// maxClassNames bounds the counters that are kept of classes that are gone.
const maxClassNames = 1000

// Reload takes up other settings while serving. Open requests and kept results stay in their class, and what was
// learned of classes that stay is kept. inUse says that the place of a class is held on to outside of the core.
// Reload returns the settings as they are now, with the places of all classes and tenants; an error says that nothing
// has changed.
func (c *Core) Reload(next control.Settings, inUse func(class int) bool) (control.Settings, error) {
	current := c.settings
	placed, err := c.place(next, inUse)
	if err != nil {
		return current, fmt.Errorf("dispatch: %w", err)
	}
	if len(c.counters.byName)+len(next.Classes) > maxClassNames {
		return current, fmt.Errorf("dispatch: settings.classes: over %d names since the start", maxClassNames)
	}
	if err := checkCalls(next, c.backend); err != nil {
		return current, err
	}
	if err := c.reconfigure(placed); err != nil {
		return current, fmt.Errorf("dispatch: settings: %w", err)
	}
	if placed.LoadSignal != current.LoadSignal { // The value in force had another meaning.
		c.signal = loadSignal{}
	}
	placed.Seed, placed.ColdStart = current.Seed, current.ColdStart
	c.settings = placed
	c.counters.assign(placed.Classes)
	return placed, nil
}

// place gives the classes and tenants of new settings their places.
func (c *Core) place(next control.Settings, inUse func(class int) bool) (placed control.Settings, err error) {
	held := c.heldClasses()
	free := func(class int) bool { return !held[class] && !inUse(class) }
	placed = next
	if placed.Classes, err = reload.PlaceClasses(c.settings.Classes, next.Classes, free); err != nil {
		return placed, err
	}
	placed.Tenants, err = reload.PlaceTenants(c.settings.Tenants, next.Tenants)
	return placed, err
}

// heldClasses says, for each class, that an open request or a kept key is of it.
func (c *Core) heldClasses() []bool {
	held := make([]bool, len(c.settings.Classes))
	for _, r := range c.requests.byID {
		held[r.Class] = true
	}
	for _, entry := range c.keys.byKey {
		held[entry.class] = true
	}
	return held
}

// reconfigure has the decision module take up settings, or tries them where it has not started.
func (c *Core) reconfigure(settings control.Settings) error {
	if c.controller != nil {
		return c.controller.Reconfigure(settings)
	}
	_, err := c.newController(settings)
	return err
}
