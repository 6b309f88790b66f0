package dispatch

import (
	"maps"
	"slices"

	"pewterline/control"
)

// Counters count what became of the requests of a class since the process started. A request counts once, where it gets
// its response; one whose caller left before that counts nowhere.
type Counters struct {
	Succeeded int
	Rejected  int // never ran
	Failed    int // answered with an error, expired ones included
	Attempts  int // runs handed to the backend
}

// counterTable holds the counters of all classes that there are or were.
type counterTable struct {
	byName  map[string]*Counters
	byClass []*Counters // by place; classes of one name share their counters
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

// Counters are the counts of the class of that name, which is one of CountedClasses.
func (c *Core) Counters(class string) Counters { return *c.counters.byName[class] }

// CountedClasses are the names of all classes that there are or were, in order.
func (c *Core) CountedClasses() []string { return slices.Sorted(maps.Keys(c.counters.byName)) }

// CountMalformed counts a request of a known class that its frontend answered with an error.
func (c *Core) CountMalformed(class int) { c.counters.byClass[class].Failed++ }
