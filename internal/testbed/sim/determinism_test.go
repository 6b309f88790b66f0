package sim

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// digestsEnvVariable is set in the environment of a test process that only prints the digests.
const digestsEnvVariable = "SIM_DIGESTS"

// digestSetup is the setup of all runs whose digests are compared.
var digestSetup = faults.Setup{Servers: 3, Proxies: 3, Length: 4 * microtime.Second}

// digests plays fifty seeds and returns a line with the digest of each.
func digests(t *testing.T) string {
	t.Helper()
	var lines strings.Builder
	for seed := uint64(1); seed <= 50; seed++ {
		outcome := mustPlay(t, drawScript(t, digestSetup, seed, "worst"), Options{})
		fmt.Fprintf(&lines, "%d %016x %d\n", seed, outcome.Digest, outcome.Events)
	}
	return lines.String()
}

// The same seed gives the same run, with the same network events at the same times: in another process, with another
// number of threads, and regardless of the runs before it.
func TestSameSeedSameRun(t *testing.T) {
	if os.Getenv(digestsEnvVariable) != "" {
		fmt.Print("DIGESTS\n" + digests(t) + "END\n")
		return
	}
	expected := digests(t)
	before := runtime.GOMAXPROCS(1)
	onOneThread := digests(t)
	runtime.GOMAXPROCS(before)
	require.Equal(t, expected, onOneThread)

	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=TestSameSeedSameRun")
	command.Env = append(os.Environ(), digestsEnvVariable+"=1", "GOMAXPROCS=8")
	output, err := command.Output()
	require.NoError(t, err)
	_, fromProcess, _ := strings.Cut(string(output), "DIGESTS\n")
	fromProcess, _, _ = strings.Cut(fromProcess, "END\n")
	require.Equal(t, expected, fromProcess)

	alone := mustPlay(t, drawScript(t, digestSetup, 50, "worst"), Options{})
	require.Contains(t, expected, fmt.Sprintf("50 %016x", alone.Digest), "the digest must not depend on earlier runs")
	require.Equal(t, 50, strings.Count(expected, "\n"))
}
