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
	// AtMostOnce says that the run must not be started twice: its class is idempotent by key, or not at all.
	AtMostOnce bool
	// Deadline is when nobody waits for the end of the run any more.
	Deadline microtime.Time
	// Request is what the run came from, for backends that forward it. It is not to be changed.
	Request *Request
}

// Backend does the work. Each Start is followed by one Core.RunFinished, whatever becomes of the backend's connections.
type Backend interface {
	Start(Run)
	// Cancel stops a run whose response nobody wants any more. Its end is still reported.
	Cancel(id string)
	// RequestGauges asks for the readings of the machine, which come by Core.SetGauges.
	RequestGauges()
}

// CallingBackend is a Backend whose runs may wait for calls, of which it tells by Core.RunBlocked.
type CallingBackend interface {
	Backend
	// DeliverReply hands a run the reply that it waits for. The reply is not changed.
	DeliverReply(id string, reply []byte)
}

// RunOutcome is how a run ended.
type RunOutcome uint8

// The outcomes of a run.
const (
	RunSucceeded RunOutcome = iota
	// RunFailed has failed, possibly after taking effect.
	RunFailed
	// RunCancelled was stopped, and its work is lost.
	RunCancelled
	// RunNotStarted never ran, as its caller had left already.
	RunNotStarted
	// RunUnsupported never ran, as the backend does not take such a request.
	RunUnsupported
	// RunRejected never ran, as it was turned away; see Core.RunDeclined.
	RunRejected
	// RunIndeterminate may have run. The backend sees to it that it does not run twice.
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

// neverRan says that the outcome proves that nothing was started.
func (o RunOutcome) neverRan() bool {
	return o == RunNotStarted || o == RunUnsupported || o == RunRejected
}

// controlOutcome is the outcome as the decision module knows it.
func (o RunOutcome) controlOutcome() control.Outcome {
	switch o {
	case RunSucceeded:
		return control.OutcomeOK
	case RunUnsupported, RunRejected:
		// An unsupported request is no sign of a machine that fails, nor of what is asked of it: counted as rejected, it
		// moves neither the health nor the shares, whatever requests a caller makes up.
		return control.OutcomeRejected
	case RunIndeterminate:
		return control.OutcomeTimeout
	case RunCancelled, RunNotStarted:
		// The module takes no notice of a run that it is told never to have started, and would count it as running for
		// ever; a cancelled one is at its end.
		return control.OutcomeCancelled
	case RunFailed:
	}
	return control.OutcomeError
}
