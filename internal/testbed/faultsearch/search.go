// Package faultsearch decides which fault script is played next, and how a failing one is made smaller. It plays nothing
// itself: the host asks for a script, plays it, and tells what it reached or whether it still fails. There is no I/O,
// goroutine or clock here, and the same seed with the same reports gives the same scripts.
package faultsearch

import (
	"math"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

const (
	freshShare = 0.25 // of the scripts drawn anew though there are others to change
	keptMost   = 400  // scripts kept to be changed
	changeMost = 5    // changes to a script at once
	stepsMost  = 12   // faults that a changed script may have more than the one it comes from
	faultsMost = 60   // and in all
	firstMost  = 24   // situations by which a kept script is valued
)

// Situation names something that a run has reached, such as a fault of one kind while a request was in one state.
type Situation uint64

// CoverageGuided keeps scripts that reached new or rare situations and changes them, in the way of coverage-guided fuzzing:
// M. Zalewski, "Technical whitepaper for afl-fuzz"; the preference for the rare is that of M. Boehme et al.,
// "Coverage-based Greybox Fuzzing as Markov Chain" (CCS 2016).
type CoverageGuided struct {
	rng  *rand.Rand
	draw func(seed uint64) faults.Script
	seen map[Situation]int
	kept []kept
	next uint64
	runs int
}

// kept is a script with what it reached.
type kept struct {
	script faults.Script
	first  []Situation // that it was the first to reach, as far as they are kept
	played int         // how often it was changed
}

// NewCoverageGuided returns a search that draws fresh scripts by draw, from the seed first on.
func NewCoverageGuided(first uint64, draw func(seed uint64) faults.Script) *CoverageGuided {
	return &CoverageGuided{rng: rand.New(rand.NewPCG(first, 0x73656172)), draw: draw, seen: map[Situation]int{}, next: first}
}

// Next is the script to play now.
func (g *CoverageGuided) Next() faults.Script {
	g.runs++
	if len(g.kept) == 0 || g.rng.Float64() < freshShare {
		s := g.draw(g.next)
		g.next++
		return s
	}
	k := g.pick()
	k.played++
	return g.change(k.script)
}

// Runs, Seen and Kept tell how far the search has come: scripts asked for, situations reached, scripts kept.
func (g *CoverageGuided) Runs() int { return g.runs }

// SituationCount counts the situations reached.
func (g *CoverageGuided) SituationCount() int { return len(g.seen) }

// CorpusSize counts the scripts that are changed further.
func (g *CoverageGuided) CorpusSize() int { return len(g.kept) }

// Report takes what a script has reached. It is kept where something was new.
func (g *CoverageGuided) Report(s faults.Script, reached []Situation) (fresh int) {
	reached = slices.Compact(slices.Sorted(slices.Values(reached)))
	var first []Situation
	for _, x := range reached {
		if g.seen[x] == 0 {
			if fresh++; len(first) < firstMost {
				first = append(first, x)
			}
		}
		g.seen[x]++
	}
	if fresh == 0 {
		return 0
	}
	g.kept = append(g.kept, kept{script: s.Clone(), first: first})
	if len(g.kept) > keptMost { // the one whose situations are the commonest goes
		least, lowest := 0, math.Inf(1)
		for i := range g.kept {
			if w := g.worth(&g.kept[i]); w < lowest {
				least, lowest = i, w
			}
		}
		g.kept = slices.Delete(g.kept, least, least+1)
	}
	return fresh
}

// worth is high for a script that reaches what few others do, and falls as it is changed again and again.
func (g *CoverageGuided) worth(k *kept) float64 {
	rarest, sum := 0.0, 0.0
	for _, x := range k.first {
		w := 1 / float64(g.seen[x])
		rarest = max(rarest, w)
		sum += w
	}
	return (rarest + sum/firstMost) / (1 + float64(k.played)/4)
}

// pick draws a kept script by its worth.
func (g *CoverageGuided) pick() *kept {
	total := 0.0
	for i := range g.kept {
		total += g.worth(&g.kept[i])
	}
	at := g.rng.Float64() * total
	for i := range g.kept {
		if at -= g.worth(&g.kept[i]); at <= 0 {
			return &g.kept[i]
		}
	}
	return &g.kept[len(g.kept)-1]
}

// change returns a script near s. It always passes Check if s does.
func (g *CoverageGuided) change(from faults.Script) faults.Script {
	s := from.Clone()
	most := min(len(from.Faults)+stepsMost, faultsMost)
	for range 1 + g.rng.IntN(changeMost) {
		n := len(s.Faults)
		pick := 0
		if n > 0 {
			pick = g.rng.IntN(n)
		}
		switch c := g.rng.IntN(10); {
		case c == 0: // other traffic
			s.Seed = g.rng.Uint64()
		case n == 0 || c <= 2 && n < most:
			s.Faults = append(s.Faults, s.RandomFault(g.rng))
		case c == 3 && n < most: // one more of a kind that is there, at another node
			s.Faults = append(s.Faults, s.RandomFaultOf(g.rng, s.Faults[pick].Kind))
		case c == 4:
			s.Faults = slices.Delete(s.Faults, pick, pick+1)
		case c == 5: // two faults at nearly the same time
			other := s.Faults[g.rng.IntN(n)]
			s.Faults[pick].At = clamp(other.At+microtime.Time(g.rng.Int64N(int64(other.For)+int64(100*microtime.Millisecond))), s.Length)
		case c == 6: // and at the same place
			other := s.Faults[g.rng.IntN(n)]
			f := s.Faults[pick]
			f.Node, f.Peer = other.Node, other.Peer
			f.At = clamp(other.At+microtime.Time(g.rng.Int64N(int64(500*microtime.Millisecond))), s.Length)
			if s.Allows(f) {
				s.Faults[pick] = f
			}
		case c == 7:
			s.Faults[pick].At = clamp(s.Faults[pick].At+microtime.Time(g.rng.Int64N(int64(2*microtime.Second)))-microtime.Second, s.Length)
		case c == 8: // longer, shorter, more, less
			fresh := s.RandomFaultOf(g.rng, s.Faults[pick].Kind)
			s.Faults[pick].For, s.Faults[pick].Amount = fresh.For, fresh.Amount
		default: // what another script does
			other := g.kept[g.rng.IntN(len(g.kept))].script
			if len(other.Faults) > 0 && n < most {
				if f := other.Faults[g.rng.IntN(len(other.Faults))]; s.Allows(f) {
					s.Faults = append(s.Faults, f)
				}
			}
		}
	}
	s.SortFaults()
	return s
}

func clamp(t, length microtime.Time) microtime.Time { return min(max(t, 0), length) }
