package dispatch

import (
	"maps"
	"slices"
)

// Counters count what became of the requests of a class since the process started. A request counts once, where it gets its
// answer; one whose caller left before that counts nowhere.
type Counters struct {
	Succeeded int // served
	Rejected  int // refused: never ran
	Failed    int // answered with an error
	Attempts  int // runs handed to the runner
}

// Counters are the counts of the class of that name.
func (c *Core) Counters(class string) Counters { return *c.byName[class] }

// CountedClasses are the names of all classes that there are or were.
func (c *Core) CountedClasses() []string { return slices.Sorted(maps.Keys(c.byName)) }

// tally gives each class the counts of its name.
func (c *Core) tally() {
	c.figures = nil
	for _, k := range c.settings.Classes {
		if c.byName[k.Name] == nil {
			c.byName[k.Name] = &Counters{}
		}
		c.figures = append(c.figures, c.byName[k.Name])
	}
}

func (c *Core) count(class int, s Status) {
	f := c.figures[class]
	switch s {
	case StatusSucceeded:
		f.Succeeded++
	case StatusRejected:
		f.Rejected++
	default:
		f.Failed++
	}
}

// CountMalformed counts a request of a known class that its front turned down with an error.
func (c *Core) CountMalformed(class int) { c.figures[class].Failed++ }
