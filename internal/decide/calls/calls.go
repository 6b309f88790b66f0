// Package calls decides about the calls that runs make to the service downstream: what the end of a call proves about
// its effect, whether it may be made again, and over which connection each call goes.
//
// The request core (package dispatch) asks what an Outcome proves. The client of the service (package vaultclient) is
// the host of a Pool: it tells the pool what happens and carries out its Actions.
//
// The package is pure: no I/O, no clock, no goroutines. The table of effects is in docs/design/calls.md.
package calls

import (
	"fmt"

	"pewterline/control"
)

// Outcome is how a call ended, as this server saw it.
type Outcome uint8

// The outcomes. Each but Answered leaves the run waiting for its call.
const (
	// Answered has a reply, which goes to the run.
	Answered Outcome = iota
	// Rejected was turned away by the service.
	Rejected
	// Failed has failed at the service, possibly after taking effect.
	Failed
	// DeadlineExceeded was not finished in time at the service.
	DeadlineExceeded
	// Unwanted was turned down by the service, as no run waits for the call.
	Unwanted
	// ConnectFailed was never sent: the connection was refused, or could not be opened.
	ConnectFailed
	// ConnectionLost was sent on a connection that broke.
	ConnectionLost
	// Abandoned was sent and waited for long enough.
	Abandoned
	// NotSent was never sent, as there was no capacity for the call.
	NotSent
	outcomeCount
)

// String names the outcome for logs and tests.
func (o Outcome) String() string {
	names := [outcomeCount]string{
		"answered", "rejected", "failed", "deadline exceeded", "unwanted", "connect failed", "connection lost",
		"abandoned", "not sent",
	}
	if o < outcomeCount {
		return names[o]
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// Effect is what an outcome proves about the effect of a call.
type Effect uint8

// The effects.
const (
	// Executed ran once, and its reply is here.
	Executed Effect = iota
	// NotExecuted has had no effect.
	NotExecuted
	// MaybeExecuted proves nothing.
	MaybeExecuted
)

// String names the effect for logs and tests.
func (e Effect) String() string {
	switch e {
	case Executed:
		return "executed"
	case NotExecuted:
		return "not executed"
	case MaybeExecuted:
		return "maybe executed"
	}
	return fmt.Sprintf("Effect(%d)", uint8(e))
}

// Effect tells what an outcome proves about the effect of the call. One that is not known proves nothing.
func (o Outcome) Effect() Effect {
	switch o {
	case Answered:
		return Executed
	case Rejected, Unwanted, ConnectFailed, NotSent:
		return NotExecuted
	default:
		return MaybeExecuted
	}
}

// MayRepeat tells whether a call of a request of this idempotency may be made again after an outcome. A request that
// may run once makes a call again only where the call before is proven not to have run, so that no effect happens
// twice.
func MayRepeat(idempotency control.Idempotency, outcome Outcome) bool {
	switch outcome.Effect() {
	case NotExecuted:
		return true
	case MaybeExecuted:
		return idempotency == control.Idempotent
	case Executed:
	}
	return false
}

// ControlOutcome is the outcome as the decision module knows it.
func (o Outcome) ControlOutcome() control.Outcome {
	switch o {
	case Answered:
		return control.OutcomeOK
	case Rejected, NotSent:
		return control.OutcomeRejected
	case DeadlineExceeded, Abandoned:
		return control.OutcomeTimeout
	case Unwanted:
		return control.OutcomeAlreadyEnded
	case ConnectFailed:
		return control.OutcomeUnreachable
	case ConnectionLost:
		return control.OutcomeReset
	default:
		return control.OutcomeError
	}
}
