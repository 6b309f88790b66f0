// Package faultsearch decides which fault script is played next, and how a failing one is made smaller. It plays
// nothing itself: the simulation asks for a script, plays it, and reports which situations it reached or whether it
// still fails. It does no I/O, starts no goroutine and reads no clock; the same seed with the same reports gives the
// same scripts.
package faultsearch

import (
	"math"
	"math/rand/v2"
	"slices"

	"pewterline/internal/testbed/faults"
)

const (
	// freshShare is the share of scripts that are drawn anew although there are others to change.
	freshShare = 0.25
	// maxCorpus bounds the scripts that are kept to be changed.
	maxCorpus = 400
	// maxFirstReached bounds the situations by which a kept script is valued.
	maxFirstReached = 24
)

// searchStream tells the random numbers of searches from others of the same seed.
const searchStream = 0x73656172

// Situation names something that a run has reached, such as a fault of one kind while a request was in one state.
type Situation uint64

// CoverageGuided keeps scripts that reached new or rare situations and changes them, in the way of coverage-guided
// fuzzing: M. Zalewski, "Technical whitepaper for afl-fuzz"; the preference for the rare is that of M. Boehme et al.,
// "Coverage-based Greybox Fuzzing as Markov Chain" (CCS 2016).
type CoverageGuided struct {
	rng      *rand.Rand
	draw     func(seed uint64) faults.Script
	counts   map[Situation]int
	corpus   []corpusEntry
	nextSeed uint64
	runs     int
}

// corpusEntry is a script with what it reached.
type corpusEntry struct {
	script       faults.Script
	firstReached []Situation // that it was the first to reach, as far as they are kept
	mutations    int         // how often it was changed
}

// NewCoverageGuided returns a search that draws fresh scripts by draw, from the seed first on.
func NewCoverageGuided(first uint64, draw func(seed uint64) faults.Script) *CoverageGuided {
	return &CoverageGuided{
		rng:      rand.New(rand.NewPCG(first, searchStream)),
		draw:     draw,
		counts:   map[Situation]int{},
		nextSeed: first,
	}
}

// Next is the script to play now.
func (g *CoverageGuided) Next() faults.Script {
	g.runs++
	if len(g.corpus) == 0 || g.rng.Float64() < freshShare {
		s := g.draw(g.nextSeed)
		g.nextSeed++
		return s
	}
	k := g.pick()
	k.mutations++
	return g.mutate(k.script)
}

// Runs counts the scripts asked for.
func (g *CoverageGuided) Runs() int { return g.runs }

// SituationCount counts the situations reached.
func (g *CoverageGuided) SituationCount() int { return len(g.counts) }

// CorpusSize counts the scripts that are changed further.
func (g *CoverageGuided) CorpusSize() int { return len(g.corpus) }

// Report takes what a script has reached. It is kept where something was new.
func (g *CoverageGuided) Report(script faults.Script, reached []Situation) (fresh int) {
	reached = slices.Compact(slices.Sorted(slices.Values(reached)))
	var first []Situation
	for _, x := range reached {
		if g.counts[x] == 0 {
			if fresh++; len(first) < maxFirstReached {
				first = append(first, x)
			}
		}
		g.counts[x]++
	}
	if fresh == 0 {
		return 0
	}
	g.corpus = append(g.corpus, corpusEntry{script: script.Clone(), firstReached: first})
	if len(g.corpus) > maxCorpus { // the one whose situations are the commonest goes
		least, lowest := 0, math.Inf(1)
		for i := range g.corpus {
			if w := g.rarity(&g.corpus[i]); w < lowest {
				least, lowest = i, w
			}
		}
		g.corpus = slices.Delete(g.corpus, least, least+1)
	}
	return fresh
}

// rarity is high for a script that reaches what few others do, and falls as it is changed again and again.
func (g *CoverageGuided) rarity(k *corpusEntry) float64 {
	rarest, sum := 0.0, 0.0
	for _, x := range k.firstReached {
		w := 1 / float64(g.counts[x])
		rarest = max(rarest, w)
		sum += w
	}
	return (rarest + sum/maxFirstReached) / (1 + float64(k.mutations)/4)
}

// pick draws a kept script by its worth.
func (g *CoverageGuided) pick() *corpusEntry {
	total := 0.0
	for i := range g.corpus {
		total += g.rarity(&g.corpus[i])
	}
	at := g.rng.Float64() * total
	for i := range g.corpus {
		if at -= g.rarity(&g.corpus[i]); at <= 0 {
			return &g.corpus[i]
		}
	}
	return &g.corpus[len(g.corpus)-1]
}
