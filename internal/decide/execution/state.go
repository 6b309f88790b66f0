package execution

import "strconv"

// State is how far the execution of a request has come in this process.
type State uint8

// The states.
const (
	StateIdle        State = iota // nothing is in flight
	StateAcquiring                // the lease to run is being asked for
	StateRunning                  // the request was handed to its backend, or is about to be
	StateRecording                // the end of the run is being recorded in the register
	StateUnrecorded               // the end is known here alone: no majority accepted it in time; it is retried
	StateRecorded                 // a majority has accepted the end
	StateHeldByOther              // another process has the lease; it is polled until the caller's deadline
	StatePolling                  // the register is being read
	StateReleasing                // a lease that came to nothing is being released
)

const stateCount = int(StateReleasing) + 1

var stateNames = [stateCount]string{
	StateIdle:        "idle",
	StateAcquiring:   "acquiring",
	StateRunning:     "running",
	StateRecording:   "recording",
	StateUnrecorded:  "unrecorded",
	StateRecorded:    "recorded",
	StateHeldByOther: "held by other",
	StatePolling:     "polling",
	StateReleasing:   "releasing",
}

// String returns the name of the state.
func (s State) String() string { return enumName("State", stateNames[:], int(s)) }

// Event is what happens to the execution of a request.
type Event uint8

// The events. The first seven are what a change of the register has come to; see EventOf.
const (
	EventLeaseGranted    Event = iota // this process has the lease
	EventResultFound                  // the result of a run is agreed on
	EventFailureFound                 // it is agreed on that a run has failed
	EventHeldByOther                  // another process has the lease, or had it when it crashed
	EventUnavailable                  // no majority replied in time, or too much is in flight here
	EventVacant                       // nothing is agreed on, or not any more
	EventLeaseLost                    // the register has moved on: this process' run is of a retention that is over
	EventAttemptArrived               // an attempt is to run
	EventRunSucceeded                 // the run has ended well
	EventRunFailed                    // the run has failed
	EventRunNotStarted                // the run was not begun: the backend did not take it
	EventRetryDue                     // the pause after ActionRetryLater is over
	EventDeadlineReached              // whoever waits has to be answered now
)

const eventCount = int(EventDeadlineReached) + 1

var eventNames = [eventCount]string{
	EventLeaseGranted:    "lease granted",
	EventResultFound:     "result found",
	EventFailureFound:    "failure found",
	EventHeldByOther:     "held by other",
	EventUnavailable:     "unavailable",
	EventVacant:          "vacant",
	EventLeaseLost:       "lease lost",
	EventAttemptArrived:  "attempt arrived",
	EventRunSucceeded:    "run succeeded",
	EventRunFailed:       "run failed",
	EventRunNotStarted:   "run not started",
	EventRetryDue:        "retry due",
	EventDeadlineReached: "deadline reached",
}

// String returns the name of the event.
func (e Event) String() string { return enumName("Event", eventNames[:], int(e)) }

// Action is what has to be done.
type Action uint8

// The actions. ActionStart and those from ActionServe on answer whoever waits.
const (
	ActionAcquireLease        Action = iota + 1 // ask the register for the lease to run
	ActionStart                                 // begin the run
	ActionRecord                                // record the end of the run in the register
	ActionPoll                                  // read the register now
	ActionRetryLater                            // feed EventRetryDue after a pause
	ActionReleaseLease                          // give the lease back
	ActionServe                                 // answer with the agreed result
	ActionReportFailed                          // answer that the run has failed
	ActionReportIndeterminate                   // answer that it is not known whether it ran, until the retention is over
	ActionReportUnrecorded                      // answer that it ran, and that no majority has accepted its result yet
	ActionReject                                // answer that it has not run and does not: it can't be recorded in time
)

const actionCount = int(ActionReject) + 1 // with 0, which is none

var actionNames = [actionCount]string{
	ActionAcquireLease:        "acquire lease",
	ActionStart:               "start",
	ActionRecord:              "record",
	ActionPoll:                "poll",
	ActionRetryLater:          "retry later",
	ActionReleaseLease:        "release lease",
	ActionServe:               "serve",
	ActionReportFailed:        "report failed",
	ActionReportIndeterminate: "report indeterminate",
	ActionReportUnrecorded:    "report unrecorded",
	ActionReject:              "reject",
}

// String returns the name of the action.
func (a Action) String() string { return enumName("Action", actionNames[:], int(a)) }

// enumName returns the name of a value, or its type and number where it has none.
func enumName(enum string, names []string, value int) string {
	if value < len(names) && names[value] != "" {
		return names[value]
	}
	return enum + "(" + strconv.Itoa(value) + ")"
}
