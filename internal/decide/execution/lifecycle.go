// Package execution decides, on one server of a replication group, about the request of an idempotency key: whether an
// attempt runs, waits for the run of another server, is answered with the result of a run, or fails because it is not
// known whether the request ran. It is a state machine for each key in each process.
//
// The servers agree on the value of the key's register (package consensus), which holds the execution lease or the
// result; the state machine decides how this process reacts to that value. Package replication drives it with a
// replicated register, and package server with a database in its place. Both pass events to Lifecycle.Step and carry
// out the actions that it returns.
//
// The package does no I/O, starts no goroutines and reads no clock: deadlines and pauses are events.
package execution

import "pewterline/internal/decide/consensus"

// Lifecycle is the state of the request under one idempotency key in one process. The zero value is idle.
type Lifecycle struct {
	State State
	// Started means that a run was started in this process. If it is false, the next lease may replace an earlier, unused
	// one of this process; see consensus.Change.NeverStarted.
	Started bool
}

// Step applies an event and returns the actions that the caller must carry out, in that order. The slice must not be
// modified. An event that the state does not expect is ignored: it is the late result of an abandoned proposal.
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

// transition is the state after an event, and the actions to carry out.
type transition struct {
	state   State
	actions []Action
}

func to(state State, actions ...Action) transition { return transition{state, actions} }

// transitions holds the events that each state expects.
var transitions = [stateCount]map[Event]transition{
	StateIdle: {
		EventAttemptArrived: to(StateAcquiring, ActionAcquireLease),
		// The lease comes too late: the attempt was already rejected.
		EventLeaseGranted: to(StateReleasing, ActionReleaseLease),
	},
	StateAcquiring: {
		EventLeaseGranted: to(StateRunning, ActionStart),
		EventResultFound:  to(StateIdle, ActionServe),
		EventFailureFound: to(StateIdle, ActionReportFailed),
		EventHeldByOther:  to(StateHeldByOther, ActionRetryLater),
		// The lease may have been granted nevertheless, or may still be granted. It is released, so that other servers do
		// not wait for a run that never starts. If the release fails too, the next lease of this process replaces it.
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
		EventRunSucceeded:   to(StateRecorded, ActionServe), // a repeated report: the host did not get the answer
		EventAttemptArrived: to(StateAcquiring, ActionAcquireLease),
	},
	StateReleasing: {
		EventVacant:         to(StateIdle),
		EventUnavailable:    to(StateIdle),
		EventLeaseLost:      to(StateIdle),
		EventAttemptArrived: to(StateAcquiring, ActionAcquireLease), // a new lease, after the one that is being released
	},
}

// EventOf returns the event for the outcome of a proposal; known is false if no majority replied in time.
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
