package processtest

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// RunRecord is one run.
type RunRecord struct {
	ID string
	By *Pool
	At time.Time
}

// RunLog is what was run, by all worker pools of a log server.
type RunLog struct {
	NamedResults bool // results name the run that made them; set before any run
	mu           sync.Mutex
	runs         map[string][]RunRecord // by body
}

// NewRunLog returns an empty one.
func NewRunLog() *RunLog { return &RunLog{runs: map[string][]RunRecord{}} }

func (l *RunLog) ran(body, id string, by *Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[body] = append(l.runs[body], RunRecord{id, by, time.Now()})
}

// Runs are the runs with a body.
func (l *RunLog) Runs(body string) []RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[body])
}

// before are the runs with a body that began before a time.
func (l *RunLog) before(body string, at time.Time) []RunRecord {
	return slices.DeleteFunc(l.Runs(body), func(r RunRecord) bool { return !r.At.Before(at) })
}

func (l *RunLog) all() map[string][]RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// DuplicateRuns are the bodies that ran more than once.
func (l *RunLog) DuplicateRuns() (out []string) {
	for body, runs := range l.all() {
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("%s: %v", body, runs))
		}
	}
	return out
}
