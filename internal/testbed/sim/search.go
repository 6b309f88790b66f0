package sim

import (
	"sync"
	"time"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/invariant"
)

// Search looks for scripts that break a rule.
type Search struct {
	FirstSeed, LastSeed uint64 // seeds; Last 0: without end
	Duration            time.Duration
	Profile             string
	Servers             int
	Proxies             int
	Length              microtime.Time
	Rate                float64
	Edges               int
	Vault               bool
	Guided              bool
	Jobs                int // scripts that are played at once
	MaxFindings         int // finds after which it ends; 0: none
	Progress            func(Progress)
	begin               func(*world)      // of a test: what it adds to each world
	interpose           func() interposer // of a test: as in Options
}

// Progress is how far a hunt has come.
type Progress struct {
	Runs, Situations, CorpusSize int
	Findings                     []Finding
	Simulated                    microtime.Time
	Took                         time.Duration
}

// Finding is a script that breaks a rule.
type Finding struct {
	Script    faults.Script
	Violation invariant.Violation
	Run       int           // the how-manieth it was
	After     time.Duration // since the hunt's start
}

// Run hunts until something ends it. Scripts are asked for and told of in a fixed order, so that a hunt without a
// limit in time comes out the same with the same number of jobs.
func (h Search) Run() (p Progress, err error) {
	world := faults.World{Servers: h.Servers, Proxies: h.Proxies, Edges: h.Edges, Length: h.Length, Rate: h.Rate, Vault: h.Vault}
	if _, err := world.Draw(h.FirstSeed, h.Profile); err != nil {
		return p, err
	}
	draw := func(seed uint64) faults.Script {
		s, _ := world.Draw(seed, h.Profile) // as it just could
		return s
	}
	guide := faultsearch.NewCoverageGuided(h.FirstSeed, draw)
	start, seed, jobs := time.Now(), h.FirstSeed, max(h.Jobs, 1)
	for {
		var batch []faults.Script
		for len(batch) < jobs && (h.LastSeed == 0 || h.Guided || seed <= h.LastSeed) && (h.LastSeed == 0 || p.Runs+len(batch) <= int(h.LastSeed-h.FirstSeed)) {
			if h.Guided {
				batch = append(batch, guide.Next())
			} else {
				batch = append(batch, draw(seed))
				seed++
			}
		}
		outs := make([]Outcome, len(batch))
		var wait sync.WaitGroup
		for i := range batch {
			wait.Go(func() {
				outs[i], _ = Play(batch[i], Options{StopAtFirst: true, begin: h.begin, interpose: h.interpose})
			}) // drawn scripts pass their checks
		}
		wait.Wait()
		for i, out := range outs {
			p.Runs++
			p.Simulated += out.Simulated
			guide.Report(batch[i], out.Situations)
			if len(out.Violations) > 0 {
				p.Findings = append(p.Findings, Finding{batch[i], out.Violations[0], p.Runs, time.Since(start)})
			}
		}
		p.Took, p.Situations, p.CorpusSize = time.Since(start), guide.SituationCount(), guide.CorpusSize()
		if h.Progress != nil {
			h.Progress(p)
		}
		if len(batch) == 0 || h.Duration > 0 && p.Took >= h.Duration || h.MaxFindings > 0 && len(p.Findings) >= h.MaxFindings {
			return p, nil
		}
	}
}

// Shrink makes a failing script smaller as long as it breaks the same rule in the same way. plays bounds the tries;
// told hears of each step, where it is not nil.
func Shrink(s faults.Script, plays int, told func(faults.Script)) (faults.Script, invariant.Violation, error) {
	return shrink(s, plays, told, Options{StopAtFirst: true})
}

func shrink(s faults.Script, plays int, told func(faults.Script), opts Options) (faults.Script, invariant.Violation, error) {
	first, err := Play(s, opts)
	if err != nil || len(first.Violations) == 0 {
		return s, invariant.Violation{}, err
	}
	found := first.Violations[0]
	k := faultsearch.NewShrinker(s, plays)
	for {
		next, ok := k.Next()
		if !ok {
			return k.Best(), found, nil
		}
		out, err := Play(next, opts)
		if err != nil {
			return k.Best(), found, err
		}
		fails := len(out.Violations) > 0 && out.Violations[0].Key() == found.Key()
		if fails {
			found = out.Violations[0]
		}
		k.Report(fails)
		if fails && told != nil {
			told(k.Best())
		}
	}
}
