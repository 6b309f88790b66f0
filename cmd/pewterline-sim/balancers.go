package main

import (
	"fmt"
	"io"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/sim"
)

// overloadFactor is the load under the impairment "overload", as a multiple of the servers' total capacity.
const overloadFactor = 1.6

type balancersCommand struct {
	Servers    int     `default:"12" help:"Log servers."`
	Load       float64 `default:"0.7" help:"Of what all servers can do."`
	Seconds    float64 `default:"60" help:"Simulated seconds."`
	Impairment string  `default:"" aliases:"trouble" help:"One of ${impairments}; else all."`
	Seeds      int     `default:"10" help:"Runs of each, from seed 1 on; the median is printed."`
	Warm       bool    `aliases:"advised" help:"The instance starts with what a running one knows."`
}

// Run simulates each policy under each impairment and prints a table of medians over all seeds.
func (c *balancersCommand) Run(out io.Writer) (int, error) {
	impairments := sim.Impairments
	if c.Impairment != "" {
		impairments = []string{c.Impairment}
	}
	fmt.Fprintf(out, "%-9s %-12s %8s %8s %7s %7s %6s %7s\n",
		"trouble", "policy", "p50 ms", "p99 ms", "worth", "first10", "tries", "wasted")
	for _, impairment := range impairments {
		results, err := c.play(impairment)
		if err != nil {
			return exitUsage, err
		}
		for _, policy := range sim.Policies {
			printPolicy(out, impairment, policy, results[policy])
		}
	}
	return exitClean, nil
}

// play runs all seeds under one impairment and returns the results by policy.
func (c *balancersCommand) play(impairment string) (map[string][]sim.PolicyResult, error) {
	results := map[string][]sim.PolicyResult{}
	for seed := range c.Seeds {
		comparison := sim.BalancerComparison{
			Servers:    c.Servers,
			Load:       c.Load,
			Length:     microtime.Time(c.Seconds * 1e6),
			Impairment: impairment,
			Seed:       uint64(seed + 1),
			Warm:       c.Warm,
		}
		if impairment == "overload" {
			comparison.Load = overloadFactor
		}
		policies, err := comparison.Run()
		if err != nil {
			return nil, err
		}
		for _, result := range policies {
			results[result.Policy] = append(results[result.Policy], result)
		}
	}
	return results, nil
}

func printPolicy(out io.Writer, impairment, policy string, results []sim.PolicyResult) {
	medianOf := func(figure func(sim.PolicyResult) float64) float64 {
		var values []float64
		for _, result := range results {
			values = append(values, figure(result))
		}
		return median(values)
	}
	fmt.Fprintf(out, "%-9s %-12s %8.0f %8.0f %7.3f %7.3f %6.2f %7.0f\n", impairment, policy,
		medianOf(func(r sim.PolicyResult) float64 { return float64(r.P50) / 1000 }),
		medianOf(func(r sim.PolicyResult) float64 { return float64(r.P99) / 1000 }),
		medianOf(func(r sim.PolicyResult) float64 { return r.OnTime }),
		medianOf(func(r sim.PolicyResult) float64 { return r.EarlyOnTime }),
		medianOf(func(r sim.PolicyResult) float64 { return r.Amplification }),
		medianOf(func(r sim.PolicyResult) float64 { return float64(r.Wasted) }))
}

func median(values []float64) float64 {
	return quantile(values, 0.5)
}

// quantile returns the value below which the share q of all values lies.
func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
