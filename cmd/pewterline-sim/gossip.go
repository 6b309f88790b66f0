package main

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"

	"pewterline/internal/testbed/sim"
)

// exchangeSeconds is how long the instances of one run of a sim.GossipExperiment exchange gossip.
const exchangeSeconds = 19

type gossipCommand struct {
	Edges   int     `default:"3" help:"Instances before the servers."`
	Servers int     `default:"12" help:"Log servers."`
	Dead    int     `default:"3" help:"Servers whose machine is gone."`
	Slow    int     `default:"1" help:"Servers whose work takes five times as long."`
	Rate    float64 `default:"120" help:"First attempts a second in all."`
	Seeds   int     `default:"100" help:"Runs of each, from seed 1 on."`
	Worst   bool    `help:"Draw faults of the profile worst from each seed as well."`
}

// Run runs the experiment without and with gossip, and prints a table of quantiles over all seeds.
func (c *gossipCommand) Run(out io.Writer) (int, error) {
	code := exitClean
	fmt.Fprintf(out, "%-8s %28s %28s %24s %10s\n",
		"gossip", "tries wasted (50% 90%)", "in the first 2 s (50% 90%)", "worth (10% 50%)", "bytes/s")
	for _, withGossip := range []bool{false, true} {
		results, err := c.play(withGossip)
		if err != nil {
			return exitUsage, err
		}
		c.print(out, withGossip, results)
		for _, result := range results {
			if result.Violations > 0 {
				code = exitBroken
			}
		}
	}
	return code, nil
}

// play runs all seeds, GOMAXPROCS of them at once.
func (c *gossipCommand) play(withGossip bool) ([]sim.GossipResult, error) {
	results := make([]sim.GossipResult, c.Seeds)
	errs := make([]error, c.Seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i := range c.Seeds {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			experiment := sim.GossipExperiment{
				Seed:       uint64(i + 1),
				Edges:      c.Edges,
				Servers:    c.Servers,
				Dead:       c.Dead,
				Slow:       c.Slow,
				Rate:       c.Rate,
				Gossip:     withGossip,
				DrawFaults: c.Worst,
			}
			results[i], errs[i] = experiment.Run()
		})
	}
	running.Wait()
	return results, errors.Join(errs...)
}

func (c *gossipCommand) print(out io.Writer, withGossip bool, results []sim.GossipResult) {
	quantileOf := func(q float64, figure func(sim.GossipResult) float64) float64 {
		var values []float64
		for _, result := range results {
			values = append(values, figure(result))
		}
		return quantile(values, q)
	}
	wasted := func(r sim.GossipResult) float64 { return float64(r.Wasted) }
	earlyWasted := func(r sim.GossipResult) float64 { return float64(r.EarlyWasted) }
	weightedGoodput := func(r sim.GossipResult) float64 { return r.WeightedGoodput }
	bytesPerSecond := func(r sim.GossipResult) float64 {
		return float64(r.GossipBytes) / exchangeSeconds / float64(c.Edges)
	}
	fmt.Fprintf(out, "%-8v %20.0f %7.0f %22.0f %7.0f %17.3f %6.3f %10.0f\n", withGossip,
		quantileOf(0.5, wasted), quantileOf(0.9, wasted), quantileOf(0.5, earlyWasted), quantileOf(0.9, earlyWasted),
		quantileOf(0.1, weightedGoodput), quantileOf(0.5, weightedGoodput), quantileOf(0.5, bytesPerSecond))
}
