package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/processtest"
	"pewterline/internal/testbed/processtest/hunt"
	"pewterline/internal/testbed/processtest/measure"
)

// procsCmd plays real processes on the loopback. What they do depends on the machine as well: a seed gives the faults and
// when they come, and no more.
type procsCmd struct {
	Run  procsRunCmd  `cmd:"" help:"Play one script, drawn from a seed or read from a file."`
	Hunt procsHuntCmd `cmd:"" help:"Play seed after seed until one breaks a rule."`
	Cost procsCostCmd `cmd:"" help:"Measure what copies cost, how long a repair takes, and what callers are told while a server is lost."`
}

type procsFlags struct {
	Config  string  `type:"existingfile" default:"example/config.json" help:"The file whose settings are played."`
	Root    string  `type:"existingdir" default:"." help:"The root of the program's sources."`
	Seconds float64 `default:"8" help:"How long requests come, in seconds."`
	Group   bool    `help:"Play a group of servers that hold copies for each other, in place of one that is upgraded."`
}

func (f procsFlags) drawn(seed uint64) faults.Script {
	if f.Group {
		return hunt.DrawScript(seed, f.Seconds)
	}
	return processtest.DrawScript(seed, f.Seconds)
}

// options builds the program into a folder of its own.
func (f procsFlags) options() (processtest.Options, func(), error) {
	none := func() {}
	text, err := os.ReadFile(f.Config)
	if err != nil {
		return processtest.Options{}, none, err
	}
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &file); err != nil {
		return processtest.Options{}, none, fmt.Errorf("%s: %w", f.Config, err)
	}
	dir, err := os.MkdirTemp("", "pewterline-sim")
	if err != nil {
		return processtest.Options{}, none, err
	}
	var tags []string
	if f.Group {
		tags, file.Settings = []string{"faults"}, processtest.LongRetention(file.Settings)
	}
	program, err := processtest.Build(f.Root, dir, tags...)
	return processtest.Options{Program: program, Settings: file.Settings}, func() { _ = os.RemoveAll(dir) }, err
}

func (f procsFlags) play(out io.Writer, s faults.Script, opts processtest.Options) (bool, error) {
	play := processtest.Play
	if f.Group {
		play = hunt.Play
	}
	o, err := play(s, opts)
	if err != nil {
		return false, err
	}
	if f.Group {
		fmt.Fprintf(out, "seed %d: %d servers, %d disks lost, %d times not known; ", s.Seed, s.Servers, o.Wiped, o.Unknown)
	}
	fmt.Fprintf(out, "seed %d: %d faults, %d processes, %d upgrades; %d answers, %d served, %d refused, %d unheard; %d rules broken\n", s.Seed, len(s.Faults),
		o.Starts, o.Upgrades, o.Answered, o.Served, o.Refused, o.Unanswered, len(o.Violations))
	for _, b := range o.Violations {
		fmt.Fprintln(out, b)
	}
	return len(o.Violations) == 0, nil
}

type procsRunCmd struct {
	procsFlags
	Seed   uint64 `help:"Seed to draw the script from."`
	Script string `type:"path" help:"File to read the script from, in place of a seed."`
	Print  bool   `help:"Print the script itself."`
}

func (c *procsRunCmd) Run(out io.Writer) (int, error) {
	s := c.drawn(c.Seed)
	if c.Script != "" {
		var err error
		if s, err = (source{Script: c.Script}).script(); err != nil {
			return faulty, err
		}
	}
	if c.Print {
		fmt.Fprint(out, s.String())
	}
	opts, remove, err := c.options()
	defer remove()
	if err != nil {
		return faulty, err
	}
	opts.Log = func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	ok, err := c.play(out, s, opts)
	switch {
	case err != nil:
		return faulty, err
	case !ok:
		return broken, nil
	}
	return clean, nil
}

type procsHuntCmd struct {
	procsFlags
	Seeds string        `default:"1.." help:"Seeds A..B; without B there is no end."`
	For   time.Duration `default:"1m" help:"How long to hunt."`
	Out   string        `type:"path" help:"File to write a found script to."`
	Plays int           `default:"30" help:"How often a found script may be played to make it smaller; 0: not at all."`
}

