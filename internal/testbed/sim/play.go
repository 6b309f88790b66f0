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
	// settlingTime is the longest time that a run continues after the last request, to let the servers answer all
	// requests.
	settlingTime = 20 * microtime.Second
	// minSettlingTime is the shortest time that a run continues after the last request, to observe late messages.
	minSettlingTime = 2 * microtime.Second
	// endCheckInterval is the simulated time between two checks whether the run can end.
	endCheckInterval = 100 * microtime.Millisecond
)

// Options are the settings of a run that are not part of the script.
type Options struct {
	// Log receives the servers' log lines and the injected faults. If it is nil, nothing is logged.
	Log func(line string)
	// EverySecond is called once per simulated second with the time since the start, unless it is nil.
	EverySecond func(at microtime.Time)
	// StopAtFirst ends the run at the first violation. Otherwise the run continues and collects all violations.
	StopAtFirst bool

	// beforeRun and afterRun are for tests and experiments. The first may change the simulation, the second may examine
	// its result.
	beforeRun, afterRun func(*simulation)
	// interpose is for tests. It returns the interposer of a new process; if it is nil, there is none.
	interpose func() interposer
}

// Outcome is the result of a run.
type Outcome struct {
	Violations []invariant.Violation
	Digest     uint64 // of all network traffic and its timing
	Situations []faultsearch.Situation
	// SituationCounts counts how often each situation was reached, by name.
	SituationCounts map[string]int
	Simulated       microtime.Time
	Events          uint64
	Turns           uint64         // of all event loops
	Requests        int            // attempts that the servers have answered
	Answers         map[string]int // the same, by kind
	Replies         map[string]int // of the vault to calls, by status
	// ExampleTrace is the history of a request that was served after its run had made a downstream call.
	ExampleTrace    []string
	RequestsByClass map[string]int // sent requests by class, without retries
	ServedByClass   map[string]int // served requests by class
	// WeightedGoodput is the priority weight of requests served in time, as a share of the weight of all requests.
	WeightedGoodput float64
	Panic           string // message of a panic of the program, which is also a violation; empty if there was none
}

// Play plays a script to its end. The same script gives the same outcome. Play returns an error if the script is not
// valid.
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

// run runs the simulation to its end. A panic of the program is recorded as a violation; run returns its message.
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
	for at := simnet.Start; at < end; at = min(at+endCheckInterval, end) {
		if violated := s.stepUntil(at); violated {
			return ""
		}
		if s.options.EverySecond != nil && at >= nextSecond {
			nextSecond += microtime.Second
			s.options.EverySecond(at - simnet.Start)
		}
		if at > requestsEnd+minSettlingTime && s.observer.Unanswered() == 0 && s.allServing() {
			return ""
		}
	}
	return ""
}

// stepUntil runs all events up to a time, and reports whether a violation ended the run before.
func (s *simulation) stepUntil(at microtime.Time) (violated bool) {
	for s.clock.Step(at) {
		if s.options.StopAtFirst && len(s.observer.Violations) > 0 {
			return true
		}
	}
	return false
}

// outcome collects the result of the run.
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
		ExampleTrace:    s.observer.Example,
		RequestsByClass: s.environment.Started,
		ServedByClass:   s.environment.Served,
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
