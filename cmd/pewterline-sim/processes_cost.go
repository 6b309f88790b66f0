package main

import (
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"pewterline/internal/testbed/processtest"
	"pewterline/internal/testbed/processtest/measure"
)

// The measurement of a server that is lost under load, with times in seconds from the start of the measurement.
const (
	lossLength = 20
	lossAt     = 5
	lossUntil  = 12
	lossRate   = 300 // requests a second
)

// repairRateDivisor is the ratio of the repair rate, in keys a second, to the number of keys repaired at once.
const repairRateDivisor = 60

type processesCostCommand struct {
	processesFlags
	Callers int    `default:"16" help:"Callers at once."`
	Keys    int    `default:"100000" aliases:"holdings" help:"Idempotency keys to be repaired; 0: none."`
	Plot    string `type:"path" help:"File to draw what callers are told into, such as kill.svg."`
}

// Run measures the cost of replication by number of replicas, the time of a repair, and the loss of a server.
func (c *processesCostCommand) Run(out io.Writer) (int, error) {
	c.Group = true
	options, cleanUp, err := c.build()
	defer cleanUp()
	if err != nil {
		return exitUsage, err
	}
	// The program is measured as it is released, without the build tag faults.
	if options.Program, err = processtest.Build(c.Root, filepath.Dir(options.Program)); err != nil {
		return exitUsage, err
	}
	if err := c.measureCost(out, options); err != nil {
		return exitUsage, err
	}
	if err := c.measureRepair(out, options); err != nil {
		return exitUsage, err
	}
	if err := c.measureLoss(out, options); err != nil {
		return exitUsage, err
	}
	return exitClean, nil
}

func (c *processesCostCommand) measureCost(out io.Writer, options processtest.Options) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "COPIES\tINTAKES/S\tP50\tP99\tSYNCS EACH\tBYTES EACH\tMEMORY MB\tNOT SERVED")
	length := time.Duration(c.Seconds * float64(time.Second))
	for _, replicas := range []int{0, 1, 3, 5} {
		result, err := measure.Cost(measure.CostConfig{
			Program:  options.Program,
			Settings: options.Settings,
			Replicas: replicas,
			Callers:  c.Callers,
			Length:   length,
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(table, "%d\t%.0f\t%v\t%v\t%.2f\t%.0f\t%.1f\t%d\n",
			result.Replicas, result.PerSecond, result.P50, result.P99,
			result.SyncsPerRequest, result.BytesPerRequest, float64(result.MemoryBytes)/1e6, result.NotServed)
	}
	return table.Flush()
}

func (c *processesCostCommand) measureRepair(out io.Writer, options processtest.Options) error {
	if c.Keys <= 0 {
		return nil
	}
	for _, rate := range []int{2000, 20000} {
		result, err := measure.Repair(measure.RepairConfig{
			Program:           options.Program,
			Settings:          options.Settings,
			Keys:              c.Keys,
			KeysPerSecond:     rate,
			MaxConcurrentKeys: rate / repairRateDivisor,
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "repair of %d keys at %d keys/s at most: %v, %.1f MB in the server that was lost\n",
			result.Keys, rate, result.Duration.Round(10*time.Millisecond), float64(result.MemoryBytes)/1e6)
	}
	return nil
}

func (c *processesCostCommand) measureLoss(out io.Writer, options processtest.Options) error {
	seconds, err := measure.Loss(measure.LossConfig{
		Program:   options.Program,
		Settings:  options.Settings,
		Length:    lossLength,
		LossAt:    lossAt,
		RestartAt: lossUntil,
		Rate:      lossRate,
	})
	if err != nil {
		return err
	}
	for i, s := range seconds {
		fmt.Fprintf(out, "second %d: %+v\n", i, s)
	}
	if c.Plot == "" {
		return nil
	}
	return measure.Plot(seconds, c.Plot)
}
