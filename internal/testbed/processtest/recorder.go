package processtest

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"pewterline/internal/testbed/faults"
)

// Options say how a script is played.
type Options struct {
	Program  string // the path of the program, as Build returns it
	Settings json.RawMessage
	Calls    bool                             // the requests of one class call a vault, which has faults of its own
	Log      func(format string, args ...any) // nil: events are not logged
}

// Outcome is what became of a play.
type Outcome struct {
	Violations    []string // of invariants, with all that is known of the request, events and the servers' logs
	Answered      int
	Unanswered    int
	Served        int
	Rejected      int
	Indeterminate int // answers that tell nothing of the request's effect
	Upgrades      int
	Starts        int // of processes
	Calls         int // that the vault has read
	DisksLost     int
}

// Recorder collects the events and the outcome of a play. It may be used from any goroutine.
type Recorder struct {
	began time.Time
	log   func(format string, args ...any)

	mu      sync.Mutex
	outcome Outcome
	events  []string
}

// NewRecorder returns a recorder of a play that begins now. log may be nil.
func NewRecorder(log func(format string, args ...any)) *Recorder {
	return &Recorder{began: time.Now(), log: log}
}

// Elapsed returns the time since the play began.
func (r *Recorder) Elapsed() time.Duration { return time.Since(r.began) }

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

// Update changes the outcome.
func (r *Recorder) Update(change func(*Outcome)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.outcome)
}

// Violatedf records the violation of an invariant, whose name begins the text.
func (r *Recorder) Violatedf(format string, args ...any) {
	violation := fmt.Sprintf(format, args...)
	r.Update(func(o *Outcome) { o.Violations = append(o.Violations, violation) })
}

// Finish returns the outcome. Where an invariant was violated, the events follow the violations, and then the lines
// that serverLog returns.
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

// InjectFaults has each fault of a script happen at its time. It returns once the script's length has passed and all
// faults are over.
func (r *Recorder) InjectFaults(script faults.Script, inject func(faults.Fault)) {
	var injecting sync.WaitGroup
	for _, fault := range script.Faults {
		// InjectFaults owns these goroutines and waits for them: each ends with its fault.
		injecting.Go(func() {
			r.sleepUntil(fault.At.Duration())
			inject(fault)
		})
	}
	r.sleepUntil(script.Length.Duration())
	injecting.Wait()
}

func (r *Recorder) sleepUntil(elapsed time.Duration) { time.Sleep(time.Until(r.began.Add(elapsed))) }
