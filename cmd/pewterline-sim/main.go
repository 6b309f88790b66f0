// Command pewterline-sim plays the log server on a virtual clock against scripted faults, hunts for scripts that break a
// rule, and makes failing scripts smaller. It exits with 0 where all rules hold, 1 where one is broken, and 2 on bad
// arguments or a bad script.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/sim"
)

// The exit codes.
const (
	clean  = 0
	broken = 1
	faulty = 2
)

type command struct {
	Run     runCmd     `cmd:"" help:"Play one script, drawn from a seed or read from a file."`
	Hunt    huntCmd    `cmd:"" help:"Look for scripts that break a rule."`
	Shrink  shrinkCmd  `cmd:"" help:"Make a failing script smaller until nothing can be left out."`
	Routes  routesCmd  `cmd:"" help:"Compare ways to choose a server under a trouble."`
	Learn   learnCmd   `cmd:"" help:"Measure what advice is worth to a fresh instance."`
	Procs   procsCmd   `cmd:"" help:"Play real processes of the program, which upgrade and die under load."`
	Planted plantedCmd `cmd:"" help:"Show that the hunt finds bugs planted on purpose (needs a build with -tags planted)."`
}

// worldFlags say which world a seed is drawn for.
type worldFlags struct {
	Profile string  `default:"worst" help:"How much goes wrong, and what: ${profiles}."`
	Servers int     `default:"3" help:"Log servers, each with a worker pool."`
	Proxies int     `default:"4" help:"Proxies; there are half as many web front ends beside."`
	Seconds float64 `default:"12" help:"How long requests come, in virtual seconds."`
	Edges   int     `help:"Instances of the program before the servers, to which all callers go."`
	Vault   bool    `help:"Requests call a vault while they run, as on the second deployment."`
	Rate    float64 `help:"First tries a second in all; 0 has the profile choose."`
}

func (f worldFlags) length() microtime.Time { return microtime.Time(f.Seconds * 1e6) }

func (f worldFlags) draw(seed uint64) (faults.Script, error) {
	world := faults.World{Servers: f.Servers, Proxies: f.Proxies, Edges: f.Edges, Length: f.length(), Rate: f.Rate, Vault: f.Vault}
	return world.Draw(seed, f.Profile)
}

// source is a script from a file or a seed.
type source struct {
	Seed   uint64 `help:"Seed to draw the script from."`
	Script string `type:"path" help:"File to read the script from, in place of a seed."`
	worldFlags
}

func (s source) script() (faults.Script, error) {
	if s.Script == "" {
		return s.draw(s.Seed)
	}
	text, err := os.ReadFile(s.Script)
	if err != nil {
		return faults.Script{}, err
	}
	script, err := faults.Parse(string(text))
	if err != nil {
		return script, fmt.Errorf("%s: %w", s.Script, err)
	}
	return script, nil
}

type runCmd struct {
	source
	Digest bool `help:"Print one line with the digest over every byte and time of the run."`
	Trace  bool `help:"Print what the servers log and what goes wrong, with the virtual time."`
	Print  bool `help:"Print the script itself."`
}

func (c *runCmd) Run(out io.Writer) (int, error) {
	s, err := c.script()
	if err != nil {
		return faulty, err
	}
	if c.Print {
		fmt.Fprint(out, s.String())
	}
	opts := sim.Options{}
	if c.Trace {
		opts.Log = func(line string) { fmt.Fprintln(out, line) }
	}
	start := time.Now()
	o, err := sim.Play(s, opts)
	if err != nil {
		return faulty, err
	}
	took := time.Since(start)
	if c.Digest {
		fmt.Fprintf(out, "digest: %016x\n", o.Digest)
	} else {
		fmt.Fprintf(out, "%v simulated in %v (%.1f to one), %d events, %d turns, %d answers %v, worth served in time %.3f\n", o.Simulated.Duration(),
			took.Round(time.Millisecond), o.Simulated.Duration().Seconds()/took.Seconds(), o.Events, o.Turns, o.Requests, o.Answers, o.Worth)
		if s.Vault {
			printCalls(out, o)
		}
	}
	for _, v := range o.Violations {
		fmt.Fprintf(out, "seed %d: %s\n", s.Seed, v)
	}
	if len(o.Violations) > 0 {
		return broken, nil
	}
	return clean, nil
}

// printCalls tells what became of the calls, and of one request with a call.
func printCalls(out io.Writer, o sim.Outcome) {
	fmt.Fprintf(out, "replies of the vault %v; a request with a call:\n", o.Replies)
	for _, line := range o.Example {
		fmt.Fprintln(out, "   ", line)
	}
}

type huntCmd struct {
	worldFlags
	Seeds  string        `default:"1.." help:"Seeds A..B; without B there is no end."`
	For    time.Duration `help:"How long to hunt; 0: until the seeds are through."`
	Guided bool          `help:"Keep scripts that reach new situations and change them, beside drawing new ones."`
	Jobs   int           `help:"Scripts to play at once; 0: one for each core."`
	Most   int           `help:"End after so many finds; 0: go on."`
	Out    string        `type:"path" help:"Folder to write the found scripts to."`
}

