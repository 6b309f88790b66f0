package sim

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// plantedBug is a bug that is planted between the server and its event loop.
type plantedBug struct {
	name      string // of its kept script
	want      string // key of the violation that it leads to
	interpose func() interposer
}

// requireSeen requires that the rules see the bug on its kept script, and that the server without it keeps them there.
func (b plantedBug) requireSeen(t *testing.T) {
	t.Helper()
	script := read(t, filepath.Join("testdata", "planted", b.name+".txt"))
	out, err := Play(script, Options{})
	require.NoError(t, err)
	clean(t, script, out)
	out, err = Play(script, Options{StopAtFirst: true, interpose: b.interpose})
	require.NoError(t, err)
	require.NotEmpty(t, out.Violations)
	require.Equal(t, b.want, out.Violations[0].Key(), out.Violations[0].String())
}

// requireFound requires that the search finds the bug within a few hundred scripts. With SIM_PLANTED it writes the kept
// script anew to the folder of that name.
func (b plantedBug) requireFound(t *testing.T) {
	t.Helper()
	search := Search{FirstSeed: 1, LastSeed: 500, Profile: "worst", Servers: 3, Proxies: 4,
		Length: 12 * microtime.Second, Jobs: 2, MaxFindings: 1, interpose: b.interpose}
	progress, err := search.Run()
	require.NoError(t, err)
	require.NotEmpty(t, progress.Findings)
	finding := progress.Findings[0]
	require.Equal(t, b.want, finding.Violation.Key(), finding.Violation.String())
	t.Logf("script %d, after %v: %s", finding.Run, finding.After, finding.Violation.Key())
	folder := os.Getenv("SIM_PLANTED")
	if folder == "" {
		return
	}
	least, violation, err := shrinking{maxPlays: 1000, options: Options{StopAtFirst: true, interpose: b.interpose}}.run(finding.Script)
	require.NoError(t, err)
	text := "# " + b.name + ": " + violation.Key() + "\n" + least.String()
	require.NoError(t, os.WriteFile(filepath.Join(folder, b.name+".txt"), []byte(text), 0o600))
}
