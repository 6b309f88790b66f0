package sim

import (
	"testing"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

// plantEarlyStop stops the event loop of each draining server at the end of its drain grace, even if requests are
// unanswered, for which the server itself would wait.
func plantEarlyStop(sim *simulation) {
	const farewellTime = 10 * microtime.Millisecond // By then the server has sent the farewells.
	const closeTime = 500 * microtime.Millisecond   // Time for clients to close, as the server allows.
	planted := map[*simnet.Host]bool{}
	check := sim.clock.After
	sim.clock.After = func() {
		check()
		for _, server := range sim.servers {
			host := server.host
			if !server.draining || host.Ended || planted[host] {
				continue
			}
			planted[host] = true
			drainGrace := microtime.FromDuration(server.config.Settings.DrainGrace)
			sim.clock.In(drainGrace+farewellTime, func() {
				// An error means that the server has already ended.
				_ = host.Loop().Execute(func() { host.Loop().Shutdown(sim.clock.Now() + closeTime) })
			})
		}
	}
}

// plantedEarlyStop is a server that ends its drain while requests are unanswered.
var plantedEarlyStop = plantedBug{
	name: "leave-open", wantViolation: "lost/closed by the server", beforeRun: plantEarlyStop,
}

// The invariants detect the planted bug on its kept script, where the server without the bug violates none.
func TestEarlyStopIsDetected(t *testing.T) { plantedEarlyStop.requireDetected(t) }

// The search finds the planted bug.
func TestSearchFindsEarlyStop(t *testing.T) { plantedEarlyStop.requireFound(t, narrowSearch) }
