package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// A fixed set of seeds of deployments with a vault violates no invariant, and reaches the situations that the
// invariants on downstream calls check.
func TestVaultSeeds(t *testing.T) {
	t.Parallel()
	setup := faults.Setup{Servers: 3, Proxies: 4, Length: 8 * microtime.Second, Vault: true}
	seen := map[string]int{}
	answers := 0
	for seed := uint64(1); seed <= 60; seed++ {
		outcome := playClean(t, drawScript(t, setup, seed, mixedProfile(seed)), Options{})
		answers += outcome.Requests
		addCounts(seen, outcome.SituationCounts)
	}
	require.Greater(t, answers, 60*100)
	requireSituations(t, seen, []string{
		"tries2", "call given up drain0", "call given up drain1", "reply notnow", "reply failed", "reply overdue",
		"reply for no call", "reply crosses unask", "why1", "why3", "deep check good", "deep check bad",
		"give-up runningtrue", "ended 3 answeredfalse gaveuptrue",
	})
}
