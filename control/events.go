package control

import "time"

// RequestID names one attempt of a request. The host never gives the same ID twice to a Controller.
type RequestID uint32

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes. OutcomeRejected, OutcomeUnreachable and OutcomeAlreadyEnded prove that nothing was run.
const (
	OutcomeOK           Outcome = iota
	OutcomeError                // failed, possibly after taking effect
	OutcomeRejected             // rejected unseen
	OutcomeTimeout              // abandoned; may have taken effect
	OutcomeUnreachable          // could not be reached
	OutcomeReset                // broken off; may have taken effect
	OutcomeCancelled            // stopped, or ended at a call after its answer was sent or its caller had left
	OutcomeAlreadyEnded         // nothing started, the request had already ended
)

// String returns the outcome in words.
func (o Outcome) String() string {
	switch o {
	case OutcomeOK:
		return "ok"
	case OutcomeError:
		return "error"
	case OutcomeRejected:
		return "rejected"
	case OutcomeTimeout:
		return "timeout"
	case OutcomeUnreachable:
		return "unreachable"
	case OutcomeReset:
		return "reset"
	case OutcomeCancelled:
		return "cancelled"
	case OutcomeAlreadyEnded:
		return "already ended"
	}
	return "unknown outcome"
}

// provesNotRun reports whether what ended so never ran, so that it may be attempted again whatever its effect.
func (o Outcome) provesNotRun() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeAlreadyEnded
}

// Gauges are the host's own readings; a negative value means "not known".
type Gauges struct {
	CPUUtilization float64 // busy share of the cores over the last half second
	Runnable       float64 // all that wants a core now: runs, reading, health checks, new connections
	Memory         float64 // memory in use, as a share
	Connections    float64 // open connections
}

// Event is something that has happened at the time that is given to Controller.Step.
type Event interface{ event() }

// RequestArrived is a request just read; it is queued until an action ends or starts it.
type RequestArrived struct {
	ID       RequestID
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants
	Key      uint64        // its subject; 0 = none
	Deadline time.Duration // clock time at which its caller gives up; 0 = not told
	Age      time.Duration // time since it reached the machine
	CostHint time.Duration // expected work; 0 = no hint
	QueuedKB float64       // memory while it is queued
	Rank     float64       // 0 to 1, by weight
	Retry    bool          // a retry or a hedged request
	Caller   uint32        // names the caller that sent it
	Original RequestID     // the request with a retained key that this one repeats; 0 = none
}

// RequestFinished ends a Start or a ReplayResult. On OutcomeOK and OutcomeError the host has sent the answer.
type RequestFinished struct {
	ID      RequestID
	Outcome Outcome
	Took    time.Duration // since the action that started it
}

// CallNeeded says that a running request waits, off the cores, for Call, SkipCall or Fail.
type CallNeeded struct{ ID RequestID }

// CallFinished is the outcome of a Call; other than on OutcomeOK the request waits as after CallNeeded.
type CallFinished struct {
	ID      RequestID
	Outcome Outcome
	Took    time.Duration
}

// RequestCancelled says that a caller has left: no answer is owed.
type RequestCancelled struct{ ID RequestID }

// DrainRequested asks for a graceful shutdown. It was sent Age before this step; the process is stopped at StopAt.
type DrainRequested struct{ StopAt, Age time.Duration }

// Tick is a timer set by ScheduleTick, with the host's gauges.
type Tick struct {
	Token  uint64 // of the ScheduleTick that asked for it
	Gauges Gauges
}

func (RequestArrived) event()   {}
func (RequestFinished) event()  {}
func (CallNeeded) event()       {}
func (CallFinished) event()     {}
func (RequestCancelled) event() {}
func (DrainRequested) event()   {}
func (Tick) event()             {}
