// Package calls decides what may follow the end of a call to the vault. It is pure: no I/O, no clock, no state.
//
// The table of effects is in docs/design/calls.md.
package calls

import "pewterline/control"

// Outcome is how a call ended, as the log server saw it.
type Outcome uint8

// The outcomes. Each but Answered leaves the run waiting for its call.
const (
	Answered   Outcome = iota // "yes": the reply goes to the run
	TurnedAway                // "notnow"
	Failed                    // "failed"
	OutOfTime                 // "overdue"
	Pointless                 // "pointless": no run waits for the call
	Refused                   // the connection was refused, or could not be opened: the call was never sent
	Broken                    // the connection broke after the call was sent
	GivenUp                   // the log server waited long enough and gave the call up
	NotSent                   // the log server had no room for the call, and did not send it
	outcomeCount
)

// Proof is what an outcome proves about the call's effect.
type Proof uint8

// The proofs.
const (
	RanOnce    Proof = iota // it ran, and its reply is here
	NeverRan                // it has had no effect
	MayHaveRun              // nothing is proven
)

// Proves tells what an outcome proves about the effect of the call.
func (o Outcome) Proves() Proof {
	switch o {
	case Answered:
		return RanOnce
	case TurnedAway, Pointless, Refused, NotSent:
		return NeverRan
	}
	return MayHaveRun
}

// MayRepeat tells whether a call of a request with this effect may be made again after an outcome. Guards the rule that no
// effect happens twice: a request that may run once makes a call again only where the call before is proven not to have run.
func MayRepeat(effect control.Effect, o Outcome) bool {
	switch o.Proves() {
	case NeverRan:
		return true
	case MayHaveRun:
		return effect == control.Safe
	}
	return false
}

// ForModule is the outcome as the decision module knows it.
func (o Outcome) ForModule() control.Outcome {
	switch o {
	case Answered:
		return control.OutcomeOK
	case TurnedAway, NotSent:
		return control.OutcomeFull
	case OutOfTime, GivenUp:
		return control.OutcomeTimeout
	case Pointless:
		return control.OutcomeMoot
	case Refused:
		return control.OutcomeUnreached
	case Broken:
		return control.OutcomeReset
	}
	return control.OutcomeError
}
