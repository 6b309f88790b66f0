package processtest

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"pewterline/internal/testbed/faults"
)

// Options configure a play.
type Options struct {
	Program   string // the path of the program, as Build returns it
	Settings  json.RawMessage
	CallVault bool                             // requests of one class call a vault that has faults as well
	Log       func(format string, args ...any) // nil: events are not logged
}

// Outcome is the result of a play.
type Outcome struct {
	Violations    []string // of invariants, followed by the events and the servers' logs
	Answered      int
	Unanswered    int
	Served        int
	Rejected      int
	Indeterminate int // replies that leave open whether the request took effect
	Upgrades      int
	Starts        int // processes started
	Calls         int // received by the vault
	DisksLost     int
}

// Recorder collects the events and the outcome of a play. It may be used from any goroutine.
type Recorder struct {
	startedAt time.Time
	log       func(format string, args ...any)

	mu      sync.Mutex
	outcome Outcome
	events  []string
}

// NewRecorder returns a recorder of a play that begins now. log is called with each event; it may be nil.
func NewRecorder(log func(format string, args ...any)) *Recorder {
	return &Recorder{startedAt: time.Now(), log: log}
}

// Elapsed returns the time since the play began.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.startedAt) }

// Eventf records an event with its time, and logs it.
func (r *Recorder) Eventf(format string, args ...any) {
	event := fmt.Sprintf("%7.3f ", r.Elapsed().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.events = append(r.events, event)
	r.mu.Unlock()
	if r.log != nil {
		r.log("%s", event)
	}
}

// Update applies a change to the outcome.
func (r *Recorder) Update(change func(*Outcome)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.outcome)
}

// Violationf records the violation of an invariant. The text begins with the name of the invariant.
func (r *Recorder) Violationf(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	r.Update(func(o *Outcome) { o.Violations = append(o.Violations, violation) })
}

// Finish returns the outcome. If an invariant was violated, it appends the events and then the lines that serverLog
// returns to the violations.
func (r *Recorder) Finish(serverLog func() []string) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.outcome.Violations) == 0 {
		return r.outcome
	}
	for _, event := range r.events {
		r.outcome.Violations = append(r.outcome.Violations, "    "+event)
	}
	r.outcome.Violations = append(r.outcome.Violations, serverLog()...)
	return r.outcome
}

// InjectFaults calls inject for each fault of a script at the fault's time. It returns once the script's length has
// passed and all calls have returned.
func (r *Recorder) InjectFaults(script faults.Script, inject func(faults.Fault)) {
	var injecting sync.WaitGroup
	for _, fault := range script.Faults {
		// InjectFaults owns these goroutines and waits for them: each ends with its call of inject.
		injecting.Go(func() {
			r.sleepUntil(fault.At.Duration())
			inject(fault)
		})
	}
	r.sleepUntil(script.Length.Duration())
	injecting.Wait()
}

func (r *Recorder) sleepUntil(elapsed time.Duration) {
	time.Sleep(time.Until(r.startedAt.Add(elapsed)))
}
