package processtest

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/faults"
)

// Guards idempotency during upgrades and kills under load, with scripts from fixed seeds: no request with an
// idempotency key runs twice in an incarnation, none is rejected after it has run, and each served result is that of
// the run. In the scripts with downstream calls to a faulty vault, no call that may have run is made again. The command
// pewterline-sim performs longer searches.
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
			require.Equal(t, script, parsed, "parsing the text of a script returns the script")
			calls := seed > 4
			outcome, err := Play(script, Options{Program: program, Settings: settings, CallVault: calls})
			require.NoError(t, err)
			require.Equal(t, calls, outcome.Calls > 0)
			require.Empty(t, outcome.Violations)
			require.Positive(t, outcome.Served)
			require.Greater(t, outcome.Starts, 1)
		})
	}
}
