package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/invariant"
)

// The search draws scripts and records outcomes in a fixed order: the same seeds and number of jobs give the same
// result, regardless of the scheduling of the goroutines.
func TestSearchIsRepeatable(t *testing.T) {
	search := Search{
		FirstSeed: 1, LastSeed: 40, Profile: "worst", Servers: 2, Proxies: 2, Length: 2 * microtime.Second,
		Guided: true, Jobs: 4,
	}
	first, err := search.Run()
	require.NoError(t, err)
	second, err := search.Run()
	require.NoError(t, err)
	require.Equal(t, []int{first.Runs, first.Situations, first.CorpusSize},
		[]int{second.Runs, second.Situations, second.CorpusSize})
	require.Equal(t, 40, first.Runs)
	require.Greater(t, first.Situations, 100)
	require.Empty(t, first.Findings)
}

// Shrink does not change a script that violates no invariant.
func TestShrinkKeepsScriptWithoutViolation(t *testing.T) {
	script := drawScript(t, faults.Setup{Servers: 2, Proxies: 2, Length: 3 * microtime.Second}, 1, "worst")
	smallest, violation, err := Shrink(script, 50, nil)
	require.NoError(t, err)
	require.Equal(t, invariant.Violation{}, violation)
	require.Equal(t, script, smallest, "a script without a violation must stay unchanged")
}
