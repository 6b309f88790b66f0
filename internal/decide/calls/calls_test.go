package calls

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// Every outcome against what it proves, what each effect allows after it, and what the module is told. The rows are written
// out here rather than computed, so that a change of the rules has to be made twice.
func TestEveryOutcome(t *testing.T) {
	const again, never = true, false
	rows := []struct {
		outcome             Outcome
		proof               Effect
		safe, keyed, unsafe bool
		module              control.Outcome
	}{
		{Answered, Executed, never, never, never, control.OutcomeOK},
		{Rejected, NotExecuted, again, again, again, control.OutcomeRejected},
		{Failed, MaybeExecuted, again, never, never, control.OutcomeError},
		{DeadlineExceeded, MaybeExecuted, again, never, never, control.OutcomeTimeout},
		{Unwanted, NotExecuted, again, again, again, control.OutcomeAlreadyEnded},
		{ConnectFailed, NotExecuted, again, again, again, control.OutcomeUnreachable},
		{ConnectionLost, MaybeExecuted, again, never, never, control.OutcomeReset},
		{Abandoned, MaybeExecuted, again, never, never, control.OutcomeTimeout},
		{NotSent, NotExecuted, again, again, again, control.OutcomeRejected},
	}
	require.Len(t, rows, int(outcomeCount), "a row for each outcome")
	for at, row := range rows {
		require.Equal(t, Outcome(at), row.outcome, "the rows' order")
		require.Equal(t, row.proof, row.outcome.Effect(), "proof of %d", at)
		require.Equal(t, row.safe, MayRepeat(control.Idempotent, row.outcome), "safe after %d", at)
		require.Equal(t, row.keyed, MayRepeat(control.IdempotentByKey, row.outcome), "keyed after %d", at)
		require.Equal(t, row.unsafe, MayRepeat(control.NonIdempotent, row.outcome), "unsafe after %d", at)
		require.Equal(t, row.module, row.outcome.ControlOutcome(), "module's outcome of %d", at)
	}
}

// The module repeats a call on the strength of control.Outcome alone: what that says must be what the outcome proves.
func TestModuleIsToldWhatIsProven(t *testing.T) {
	proof := map[control.Outcome]Effect{
		control.OutcomeOK:    Executed,
		control.OutcomeError: MaybeExecuted, control.OutcomeTimeout: MaybeExecuted, control.OutcomeReset: MaybeExecuted,
		control.OutcomeRejected: NotExecuted, control.OutcomeUnreachable: NotExecuted, control.OutcomeAlreadyEnded: NotExecuted,
	}
	for outcome := range outcomeCount {
		require.Contains(t, proof, outcome.ControlOutcome(), "outcome %d", outcome)
		require.Equal(t, outcome.Effect(), proof[outcome.ControlOutcome()], "outcome %d", outcome)
	}
}

// An outcome or effect that is not known, as after a change elsewhere, proves nothing and allows nothing.
func TestUnknownProvesNothing(t *testing.T) {
	require.Equal(t, MaybeExecuted, outcomeCount.Effect())
	require.Equal(t, control.OutcomeError, outcomeCount.ControlOutcome())
	require.False(t, MayRepeat(control.NonIdempotent+1, Failed))
}
