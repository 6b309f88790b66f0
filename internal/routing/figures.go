package routing

import "pewterline/control"

// Figures count what became of the requests of a class since the process started. A request counts once, where it gets its
// answer; one whose caller left before that counts nowhere.
type Figures struct {
	Passed  int // served
	Dropped int // refused: never ran
	Failed  int // answered with an error
	Tries   int // runs handed to the runner
}

// Figures are the counts of the class of that number.
func (c *Core) Figures(class int) Figures { return c.figures[class] }

func (c *Core) count(class int, s Status) {
	f := &c.figures[class]
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

// Classes are the classes by their numbers.
func (c *Core) Classes() []control.Class { return c.settings.Classes }