func (c *huntCmd) Run(out io.Writer) (int, error) {
	first, last, err := seeds(c.Seeds)
	if err != nil {
		return faulty, err
	}
	if last == 0 && c.For == 0 && c.Most == 0 {
		return faulty, fmt.Errorf("--seeds: without an end, --for or --most is needed")
	}
	h := sim.Search{FirstSeed: first, LastSeed: last, Duration: c.For, Profile: c.Profile, Servers: c.Servers, Proxies: c.Proxies, Length: c.length(),
		Rate: c.Rate, Edges: c.Edges, Vault: c.Vault, Guided: c.Guided, Jobs: c.Jobs, MaxFindings: c.Most}
	if h.Jobs == 0 {
		h.Jobs = runtime.GOMAXPROCS(0)
	}
	told := 0
	terminal := isatty.IsTerminal(os.Stderr.Fd())
	h.Progress = func(p sim.Progress) {
		if terminal {
			fmt.Fprintf(os.Stderr, "\r\x1b[K%d runs, %d situations, %d scripts kept, %d finds, %v", p.Runs, p.Situations, p.CorpusSize, len(p.Findings), p.Took.Round(time.Second))
		}
		for ; told < len(p.Findings); told++ {
			f := p.Findings[told]
			fmt.Fprintf(out, "run %d after %v, seed %d: %s\n", f.Run, f.After.Round(time.Millisecond), f.Script.Seed, f.Violation)
			if c.Out != "" {
				name := fmt.Sprintf("%s/find-%d-%d.txt", c.Out, f.Script.Seed, f.Run)
				if err := os.WriteFile(name, []byte(f.Script.String()), 0o644); err != nil {
					fmt.Fprintln(os.Stderr, "pewterline-sim:", err)
				}
			}
		}
	}
	p, err := h.Run()
	if terminal {
		fmt.Fprintln(os.Stderr)
	}
	if err != nil {
		return faulty, err
	}
	fmt.Fprintf(out, "%d runs, %v simulated in %v, %d situations reached, %d broke a rule\n", p.Runs, p.Simulated.Duration().Round(time.Second),
		p.Took.Round(time.Millisecond), p.Situations, len(p.Findings))
	if len(p.Findings) > 0 {
		return broken, nil
	}
	return clean, nil
}

// seeds reads A..B, or A.. without an end.
func seeds(text string) (first, last uint64, err error) {
	a, b, ok := strings.Cut(text, "..")
	if first, err = strconv.ParseUint(a, 10, 63); err != nil || !ok {
		return 0, 0, fmt.Errorf("--seeds: %q is not of the form A..B", text)
	}
	if b == "" {
		return first, 0, nil
	}
	if last, err = strconv.ParseUint(b, 10, 63); err != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds: %q does not end at or after %d", text, first)
	}
	return first, last, nil
}

type shrinkCmd struct {
	source
	Out   string `type:"path" help:"File to write the smallest script to; else it is printed."`
	Plays int    `default:"3000" help:"Scripts to try at most."`
}

func (c *shrinkCmd) Run(out io.Writer) (int, error) {
	s, err := c.script()
	if err != nil {
		return faulty, err
	}
	least, v, err := sim.Shrink(s, c.Plays, func(s faults.Script) {
		if isatty.IsTerminal(os.Stderr.Fd()) {
			fmt.Fprintf(os.Stderr, "\r\x1b[K%d faults, %d servers, %d proxies, %v", len(s.Faults), s.Servers, s.Proxies, s.Length.Duration())
		}
	})
	if err != nil {
		return faulty, err
	}
	if v.Rule == "" {
		fmt.Fprintln(out, "no rule is broken")
		return clean, nil
	}
	fmt.Fprintf(out, "%d faults of %d are left, over %v of %v: %s\n", len(least.Faults), len(s.Faults), least.Length.Duration(), s.Length.Duration(), v)
	if c.Out == "" {
		fmt.Fprint(out, least.String())
		return broken, nil
	}
	if err := os.WriteFile(c.Out, []byte(least.String()), 0o644); err != nil {
		return faulty, err
	}
	return broken, nil
}

type routesCmd struct {
	Servers int     `default:"12" help:"Log servers."`
	Load    float64 `default:"0.7" help:"Of what all servers can do."`
	Seconds float64 `default:"60" help:"Virtual seconds."`
	Trouble string  `default:"" help:"One of ${troubles}; else all."`
	Seeds   int     `default:"10" help:"Runs of each, from seed 1 on; the median is printed."`
	Advised bool    `help:"The instance starts with what a running one knows."`
}

