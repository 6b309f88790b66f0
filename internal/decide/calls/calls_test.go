package calls

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// Every outcome against what it proves, what each idempotency allows after it, and what the decision module is told.
// The rows are written out here rather than computed, so that a change of the rules has to be made twice.
func TestEveryOutcome(t *testing.T) {
	const again, never = true, false
	rows := []struct {
		outcome                          Outcome
		effect                           Effect
		idempotent, byKey, nonIdempotent bool
		control                          control.Outcome
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
		t.Run(row.outcome.String(), func(t *testing.T) {
			require.Equal(t, Outcome(at), row.outcome, "the rows' order")
			require.Equal(t, row.effect, row.outcome.Effect())
			require.Equal(t, row.idempotent, MayRepeat(control.Idempotent, row.outcome), "idempotent")
			require.Equal(t, row.byKey, MayRepeat(control.IdempotentByKey, row.outcome), "idempotent by key")
			require.Equal(t, row.nonIdempotent, MayRepeat(control.NonIdempotent, row.outcome), "not idempotent")
			require.Equal(t, row.control, row.outcome.ControlOutcome())
		})
	}
}

// The decision module repeats a call on the strength of control.Outcome alone: what that says must be what the outcome
// proves.
func TestControlOutcomeTellsTheEffect(t *testing.T) {
	effects := map[control.Outcome]Effect{
		control.OutcomeOK:           Executed,
		control.OutcomeError:        MaybeExecuted,
		control.OutcomeTimeout:      MaybeExecuted,
		control.OutcomeReset:        MaybeExecuted,
		control.OutcomeRejected:     NotExecuted,
		control.OutcomeUnreachable:  NotExecuted,
		control.OutcomeAlreadyEnded: NotExecuted,
	}
	for outcome := range outcomeCount {
		require.Contains(t, effects, outcome.ControlOutcome(), outcome)
		require.Equal(t, outcome.Effect(), effects[outcome.ControlOutcome()], outcome)
	}
}

// An outcome or idempotency that is not known, as after a change elsewhere, proves nothing and allows nothing.
func TestUnknownProvesNothing(t *testing.T) {
	require.Equal(t, MaybeExecuted, outcomeCount.Effect())
	require.Equal(t, control.OutcomeError, outcomeCount.ControlOutcome())
	require.False(t, MayRepeat(control.NonIdempotent+1, Failed))
	require.Equal(t, "Outcome(9)", outcomeCount.String())
	require.Equal(t, "Effect(3)", (MaybeExecuted + 1).String())
}
