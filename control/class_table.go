package control

import (
	"cmp"
	"slices"
	"time"
)

// classTable holds the classes under their numbers.
type classTable struct {
	all    []*classState
	active []*classState // those that are not retired
}

// configure takes up settings. A class that keeps number and name keeps its state; under another number it inherits
// what was learned of its name.
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
		// Where all classes tie there is no lowest: none is best effort.
		state.bestEffort = class.Weight == lowest && lowest < highest
		t.all = append(t.all, state)
		if !class.Retired {
			t.active = append(t.active, state)
		}
	}
}

// keptClassState is the state of a class that may have been among those before.
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

// of is the class of a request.
func (t *classTable) of(req *request) *classState { return t.all[req.Class] }

// mostValuable is the first active class of the highest weight.
func (t *classTable) mostValuable() *classState {
	return slices.MaxFunc(t.active, func(a, b *classState) int { return cmp.Compare(a.Weight, b.Weight) })
}

// dueToStart is when a request should start.
func (t *classTable) dueToStart(req *request) time.Duration {
	return req.arrivedAt + t.of(req).queueBudget
}

// byDueStart orders requests by the time at which they should start.
func (t *classTable) byDueStart(a, b *request) int { return int(t.dueToStart(a) - t.dueToStart(b)) }
