package sim

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// A fixed set of seeds of worlds with a vault keeps all rules, and what the rules on calls are about has come about in them.
func TestVaultSeeds(t *testing.T) {
	t.Parallel()
	seen := map[string]int{}
	answers := 0
	for seed := uint64(1); seed <= 60; seed++ {
		s, err := faults.World{Servers: 3, Proxies: 4, Length: 8 * microtime.Second, Vault: true}.Draw(seed, []string{"worst", "release", "noon"}[seed%3])
		require.NoError(t, err)
		out, err := Play(s, Options{})
		require.NoError(t, err)
		clean(t, s, out)
		answers += out.Requests
		for what, n := range out.SituationCounts {
			seen[what] += n
		}
	}
	require.Greater(t, answers, 60*100)
	for _, want := range []string{"tries2", "call given up drain0", "call given up drain1", "reply notnow", "reply failed", "reply overdue", "reply for no call",
		"reply crosses unask", "why1", "why3", "deep check good", "deep check bad",
		"give-up runningtrue", "ended 3 answeredfalse gaveuptrue"} {
		n := 0
		for what, times := range seen {
			if strings.Contains(what, want) {
				n += times
			}
		}
		require.Positive(t, n, "%q did not come about", want)
	}
}

// The hard cases of calls, each with the situations that make it hard.
func TestHardCalls(t *testing.T) {
	for name, situations := range map[string][]string{
		"vault-dies":       {"vault link down open2 why1", "vault link down open2 why3", "ended 3 answeredfalse gaveuptrue"},
		"vault-moves":      {"at hup open3 run2", "bound anew run2", "vault link down open0 why0"},
		"vault-drain":      {"at term open3 run2", "call given up drain1", "call given up drain2", "ended 3 answeredtrue"},
		"vault-give-up":    {"reply crosses unask", "supply for a run that has ended", "ended 3 answeredfalse gaveuptrue"},
		"vault-pool-cut":   {"bound anew run2", "link broke inside a notice", "supply for a run that has ended"},
		"vault-pool-hangs": {"deep check bad", "deep check good", "bound anew run2"},
	} {
		t.Run(name, func(t *testing.T) { hard(t, name, nil, situations...) })
	}
}
