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

// digestsVariable is set in the environment of a test process that is to print the digests alone.
const digestsVariable = "SIM_DIGESTS"

// digestWorld is the world of all runs whose digests are compared.
var digestWorld = faults.World{Servers: 3, Proxies: 3, Length: 4 * microtime.Second}

// digests plays fifty seeds one after another.
func digests(t *testing.T) string {
	t.Helper()
	var lines strings.Builder
	for seed := uint64(1); seed <= 50; seed++ {
		outcome := mustPlay(t, drawScript(t, digestWorld, seed, "worst"), Options{})
		fmt.Fprintf(&lines, "%d %016x %d\n", seed, outcome.Digest, outcome.Events)
	}
	return lines.String()
}

// The same seed is the same run, to every byte and time: in another process, with other numbers of threads, and
// whatever was played before.
func TestSameSeedSameRun(t *testing.T) {
	if os.Getenv(digestsVariable) != "" {
		fmt.Print("DIGESTS\n" + digests(t) + "END\n")
		return
	}
	here := digests(t)
	before := runtime.GOMAXPROCS(1)
	onOneThread := digests(t)
	runtime.GOMAXPROCS(before)
	require.Equal(t, here, onOneThread)

	command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=TestSameSeedSameRun")
	command.Env = append(os.Environ(), digestsVariable+"=1", "GOMAXPROCS=8")
	output, err := command.Output()
	require.NoError(t, err)
	_, elsewhere, _ := strings.Cut(string(output), "DIGESTS\n")
	elsewhere, _, _ = strings.Cut(elsewhere, "END\n")
	require.Equal(t, here, elsewhere)

	alone := mustPlay(t, drawScript(t, digestWorld, 50, "worst"), Options{})
	require.Contains(t, here, fmt.Sprintf("50 %016x", alone.Digest), "without the seeds before it")
	require.Equal(t, 50, strings.Count(here, "\n"))
}
