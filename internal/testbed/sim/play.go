package sim

import (
	"fmt"
	"runtime/debug"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/invariant"
	"pewterline/internal/testbed/simnet"
)

const (
	// settlingTime is how long a run goes on for at most after the last request, so that all is answered.
	settlingTime = 20 * microtime.Second
	// minSettlingTime is how long it goes on for at least, so that what comes late is seen.
	minSettlingTime = 2 * microtime.Second
	// sliceLength is how much simulated time passes between two looks at whether the run is over.
	sliceLength = 100 * microtime.Millisecond
)

// Options say how a script is played, beside what it says itself.
type Options struct {
	// Log receives the servers' log lines and the injected faults; nil: nothing is logged.
	Log func(line string)
	// Every is called once a simulated second with the time since the start; nil: never.
	Every func(at microtime.Time)
	// StopAtFirst ends the run at the first violation. Without it the run goes on, and all violations are counted.
	StopAtFirst bool

	// beforeRun and afterRun are a test's: the first may add to the simulation, the second sees what became of it.
	beforeRun, afterRun func(*simulation)
	// interpose is a test's: it returns what stands between one process of a server and its event loop; nil: nothing.
	interpose func() interposer
}

// Outcome is what became of a run.
type Outcome struct {
	Violations []invariant.Violation
	Digest     uint64 // of all that the network carried, and when
	Situations []faultsearch.Situation
	// SituationCounts is how often each situation came about, by name.
	SituationCounts map[string]int
	Simulated       microtime.Time
	Events          uint64
	Turns           uint64         // of all event loops
	Requests        int            // attempts that the servers have answered
	Answers         map[string]int // the same, by kind
	Replies         map[string]int // of the vault to calls, by status
	// Example is what was seen of a request that was served after its run had made a call.
	Example []string
	Asked   map[string]int // requests, by class; retries are not counted
	Served  map[string]int // of them
	// WeightedGoodput is the priority weight that was served in time, as a share of the weight that was asked for.
	WeightedGoodput float64
	Panic           string // the program's, which is a violation as well; "": none
}

// Play plays a script to its end. The same script gives the same outcome. An error says that the script is not valid.
func Play(script faults.Script, options Options) (Outcome, error) {
	if err := script.Validate(); err != nil {
		return Outcome{}, err
	}
	sim, err := newSimulation(script, options)
	if err != nil {
		return Outcome{}, err
	}
	sim.build()
	if options.beforeRun != nil {
		options.beforeRun(sim)
	}
	panicked := sim.run()
	if options.afterRun != nil {
		options.afterRun(sim)
	}
	outcome := sim.outcome()
	outcome.Panic = panicked
	return outcome, nil
}

// run lets the simulation go on to its end. A panic of the program is a violation like any other; run returns its text.
func (s *simulation) run() (panicked string) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		panicked = fmt.Sprint(cause)
		s.observer.Violations = append(s.observer.Violations, invariant.Violation{
			Rule: "crash", Server: "?", At: s.clock.Since(), Message: "panic: " + panicked,
		})
		if s.options.Log != nil {
			s.options.Log(string(debug.Stack()))
		}
	}()
	requestsEnd := simnet.Start + s.script.Length
	end := requestsEnd + settlingTime
	nextSecond := simnet.Start
	for at := simnet.Start; at < end; at = min(at+sliceLength, end) {
		if violated := s.stepUntil(at); violated {
			return ""
		}
		if s.options.Every != nil && at >= nextSecond {
			nextSecond += microtime.Second
			s.options.Every(at - simnet.Start)
		}
		if at > requestsEnd+minSettlingTime && s.observer.Unanswered() == 0 && s.allServing() {
			return ""
		}
	}
	return ""
}

// stepUntil runs all events until a time, and reports whether a violation ends the run before.
func (s *simulation) stepUntil(at microtime.Time) (violated bool) {
	for s.clock.Step(at) {
		if s.options.StopAtFirst && len(s.observer.Violations) > 0 {
			return true
		}
	}
	return false
}

// outcome collects what has become of the run.
func (s *simulation) outcome() Outcome {
	outcome := Outcome{
		Violations:      s.observer.Violations,
		Digest:          s.clock.Digest(),
		Situations:      s.observer.Situations(),
		SituationCounts: s.observer.SituationCounts,
		Simulated:       s.clock.Since(),
		Events:          s.clock.Events(),
		Turns:           s.endedTurns,
		Answers:         s.observer.Answers,
		Replies:         s.observer.Replies,
		Example:         s.observer.Example,
		Asked:           s.environment.Started,
		Served:          s.environment.Served,
	}
	for _, instance := range s.instances() {
		outcome.Turns += instance.host.Turns()
	}
	for _, count := range outcome.Answers {
		outcome.Requests += count
	}
	if s.environment.WeightStarted > 0 {
		outcome.WeightedGoodput = s.environment.WeightServed / s.environment.WeightStarted
	}
	return outcome
}
