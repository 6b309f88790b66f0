package processtest

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Ran is one run.
type Ran struct {
	ID string
	By *Pool
	At time.Time
}

// Ledger is what was run, by all worker pools of a log server.
type Ledger struct {
	Named bool // results name the run that made them; set before any run
	mu    sync.Mutex
	runs  map[string][]Ran // by body
}

// NewLedger returns an empty one.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]Ran{}} }

func (l *Ledger) ran(body, id string, by *Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[body] = append(l.runs[body], Ran{id, by, time.Now()})
}

// Runs are the runs with a body.
func (l *Ledger) Runs(body string) []Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[body])
}

// before are the runs with a body that began before a time.
func (l *Ledger) before(body string, at time.Time) []Ran {
	return slices.DeleteFunc(l.Runs(body), func(r Ran) bool { return !r.At.Before(at) })
}

func (l *Ledger) all() map[string][]Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Twice are the bodies that ran more than once.
func (l *Ledger) Twice() (out []string) {
	for body, runs := range l.all() {
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("%s: %v", body, runs))
		}
	}
	return out
}
