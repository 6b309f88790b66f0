package server

import (
	"pewterline/control"
	"pewterline/internal/microtime"
)

// minRetiredAcceptance is how long at least a retired class is accepted from callers that learn late of its end.
const minRetiredAcceptance = 5 * microtime.Second

// nameIndex finds classes and tenants by their names, as places in the settings in force. A class that a reload has
// retired is found until its acceptance ends, unless a class of the same name has come in its place.
type nameIndex struct {
	classes      map[string]int
	tenants      map[string]int
	retiredUntil map[int]microtime.Time // The end of acceptance of retired classes, by place.
}

func newNameIndex(settings control.Settings) nameIndex {
	n := nameIndex{classes: map[string]int{}, tenants: map[string]int{}, retiredUntil: map[int]microtime.Time{}}
	n.rebuild(settings)
	return n
}

// rebuild takes up the places of all names anew.
func (n *nameIndex) rebuild(settings control.Settings) {
	clear(n.classes)
	clear(n.tenants)
	for place, class := range settings.Classes {
		if !class.Retired {
			n.classes[class.Name] = place
		}
	}
	for place, tenant := range settings.Tenants {
		n.tenants[tenant.Name] = place
	}
	for place, class := range settings.Classes {
		_, replaced := n.classes[class.Name]
		if n.accepted(place) && !replaced {
			n.classes[class.Name] = place
		}
	}
}

// class is the place of a class.
func (n *nameIndex) class(name string) (place int, known bool) {
	place, known = n.classes[name]
	return place, known
}

// tenant is the place of a tenant. Where the settings name no tenants, each name is known, at place 0.
func (n *nameIndex) tenant(name string) (place int, known bool) {
	place, known = n.tenants[name]
	return place, known || len(n.tenants) == 0
}

// accepted reports whether a class is retired and still accepted.
func (n *nameIndex) accepted(place int) bool {
	_, ok := n.retiredUntil[place]
	return ok
}

// replace takes up the classes of new settings: those that these retire are accepted for their retention window, from
// now on.
func (n *nameIndex) replace(old, settings control.Settings, now microtime.Time) {
	for place, class := range settings.Classes {
		switch {
		case !class.Retired:
			delete(n.retiredUntil, place)
		case place < len(old.Classes) && !old.Classes[place].Retired:
			n.retiredUntil[place] = now + max(microtime.FromDuration(class.RetentionWindow), minRetiredAcceptance)
		}
	}
	n.rebuild(settings)
}

// expireRetired ends the acceptance of retired classes whose time is over. It returns when the next one's is.
func (n *nameIndex) expireRetired(settings control.Settings, now microtime.Time) microtime.Time {
	next, expired := microtime.Never, false
	for place, until := range n.retiredUntil {
		if now < until {
			next = min(next, until)
			continue
		}
		delete(n.retiredUntil, place)
		expired = true
	}
	if expired {
		n.rebuild(settings)
	}
	return next
}