func (c *routesCmd) Run(out io.Writer) (int, error) {
	troubles := sim.Impairments
	if c.Trouble != "" {
		troubles = []string{c.Trouble}
	}
	fmt.Fprintf(out, "%-9s %-12s %8s %8s %7s %7s %6s %7s\n", "trouble", "policy", "p50 ms", "p99 ms", "worth", "first10", "tries", "wasted")
	for _, t := range troubles {
		results := map[string][]sim.PolicyResult{}
		for seed := range c.Seeds {
			o := sim.BalancerComparison{Servers: c.Servers, Load: c.Load, Length: microtime.Time(c.Seconds * 1e6), Impairment: t, Seed: uint64(seed + 1), Warm: c.Advised}
			if t == "overload" {
				o.Load = 1.6
			}
			rs, err := o.Run()
			if err != nil {
				return faulty, err
			}
			for _, r := range rs {
				results[r.Policy] = append(results[r.Policy], r)
			}
		}
		for _, p := range sim.Policies {
			med := func(f func(sim.PolicyResult) float64) float64 {
				var v []float64
				for _, r := range results[p] {
					v = append(v, f(r))
				}
				return median(v)
			}
			fmt.Fprintf(out, "%-9s %-12s %8.0f %8.0f %7.3f %7.3f %6.2f %7.0f\n", t, p, med(func(r sim.PolicyResult) float64 { return float64(r.P50) / 1000 }),
				med(func(r sim.PolicyResult) float64 { return float64(r.P99) / 1000 }), med(func(r sim.PolicyResult) float64 { return r.Worth }),
				med(func(r sim.PolicyResult) float64 { return r.FirstWorth }), med(func(r sim.PolicyResult) float64 { return r.Amplification }),
				med(func(r sim.PolicyResult) float64 { return float64(r.Wasted) }))
		}
	}
	return clean, nil
}

type learnCmd struct {
	Edges   int     `default:"3" help:"Instances before the servers."`
	Servers int     `default:"12" help:"Log servers."`
	Dead    int     `default:"3" help:"Servers whose machine is gone."`
	Slow    int     `default:"1" help:"Servers whose work takes five times as long."`
	Rate    float64 `default:"120" help:"First tries a second in all."`
	Seeds   int     `default:"100" help:"Runs of each, from seed 1 on."`
	Worst   bool    `help:"Draw faults of the profile worst from each seed as well."`
}

func (c *learnCmd) Run(out io.Writer) (int, error) {
	code := clean
	fmt.Fprintf(out, "%-8s %28s %28s %24s %10s\n", "advice", "tries wasted (50% 90%)", "in the first 2 s (50% 90%)", "worth (10% 50%)", "bytes/s")
	for _, advice := range []bool{false, true} {
		results := make([]sim.GossipResult, c.Seeds)
		errs := make([]error, c.Seeds)
		var wait sync.WaitGroup
		room := make(chan struct{}, runtime.GOMAXPROCS(0))
		for i := range c.Seeds {
			wait.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				results[i], errs[i] = sim.GossipExperiment{Seed: uint64(i + 1), Edges: c.Edges, Servers: c.Servers, Dead: c.Dead, Slow: c.Slow, Rate: c.Rate,
					Gossip: advice, DrawFaults: c.Worst}.Run()
			})
		}
		wait.Wait()
		if err := errors.Join(errs...); err != nil {
			return faulty, err
		}
		at := func(q float64, f func(sim.GossipResult) float64) float64 {
			var v []float64
			for _, r := range results {
				v = append(v, f(r))
			}
			slices.Sort(v)
			return v[min(int(q*float64(len(v))), len(v)-1)]
		}
		wasted := func(r sim.GossipResult) float64 { return float64(r.Wasted) }
		right := func(r sim.GossipResult) float64 { return float64(r.Early) }
		worth := func(r sim.GossipResult) float64 { return r.Worth }
		bytes := func(r sim.GossipResult) float64 { return float64(r.Exchanged) / 19 / float64(c.Edges) }
		fmt.Fprintf(out, "%-8v %20.0f %7.0f %22.0f %7.0f %17.3f %6.3f %10.0f\n", advice, at(0.5, wasted), at(0.9, wasted), at(0.5, right), at(0.9, right),
			at(0.1, worth), at(0.5, worth), at(0.5, bytes))
		for _, r := range results {
			if r.Violations > 0 {
				code = broken
			}
		}
	}
	return code, nil
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run is the program less the process; it returns the exit code.
func run(args []string, out, errs io.Writer) int {
	var cmd command
	code := clean
	parser, err := kong.New(&cmd, kong.Name("pewterline-sim"), kong.Description("Plays the log server against faults on a virtual clock."),
		kong.Vars{"profiles": strings.Join(faults.Profiles(), ", "), "troubles": strings.Join(sim.Impairments, ", ")}, kong.Writers(out, errs), kong.Exit(func(int) { panic(helpShown{}) }))
	if err != nil {
		fmt.Fprintln(errs, "pewterline-sim:", err)
		return faulty
	}
	defer func() {
		if p := recover(); p != nil {
			if _, ok := p.(helpShown); !ok {
				panic(p)
			}
		}
	}()
	ctx, err := parser.Parse(args)
	if err == nil {
		switch c := ctx.Selected().Target.Addr().Interface().(type) {
		case interface{ Run(io.Writer) (int, error) }:
			code, err = c.Run(out)
		}
	} else {
		code = faulty
	}
	if err != nil {
		fmt.Fprintln(errs, "pewterline-sim:", err)
	}
	return code
}

// helpShown ends the program after kong has printed its help.
type helpShown struct{}
