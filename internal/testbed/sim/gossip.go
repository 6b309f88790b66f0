package sim

import (
	"strings"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/simnet"
)

// GossipExperiment measures the benefit of gossip for an edge that has just started. One edge is killed and restarts
// without state while some servers are down and others are slow.
type GossipExperiment struct {
	Seed       uint64
	Edges      int
	Servers    int
	Dead       int // servers whose machine is lost, so that connects to them time out
	Slow       int // servers whose requests take slowPoolFactor times as long
	Rate       float64
	Gossip     bool // whether the edges exchange gossip
	DrawFaults bool // adds random faults of the profile "worst"
}

// GossipResult is the result for the restarted edge in the measurement period after its restart.
type GossipResult struct {
	Wasted       int // attempts that failed for lack of a working server
	EarlyWasted  int // of them, those in the first two seconds
	DeadConnects int // connects to servers that were down
	// WeightedGoodput is the priority weight of requests served in time, as a share of the weight of all requests.
	WeightedGoodput float64
	GossipBytes     int // sent by all edges in the whole run
	Violations      int
}

// Timeline of the experiment, since the start.
const (
	impairedAt           = 4 * microtime.Second // servers go down or become slow
	restartAt            = 9 * microtime.Second // the edge is killed
	measurementTime      = 10 * microtime.Second
	earlyMeasurementTime = 2 * microtime.Second
	restartTime          = 50 * microtime.Millisecond
	// impairedTime is longer than the experiment.
	impairedTime = 300 * microtime.Second
)

const (
	slowPoolFactor = 5
	proxiesPerEdge = 2
	worstProfile   = "worst"
)

// Run plays the experiment. It returns an error if the experiment is not valid.
func (e GossipExperiment) Run() (GossipResult, error) {
	script, err := e.script()
	if err != nil {
		return GossipResult{}, err
	}
	measurement := gossipMeasurement{}
	outcome, err := Play(script, Options{beforeRun: measurement.scheduleSamples})
	if err != nil {
		return GossipResult{}, err
	}
	result := measurement.result
	served := measurement.end.served - measurement.start.served
	result.WeightedGoodput = served / max(measurement.end.requested-measurement.start.requested, 1)
	result.Violations = len(outcome.Violations)
	return result, nil
}

func (e GossipExperiment) script() (faults.Script, error) {
	script := faults.Script{
		Seed:    e.Seed,
		Servers: e.Servers,
		Proxies: proxiesPerEdge * e.Edges,
		Edges:   e.Edges,
		Length:  restartAt + measurementTime,
		Rate:    e.Rate,
	}
	if e.DrawFaults {
		setup := faults.Setup{
			Servers: e.Servers,
			Proxies: script.Proxies,
			Edges:   e.Edges,
			Length:  script.Length,
			Rate:    e.Rate,
		}
		var err error
		if script, err = setup.Draw(e.Seed, worstProfile); err != nil {
			return script, err
		}
	}
	script.Gossip = e.Gossip
	add := func(fault faults.Fault) { script.Faults = append(script.Faults, fault) }
	for i := range e.Dead {
		add(faults.Fault{At: impairedAt, Kind: faults.MachineLost, Node: nodeName('s', i), For: impairedTime})
	}
	for i := e.Dead; i < e.Dead+e.Slow; i++ {
		add(faults.Fault{
			At: impairedAt, Kind: faults.SlowPool, Node: nodeName('w', i), For: impairedTime, Amount: slowPoolFactor,
		})
	}
	add(faults.Fault{At: restartAt, Kind: faults.Kill, Node: nodeName('e', 0), For: restartTime})
	script.SortFaults()
	return script, nil
}

// gossipMeasurement collects the result of one run.
type gossipMeasurement struct {
	result     GossipResult
	start, end weightTotals // at the start and the end of the measurement period
}

// weightTotals is the total priority weight of requests served in time, and of all requests, up to some time.
type weightTotals struct{ served, requested float64 }

// scheduleSamples observes network events and schedules the reading of the counters.
func (m *gossipMeasurement) scheduleSamples(sim *simulation) {
	restarted := simnet.Start + restartAt
	checkInvariants := sim.net.Tap
	sim.net.Tap = func(event simnet.Event) {
		checkInvariants(event)
		m.observe(sim, event)
	}
	totals := func() weightTotals {
		return weightTotals{served: sim.environment.WeightServed, requested: sim.environment.WeightStarted}
	}
	edge := sim.edges[0]
	sim.clock.At(restarted, func() { m.start = totals() })
	sim.clock.At(restarted+earlyMeasurementTime, func() { m.result.EarlyWasted = edge.program.WastedAttempts() })
	sim.clock.At(restarted+measurementTime, func() {
		m.result.Wasted = edge.program.WastedAttempts()
		m.end = totals()
	})
}

// observe counts the bytes of gossip, and the connects of the restarted edge to servers that are down.
func (m *gossipMeasurement) observe(sim *simulation, event simnet.Event) {
	if event.Kind == simnet.Written && strings.HasSuffix(event.Addr, gossipSuffix) {
		m.result.GossipBytes += len(event.Bytes)
	}
	restarted := simnet.Start + restartAt
	isMeasured := event.At >= restarted && event.At <= restarted+measurementTime
	if event.Kind != simnet.ConnectAttempted || event.Node != sim.edges[0].name || !isMeasured {
		return
	}
	if server := sim.instance(event.Peer); server != nil && server.host.Ended {
		m.result.DeadConnects++
	}
}
