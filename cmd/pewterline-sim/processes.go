package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/processtest"
	"pewterline/internal/testbed/processtest/clusterplay"
)

// playsPerScript is the number of runs without a violation after which a smaller script counts as passing. One run is
// not enough, as real processes are not deterministic.
const playsPerScript = 3

// processesCommand runs real processes on the loopback interface. A seed determines the faults and their times; the
// outcome also depends on the machine.
type processesCommand struct {
	Run    processesRunCommand    `cmd:"" help:"Play one script, drawn from a seed or read from a file."`
	Search processesSearchCommand `cmd:"" help:"Play seed after seed until one breaks an invariant."`
	Cost   processesCostCommand   `cmd:"" help:"Measure what replication costs, how long a repair takes, and what callers see meanwhile."`

	OldSearch processesSearchCommand `cmd:"" name:"hunt" hidden:""`
}

type processesFlags struct {
	Config  string  `type:"existingfile" default:"example/config.json" help:"The file whose settings are played."`
	Root    string  `type:"existingdir" default:"." help:"The root of the program's sources."`
	Seconds float64 `default:"8" help:"How long requests come, in seconds."`
	Group   bool    `help:"Play a group of servers that replicate to each other, in place of one that is upgraded."`
}

func (f processesFlags) draw(seed uint64) faults.Script {
	if f.Group {
		return clusterplay.DrawScript(seed, f.Seconds)
	}
	return processtest.DrawScript(seed, f.Seconds)
}

// build builds the program into a temporary folder, which cleanUp removes.
func (f processesFlags) build() (options processtest.Options, cleanUp func(), err error) {
	cleanUp = func() {}
	text, err := os.ReadFile(f.Config)
	if err != nil {
		return options, cleanUp, err
	}
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &file); err != nil {
		return options, cleanUp, fmt.Errorf("%s: %w", f.Config, err)
	}
	dir, err := os.MkdirTemp("", programName)
	if err != nil {
		return options, cleanUp, err
	}
	cleanUp = func() {
		// The error is ignored: the folder is below the system's temporary folder and may stay behind.
		_ = os.RemoveAll(dir)
	}
	var tags []string
	if f.Group {
		tags = []string{"faults"}
		file.Settings = processtest.LongRetention(file.Settings)
	}
	options.Settings = file.Settings
	options.Program, err = processtest.Build(f.Root, dir, tags...)
	return options, cleanUp, err
}

// play runs a script and prints a summary and the violations. It returns false if the run violated an invariant.
func (f processesFlags) play(out io.Writer, script faults.Script, options processtest.Options) (bool, error) {
	play := processtest.Play
	if f.Group {
		play = clusterplay.Play
	}
	outcome, err := play(script, options)
	if err != nil {
		return false, err
	}
	if f.Group {
		fmt.Fprintf(out, "seed %d: %d servers, %d disks lost, %d times not known; ",
			script.Seed, script.Servers, outcome.DisksLost, outcome.Indeterminate)
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d processes, %d upgrades; ",
		script.Seed, len(script.Faults), outcome.Starts, outcome.Upgrades)
	fmt.Fprintf(out, "%d answers, %d served, %d rejected, %d unanswered; %d rules broken\n",
		outcome.Answered, outcome.Served, outcome.Rejected, outcome.Unanswered, len(outcome.Violations))
	for _, violation := range outcome.Violations {
		fmt.Fprintln(out, violation)
	}
	return len(outcome.Violations) == 0, nil
}

type processesRunCommand struct {
	processesFlags
	Seed   uint64 `help:"Seed to draw the script from."`
	Script string `type:"path" help:"File to read the script from, in place of a seed."`
	Print  bool   `help:"Print the script itself."`
}

// Run runs one script.
func (c *processesRunCommand) Run(out io.Writer) (int, error) {
	script := c.draw(c.Seed)
	if c.Script != "" {
		var err error
		if script, err = readScript(c.Script); err != nil {
			return exitUsage, err
		}
	}
	if c.Print {
		fmt.Fprint(out, script.String())
	}
	options, cleanUp, err := c.build()
	defer cleanUp()
	if err != nil {
		return exitUsage, err
	}
	options.Log = func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	ok, err := c.play(out, script, options)
	switch {
	case err != nil:
		return exitUsage, err
	case !ok:
		return exitBroken, nil
	}
	return exitClean, nil
}

type processesSearchCommand struct {
	processesFlags
	Seeds    string        `default:"1.." help:"Seeds A..B; without B there is no end."`
	Duration time.Duration `default:"1m" aliases:"for" help:"How long to search."`
	Out      string        `type:"path" help:"File to write a found script to."`
	MaxPlays int           `default:"30" aliases:"plays" help:"How often a found script may be played to make it smaller; 0: not at all."`
}

// Run runs the scripts of successive seeds until one violates an invariant, and shrinks and prints that script.
func (c *processesSearchCommand) Run(out io.Writer) (int, error) {
	first, last, err := parseSeeds(c.Seeds)
	if err != nil {
		return exitUsage, err
	}
	options, cleanUp, err := c.build()
	defer cleanUp()
	if err != nil {
		return exitUsage, err
	}
	until := time.Now().Add(c.Duration)
	for seed := first; (last == 0 || seed <= last) && time.Now().Before(until); seed++ {
		script := c.draw(seed)
		ok, err := c.play(out, script, options)
		if err != nil {
			return exitUsage, err
		}
		if !ok {
			return exitBroken, c.report(out, script, options)
		}
	}
	return exitClean, nil
}

// report shrinks and prints a script that violates an invariant, and writes it to the file in Out, if set.
func (c *processesSearchCommand) report(out io.Writer, script faults.Script, options processtest.Options) error {
	if c.MaxPlays > 0 {
		var err error
		if script, err = c.shrink(out, script, options); err != nil {
			return err
		}
		fmt.Fprint(out, script.String())
	}
	if c.Out == "" {
		return nil
	}
	return os.WriteFile(c.Out, []byte(script.String()), filePermissions)
}

// shrink makes a failing script smaller. A smaller script is kept if one of playsPerScript runs violates an invariant.
func (c *processesSearchCommand) shrink(
	out io.Writer, script faults.Script, options processtest.Options,
) (faults.Script, error) {
	shrinker := faultsearch.NewShrinker(script, c.MaxPlays/playsPerScript)
	for {
		smaller, ok := shrinker.Next()
		if !ok {
			return shrinker.Best(), nil
		}
		fails := false
		for i := 0; i < playsPerScript && !fails; i++ {
			ok, err := c.play(io.Discard, smaller, options)
			if err != nil {
				return shrinker.Best(), err
			}
			fails = !ok
		}
		shrinker.Report(fails)
		fmt.Fprintf(out, "%d faults, %d servers: breaks a rule: %v\n", len(smaller.Faults), smaller.Servers, fails)
	}
}
