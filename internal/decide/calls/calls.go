// Package calls decides what may follow the end of a call to the vault. It is pure: no I/O, no clock, no state.
//
// The table of effects is in docs/design/calls.md.
package calls

import "pewterline/control"

// Outcome is how a call ended, as the log server saw it.
type Outcome uint8

// The outcomes. Each but Answered leaves the run waiting for its call.
const (
	Answered         Outcome = iota // "yes": the reply goes to the run
	Rejected                        // "notnow"
	Failed                          // "failed"
	DeadlineExceeded                // "overdue"
	Unwanted                        // "pointless": no run waits for the call
	ConnectFailed                   // the connection was refused, or could not be opened: the call was never sent
	ConnectionLost                  // the connection broke after the call was sent
	Abandoned                       // the log server waited long enough and gave the call up
	NotSent                         // the log server had no room for the call, and did not send it
	outcomeCount
)

// Effect is what an outcome proves about the call's effect.
type Effect uint8

// The proofs.
const (
	Executed      Effect = iota // it ran, and its reply is here
	NotExecuted                 // it has had no effect
	MaybeExecuted               // nothing is proven
)

// Effect tells what an outcome proves about the effect of the call.
func (o Outcome) Effect() Effect {
	switch o {
	case Answered:
		return Executed
	case Rejected, Unwanted, ConnectFailed, NotSent:
		return NotExecuted
	}
	return MaybeExecuted
}

// MayRepeat tells whether a call of a request with this effect may be made again after an outcome. Guards the rule that no
// effect happens twice: a request that may run once makes a call again only where the call before is proven not to have run.
func MayRepeat(effect control.Idempotency, o Outcome) bool {
	switch o.Effect() {
	case NotExecuted:
		return true
	case MaybeExecuted:
		return effect == control.Idempotent
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
	}
	return control.OutcomeError
}
