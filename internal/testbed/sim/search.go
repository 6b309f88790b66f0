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

// Search looks for scripts that violate an invariant.
type Search struct {
	FirstSeed   uint64
	LastSeed    uint64        // 0: no limit
	Duration    time.Duration // after which the search ends; 0: no limit
	Profile     string        // profile of the faults; see package faults
	Servers     int
	Proxies     int
	Length      microtime.Time // simulated time of each script
	Rate        float64        // first attempts per second of all callers; 0: chosen by package faults
	Edges       int
	Vault       bool
	Guided      bool // mutates scripts that reached new situations, rather than drawing all scripts at random
	Jobs        int  // scripts played concurrently
	MaxFindings int  // after which the search ends; 0: no limit
	// Progress is called after each batch of scripts, unless it is nil.
	Progress func(Progress)

	// beforeRun and interpose are for tests, and apply to each script as in Options.
	beforeRun func(*simulation)
	interpose func() interposer
}

// Progress is the progress of a search.
type Progress struct {
	Runs       int
	Situations int // reached by any script
	CorpusSize int // scripts kept for mutation
	Findings   []Finding
	Simulated  microtime.Time
	Elapsed    time.Duration
}

// Finding is a script that violates an invariant.
type Finding struct {
	Script    faults.Script
	Violation invariant.Violation
	Run       int           // number of the run, from 1
	After     time.Duration // since the start of the search
}

// Run searches until a limit is reached. Scripts are drawn and their outcomes recorded in a fixed order, so that a
// search without a Duration is deterministic for a given number of Jobs. Run returns an error if the settings of the
// search are not valid.
func (s Search) Run() (Progress, error) {
	setup := faults.Setup{
		Servers: s.Servers,
		Proxies: s.Proxies,
		Edges:   s.Edges,
		Length:  s.Length,
		Rate:    s.Rate,
		Vault:   s.Vault,
	}
	if _, err := setup.Draw(s.FirstSeed, s.Profile); err != nil {
		return Progress{}, err
	}
	draw := func(seed uint64) faults.Script {
		script, _ := setup.Draw(seed, s.Profile) // Its error does not depend on the seed; the first seed gave none.
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

// searchRun is the state of a running search.
type searchRun struct {
	search   Search
	draw     func(seed uint64) faults.Script
	guide    *faultsearch.CoverageGuided
	start    time.Time
	nextSeed uint64
	progress Progress
}

// nextBatch returns the scripts to play next, one for each job. It returns none if all seeds have been used.
func (r *searchRun) nextBatch() (batch []faults.Script) {
	for len(batch) < max(r.search.Jobs, 1) && r.hasSeedLeft(len(batch)) {
		if r.search.Guided {
			batch = append(batch, r.guide.Next())
			continue
		}
		batch = append(batch, r.draw(r.nextSeed))
		r.nextSeed++
	}
	return batch
}

// hasSeedLeft reports whether another script may be played in addition to the pending ones. A guided search plays as
// many scripts as there are seeds.
func (r *searchRun) hasSeedLeft(pending int) bool {
	if r.search.LastSeed == 0 {
		return true
	}
	return r.progress.Runs+pending <= int(r.search.LastSeed-r.search.FirstSeed)
}

// play plays the scripts of a batch concurrently, each in a goroutine that ends with its run.
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
	progress.Elapsed = time.Since(r.start)
	progress.Situations = r.guide.SituationCount()
	progress.CorpusSize = r.guide.CorpusSize()
}

// limitReached reports whether the search has reached its duration or its number of findings.
func (r *searchRun) limitReached() bool {
	durationReached := r.search.Duration > 0 && r.progress.Elapsed >= r.search.Duration
	findingsReached := r.search.MaxFindings > 0 && len(r.progress.Findings) >= r.search.MaxFindings
	return durationReached || findingsReached
}
