package sim

import (
	"errors"
	"sync"
	"time"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/invariant"
)

// Search looks for scripts that break an invariant.
type Search struct {
	FirstSeed   uint64
	LastSeed    uint64        // 0: without end
	Duration    time.Duration // after which it ends; 0: no limit
	Profile     string        // by which the faults are drawn; see package faults
	Servers     int
	Proxies     int
	Length      microtime.Time // of a script
	Rate        float64        // first attempts a second in all; 0: as the faults package chooses
	Edges       int
	Vault       bool
	Guided      bool // scripts that reach new situations are mutated, in place of drawing all
	Jobs        int  // scripts that are played at once
	MaxFindings int  // after which it ends; 0: no limit
	// Progress is called after each batch of scripts; nil: never.
	Progress func(Progress)

	// beforeRun and interpose are a test's: as in Options, for each script.
	beforeRun func(*simulation)
	interpose func() interposer
}

// Progress is how far a search has come.
type Progress struct {
	Runs       int
	Situations int // that any script has reached
	CorpusSize int // scripts that reached a new one
	Findings   []Finding
	Simulated  microtime.Time
	Took       time.Duration
}

// Finding is a script that breaks an invariant.
type Finding struct {
	Script    faults.Script
	Violation invariant.Violation
	Run       int           // its number, from 1 on
	After     time.Duration // since the start of the search
}

// Run searches until something ends it. Scripts are drawn, and their outcomes recorded, in a fixed order: a search
// without a Duration has the same result each time with the same number of Jobs. An error says that the settings of
// the search are not valid.
func (s Search) Run() (Progress, error) {
	world := faults.World{
		Servers: s.Servers,
		Proxies: s.Proxies,
		Edges:   s.Edges,
		Length:  s.Length,
		Rate:    s.Rate,
		Vault:   s.Vault,
	}
	if _, err := world.Draw(s.FirstSeed, s.Profile); err != nil {
		return Progress{}, err
	}
	draw := func(seed uint64) faults.Script {
		script, _ := world.Draw(seed, s.Profile) // It fails for no seed, as it has not failed for the first.
		return script
	}
	run := searchRun{
		search:   s,
		draw:     draw,
		guide:    faultsearch.NewCoverageGuided(s.FirstSeed, draw),
		start:    time.Now(),
		nextSeed: s.FirstSeed,
	}
	for {
		batch := run.nextBatch()
		outcomes, err := run.play(batch)
		if err != nil {
			return run.progress, err
		}
		run.record(batch, outcomes)
		if s.Progress != nil {
			s.Progress(run.progress)
		}
		if len(batch) == 0 || run.limitReached() {
			return run.progress, nil
		}
	}
}

// searchRun is a search that is going on.
type searchRun struct {
	search   Search
	draw     func(seed uint64) faults.Script
	guide    *faultsearch.CoverageGuided
	start    time.Time
	nextSeed uint64
	progress Progress
}

// nextBatch returns the scripts that are played next, one for each job; none where all seeds are used.
func (r *searchRun) nextBatch() (batch []faults.Script) {
	for len(batch) < max(r.search.Jobs, 1) && r.seedLeft(len(batch)) {
		if r.search.Guided {
			batch = append(batch, r.guide.Next())
			continue
		}
		batch = append(batch, r.draw(r.nextSeed))
		r.nextSeed++
	}
	return batch
}

// seedLeft reports whether a further script may be played, beside the pending ones. A guided search plays as many
// scripts as there are seeds.
func (r *searchRun) seedLeft(pending int) bool {
	if r.search.LastSeed == 0 {
		return true
	}
	return r.progress.Runs+pending <= int(r.search.LastSeed-r.search.FirstSeed)
}

// play plays the scripts of a batch at once, each in a goroutine that ends with its run.
func (r *searchRun) play(batch []faults.Script) ([]Outcome, error) {
	options := Options{StopAtFirst: true, beforeRun: r.search.beforeRun, interpose: r.search.interpose}
	outcomes := make([]Outcome, len(batch))
	errs := make([]error, len(batch))
	var running sync.WaitGroup
	for i := range batch {
		running.Go(func() { outcomes[i], errs[i] = Play(batch[i], options) })
	}
	running.Wait()
	return outcomes, errors.Join(errs...)
}

// record adds the outcomes of a batch to the progress, in the order of its scripts.
func (r *searchRun) record(batch []faults.Script, outcomes []Outcome) {
	progress := &r.progress
	for i, outcome := range outcomes {
		progress.Runs++
		progress.Simulated += outcome.Simulated
		r.guide.Report(batch[i], outcome.Situations)
		if len(outcome.Violations) > 0 {
			progress.Findings = append(progress.Findings, Finding{
				Script:    batch[i],
				Violation: outcome.Violations[0],
				Run:       progress.Runs,
				After:     time.Since(r.start),
			})
		}
	}
	progress.Took = time.Since(r.start)
	progress.Situations = r.guide.SituationCount()
	progress.CorpusSize = r.guide.CorpusSize()
}

// limitReached reports that the search has lasted or found enough.
func (r *searchRun) limitReached() bool {
	timeUp := r.search.Duration > 0 && r.progress.Took >= r.search.Duration
	enough := r.search.MaxFindings > 0 && len(r.progress.Findings) >= r.search.MaxFindings
	return timeUp || enough
}
