package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"pewterline/internal/faults"
	"pewterline/internal/procs"
	"pewterline/internal/procs/hunt"
)

// procsCmd plays real processes on the loopback. What they do depends on the machine as well: a seed gives the faults and
// when they come, and no more.
type procsCmd struct {
	Run  procsRunCmd  `cmd:"" help:"Play one script, drawn from a seed or read from a file."`
	Hunt procsHuntCmd `cmd:"" help:"Play seed after seed until one breaks a rule."`
}

type procsFlags struct {
	Config  string  `type:"existingfile" default:"example/config.json" help:"The file whose settings are played."`
	Root    string  `type:"existingdir" default:"." help:"The root of the program's sources."`
	Seconds float64 `default:"8" help:"How long requests come, in seconds."`
	Group   bool    `help:"Play a group of servers that hold copies for each other, in place of one that is upgraded."`
}

func (f procsFlags) drawn(seed uint64) faults.Script {
	if f.Group {
		return hunt.Drawn(seed, f.Seconds)
	}
	return procs.Drawn(seed, f.Seconds)
}

// options builds the program into a folder of its own.
func (f procsFlags) options() (procs.Options, func(), error) {
	none := func() {}
	text, err := os.ReadFile(f.Config)
	if err != nil {
		return procs.Options{}, none, err
	}
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &file); err != nil {
		return procs.Options{}, none, fmt.Errorf("%s: %w", f.Config, err)
	}
	dir, err := os.MkdirTemp("", "pewterlab")
	if err != nil {
		return procs.Options{}, none, err
	}
	var tags []string
	if f.Group {
		tags, file.Settings = []string{"faults"}, procs.LongWindow(file.Settings)
	}
	program, err := procs.Build(f.Root, dir, tags...)
	return procs.Options{Program: program, Settings: file.Settings}, func() { _ = os.RemoveAll(dir) }, err
}

func (f procsFlags) play(out io.Writer, s faults.Script, opts procs.Options) (bool, error) {
	play := procs.Play
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
		o.Starts, o.Upgrades, o.Answered, o.Served, o.Refused, o.Unheard, len(o.Broken))
	for _, b := range o.Broken {
		fmt.Fprintln(out, b)
	}
	return len(o.Broken) == 0, nil
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
			if c.Out != "" {
				err = os.WriteFile(c.Out, []byte(s.String()), 0o644)
			}
			return broken, err
		}
	}
	return clean, nil
}
