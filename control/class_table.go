package control

import (
	"cmp"
	"slices"
	"time"
)

// classTable holds the state of each class.
type classTable struct {
	all    []*classState // by index in Settings.Classes
	active []*classState // those that are not retired
}

// configure applies the settings. A class that keeps its index and its name keeps its state. A class that has changed
// its index inherits the statistics under its name.
func (t *classTable) configure(settings *Settings) {
	byWeight := func(a, b Class) int { return cmp.Compare(a.Weight, b.Weight) }
	activeClasses := settings.activeClasses()
	lowest := slices.MinFunc(activeClasses, byWeight).Weight
	highest := slices.MaxFunc(activeClasses, byWeight).Weight
	previous := t.all
	t.all, t.active = nil, nil
	for i, class := range settings.Classes {
		state := classStateAt(previous, i, class)
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

// classStateAt returns the state of a class at an index, and reuses the previous states as configure describes.
func classStateAt(previous []*classState, index int, class Class) *classState {
	if index < len(previous) && previous[index].Name == class.Name {
		return previous[index]
	}
	state := newClassState(class)
	sameName := func(candidate *classState) bool { return candidate.Name == class.Name }
	if formerIndex := slices.IndexFunc(previous, sameName); formerIndex >= 0 {
		state.inherit(previous[formerIndex])
	}
	return state
}

// of returns the state of the class of a request.
func (t *classTable) of(req *request) *classState { return t.all[req.Class] }

// mostValuable returns the first active class of the highest weight.
func (t *classTable) mostValuable() *classState {
	return slices.MaxFunc(t.active, func(a, b *classState) int { return cmp.Compare(a.Weight, b.Weight) })
}

// dueStart returns the clock time by which a request should start.
func (t *classTable) dueStart(req *request) time.Duration {
	return req.arrivedAt + t.of(req).queueBudget
}

// byDueStart compares requests by dueStart.
func (t *classTable) byDueStart(a, b *request) int { return int(t.dueStart(a) - t.dueStart(b)) }
