package server

import (
	"pewterline/control"
	"pewterline/internal/microtime"
)

// minRetiredAcceptance is the shortest time for which a retired class is still accepted, for callers whose
// configuration changes later.
const minRetiredAcceptance = 5 * microtime.Second

// nameIndex maps the names of classes and tenants to their indices in the current settings. A class that a reload has
// retired is kept until its acceptance ends, unless a class of the same name has replaced it.
type nameIndex struct {
	classes      map[string]int
	tenants      map[string]int
	retiredUntil map[int]microtime.Time // when the acceptance of a retired class ends, by its index
}

func newNameIndex(settings control.Settings) nameIndex {
	n := nameIndex{classes: map[string]int{}, tenants: map[string]int{}, retiredUntil: map[int]microtime.Time{}}
	n.rebuild(settings)
	return n
}

// rebuild recomputes the index of each name.
func (n *nameIndex) rebuild(settings control.Settings) {
	clear(n.classes)
	clear(n.tenants)
	for index, class := range settings.Classes {
		if !class.Retired {
			n.classes[class.Name] = index
		}
	}
	for index, tenant := range settings.Tenants {
		n.tenants[tenant.Name] = index
	}
	for index, class := range settings.Classes {
		_, replaced := n.classes[class.Name]
		if n.accepted(index) && !replaced {
			n.classes[class.Name] = index
		}
	}
}

// class returns the index of a class.
func (n *nameIndex) class(name string) (index int, known bool) {
	index, known = n.classes[name]
	return index, known
}

// tenant returns the index of a tenant. If the settings name no tenants, every name is known, with index 0.
func (n *nameIndex) tenant(name string) (index int, known bool) {
	index, known = n.tenants[name]
	return index, known || len(n.tenants) == 0
}

// accepted reports whether a class is retired and still accepted.
func (n *nameIndex) accepted(index int) bool {
	_, ok := n.retiredUntil[index]
	return ok
}

// replace switches to new settings. Classes that the new settings retire are accepted for their retention window, but
// at least for minRetiredAcceptance.
func (n *nameIndex) replace(old, settings control.Settings, now microtime.Time) {
	for index, class := range settings.Classes {
		switch {
		case !class.Retired:
			delete(n.retiredUntil, index)
		case index < len(old.Classes) && !old.Classes[index].Retired:
			n.retiredUntil[index] = now + max(microtime.FromDuration(class.RetentionWindow), minRetiredAcceptance)
		}
	}
	n.rebuild(settings)
}

// expireRetired ends the acceptance of retired classes whose time has expired. It returns when the next acceptance
// ends.
func (n *nameIndex) expireRetired(settings control.Settings, now microtime.Time) microtime.Time {
	next, expired := microtime.Never, false
	for index, until := range n.retiredUntil {
		if now < until {
			next = min(next, until)
			continue
		}
		delete(n.retiredUntil, index)
		expired = true
	}
	if expired {
		n.rebuild(settings)
	}
	return next
}
