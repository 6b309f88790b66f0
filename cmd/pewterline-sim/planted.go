package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"pewterline/internal/planted"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/sim"
)

type plantedCommand struct {
	worldFlags
	Bug    string        `help:"One bug alone; else all."`
	Series int           `default:"5" help:"Series of seeds, each hunted at random and guided."`
	Within time.Duration `default:"2m" help:"After which a hunt ends without a find."`
	Jobs   int           `default:"1" help:"Scripts to play at once."`
	Out    string        `type:"path" help:"Folder to write a small script to for each bug that is found."`
}

// Run hunts each planted bug in several series of seeds, at random and guided, and prints how many scripts and how
// long that took.
func (c *plantedCommand) Run(out io.Writer) (int, error) {
	if !planted.Built {
		return exitUsage, fmt.Errorf("planted: this program has no planted bugs; build it with: go build -tags planted -o bin/ ./cmd/pewterline-sim")
	}
	bugs := planted.All
	if c.Bug != "" {
		if !slices.Contains(bugs, planted.ID(c.Bug)) {
			return exitUsage, fmt.Errorf("--bug: %q is none of %v", c.Bug, bugs)
		}
		bugs = []planted.ID{planted.ID(c.Bug)}
	}
	defer planted.Set(planted.None)
	code := exitClean
	fmt.Fprintf(out, "%-18s %-8s %s\n", "bug", "search", "runs until found (seconds), one pair for each series; then the median")
	var all [2][]float64
	for _, bug := range bugs {
		for mode, name := range []string{"random", "guided"} {
			var runs, secs []float64
			text := ""
			for series := range c.Series {
				planted.Set(bug)
				h := sim.Search{FirstSeed: 1 + uint64(series)*1_000_000, Duration: c.Within, Profile: c.Profile, Servers: c.Servers, Proxies: c.Proxies,
					Length: c.length(), Rate: c.Rate, Guided: mode == 1, Jobs: c.Jobs, MaxFindings: 1}
				p, err := h.Run()
				if err != nil {
					return exitUsage, err
				}
				if len(p.Findings) == 0 {
					text += fmt.Sprintf(" none in %d (%.0f)", p.Runs, p.Took.Seconds())
					runs, secs, code = append(runs, math.Inf(1)), append(secs, math.Inf(1)), exitBroken
					continue
				}
				f := p.Findings[0]
				if c.Out != "" && series == 0 && mode == 0 {
					if err := c.keep(bug, f.Script); err != nil {
						return exitUsage, err
					}
				}
				text += fmt.Sprintf(" %d (%.1f)", f.Run, f.After.Seconds())
				runs, secs = append(runs, float64(f.Run)), append(secs, f.After.Seconds())
			}
			all[mode] = append(all[mode], median(runs))
			fmt.Fprintf(out, "%-18s %-8s%s; median %.0f (%.1f)\n", bug, name, text, median(runs), median(secs))
		}
	}
	ahead := 0
	for i := range all[0] {
		if all[1][i] <= all[0][i] {
			ahead++
		}
	}
	fmt.Fprintf(out, "guided is not behind in the median for %d of %d bugs\n", ahead, len(all[0]))
	return code, nil
}

// keep writes a small script that shows the bug.
func (c *plantedCommand) keep(bug planted.ID, s faults.Script) error {
	least, v, err := sim.Shrink(s, 1000, nil)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("# %s: %s\n%s", bug, v.Key(), least.String())
	return os.WriteFile(filepath.Join(c.Out, string(bug)+".txt"), []byte(text), 0o644)
}
