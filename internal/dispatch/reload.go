package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/decide/reload"
)

// maxClassNames limits the number of class names with counters. The counters of removed classes are kept, so that no
// count is lost.
const maxClassNames = 1000

// Reload replaces the settings while serving. Open requests and retained results stay in their class, and the
// statistics of classes that stay are kept. inUse reports whether the index of a class is in use outside the core.
// Reload returns the settings in force, in which classes and tenants have kept their indices. On an error nothing has
// changed.
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
	if placed.LoadSignal != current.LoadSignal { // The previous value has another meaning.
		c.signal = loadSignal{}
	}
	placed.Seed, placed.ColdStart = current.Seed, current.ColdStart
	c.settings = placed
	c.counters.assign(placed.Classes)
	return placed, nil
}

// place assigns indices to the classes and tenants of new settings.
func (c *Core) place(next control.Settings, inUse func(class int) bool) (placed control.Settings, err error) {
	used := c.classesInUse()
	free := func(class int) bool { return !used[class] && !inUse(class) }
	placed = next
	if placed.Classes, err = reload.PlaceClasses(c.settings.Classes, next.Classes, free); err != nil {
		return placed, err
	}
	placed.Tenants, err = reload.PlaceTenants(c.settings.Tenants, next.Tenants)
	return placed, err
}

// classesInUse reports, for each class, whether an open request or a retained key belongs to it.
func (c *Core) classesInUse() []bool {
	used := make([]bool, len(c.settings.Classes))
	for _, r := range c.requests.byID {
		used[r.Class] = true
	}
	for _, entry := range c.keys.byKey {
		used[entry.class] = true
	}
	return used
}

// reconfigure passes the settings to the decision module, or only checks them before Start.
func (c *Core) reconfigure(settings control.Settings) error {
	if c.controller != nil {
		return c.controller.Reconfigure(settings)
	}
	_, err := c.newController(settings)
	return err
}
