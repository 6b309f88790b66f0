// Package execution decides what becomes of the request under an idempotency key on one log server of a cluster:
// whether an attempt of it runs, waits for another server's run, is served a result that is agreed on, or is told that
// nobody knows. It is a state machine for each key in each process.
//
// What is agreed on is the value of the key's register (package consensus); the state machine is what the process makes
// of it. Package replication drives it with a replicated register, and package server with a database in its place.
// Both feed events to Lifecycle.Step and carry out the actions that it returns.
//
// The package does no I/O, starts no goroutines and reads no clock: deadlines and pauses are events to it.
package execution

import "pewterline/internal/decide/consensus"

// Lifecycle is the state of the request under one idempotency key in one process. The zero value is idle.
type Lifecycle struct {
	State State
	// Started says that a run was begun in this process. The next lease is then not asked for as if none had been had
	// before; see NeverStarted of consensus.Change.
	Started bool
}

// Step takes an event, and returns what has to be done, in that order. The slice must not be changed. An event that the
// state does not expect changes nothing: it is of a change of the register that was given up.
func (l *Lifecycle) Step(event Event) []Action {
	to, expected := transitions[l.State][event]
	if !expected {
		return nil
	}
	switch {
	case to.state == StateRunning:
		l.Started = true
	case event == EventRunNotStarted:
		l.Started = false
	}
	l.State = to.state
	return to.actions
}

// transition is the state after an event, and what has to be done.
type transition struct {
	state   State
	actions []Action
}

func to(state State, actions ...Action) transition { return transition{state, actions} }

// transitions has the events that each state expects.
var transitions = [stateCount]map[Event]transition{
	StateIdle: {
		EventAttemptArrived: to(StateAcquiring, ActionAcquireLease),
		// The lease comes too late: whoever asked was told that the request does not run.
		EventLeaseGranted: to(StateReleasing, ActionReleaseLease),
	},
	StateAcquiring: {
		EventLeaseGranted: to(StateRunning, ActionStart),
		EventResultFound:  to(StateIdle, ActionServe),
		EventFailureFound: to(StateIdle, ActionReportFailed),
		EventHeldByOther:  to(StateHeldByOther, ActionRetryLater),
		// The lease may have been agreed on all the same, or may be yet. It is released, so that others need not wait for a
		// run that there is none of. Where that comes to nothing too, this process' next lease takes its place.
		EventUnavailable:     to(StateReleasing, ActionReject, ActionReleaseLease),
		EventDeadlineReached: to(StateReleasing, ActionReject, ActionReleaseLease),
	},
	StateHeldByOther: {
		EventRetryDue:        to(StatePolling, ActionPoll),
		EventDeadlineReached: to(StateIdle, ActionReportIndeterminate),
	},
	StatePolling: {
		EventResultFound:     to(StateIdle, ActionServe),
		EventFailureFound:    to(StateIdle, ActionReportFailed),
		EventHeldByOther:     to(StateHeldByOther, ActionRetryLater),
		EventUnavailable:     to(StateHeldByOther, ActionRetryLater),
		EventVacant:          to(StateAcquiring, ActionAcquireLease), // the other process has released its lease
		EventDeadlineReached: to(StateIdle, ActionReportIndeterminate),
	},
	StateRunning: {
		EventRunSucceeded:  to(StateRecording, ActionRecord),
		EventRunFailed:     to(StateRecording, ActionRecord),
		EventRunNotStarted: to(StateReleasing, ActionReleaseLease),
	},
	StateRecording: {
		EventResultFound:  to(StateRecorded, ActionServe),
		EventFailureFound: to(StateRecorded, ActionReportFailed),
		EventUnavailable:  to(StateUnrecorded, ActionReportUnrecorded, ActionRetryLater),
		// The retention is over, and another process has run the request since.
		EventLeaseLost: to(StateIdle, ActionReportUnrecorded),
	},
	StateUnrecorded: {
		EventRetryDue:     to(StateRecording, ActionRecord),
		EventRunSucceeded: to(StateRecording, ActionRecord),
	},
	StateRecorded: {
		EventRunSucceeded:   to(StateRecorded, ActionServe), // a repeat, whose dispatcher has not heard of the result
		EventAttemptArrived: to(StateAcquiring, ActionAcquireLease),
	},
	StateReleasing: {
		EventVacant:         to(StateIdle),
		EventUnavailable:    to(StateIdle),
		EventLeaseLost:      to(StateIdle),
		EventAttemptArrived: to(StateAcquiring, ActionAcquireLease), // behind the lease that is being released
	},
}

// EventOf returns the event of what a change of the register has come to; known is false where nobody can say.
func EventOf(outcome consensus.Outcome, known bool) Event {
	if !known {
		return EventUnavailable
	}
	switch outcome {
	case consensus.OutcomeLeaseGranted:
		return EventLeaseGranted
	case consensus.OutcomeSucceeded:
		return EventResultFound
	case consensus.OutcomeFailed:
		return EventFailureFound
	case consensus.OutcomeVacant:
		return EventVacant
	case consensus.OutcomeLeaseLost:
		return EventLeaseLost
	case consensus.OutcomeIndeterminate, consensus.OutcomeMembershipDecided:
	}
	return EventHeldByOther
}
