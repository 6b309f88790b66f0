package processtest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/faults"
)

// Upgrades and kills at fixed moments, under load: no request with an idempotency key runs twice in an incarnation,
// none is rejected once it has run, and what is served is what was run. Where requests call a vault that has faults of
// its own, no call that may have run is made again. Longer searches are made with pewterline-sim.
func TestFixedScripts(t *testing.T) {
	settings := fixtureSettings(t)
	program, err := Build("../../..", t.TempDir())
	require.NoError(t, err)
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			script := DrawScript(seed, 4)
			parsed, err := faults.Parse(script.String())
			require.NoError(t, err)
			require.Equal(t, script, parsed, "a script is its text")
			calls := seed > 4
			outcome, err := Play(script, Options{Program: program, Settings: settings, Calls: calls})
			require.NoError(t, err)
			require.Equal(t, calls, outcome.Calls > 0)
			require.Empty(t, outcome.Violations)
			require.Positive(t, outcome.Served)
			require.Greater(t, outcome.Starts, 1)
		})
	}
}
