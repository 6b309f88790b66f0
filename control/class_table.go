package control

import (
	"cmp"
	"slices"
	"time"
)

// classTable holds the state of each class, by its index in Settings.Classes.
type classTable struct {
	all    []*classState
	active []*classState // those that are not retired
}

// configure applies the settings. A class that keeps index and name keeps its state; under another index it inherits
// the statistics of the class of its name.
func (t *classTable) configure(settings *Settings) {
	byWeight := func(a, b Class) int { return cmp.Compare(a.Weight, b.Weight) }
	activeClasses := settings.activeClasses()
	lowest := slices.MinFunc(activeClasses, byWeight).Weight
	highest := slices.MaxFunc(activeClasses, byWeight).Weight
	before := t.all
	t.all, t.active = nil, nil
	for i, class := range settings.Classes {
		state := keptClassState(before, i, class)
		state.Class = class
		state.serviceMargin = bestEffortServiceMargin
		if class.Weight > lowest {
			state.serviceMargin = priorityServiceMargin
		}
		// If all classes have the same weight, none is best effort.
		state.bestEffort = class.Weight == lowest && lowest < highest
		t.all = append(t.all, state)
		if !class.Retired {
			t.active = append(t.active, state)
		}
	}
}

// keptClassState returns the state of a class at an index, reusing that of before as configure describes.
func keptClassState(before []*classState, number int, class Class) *classState {
	if number < len(before) && before[number].Name == class.Name {
		return before[number]
	}
	state := newClassState(class)
	sameName := func(former *classState) bool { return former.Name == class.Name }
	if former := slices.IndexFunc(before, sameName); former >= 0 {
		state.inherit(before[former])
	}
	return state
}

// of returns the class of a request.
func (t *classTable) of(req *request) *classState { return t.all[req.Class] }

// mostValuable returns the first active class of the highest weight.
func (t *classTable) mostValuable() *classState {
	return slices.MaxFunc(t.active, func(a, b *classState) int { return cmp.Compare(a.Weight, b.Weight) })
}

// dueToStart is the clock time by which a request should start.
func (t *classTable) dueToStart(req *request) time.Duration {
	return req.arrivedAt + t.of(req).queueBudget
}

// byDueStart compares requests by dueToStart.
func (t *classTable) byDueStart(a, b *request) int { return int(t.dueToStart(a) - t.dueToStart(b)) }
