package routing

import (
	"maps"
	"slices"
)

// Figures count what became of the requests of a class since the process started. A request counts once, where it gets its
// answer; one whose caller left before that counts nowhere.
type Figures struct {
	Passed  int // served
	Dropped int // refused: never ran
	Failed  int // answered with an error
	Tries   int // runs handed to the runner
}

// Figures are the counts of the class of that name.
func (c *Core) Figures(class string) Figures { return *c.byName[class] }

// Counted are the names of all classes that there are or were.
func (c *Core) Counted() []string { return slices.Sorted(maps.Keys(c.byName)) }

// tally gives each class the counts of its name.
func (c *Core) tally() {
	c.figures = nil
	for _, k := range c.settings.Classes {
		if c.byName[k.Name] == nil {
			c.byName[k.Name] = &Figures{}
		}
		c.figures = append(c.figures, c.byName[k.Name])
	}
}

func (c *Core) count(class int, s Status) {
	f := c.figures[class]
	switch s {
	case Served:
		f.Passed++
	case Refused:
		f.Dropped++
	default:
		f.Failed++
	}
}

// Malformed counts a request of a known class that its front turned down with an error.
func (c *Core) Malformed(class int) { c.figures[class].Failed++ }
