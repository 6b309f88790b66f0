package sim

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// Guards the counters that operators read: in every run, the counters of a server equal the results that its callers
// and its worker pool observed in that incarnation. Requests whose callers have disconnected may or may not be counted,
// and the server may have attempted a run that the pool never received, because their connection broke.
func TestCountersMatchObservations(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "18")) // Makes the test deterministic.
	checked, answers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		profile := rapid.SampledFrom(faults.Profiles()).Draw(t, "profile")
		setup := faults.Setup{
			Servers: 2, Proxies: 3, Length: 4 * microtime.Second, Vault: rapid.Bool().Draw(t, "vault"),
		}
		script, err := setup.Draw(rapid.Uint64().Draw(t, "seed"), profile)
		require.NoError(t, err)
		compareCounters := func(sim *simulation) {
			awaitPausedServers(sim)
			for _, server := range sim.servers {
				if !server.host.Ended && !server.draining {
					answers += requireCountersMatch(t, sim, server)
					checked++
				}
			}
		}
		discardLine := func(string) {} // Log lines are formatted, to test that too, and discarded.
		_, err = Play(script, Options{Log: discardLine, afterRun: compareCounters})
		require.NoError(t, err)
	})
	require.Greater(t, checked, 100)
	require.Greater(t, answers, 2000)
	t.Logf("%d servers, %d answers", checked, answers)
}

// awaitPausedServers continues a run until the servers that are still paused have resumed and answered their requests.
func awaitPausedServers(sim *simulation) {
	for _, server := range sim.servers {
		if resumesAt := server.host.PausedUntil(); resumesAt > sim.clock.Now() {
			sim.stepUntil(resumesAt + settlingTime)
		}
	}
}

// requireCountersMatch requires that a server's counters match what was observed of it, and returns the number of
// answers.
func requireCountersMatch(t *rapid.T, sim *simulation, server *instance) (answers int) {
	observedByClass, strays := sim.observer.CountsOf(server.name)
	counters := server.program.Counters()
	runs := 0
	for class, observed := range observedByClass {
		succeeded, rejected, failed := counters.Succeeded[class], counters.Rejected[class], counters.Failed[class]
		observedInAll := observed.Served + observed.Rejected + observed.Failed
		for _, count := range []struct {
			name                     string
			counted, observed, slack int // slack is the number of requests that may or may not be counted
		}{
			{"passed", succeeded, observed.Served, observed.Ambiguous},
			{"dropped", rejected, observed.Rejected, observed.Ambiguous},
			{"bad_gateway", failed, observed.Failed, observed.Ambiguous + strays},
			{"all", succeeded + rejected + failed, observedInAll, observed.Ambiguous + strays},
		} {
			if count.counted < count.observed || count.counted > count.observed+count.slack {
				t.Fatalf("%s: %s of %s: %d counted, %d observed, %d may or may not be counted\n%s", server.name, count.name, class,
					count.counted, count.observed, count.slack, sim.script.String())
			}
		}
		runs += observed.Runs
		answers += observedInAll
	}
	require.Zero(t, counters.InProgress, "all requests are answered at the end of the run")
	require.GreaterOrEqual(t, counters.Attempts, runs)
	return answers
}
