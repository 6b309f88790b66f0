package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// Run is what a backend needs to start an attempt.
type Run struct {
	ID    string
	Class string
	Body  []byte
	// AtMostOnce means that the run must not be started twice: its class is idempotent by key, or not idempotent.
	AtMostOnce bool
	// Deadline is when the end of the run is no longer of use to any caller.
	Deadline microtime.Time
	// Request is the request of the run, for backends that forward it. It must not be modified.
	Request *Request
}

// Backend runs requests. Each Start is followed by exactly one Core.RunFinished, even if a connection of the backend
// fails.
type Backend interface {
	Start(Run)
	// Cancel stops a run whose response is no longer needed. Its end is still reported.
	Cancel(id string)
	// RequestGauges requests the gauges of the backend's machine, which are passed to Core.SetGauges.
	RequestGauges()
}

// CallingBackend is a Backend whose runs may wait for calls, which it reports by Core.RunBlocked.
type CallingBackend interface {
	Backend
	// DeliverReply passes a run the reply that it waits for. The backend must not modify the reply.
	DeliverReply(id string, reply []byte)
}

// RunOutcome is how a run ended.
type RunOutcome uint8

// The outcomes of a run.
const (
	RunSucceeded RunOutcome = iota
	// RunFailed ended with an error, possibly after taking effect.
	RunFailed
	// RunCancelled was stopped, and its work is lost.
	RunCancelled
	// RunNotStarted never ran, as its caller had left.
	RunNotStarted
	// RunUnsupported never ran, as the backend does not support such a request.
	RunUnsupported
	// RunRejected never ran, as the backend or the store rejected it; see Core.RunDeclined.
	RunRejected
	// RunIndeterminate may have run. The backend ensures that it does not run twice.
	RunIndeterminate
)

// String names the outcome for logs and tests.
func (o RunOutcome) String() string {
	names := [...]string{
		"succeeded", "failed", "cancelled", "not started", "unsupported", "rejected", "indeterminate",
	}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("RunOutcome(%d)", uint8(o))
}

// neverRan reports whether the outcome proves that nothing was started.
func (o RunOutcome) neverRan() bool {
	return o == RunNotStarted || o == RunUnsupported || o == RunRejected
}

// controlOutcome converts the outcome for the decision module.
func (o RunOutcome) controlOutcome() control.Outcome {
	switch o {
	case RunSucceeded:
		return control.OutcomeOK
	case RunUnsupported, RunRejected:
		// An unsupported request says nothing about the health or the load of the machine. As a rejection it is removed
		// from the counts, so that a caller's made-up requests cannot influence them.
		return control.OutcomeRejected
	case RunIndeterminate:
		return control.OutcomeTimeout
	case RunCancelled, RunNotStarted:
		// Not OutcomeAlreadyEnded, which the module ignores: it would count the run as running for ever.
		return control.OutcomeCancelled
	case RunFailed:
	}
	return control.OutcomeError
}
