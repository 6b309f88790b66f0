package sim

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// Guards the counters that operators read: whatever happens in a run, each server's equal what its callers and its
// worker pool saw in that incarnation. Requests whose callers left may be counted or not, and a run may be lost with
// the pool's link.
func TestCountersEqualWhatWasSeen(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "18")) // The same verdict every time.
	checked, answers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		profile := rapid.SampledFrom(faults.Profiles()).Draw(t, "profile")
		world := faults.World{
			Servers: 2, Proxies: 3, Length: 4 * microtime.Second, Vault: rapid.Bool().Draw(t, "vault"),
		}
		script, err := world.Draw(rapid.Uint64().Draw(t, "seed"), profile)
		require.NoError(t, err)
		judge := func(sim *simulation) {
			for _, server := range sim.servers {
				if !server.host.Ended && !server.draining {
					answers += requireCounters(t, sim, server)
					checked++
				}
			}
		}
		formatOnly := func(string) {} // The log lines are formatted in this test, and dropped.
		_, err = Play(script, Options{Log: formatOnly, afterRun: judge})
		require.NoError(t, err)
	})
	require.Greater(t, checked, 100)
	require.Greater(t, answers, 2000)
	t.Logf("%d servers, %d answers", checked, answers)
}

// requireCounters requires that a server's counters are what was seen of it, and returns the answers.
func requireCounters(t *rapid.T, sim *simulation, server *instance) (answers int) {
	seenByClass, strays := sim.observer.CountsOf(server.name)
	counters := server.program.Counters()
	runs := 0
	for class, seen := range seenByClass {
		succeeded, rejected, failed := counters.Succeeded[class], counters.Rejected[class], counters.Failed[class]
		seenInAll := seen.Served + seen.Rejected + seen.Failed
		for _, count := range []struct {
			name                 string
			counted, seen, slack int // slack is how many may be counted or not
		}{
			{"passed", succeeded, seen.Served, seen.Ambiguous},
			{"dropped", rejected, seen.Rejected, seen.Ambiguous},
			{"bad_gateway", failed, seen.Failed, seen.Ambiguous + strays},
			{"all", succeeded + rejected + failed, seenInAll, seen.Ambiguous + strays},
		} {
			if count.counted < count.seen || count.counted > count.seen+count.slack {
				t.Fatalf("%s: %s of %s: %d counted, %d seen, %d may be either\n%s", server.name, count.name, class,
					count.counted, count.seen, count.slack, sim.script.String())
			}
		}
		runs += seen.Runs
		answers += seenInAll
	}
	require.Zero(t, counters.InProgress, "all is answered by then")
	require.GreaterOrEqual(t, counters.Attempts, runs)
	return answers
}
