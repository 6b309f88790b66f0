package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/mattn/go-isatty"

	"pewterline/internal/testbed/sim"
)

// errUnboundedSearch is returned for a search that would never end.
var errUnboundedSearch = errors.New("--seeds: a range without an end requires --duration or --max-findings")

type searchCommand struct {
	setupFlags
	Seeds       string        `default:"1.." help:"Seeds A..B; without B there is no end."`
	Duration    time.Duration `aliases:"for" help:"How long to search; 0: until the seeds are through."`
	Guided      bool          `help:"Keep scripts that reach new situations and change them, beside drawing new ones."`
	Jobs        int           `help:"Scripts to play at once; 0: one for each core."`
	MaxFindings int           `aliases:"most" help:"End after so many findings; 0: go on."`
	Out         string        `type:"path" help:"Folder to write the scripts to that break an invariant."`
}

// Run runs the scripts of a range of seeds and prints those that violate an invariant.
func (c *searchCommand) Run(out io.Writer) (int, error) {
	first, last, err := parseSeeds(c.Seeds)
	if err != nil {
		return exitUsage, err
	}
	if last == 0 && c.Duration == 0 && c.MaxFindings == 0 {
		return exitUsage, errUnboundedSearch
	}
	report := &searchReport{out: out, dir: c.Out, isTerminal: isatty.IsTerminal(os.Stderr.Fd())}
	search := sim.Search{
		FirstSeed:   first,
		LastSeed:    last,
		Duration:    c.Duration,
		Profile:     c.Profile,
		Servers:     c.Servers,
		Proxies:     c.Proxies,
		Length:      c.length(),
		Rate:        c.Rate,
		Edges:       c.Edges,
		Vault:       c.Vault,
		Guided:      c.Guided,
		Jobs:        c.Jobs,
		MaxFindings: c.MaxFindings,
		Progress:    report.update,
	}
	if search.Jobs == 0 {
		search.Jobs = runtime.GOMAXPROCS(0)
	}
	progress, err := search.Run()
	report.finish()
	if err != nil {
		return exitUsage, err
	}
	fmt.Fprintf(out, "%d runs, %v simulated in %v, %d situations reached, %d broke a rule\n",
		progress.Runs, progress.Simulated.Duration().Round(time.Second), progress.Elapsed.Round(time.Millisecond),
		progress.Situations, len(progress.Findings))
	if len(progress.Findings) > 0 {
		return exitBroken, nil
	}
	return exitClean, nil
}

// searchReport prints the progress of a search, on a line that is updated on a terminal, and each finding once.
type searchReport struct {
	out        io.Writer
	dir        string // where the scripts of findings are written; "": nowhere
	isTerminal bool   // stderr is a terminal
	printed    int    // number of findings printed so far
}

func (r *searchReport) update(progress sim.Progress) {
	if r.isTerminal {
		fmt.Fprintf(os.Stderr, "\r\x1b[K%d runs, %d situations, %d scripts kept, %d findings, %v",
			progress.Runs, progress.Situations, progress.CorpusSize, len(progress.Findings), progress.Elapsed.Round(time.Second))
	}
	for ; r.printed < len(progress.Findings); r.printed++ {
		finding := progress.Findings[r.printed]
		fmt.Fprintf(r.out, "run %d after %v, seed %d: %s\n",
			finding.Run, finding.After.Round(time.Millisecond), finding.Script.Seed, finding.Violation)
		if err := r.write(finding); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		}
	}
}

func (r *searchReport) write(finding sim.Finding) error {
	if r.dir == "" {
		return nil
	}
	name := fmt.Sprintf("find-%d-%d.txt", finding.Script.Seed, finding.Run)
	return os.WriteFile(filepath.Join(r.dir, name), []byte(finding.Script.String()), filePermissions)
}

// finish ends the progress line.
func (r *searchReport) finish() {
	if r.isTerminal {
		fmt.Fprintln(os.Stderr)
	}
}
