// Package calls decides about the calls that runs make to the downstream service: what the outcome of a call proves
// about its effect, whether it may be repeated, and over which connection each call goes.
//
// The request core (package dispatch) uses Outcome.Effect and MayRepeat. The client of the service (package
// vaultclient) is the host of a Pool: it reports events to the pool and carries out its Actions.
//
// The package is pure: no I/O, no clock, no goroutines. The table of effects is in docs/design/calls.md.
package calls

import (
	"fmt"

	"pewterline/control"
)

// Outcome is how a call ended, as this server saw it.
type Outcome uint8

// The outcomes. After each of them but Answered, the run still waits for its call.
const (
	// Answered means that the service replied.
	Answered Outcome = iota
	// Rejected means that the service rejected the call, for example under overload.
	Rejected
	// Failed means that the call failed at the service, possibly after taking effect.
	Failed
	// DeadlineExceeded means that the service did not finish the call in time.
	DeadlineExceeded
	// Unwanted means that the service refused the call because no run waits for it.
	Unwanted
	// ConnectFailed means that the call was never sent because no connection could be opened.
	ConnectFailed
	// ConnectionLost means that the call was sent on a connection that broke.
	ConnectionLost
	// Abandoned means that the call was sent, but its timeout expired or its request ended before the reply.
	Abandoned
	// NotSent means that the call was never sent because there was no capacity for it.
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
	// Executed means that the call ran once.
	Executed Effect = iota
	// NotExecuted means that the call had no effect.
	NotExecuted
	// MaybeExecuted means that the call may have had an effect.
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

// Effect returns what the outcome proves about the effect of the call; MaybeExecuted for an unknown outcome.
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

// MayRepeat reports whether a call may be repeated after an outcome, given the idempotency of its request. If the
// request is not idempotent, a call is repeated only if it is proven not to have run, so that no effect happens twice.
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

// ControlOutcome converts the outcome for the decision module (package control).
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
