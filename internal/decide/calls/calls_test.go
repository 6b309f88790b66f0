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
		proof               Proof
		safe, keyed, unsafe bool
		module              control.Outcome
	}{
		{Answered, RanOnce, never, never, never, control.OutcomeOK},
		{TurnedAway, NeverRan, again, again, again, control.OutcomeFull},
		{Failed, MayHaveRun, again, never, never, control.OutcomeError},
		{OutOfTime, MayHaveRun, again, never, never, control.OutcomeTimeout},
		{Pointless, NeverRan, again, again, again, control.OutcomeMoot},
		{Refused, NeverRan, again, again, again, control.OutcomeUnreached},
		{Broken, MayHaveRun, again, never, never, control.OutcomeReset},
		{GivenUp, MayHaveRun, again, never, never, control.OutcomeTimeout},
		{NotSent, NeverRan, again, again, again, control.OutcomeFull},
	}
	require.Len(t, rows, int(outcomeCount), "a row for each outcome")
	for at, row := range rows {
		require.Equal(t, Outcome(at), row.outcome, "the rows' order")
		require.Equal(t, row.proof, row.outcome.Proves(), "proof of %d", at)
		require.Equal(t, row.safe, MayRepeat(control.Safe, row.outcome), "safe after %d", at)
		require.Equal(t, row.keyed, MayRepeat(control.Keyed, row.outcome), "keyed after %d", at)
		require.Equal(t, row.unsafe, MayRepeat(control.Unsafe, row.outcome), "unsafe after %d", at)
		require.Equal(t, row.module, row.outcome.ForModule(), "module's outcome of %d", at)
	}
}

// The module repeats a call on the strength of control.Outcome alone: what that says must be what the outcome proves.
func TestModuleIsToldWhatIsProven(t *testing.T) {
	proof := map[control.Outcome]Proof{
		control.OutcomeOK:    RanOnce,
		control.OutcomeError: MayHaveRun, control.OutcomeTimeout: MayHaveRun, control.OutcomeReset: MayHaveRun,
		control.OutcomeFull: NeverRan, control.OutcomeUnreached: NeverRan, control.OutcomeMoot: NeverRan,
	}
	for outcome := range outcomeCount {
		require.Contains(t, proof, outcome.ForModule(), "outcome %d", outcome)
		require.Equal(t, outcome.Proves(), proof[outcome.ForModule()], "outcome %d", outcome)
	}
}

// An outcome or effect that is not known, as after a change elsewhere, proves nothing and allows nothing.
func TestUnknownProvesNothing(t *testing.T) {
	require.Equal(t, MayHaveRun, outcomeCount.Proves())
	require.Equal(t, control.OutcomeError, outcomeCount.ForModule())
	require.False(t, MayRepeat(control.Unsafe+1, Failed))
}