// shrink makes a found script smaller. Real processes don't do the same each time: a smaller script counts if one of three plays of it
// breaks a rule.
func (c *procsHuntCmd) shrink(out io.Writer, s faults.Script, opts processtest.Options) (faults.Script, error) {
	k := faultsearch.NewShrinker(s, c.Plays/3)
	for {
		smaller, ok := k.Next()
		if !ok {
			return k.Best(), nil
		}
		fails := false
		for i := 0; i < 3 && !fails; i++ {
			ok, err := c.play(io.Discard, smaller, opts)
			if err != nil {
				return k.Best(), err
			}
			fails = !ok
		}
		k.Report(fails)
		fmt.Fprintf(out, "%d faults, %d servers: breaks a rule: %v\n", len(smaller.Faults), smaller.Servers, fails)
	}
}

func (c *procsHuntCmd) Run(out io.Writer) (int, error) {
	first, last, err := seeds(c.Seeds)
	if err != nil {
		return faulty, err
	}
	opts, remove, err := c.options()
	defer remove()
	if err != nil {
		return faulty, err
	}
	until := time.Now().Add(c.For)
	for seed := first; (last == 0 || seed <= last) && time.Now().Before(until); seed++ {
		s := c.drawn(seed)
		ok, err := c.play(out, s, opts)
		if err != nil {
			return faulty, err
		}
		if !ok {
			if c.Plays > 0 {
				if s, err = c.shrink(out, s, opts); err != nil {
					return faulty, err
				}
				fmt.Fprint(out, s.String())
			}
			if c.Out != "" {
				err = os.WriteFile(c.Out, []byte(s.String()), 0o644)
			}
			return broken, err
		}
	}
	return clean, nil
}

type procsCostCmd struct {
	procsFlags
	Callers  int    `default:"16" help:"Callers at once."`
	Holdings int    `default:"100000" help:"Intakes to be repaired; 0: none."`
	Plot     string `type:"path" help:"File to draw what callers are told into, such as kill.svg."`
}

func (c *procsCostCmd) Run(out io.Writer) (int, error) {
	c.Group = true
	opts, remove, err := c.options()
	defer remove()
	if err != nil {
		return faulty, err
	}
	if opts.Program, err = processtest.Build(c.Root, filepath.Dir(opts.Program)); err != nil { // as it ships, without faults
		return faulty, err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "COPIES\tINTAKES/S\tP50\tP99\tSYNCS EACH\tBYTES EACH\tMEMORY MB\tNOT SERVED")
	for _, n := range []int{0, 1, 3, 5} {
		r, err := measure.Cost(opts.Program, opts.Settings, n, c.Callers, time.Duration(c.Seconds*float64(time.Second)))
		if err != nil {
			return faulty, err
		}
		fmt.Fprintf(w, "%d\t%.0f\t%v\t%v\t%.2f\t%.0f\t%.1f\t%d\n", r.Copies, r.PerSecond, r.P50, r.P99, r.SyncsEach, r.BytesEach, float64(r.Memory)/1e6, r.NotAnswered)
	}
	if err := w.Flush(); err != nil {
		return faulty, err
	}
	if c.Holdings > 0 {
		for _, rate := range []int{2000, 20000} {
			r, err := measure.Repair(opts.Program, opts.Settings, c.Holdings, rate, rate/60)
			if err != nil {
				return faulty, err
			}
			fmt.Fprintf(out, "repair of %d holdings at %d keys/s at most: %v, %.1f MB in the server that was lost\n", r.Holdings, rate, r.Took.Round(10*time.Millisecond), float64(r.Memory)/1e6)
		}
	}
	seconds, err := measure.Kill(opts.Program, opts.Settings, 20, 5, 12, 300)
	if err != nil {
		return faulty, err
	}
	for i, s := range seconds {
		fmt.Fprintf(out, "second %d: %+v\n", i, s)
	}
	if c.Plot != "" {
		return clean, measure.Plot(seconds, c.Plot)
	}
	return clean, nil
}
