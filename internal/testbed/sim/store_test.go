package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// Guards against a run that neither starts nor ends after a store of record was slow or failed: it would occupy a slot
// for ever, and the server would report that it hangs. When the callers have their answers and the worker pool is idle,
// no server may have an open request.
func TestNoRunIsLeftAfterStoreFaults(t *testing.T) {
	t.Parallel()
	setup := faults.Setup{Servers: 2, Proxies: 4, Length: 8 * microtime.Second}
	checked := 0
	requireNoOpenRequests := func(sim *simulation) {
		awaitPausedServers(sim)
		for _, server := range sim.servers {
			sim.stepUntil(max(server.store.IdleAt(), sim.clock.Now()) + settlingTime)
		}
		for _, server := range sim.servers {
			if !server.host.Ended && !server.draining {
				open := countTables(server.program)["control.requestTable.byID"]
				require.Zero(t, open, "open requests of %s after\n%s", server.name, sim.script.String())
				checked++
			}
		}
	}
	for seed := uint64(1); seed <= 60; seed++ {
		script := drawScript(t, setup, seed, "retries")
		script.Store = true
		mustPlay(t, script, Options{afterRun: requireNoOpenRequests})
	}
	require.Greater(t, checked, 100)
}
