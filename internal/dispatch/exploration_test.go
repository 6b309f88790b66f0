package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// exploration submits random attempts of a few keys to a process and its successor. It checks each start of a run and
// each answer.
type exploration struct {
	t        *rapid.T
	env      *handoffHarness
	attempts []*exploredAttempt
	runs     map[string]*exploredAttempt // by key: the attempt that ran, unless it was reported as not started
	passed   bool                        // the old process has passed the ownership of the keys
}

// exploredAttempt is one attempt of an exploration.
type exploredAttempt struct {
	exploration *exploration
	process     *harness
	requestID   control.RequestID
	runID, key  string
	arrivedAt   microtime.Time
	running     bool
}

// ranBefore returns an attempt that ran with the key and in whose retention window this one arrived; nil if none.
func (a *exploredAttempt) ranBefore() *exploredAttempt {
	run := a.exploration.runs[a.key]
	if run == nil || a.arrivedAt >= run.arrivedAt+a.process.core.retentionWindow(1) {
		return nil
	}
	return run
}

// Respond implements Responder. No attempt may be rejected after a run with its key.
func (a *exploredAttempt) Respond(response Response) {
	if run := a.ranBefore(); run != nil && response.Status == StatusRejected {
		a.exploration.t.Fatalf("attempt %s of %s is rejected after run %s", a.runID, a.key, run.runID)
	}
}

// runStarted checks that a key runs once.
func (e *exploration) runStarted(runID string) {
	for _, attempt := range e.attempts {
		if attempt.runID != runID {
			continue
		}
		if run := attempt.ranBefore(); run != nil {
			e.t.Fatalf("%s runs as %s after run %s", attempt.key, runID, run.runID)
		}
		e.runs[attempt.key] = attempt
		attempt.running = true
	}
}

// submit submits an attempt of a random key to a random process.
func (e *exploration) submit() {
	attempt := &exploredAttempt{
		exploration: e,
		process:     e.env.old,
		runID:       fmt.Sprint("run", len(e.attempts)),
		key:         fmt.Sprint("key", rapid.IntRange(1, 3).Draw(e.t, "key")),
	}
	if rapid.Bool().Draw(e.t, "at the successor") {
		attempt.process = e.env.successor
	}
	e.attempts = append(e.attempts, attempt)
	process := attempt.process
	age := microtime.Time(rapid.IntRange(0, 3000).Draw(e.t, "age")) * microtime.Millisecond
	attempt.arrivedAt = process.now - age
	id, err := process.core.Submit(process.now, Request{
		RunID: attempt.runID, Class: 1, IdempotencyKey: attempt.key, ArrivedAt: attempt.arrivedAt,
		QueuedKB: 1, Responder: attempt,
	})
	require.NoError(e.t, err)
	attempt.requestID = id
}

// finish ends a random run, which may turn out not to have been started.
func (e *exploration) finish() {
	var running []*exploredAttempt
	for _, attempt := range e.attempts {
		if attempt.running {
			running = append(running, attempt)
		}
	}
	if len(running) == 0 {
		return
	}
	attempt := running[rapid.IntRange(0, len(running)-1).Draw(e.t, "run")]
	outcome := rapid.SampledFrom([]RunOutcome{RunSucceeded, RunFailed, RunNotStarted, RunRejected}).Draw(e.t, "outcome")
	attempt.running = false
	if outcome.neverRan() {
		delete(e.runs, attempt.key)
	}
	attempt.process.core.RunFinished(attempt.runID, outcome, nil)
}

// abandon reports that the caller of a random attempt is gone.
func (e *exploration) abandon() {
	if len(e.attempts) > 0 {
		attempt := e.attempts[rapid.IntRange(0, len(e.attempts)-1).Draw(e.t, "abandoned")]
		attempt.process.core.Abandon(attempt.requestID)
	}
}

// deliver delivers the oldest message between the processes.
func (e *exploration) deliver() {
	if len(e.env.messages) > 0 {
		message := e.env.messages[0]
		e.env.messages = e.env.messages[1:]
		message()
	}
}

// passOwnership makes the successor the owner of the keys, once.
func (e *exploration) passOwnership() {
	if !e.passed && rapid.IntRange(0, 9).Draw(e.t, "pass ownership") == 0 {
		e.passed = true
		e.env.old.core.PassOwnership()
		e.env.messages = append(e.env.messages, e.env.successor.core.TakeOwnership)
	}
}

// endTurn ends a turn of both processes.
func (e *exploration) endTurn() {
	elapsed := 20 * microtime.Millisecond
	switch rapid.IntRange(0, 9).Draw(e.t, "stall") {
	case 8:
		elapsed = 500 * microtime.Millisecond
	case 9:
		elapsed = 4 * microtime.Second
	}
	for _, process := range []*harness{e.env.old, e.env.successor} {
		process.now += elapsed
		process.core.Step(process.now)
	}
}

// Guards against a second run of a key, and against the rejection of an attempt whose key has run, whichever attempts
// of the key are read in one turn, and while two processes serve.
func TestKeyRunsOnceInRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		explored := &exploration{t: t, env: newHandoffHarness(t), runs: map[string]*exploredAttempt{}}
		actions := []func(){
			explored.submit, explored.submit, explored.submit, explored.finish, explored.abandon,
			explored.deliver, explored.deliver, explored.passOwnership,
		}
		for _, process := range []*harness{explored.env.old, explored.env.successor} {
			process.now = microtime.Second
			process.onStart = explored.runStarted
		}
		for range rapid.IntRange(1, 60).Draw(t, "turns") {
			for range rapid.IntRange(0, 8).Draw(t, "actions") {
				actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			}
			explored.endTurn()
		}
	})
}
