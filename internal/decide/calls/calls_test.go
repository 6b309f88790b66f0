package calls

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// Checks the effect of every outcome, whether each idempotency allows a repetition after it, and the outcome that is
// reported to the decision module. The expected values are written out rather than computed, so that a change of the
// rules must be made twice.
func TestEveryOutcome(t *testing.T) {
	const allowed, forbidden = true, false
	rows := []struct {
		outcome                          Outcome
		effect                           Effect
		idempotent, byKey, nonIdempotent bool
		control                          control.Outcome
	}{
		{Answered, Executed, forbidden, forbidden, forbidden, control.OutcomeOK},
		{Rejected, NotExecuted, allowed, allowed, allowed, control.OutcomeRejected},
		{Failed, MaybeExecuted, allowed, forbidden, forbidden, control.OutcomeError},
		{DeadlineExceeded, MaybeExecuted, allowed, forbidden, forbidden, control.OutcomeTimeout},
		{Unwanted, NotExecuted, allowed, allowed, allowed, control.OutcomeAlreadyEnded},
		{ConnectFailed, NotExecuted, allowed, allowed, allowed, control.OutcomeUnreachable},
		{ConnectionLost, MaybeExecuted, allowed, forbidden, forbidden, control.OutcomeReset},
		{Abandoned, MaybeExecuted, allowed, forbidden, forbidden, control.OutcomeTimeout},
		{NotSent, NotExecuted, allowed, allowed, allowed, control.OutcomeRejected},
	}
	require.Len(t, rows, int(outcomeCount), "there must be a row for each outcome")
	for at, row := range rows {
		t.Run(row.outcome.String(), func(t *testing.T) {
			require.Equal(t, Outcome(at), row.outcome, "the rows must be in the order of the outcomes")
			require.Equal(t, row.effect, row.outcome.Effect())
			require.Equal(t, row.idempotent, MayRepeat(control.Idempotent, row.outcome), "idempotent")
			require.Equal(t, row.byKey, MayRepeat(control.IdempotentByKey, row.outcome), "idempotent by key")
			require.Equal(t, row.nonIdempotent, MayRepeat(control.NonIdempotent, row.outcome), "not idempotent")
			require.Equal(t, row.control, row.outcome.ControlOutcome())
		})
	}
}

// The decision module decides from control.Outcome alone whether to repeat a call, so the control outcome must imply
// the same effect as the outcome that it was converted from.
func TestControlOutcomeImpliesTheEffect(t *testing.T) {
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

// An unknown outcome proves nothing about the effect, and an unknown idempotency allows no repetition. Both can occur
// when a value is added but the rules of this package are not updated.
func TestUnknownValues(t *testing.T) {
	require.Equal(t, MaybeExecuted, outcomeCount.Effect())
	require.Equal(t, control.OutcomeError, outcomeCount.ControlOutcome())
	require.False(t, MayRepeat(control.NonIdempotent+1, Failed))
	require.Equal(t, "Outcome(9)", outcomeCount.String())
	require.Equal(t, "Effect(3)", (MaybeExecuted + 1).String())
}
