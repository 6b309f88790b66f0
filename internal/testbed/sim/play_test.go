package sim

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// readScript reads a script from a file.
func readScript(t *testing.T, path string) faults.Script {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	script, err := faults.Parse(string(text))
	require.NoError(t, err, path)
	return script
}

// drawScript draws a script with random faults for a setup.
func drawScript(t testing.TB, setup faults.Setup, seed uint64, profile string) faults.Script {
	t.Helper()
	script, err := setup.Draw(seed, profile)
	require.NoError(t, err)
	return script
}

// mustPlay plays a valid script.
func mustPlay(t testing.TB, script faults.Script, options Options) Outcome {
	t.Helper()
	outcome, err := Play(script, options)
	require.NoError(t, err)
	return outcome
}

// assertClean reports each violation of a run as a test failure.
func assertClean(t *testing.T, script faults.Script, outcome Outcome) {
	t.Helper()
	for _, violation := range outcome.Violations {
		t.Errorf("%s\n%s", script.String(), violation)
	}
}

// playClean plays a script that must not violate any invariant.
func playClean(t *testing.T, script faults.Script, options Options) Outcome {
	t.Helper()
	outcome := mustPlay(t, script, options)
	assertClean(t, script, outcome)
	return outcome
}

// The server violates no invariant on the kept scripts: the minimized scripts on which it once did, the hard cases, and
// those on which a planted bug does.
func TestKeptScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*/*.txt")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(paths), 22)
	for _, path := range paths {
		playClean(t, readScript(t, path), Options{})
	}
}

// A fixed set of seeds of every profile violates no invariant. The command pewterline-sim runs longer searches.
func TestSeeds(t *testing.T) {
	setup := faults.Setup{Servers: 3, Proxies: 4, Length: 8 * microtime.Second}
	for _, profile := range faults.Profiles() {
		t.Run(profile, func(t *testing.T) {
			t.Parallel()
			answers := 0
			for seed := uint64(1); seed <= 60; seed++ {
				answers += playClean(t, drawScript(t, setup, seed, profile), Options{}).Requests
			}
			require.Greater(t, answers, 60*100, "the servers must have answered requests")
		})
	}
}

// mixedProfile returns the profile for a seed of a setup with edges or a vault. The profiles alternate.
func mixedProfile(seed uint64) string { return []string{"worst", "release", "noon"}[seed%3] }

// Two edges before three servers violate no invariant. One invariant is that no two servers run requests with the same
// idempotency key within its retention window.
func TestEdgeSeeds(t *testing.T) {
	t.Parallel()
	setup := faults.Setup{Servers: 3, Proxies: 3, Edges: 2, Length: 6 * microtime.Second}
	answers := 0
	for seed := uint64(1); seed <= 60; seed++ {
		answers += playClean(t, drawScript(t, setup, seed, mixedProfile(seed)), Options{}).Requests
	}
	require.Greater(t, answers, 60*100)
}

// A panic of the program is recorded as a violation with the simulated time of the panic.
func TestCrashIsAViolation(t *testing.T) {
	script := faults.Script{Seed: 1, Servers: 1, Proxies: 1, Length: 2 * microtime.Second, Rate: 5}
	crash := func(sim *simulation) {
		sim.clock.In(microtime.Second, func() { _ = sim.servers[0].host.Queue(func() { panic("as planted") }) })
	}
	outcome := mustPlay(t, script, Options{beforeRun: crash})
	require.Len(t, outcome.Violations, 1)
	violation := outcome.Violations[0]
	require.Equal(t, "crash/panic", violation.Key())
	require.Equal(t, microtime.Second, violation.At/microtime.Second*microtime.Second)
}

// Play returns an error for an invalid script.
func TestPlayRejectsInvalidScript(t *testing.T) {
	script := faults.Script{Servers: 1, Length: microtime.Second, Faults: []faults.Fault{{Kind: "quake"}}}
	_, err := Play(script, Options{})
	require.ErrorContains(t, err, "fault 1: kind")
}
