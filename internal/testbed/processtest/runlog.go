package processtest

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// RunRecord is one run at a worker pool.
type RunRecord struct {
	ID        string
	Pool      *Pool
	StartedAt time.Time
}

// RunLog records the runs at the worker pools of all processes of a server or a cluster.
type RunLog struct {
	// ResultsIncludeRunID makes each result include the ID of its run. It must be set before the first run.
	ResultsIncludeRunID bool

	mu   sync.Mutex
	runs map[string][]RunRecord // by request body
}

// NewRunLog returns an empty run log.
func NewRunLog() *RunLog { return &RunLog{runs: map[string][]RunRecord{}} }

func (l *RunLog) record(body, id string, pool *Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[body] = append(l.runs[body], RunRecord{ID: id, Pool: pool, StartedAt: time.Now()})
}

// Runs returns the runs of the requests with a body.
func (l *RunLog) Runs(body string) []RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[body])
}

// runsBefore returns the runs of the requests with a body that began before a time.
func (l *RunLog) runsBefore(body string, at time.Time) []RunRecord {
	return slices.DeleteFunc(l.Runs(body), func(r RunRecord) bool { return !r.StartedAt.Before(at) })
}

func (l *RunLog) all() map[string][]RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// DuplicateRuns describes the request bodies that ran more than once, one entry for each.
func (l *RunLog) DuplicateRuns() (duplicates []string) {
	for body, runs := range l.all() {
		if len(runs) > 1 {
			duplicates = append(duplicates, fmt.Sprintf("%s: %v", body, runs))
		}
	}
	return duplicates
}
