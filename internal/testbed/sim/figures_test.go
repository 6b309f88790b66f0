package sim

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// Guards the figures that operators read: whatever happens in a world, each server's equal what its callers and its worker
// pool saw in that life. Requests whose callers left may be counted or not, and a run may be lost with the pool's link.
func TestFiguresEqualWhatWasSeen(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "18")) // the same verdict every time
	checked, answers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		profile := rapid.SampledFrom(faults.Profiles()).Draw(t, "profile")
		shape := faults.World{Servers: 2, Proxies: 3, Length: 4 * microtime.Second, Vault: rapid.Bool().Draw(t, "vault")}
		script, err := shape.Draw(rapid.Uint64().Draw(t, "seed"), profile)
		require.NoError(t, err)
		var log []string
		_, err = Play(script, Options{Log: func(line string) { log = append(log, line) }, afterRun: func(l *simulation) {
			for _, s := range l.servers {
				if s.host.Ended || s.draining {
					continue
				}
				seen, strays := l.observer.CountsOf(s.name)
				c := s.program.Counters()
				runs := 0
				for class, k := range seen {
					within := func(what string, counted, saw, slack int) {
						if counted < saw || counted > saw+slack {
							t.Fatalf("%s: %s of %s: %d counted, %d seen, %d may be either\n%s", s.name, what, class, counted, saw, slack, script.String())
						}
					}
					within("passed", c.Succeeded[class], k.Served, k.Ambiguous)
					within("dropped", c.Rejected[class], k.Rejected, k.Ambiguous)
					within("bad_gateway", c.Failed[class], k.Failed, k.Ambiguous+strays)
					within("all", c.Succeeded[class]+c.Rejected[class]+c.Failed[class], k.Served+k.Rejected+k.Failed, k.Ambiguous+strays)
					runs += k.Runs
					answers += k.Served + k.Rejected + k.Failed
				}
				require.Zero(t, c.InProgress, "all is answered by then")
				require.GreaterOrEqual(t, c.Attempts, runs)
				checked++
			}
		}})
		require.NoError(t, err)
	})
	require.Greater(t, checked, 100)
	require.Greater(t, answers, 2000)
	t.Logf("%d servers, %d answers", checked, answers)
}
