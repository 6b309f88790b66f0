package dispatch

import (
	"maps"
	"slices"

	"pewterline/control"
)

// Counters count the responses and runs of a class since the process started. A request is counted once, when it is
// answered; a request that its caller abandons before that is not counted.
type Counters struct {
	Succeeded int
	Rejected  int // never ran
	Failed    int // answered with an error, expired ones included
	Attempts  int // runs handed to the backend
}

// counterTable holds the counters of all current and former classes.
type counterTable struct {
	byName  map[string]*Counters
	byClass []*Counters // by index; classes of the same name share their counters
}

func newCounterTable() counterTable { return counterTable{byName: map[string]*Counters{}} }

// assign gives each class the counters of its name.
func (t *counterTable) assign(classes []control.Class) {
	t.byClass = nil
	for _, class := range classes {
		if t.byName[class.Name] == nil {
			t.byName[class.Name] = &Counters{}
		}
		t.byClass = append(t.byClass, t.byName[class.Name])
	}
}

func (t *counterTable) count(class int, status Status) {
	counters := t.byClass[class]
	switch status {
	case StatusSucceeded:
		counters.Succeeded++
	case StatusRejected:
		counters.Rejected++
	case StatusFailed, StatusExpired:
		counters.Failed++
	}
}

// Counters returns the counts of a class, which must be one of CountedClasses.
func (c *Core) Counters(class string) Counters { return *c.counters.byName[class] }

// CountedClasses returns the sorted names of all current and former classes.
func (c *Core) CountedClasses() []string { return slices.Sorted(maps.Keys(c.counters.byName)) }

// CountMalformed counts a request of a known class that the frontend answered with an error instead of submitting it.
func (c *Core) CountMalformed(class int) { c.counters.byClass[class].Failed++ }
