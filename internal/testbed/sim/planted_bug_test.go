package sim

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// plantedBug is a bug that a test plants without changing the server: between the server and its event loop, or between
// the event loop and the network.
type plantedBug struct {
	name          string            // name of the bug and of its kept script in testdata/planted
	wantViolation string            // key of the violation that the bug causes
	interpose     func() interposer // nil if the bug needs no interposer
	beforeRun     func(*simulation) // nil if the bug does not change the simulation
}

// wideSearch and narrowSearch are the searches that must find the bugs.
var (
	wideSearch = Search{
		FirstSeed: 1, LastSeed: 500, Profile: "worst", Servers: 3, Proxies: 4, Length: 12 * microtime.Second,
		Jobs: 2, MaxFindings: 1,
	}
	narrowSearch = Search{
		FirstSeed: 1, LastSeed: 300, Profile: "worst", Servers: 2, Proxies: 3, Length: 8 * microtime.Second,
		Jobs: 2, MaxFindings: 1,
	}
)

// options returns the options to play a script with the bug up to the first violation.
func (b plantedBug) options() Options {
	return Options{StopAtFirst: true, interpose: b.interpose, beforeRun: b.beforeRun}
}

// requireDetected requires that the invariants detect the bug on its kept script, and that the server without the bug
// violates no invariant on that script.
func (b plantedBug) requireDetected(t *testing.T) {
	t.Helper()
	script := readScript(t, filepath.Join("testdata", "planted", b.name+".txt"))
	playClean(t, script, Options{})
	outcome := mustPlay(t, script, b.options())
	require.NotEmpty(t, outcome.Violations, b.name)
	require.Equal(t, b.wantViolation, outcome.Violations[0].Key(), outcome.Violations[0].String())
}

// requireFound requires that a search finds the bug within a few hundred scripts. If the environment variable
// SIM_PLANTED names a folder, it writes a new kept script there.
func (b plantedBug) requireFound(t *testing.T, search Search) {
	t.Helper()
	search.interpose = b.interpose
	search.beforeRun = b.beforeRun
	progress, err := search.Run()
	require.NoError(t, err)
	require.NotEmpty(t, progress.Findings, b.name)
	finding := progress.Findings[0]
	require.Equal(t, b.wantViolation, finding.Violation.Key(), "%s: %s", b.name, finding.Violation)
	t.Logf("script %d, after %v: %s", finding.Run, finding.After, finding.Violation.Key())
	folder := os.Getenv("SIM_PLANTED")
	if folder == "" {
		return
	}
	smallest, violation, err := shrinkRun{maxPlays: 1000, options: b.options()}.run(finding.Script)
	require.NoError(t, err)
	text := "# " + b.name + ": " + violation.Key() + "\n" + smallest.String()
	require.NoError(t, os.WriteFile(filepath.Join(folder, b.name+".txt"), []byte(text), 0o600))
}
