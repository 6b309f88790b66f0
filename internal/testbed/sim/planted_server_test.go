package sim

import (
	"testing"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

// plantEarlyStop ends each draining server once its grace is over, whatever is unanswered. The server itself would
// wait: its event loop is stopped without it.
func plantEarlyStop(sim *simulation) {
	const farewellTime = 10 * microtime.Millisecond // The server has told its clients to close by then.
	const closeTime = 500 * microtime.Millisecond   // They get this long, as from the server.
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
				// An error says that the server has ended by itself.
				_ = host.Loop().Execute(func() { host.Loop().Shutdown(sim.clock.Now() + closeTime) })
			})
		}
	}
}

// plantedEarlyStop is a server that ends its drain with requests unanswered.
var plantedEarlyStop = plantedBug{name: "leave-open", want: "lost/closed by the server", beforeRun: plantEarlyStop}

// The invariants show the planted bug on its kept script, and the server without it keeps them there.
func TestEarlyStopIsSeen(t *testing.T) { plantedEarlyStop.requireSeen(t) }

// The search finds the planted bug.
func TestSearchFindsEarlyStop(t *testing.T) { plantedEarlyStop.requireFound(t, narrowSearch) }
