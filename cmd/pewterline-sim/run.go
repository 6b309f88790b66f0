package main

import (
	"fmt"
	"io"
	"time"

	"pewterline/internal/testbed/sim"
)

type runCommand struct {
	scriptSource
	Digest bool `help:"Print one line with the digest over every byte and time of the run."`
	Trace  bool `help:"Print what the servers log and what goes wrong, with the simulated time."`
	Print  bool `help:"Print the script itself."`
}

// Run runs the script and prints a summary or the digest, and the violations of invariants.
func (c *runCommand) Run(out io.Writer) (int, error) {
	script, err := c.script()
	if err != nil {
		return exitUsage, err
	}
	if c.Print {
		fmt.Fprint(out, script.String())
	}
	options := sim.Options{}
	if c.Trace {
		options.Log = func(line string) { fmt.Fprintln(out, line) }
	}
	start := time.Now()
	outcome, err := sim.Play(script, options)
	if err != nil {
		return exitUsage, err
	}
	if c.Digest {
		fmt.Fprintf(out, "digest: %016x\n", outcome.Digest)
	} else {
		printSummary(out, outcome, time.Since(start))
		if script.Vault {
			printCalls(out, outcome)
		}
	}
	for _, violation := range outcome.Violations {
		fmt.Fprintf(out, "seed %d: %s\n", script.Seed, violation)
	}
	if len(outcome.Violations) > 0 {
		return exitBroken, nil
	}
	return exitClean, nil
}

func printSummary(out io.Writer, outcome sim.Outcome, took time.Duration) {
	simulated := outcome.Simulated.Duration()
	fmt.Fprintf(out, "%v simulated in %v (%.1f to one), %d events, %d turns, ",
		simulated, took.Round(time.Millisecond), simulated.Seconds()/took.Seconds(), outcome.Events, outcome.Turns)
	fmt.Fprintf(out, "%d answers %v, weight served in time %.3f\n",
		outcome.Requests, outcome.Answers, outcome.WeightedGoodput)
}

// printCalls prints the vault's replies by outcome, and the history of one request that made a downstream call.
func printCalls(out io.Writer, outcome sim.Outcome) {
	fmt.Fprintf(out, "replies of the vault %v; a request with a call:\n", outcome.Replies)
	for _, line := range outcome.ExampleTrace {
		fmt.Fprintln(out, "   ", line)
	}
}
