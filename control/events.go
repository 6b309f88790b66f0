package control

import "time"

// RequestID identifies one attempt of a request. The host never passes the same ID to a Controller twice.
type RequestID uint32

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes. OutcomeRejected, OutcomeUnreachable and OutcomeAlreadyEnded prove that nothing ran.
const (
	OutcomeOK           Outcome = iota
	OutcomeError                // failed, possibly after taking effect
	OutcomeRejected             // rejected before anything ran
	OutcomeTimeout              // abandoned; may have taken effect
	OutcomeUnreachable          // the other side could not be reached
	OutcomeReset                // the connection broke; may have taken effect
	OutcomeCancelled            // stopped, or ended at a call when no answer was needed any more
	OutcomeAlreadyEnded         // nothing was started, as the request had already ended
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

// provesNotRun reports whether the outcome proves that nothing ran, so that even a call that is not idempotent may be
// repeated.
func (o Outcome) provesNotRun() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeAlreadyEnded
}

// Gauges are readings of the host's machine; a negative value means "not known".
type Gauges struct {
	CPUUtilization float64 // busy share of the cores over the last half second, 0 to 1
	Runnable       float64 // tasks that need a core now: runs, reading, health checks, new connections
	Memory         float64 // share of the memory in use, 0 to 1
	Connections    float64 // open connections
}

// Event is something that has happened at the time that is given to Controller.Step.
type Event interface{ event() }

// RequestArrived reports a request that was just read. It is queued until an action starts or ends it.
type RequestArrived struct {
	ID         RequestID
	Class      int           // index into Settings.Classes
	Tenant     int           // index into Settings.Tenants
	SubjectKey uint64        // identifies the subject of the request, for Settings.ResultFreshness; 0 = none
	Deadline   time.Duration // clock time at which its caller gives up; 0 = not known
	Age        time.Duration // time since the request reached the machine
	CostHint   time.Duration // expected work; 0 = no hint
	QueuedKB   float64       // memory of the request while it is queued
	Rank       float64       // 0 to 1; callers compare it with the threshold of LoadSignalThreshold; not used here
	Retry      bool          // a retry or a hedged request
	Caller     uint32        // identifies the caller that sent the request
	// Original is the attempt that this one repeats: the one that RetainKey named last for their key, or any attempt
	// with that key that arrived earlier in the same step, even if it has ended since; 0 = none.
	Original RequestID
}

// RequestFinished reports the end of a Start or a ReplayResult. On OutcomeOK and OutcomeError the host has sent the
// answer.
type RequestFinished struct {
	ID      RequestID
	Outcome Outcome
	Took    time.Duration // since the action that started it
}

// CallNeeded reports that a running request waits for Call, SkipCall or Fail. Meanwhile it does not use the cores.
type CallNeeded struct{ ID RequestID }

// CallFinished reports the end of a Call. After OutcomeOK the request runs again; after any other outcome it waits as
// after CallNeeded.
type CallFinished struct {
	ID      RequestID
	Outcome Outcome
	Took    time.Duration
}

// RequestCancelled reports that a request needs no answer any more: its caller has gone away, or the host has answered.
type RequestCancelled struct{ ID RequestID }

// DrainRequested reports a request for a graceful shutdown, made Age before this step. The process is stopped at
// StopAt.
type DrainRequested struct{ StopAt, Age time.Duration }

// Tick reports that a timer set by ScheduleTick is due, with the host's gauges.
type Tick struct {
	Token  uint64 // of the ScheduleTick that requested this tick
	Gauges Gauges
}

func (RequestArrived) event()   {}
func (RequestFinished) event()  {}
func (CallNeeded) event()       {}
func (CallFinished) event()     {}
func (RequestCancelled) event() {}
func (DrainRequested) event()   {}
func (Tick) event()             {}
