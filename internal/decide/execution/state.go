package execution

import "strconv"

// State is the state of the execution of a request in this process.
type State uint8

// The states.
const (
	StateIdle        State = iota // nothing is in flight
	StateAcquiring                // the lease to run is being acquired
	StateRunning                  // the request was passed to its backend, or is about to be
	StateRecording                // the outcome of the run is being recorded in the register
	StateUnrecorded               // no majority has accepted the outcome in time; recording it is retried
	StateRecorded                 // a majority has accepted the outcome
	StateHeldByOther              // another process has the lease; it is polled until the caller's deadline
	StatePolling                  // the register is being read
	StateReleasing                // an unused lease is being released
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

// Event is an event of the execution of a request.
type Event uint8

// The events. The first seven are outcomes of proposals to the register; see EventOf.
const (
	EventLeaseGranted    Event = iota // this process has the lease
	EventResultFound                  // the register holds the result of a run
	EventFailureFound                 // the register says that a run has failed
	EventHeldByOther                  // another process has the lease, or had it when it crashed
	EventUnavailable                  // no majority replied in time, or the change could not be proposed
	EventVacant                       // the register is empty or expired
	EventLeaseLost                    // the register holds a later lease: the retention of this process' run is over
	EventAttemptArrived               // an attempt arrived that should run
	EventRunSucceeded                 // the run has succeeded
	EventRunFailed                    // the run has failed
	EventRunNotStarted                // the run was not started: the backend refused it
	EventRetryDue                     // the pause after ActionRetryLater is over
	EventDeadlineReached              // the waiting attempt must be answered now
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

// Action is something that the caller of Step must do.
type Action uint8

// The actions. ActionStart and those from ActionServe on answer the waiting attempt.
const (
	ActionAcquireLease        Action = iota + 1 // propose the lease to the register
	ActionStart                                 // start the run
	ActionRecord                                // record the outcome of the run in the register
	ActionPoll                                  // read the register now
	ActionRetryLater                            // pass EventRetryDue after a pause
	ActionReleaseLease                          // release the lease in the register
	ActionServe                                 // answer with the result in the register
	ActionReportFailed                          // answer that the run has failed
	ActionReportIndeterminate                   // answer that the request may have run, until the retention is over
	ActionReportUnrecorded                      // answer that the request ran, but that its outcome is not recorded yet
	ActionReject                                // answer that the request has not run and will not: no lease was acquired
)

const actionCount = int(ActionReject) + 1 // including 0, which is no action

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

// enumName returns the name of a value, or its type and number if it has none.
func enumName(enum string, names []string, value int) string {
	if value < len(names) && names[value] != "" {
		return names[value]
	}
	return enum + "(" + strconv.Itoa(value) + ")"
}
