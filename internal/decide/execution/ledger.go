// Package execution decides what becomes of an intake on one log server of a group that holds copies: whether a try of it runs, waits
// for another server's run, gets a result that is agreed on, or is told that nobody knows. It is a state machine for each once-key
// in each process, without I/O, goroutines or a clock. What is agreed on is the register's (package copies); this is what the
// process makes of it.
package execution

import "pewterline/internal/decide/consensus"

// State is how far an intake has come here.
type State uint8

// The states.
const (
	StateIdle        State = iota // nothing is under way
	StateAcquiring                // for the leave to run
	StateRunning                  // it was handed to the worker pool, or is about to be
	StateRecording                // its end is on its way to the holders
	StateUnrecorded               // its end is known here alone: no majority took it in time. It is tried again
	StateRecorded                 // a majority holds its end
	StateHeldByOther              // another process has the leave; it is looked at again until somebody is owed an answer
	StatePolling                  // that look is under way
	StateReleasing                // a leave that came to nothing is taken back
	States
)

// Event is what happens.
type Event uint8

// The events. The first five are what a change of the register has come to.
const (
	EventLeaseGranted    Event = iota // the leave is here
	EventResultFound                  // a run's result is agreed on
	EventFailureFound                 // so is it that a run has failed
	EventHeldByOther                  // another process has the leave, or had it when it died
	EventUnavailable                  // no majority answered in time, or too much is under way here
	EventVacant                       // looked, and nothing is agreed on, or not any more
	EventLeaseLost                    // the register has moved on: this process' run is of a window that is over
	EventAttemptArrived               // a try is to run
	EventLeaseTooLate                 // the leave came when nobody waited any more
	EventRunSucceeded                 // the run has ended well
	EventRunFailed                    // it has ended, and not well
	EventRunNotStarted                // it was never begun: the worker pool did not take it
	EventRetryDue                     // the time to look again
	EventDeadlineReached              // whoever waits is owed an answer now
	Events
)

// Action is what is to be done.
type Action uint8

// The actions.
const (
	ActionAcquireLease        Action = iota + 1 // the register, for the leave to run
	ActionStart                                 // the run
	ActionRecord                                // the run's end to the holders
	ActionPoll                                  // at the register, now
	ActionRetryLater                            // at the register after a while; of Uncopied: copy again
	ActionReleaseLease                          // the leave
	ActionServe                                 // the agreed result
	ActionReportFailed                          // the run has failed
	ActionReportIndeterminate                   // whether it ran is not known before its window is over
	ActionReportUnrecorded                      // it ran, and its result is not held by a majority: a repeat tries again to have it held
	ActionReject                                // it has not run, and does not: it cannot be put on record in time
	ActionReportCancelled                       // it was not begun
)

// Lifecycle is the state of an intake in one process.
type Lifecycle struct {
	State   State
	Started bool // a run of it was begun in this process: no leave is asked for as if none had been had before
}

// Step moves an intake on; it returns what is to be done. An event that a state cannot have changes nothing: it is of a change that
// was given up.
func (k *Lifecycle) Step(e Event) []Action {
	to := func(s State, does ...Action) []Action {
		k.State = s
		return does
	}
	switch k.State {
	case StateIdle:
		switch e {
		case EventAttemptArrived:
			return to(StateAcquiring, ActionAcquireLease)
		case EventLeaseGranted: // too late: whoever asked was told that it does not run
			return to(StateReleasing, ActionReleaseLease)
		}
	case StateAcquiring:
		switch e {
		case EventLeaseGranted:
			k.Started = true
			return to(StateRunning, ActionStart)
		case EventLeaseTooLate:
			return to(StateReleasing, ActionReleaseLease, ActionReportCancelled)
		case EventResultFound:
			return to(StateIdle, ActionServe)
		case EventFailureFound:
			return to(StateIdle, ActionReportFailed)
		case EventHeldByOther:
			return to(StateHeldByOther, ActionRetryLater)
		case EventUnavailable, EventDeadlineReached:
			// The leave may have been agreed on all the same, or may be yet: it is taken back, so that others need not wait for a
			// run that there is none of. Where that comes to nothing too, this process' next leave takes its place.
			return to(StateReleasing, ActionReject, ActionReleaseLease)
		}
	case StateHeldByOther:
		switch e {
		case EventRetryDue:
			return to(StatePolling, ActionPoll)
		case EventDeadlineReached:
			return to(StateIdle, ActionReportIndeterminate)
		}
	case StatePolling:
		switch e {
		case EventResultFound:
			return to(StateIdle, ActionServe)
		case EventFailureFound:
			return to(StateIdle, ActionReportFailed)
		case EventHeldByOther, EventUnavailable:
			return to(StateHeldByOther, ActionRetryLater)
		case EventVacant: // the other has taken its leave back
			return to(StateAcquiring, ActionAcquireLease)
		case EventDeadlineReached:
			return to(StateIdle, ActionReportIndeterminate)
		}
	case StateRunning:
		switch e {
		case EventRunSucceeded, EventRunFailed:
			return to(StateRecording, ActionRecord)
		case EventRunNotStarted:
			k.Started = false
			return to(StateReleasing, ActionReleaseLease)
		}
	case StateRecording:
		switch e {
		case EventResultFound:
			return to(StateRecorded, ActionServe)
		case EventFailureFound:
			return to(StateRecorded, ActionReportFailed)
		case EventUnavailable:
			return to(StateUnrecorded, ActionReportUnrecorded, ActionRetryLater)
		case EventLeaseLost: // its window is over, and somebody else has run it in another
			return to(StateIdle, ActionReportUnrecorded)
		}
	case StateRecorded:
		switch e {
		case EventRunSucceeded: // a repeat, whose core has not heard of it
			return to(StateRecorded, ActionServe)
		case EventAttemptArrived:
			return to(StateAcquiring, ActionAcquireLease)
		}
	case StateUnrecorded:
		switch e {
		case EventRetryDue, EventRunSucceeded:
			return to(StateRecording, ActionRecord)
		}
	case StateReleasing:
		switch e {
		case EventVacant, EventUnavailable, EventLeaseLost:
			return to(StateIdle)
		case EventAttemptArrived: // behind the leave that is being taken back
			return to(StateAcquiring, ActionAcquireLease)
		}
	}
	return nil
}

// EventOf is the event of what a change has come to; known is false where nobody can say.
func EventOf(v consensus.Outcome, known bool) Event {
	if !known {
		return EventUnavailable
	}
	switch v {
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
	}
	return EventHeldByOther
}
