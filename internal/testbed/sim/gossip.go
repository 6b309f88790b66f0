package sim

import (
	"strings"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/simnet"
)

// GossipExperiment measures what gossip is worth to an instance that has just started: some servers are down and some
// are slow when one of the edges dies and comes back with nothing learned.
type GossipExperiment struct {
	Seed       uint64
	Edges      int
	Servers    int
	Dead       int // servers whose machine is lost: a connect there takes its whole timeout
	Slow       int // servers whose work takes slowPoolFactor times as long
	Rate       float64
	Gossip     bool // the edges exchange gossip
	DrawFaults bool // faults of the profile "worst" are drawn from the seed as well
}

// GossipResult is how the restarted edge did while it was young.
type GossipResult struct {
	Wasted       int // attempts that came to nothing for want of a server
	EarlyWasted  int // of them, those of the first two seconds
	DeadConnects int // connects to servers that were down
	// WeightedGoodput is the priority weight that was served in time, as a share of the weight that was asked for.
	WeightedGoodput float64
	GossipBytes     int // that all edges sent each other in the whole run
	Violations      int
}

// The course of the experiment, in time since the start.
const (
	impairedAt  = 4 * microtime.Second // servers go down or become slow
	restartAt   = 9 * microtime.Second // the edge dies
	youngTime   = 10 * microtime.Second
	earlyTime   = 2 * microtime.Second
	restartTime = 50 * microtime.Millisecond
	// impairedTime is longer than the experiment.
	impairedTime = 300 * microtime.Second
)

const (
	slowPoolFactor = 5
	proxiesPerEdge = 2
	worstProfile   = "worst"
)

// Run plays the experiment. An error says that its settings are not valid.
func (e GossipExperiment) Run() (GossipResult, error) {
	script, err := e.script()
	if err != nil {
		return GossipResult{}, err
	}
	measurement := gossipMeasurement{}
	outcome, err := Play(script, Options{beforeRun: measurement.schedule})
	if err != nil {
		return GossipResult{}, err
	}
	result := measurement.result
	served := measurement.end.served - measurement.start.served
	result.WeightedGoodput = served / max(measurement.end.asked-measurement.start.asked, 1)
	result.Violations = len(outcome.Violations)
	return result, nil
}

// script returns the script of the experiment.
func (e GossipExperiment) script() (faults.Script, error) {
	script := faults.Script{
		Seed:    e.Seed,
		Servers: e.Servers,
		Proxies: proxiesPerEdge * e.Edges,
		Edges:   e.Edges,
		Length:  restartAt + youngTime,
		Rate:    e.Rate,
	}
	if e.DrawFaults {
		world := faults.World{
			Servers: e.Servers,
			Proxies: script.Proxies,
			Edges:   e.Edges,
			Length:  script.Length,
			Rate:    e.Rate,
		}
		var err error
		if script, err = world.Draw(e.Seed, worstProfile); err != nil {
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

// gossipMeasurement measures one run.
type gossipMeasurement struct {
	result     GossipResult
	start, end weightTotals // of the time in which the restarted edge is young
}

// weightTotals is the priority weight that was served in time and asked for until an instant.
type weightTotals struct{ served, asked float64 }

// schedule has the figures taken at their times.
func (m *gossipMeasurement) schedule(sim *simulation) {
	restarted := simnet.Start + restartAt
	judge := sim.net.Tap
	sim.net.Tap = func(event simnet.Event) {
		judge(event)
		m.observe(sim, event)
	}
	totals := func() weightTotals {
		return weightTotals{served: sim.environment.WeightServed, asked: sim.environment.WeightStarted}
	}
	edge := sim.edges[0]
	sim.clock.At(restarted, func() { m.start = totals() })
	sim.clock.At(restarted+earlyTime, func() { m.result.EarlyWasted = edge.program.WastedAttempts() })
	sim.clock.At(restarted+youngTime, func() {
		m.result.Wasted = edge.program.WastedAttempts()
		m.end = totals()
	})
}

// observe counts the bytes of gossip, and the young edge's connects to servers that are down.
func (m *gossipMeasurement) observe(sim *simulation, event simnet.Event) {
	if event.Kind == simnet.Written && strings.HasSuffix(event.Addr, gossipSuffix) {
		m.result.GossipBytes += len(event.Bytes)
	}
	restarted := simnet.Start + restartAt
	isYoung := event.At >= restarted && event.At <= restarted+youngTime
	if event.Kind != simnet.ConnectAttempted || event.Node != sim.edges[0].name || !isYoung {
		return
	}
	if server := sim.instance(event.Peer); server != nil && server.host.Ended {
		m.result.DeadConnects++
	}
}
