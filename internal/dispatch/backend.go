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
	// Deadline is when the result of the run is of no more use to any caller.
	Deadline microtime.Time
	// Request is the request of the run, for backends that forward it. It must not be modified.
	Request *Request
}

// Backend runs requests. Each Start is followed by exactly one Core.RunFinished, even if a connection of the backend
// fails.
type Backend interface {
	Start(Run)
	// Cancel stops a run whose response is no longer needed. The backend still reports the end of the run.
	Cancel(id string)
	// RequestGauges requests the gauges of the backend's machine, which are passed to Core.SetGauges.
	RequestGauges()
}

// CallingBackend is a Backend whose runs may wait for calls, which it reports by Core.RunBlocked.
type CallingBackend interface {
	Backend
	// DeliverReply passes to a run the reply to its call. The backend must not modify the reply.
	DeliverReply(id string, reply []byte)
}

// RunOutcome is how a run ended.
type RunOutcome uint8

// The outcomes of a run.
const (
	RunSucceeded RunOutcome = iota
	// RunFailed means that the run ended with an error, possibly after taking effect.
	RunFailed
	// RunCancelled means that the run was stopped and its work is lost.
	RunCancelled
	// RunNotStarted means that nothing ran, as the caller had abandoned the request.
	RunNotStarted
	// RunUnsupported means that nothing ran, as the backend does not support such a request.
	RunUnsupported
	// RunRejected means that nothing ran, as the backend or the store rejected the request; see Core.RunDeclined.
	RunRejected
	// RunIndeterminate means that the request may have run. The backend ensures that it does not run twice.
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
		// An unsupported request is no evidence of the health or the load of the machine. As a rejection it is removed
		// from the counts, so that a caller cannot distort them with invalid requests.
		return control.OutcomeRejected
	case RunIndeterminate:
		return control.OutcomeTimeout
	case RunCancelled, RunNotStarted:
		// Not OutcomeAlreadyEnded: the module ignores that outcome and would count the run as running for ever.
		return control.OutcomeCancelled
	case RunFailed:
	}
	return control.OutcomeError
}
