// Package faultsearch chooses the fault scripts for a simulation to play, and minimizes failing scripts. It plays no
// scripts itself: the caller asks for a script, plays it, and reports which situations the script reached or whether it
// still fails. The package does no I/O, starts no goroutine and reads no clock. The same seed and the same reports give
// the same scripts.
package faultsearch

import (
	"math"
	"math/rand/v2"
	"slices"

	"pewterline/internal/testbed/faults"
)

const (
	// freshShare is the share of scripts that are drawn at random although the corpus is not empty.
	freshShare = 0.25
	// maxCorpus is the maximum number of scripts kept for mutation.
	maxCorpus = 400
	// maxFirstReached is the maximum number of situations by which the rarity of a kept script is computed.
	maxFirstReached = 24
)

// searchStream selects the random number stream of searches, to separate it from other streams of the same seed.
const searchStream = 0x73656172

// Situation identifies a situation that a run reached, such as a fault of one kind while a request was in one state.
type Situation uint64

// CoverageGuided keeps scripts that reached new situations in a corpus and mutates them. It follows coverage-guided
// fuzzing as in M. Zalewski, "Technical whitepaper for afl-fuzz". The preference for scripts that reach rare situations
// follows M. Boehme et al., "Coverage-based Greybox Fuzzing as Markov Chain" (CCS 2016).
type CoverageGuided struct {
	rng      *rand.Rand
	draw     func(seed uint64) faults.Script
	counts   map[Situation]int
	corpus   []corpusEntry
	nextSeed uint64
	runs     int
}

// corpusEntry is a kept script.
type corpusEntry struct {
	script       faults.Script
	firstReached []Situation // situations that it reached first, up to maxFirstReached
	mutations    int         // number of scripts derived from it
}

// NewCoverageGuided returns a search that draws random scripts with draw, beginning with the seed first.
func NewCoverageGuided(first uint64, draw func(seed uint64) faults.Script) *CoverageGuided {
	return &CoverageGuided{
		rng:      rand.New(rand.NewPCG(first, searchStream)),
		draw:     draw,
		counts:   map[Situation]int{},
		nextSeed: first,
	}
}

// Next returns the script to play next.
func (g *CoverageGuided) Next() faults.Script {
	g.runs++
	if len(g.corpus) == 0 || g.rng.Float64() < freshShare {
		script := g.draw(g.nextSeed)
		g.nextSeed++
		return script
	}
	entry := g.pick()
	entry.mutations++
	return g.mutate(entry.script)
}

// Runs returns the number of scripts that Next has returned.
func (g *CoverageGuided) Runs() int { return g.runs }

// SituationCount returns the number of different situations reached.
func (g *CoverageGuided) SituationCount() int { return len(g.counts) }

// CorpusSize returns the number of scripts kept for mutation.
func (g *CoverageGuided) CorpusSize() int { return len(g.corpus) }

// Report records the situations that a script reached, and keeps the script if any of them is new. It returns the
// number of new situations.
func (g *CoverageGuided) Report(script faults.Script, reached []Situation) (newCount int) {
	reached = slices.Compact(slices.Sorted(slices.Values(reached)))
	var firstReached []Situation
	for _, situation := range reached {
		if g.counts[situation] == 0 {
			if newCount++; len(firstReached) < maxFirstReached {
				firstReached = append(firstReached, situation)
			}
		}
		g.counts[situation]++
	}
	if newCount == 0 {
		return 0
	}
	g.corpus = append(g.corpus, corpusEntry{script: script.Clone(), firstReached: firstReached})
	if len(g.corpus) > maxCorpus { // Removes the entry with the lowest rarity.
		index, lowest := 0, math.Inf(1)
		for i := range g.corpus {
			if rarity := g.rarity(&g.corpus[i]); rarity < lowest {
				index, lowest = i, rarity
			}
		}
		g.corpus = slices.Delete(g.corpus, index, index+1)
	}
	return newCount
}

// rarity returns the weight of an entry. It is high for a script that reached situations that few other scripts reach,
// and falls with the number of mutations of that script.
func (g *CoverageGuided) rarity(entry *corpusEntry) float64 {
	rarest, sum := 0.0, 0.0
	for _, situation := range entry.firstReached {
		weight := 1 / float64(g.counts[situation])
		rarest = max(rarest, weight)
		sum += weight
	}
	return (rarest + sum/maxFirstReached) / (1 + float64(entry.mutations)/4)
}

// pick returns a random entry of the corpus, with probabilities proportional to rarity.
func (g *CoverageGuided) pick() *corpusEntry {
	total := 0.0
	for i := range g.corpus {
		total += g.rarity(&g.corpus[i])
	}
	remaining := g.rng.Float64() * total
	for i := range g.corpus {
		if remaining -= g.rarity(&g.corpus[i]); remaining <= 0 {
			return &g.corpus[i]
		}
	}
	return &g.corpus[len(g.corpus)-1]
}
