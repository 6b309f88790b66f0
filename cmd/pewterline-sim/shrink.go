package main

import (
	"fmt"
	"io"
	"os"

	"github.com/mattn/go-isatty"

	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/sim"
)

type shrinkCommand struct {
	scriptSource
	Out      string `type:"path" help:"File to write the smallest script to; else it is printed."`
	MaxPlays int    `default:"3000" aliases:"plays" help:"Scripts to try at most."`
}

// Run shrinks a failing script for as long as it violates the same invariant.
func (c *shrinkCommand) Run(out io.Writer) (int, error) {
	script, err := c.script()
	if err != nil {
		return exitUsage, err
	}
	smallest, violation, err := sim.Shrink(script, c.MaxPlays, printShrinking)
	if err != nil {
		return exitUsage, err
	}
	if violation.Rule == "" {
		fmt.Fprintln(out, "no rule is broken")
		return exitClean, nil
	}
	fmt.Fprintf(out, "%d faults of %d are left, over %v of %v: %s\n", len(smallest.Faults), len(script.Faults),
		smallest.Length.Duration(), script.Length.Duration(), violation)
	if c.Out == "" {
		fmt.Fprint(out, smallest.String())
		return exitBroken, nil
	}
	if err := os.WriteFile(c.Out, []byte(smallest.String()), filePermissions); err != nil {
		return exitUsage, err
	}
	return exitBroken, nil
}

func printShrinking(script faults.Script) {
	if isatty.IsTerminal(os.Stderr.Fd()) {
		fmt.Fprintf(os.Stderr, "\r\x1b[K%d faults, %d servers, %d proxies, %v",
			len(script.Faults), script.Servers, script.Proxies, script.Length.Duration())
	}
}
