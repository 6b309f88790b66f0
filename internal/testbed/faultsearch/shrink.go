package faultsearch

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// Shrinker makes a failing script smaller: fewer faults, fewer nodes, shorter, rounder, until nothing that it knows
// how to leave out can be left out. The faults are left out in halves first, as in A. Zeller and R. Hildebrandt,
// "Simplifying and Isolating Failure-Inducing Input" (2002).
//
// The host asks Next for a script, plays it, and tells by Tell whether it still fails in the same way.
type Shrinker struct {
	best    faults.Script
	asked   faults.Script
	at      int  // among the smaller scripts of best
	gained  bool // in this pass
	left    int  // plays
	done    bool
	smaller []func(*faults.Script) bool
}

// NewShrinker starts from a failing script; plays bounds how often a script may be asked for.
func NewShrinker(s faults.Script, plays int) *Shrinker {
	k := &Shrinker{best: s.Clone(), left: plays}
	k.smaller = ways(&k.best)
	return k
}

// Best is the smallest script so far that fails.
func (k *Shrinker) Best() faults.Script { return k.best.Clone() }

// Next is the script to try now; false once there is none left.
func (k *Shrinker) Next() (faults.Script, bool) {
	for !k.done && k.left > 0 {
		if k.at >= len(k.smaller) {
			if k.done = !k.gained; k.done {
				break
			}
			k.at, k.gained = 0, false
			k.smaller = ways(&k.best)
			continue
		}
		s := k.best.Clone()
		if !k.smaller[k.at](&s) || s.Validate() != nil {
			k.at++
			continue
		}
		k.left--
		k.asked = s
		return s.Clone(), true
	}
	return faults.Script{}, false
}

// Report says whether the script asked for fails in the same way as the first one.
func (k *Shrinker) Report(fails bool) {
	if !fails {
		k.at++
		return
	}
	k.best, k.gained = k.asked, true
	// The same way may do again: the next fault, the next node, half of the half. The list is made anew, as its
	// ways tell of places.
	at := k.at
	k.smaller = ways(&k.best)
	k.at = min(at, len(k.smaller))
}

// ways lists how s could be made smaller, the boldest first. Each changes a copy and says whether it did.
func ways(script *faults.Script) (out []func(*faults.Script) bool) {
	n := len(script.Faults)
	for size := n; size >= 1; size /= 2 {
		for from := 0; from < n; from += size {
			out = append(out, func(s *faults.Script) bool {
				if from >= len(s.Faults) {
					return false
				}
				s.Faults = slices.Delete(s.Faults, from, min(from+size, len(s.Faults)))
				return true
			})
		}
	}
	for _, letter := range []byte("spo") {
		count := map[byte]int{'s': script.Servers, 'p': script.Proxies, 'o': script.WebFrontends}[letter]
		for i := count - 1; i >= 0; i-- {
			out = append(out, func(s *faults.Script) bool { return leaveOut(s, letter, i) })
		}
	}
	out = append(out, func(s *faults.Script) bool {
		had := s.Store
		s.Store = false
		return had
	})
	for _, share := range []float64{0.25, 0.5, 0.8, 0.95} {
		out = append(out, func(s *faults.Script) bool { return shorten(s, share) })
	}
	for _, share := range []float64{0.1, 0.5, 0.8} {
		out = append(out, func(s *faults.Script) bool {
			was := s.Rate
			s.Rate = math.Max(1, math.Floor(s.Rate*share))
			return s.Rate < was
		})
	}
	for i := range n {
		out = append(out, func(s *faults.Script) bool { return round(s, i, microtime.Second) },
			func(s *faults.Script) bool { return round(s, i, 100*microtime.Millisecond) },
			func(s *faults.Script) bool { return round(s, i, microtime.Millisecond) })
	}
	return out
}

// leaveOut takes a node out, with the faults that name it, and gives the later ones its number.
func leaveOut(script *faults.Script, letter byte, i int) bool {
	count := map[byte]*int{'s': &script.Servers, 'p': &script.Proxies, 'o': &script.WebFrontends}[letter]
	if i >= *count || letter == 's' && *count == 1 {
		return false
	}
	*count--
	gone := false
	rename := func(name string) string {
		if name == "" || name == "control" {
			return name
		}
		first := name[0]
		if first == 'w' {
			first = 's' // a worker pool goes with its server
		}
		n, err := strconv.Atoi(name[1:])
		switch {
		case err != nil || first != letter || n < i:
			return name
		case n == i:
			gone = true
			return name
		}
		return fmt.Sprintf("%c%d", name[0], n-1)
	}
	script.Faults = slices.DeleteFunc(script.Faults, func(f faults.Fault) bool {
		gone = false
		rename(f.Node)
		rename(f.Peer)
		return gone
	})
	for j := range script.Faults {
		script.Faults[j].Node, script.Faults[j].Peer = rename(script.Faults[j].Node), rename(script.Faults[j].Peer)
	}
	return true
}

// shorten cuts the end off, with the faults in it.
func shorten(s *faults.Script, share float64) bool {
	short := microtime.Time(float64(s.Length)*share) / (100 * microtime.Millisecond) * (100 * microtime.Millisecond)
	if short < 100*microtime.Millisecond || short >= s.Length {
		return false
	}
	s.Length = short
	s.Faults = slices.DeleteFunc(s.Faults, func(f faults.Fault) bool { return f.At > short })
	return true
}

// round makes a fault's figures rounder.
func round(s *faults.Script, i int, to microtime.Time) bool {
	if i >= len(s.Faults) {
		return false
	}
	f := &s.Faults[i]
	was := *f
	f.At = f.At / to * to
	if f.For > 0 {
		f.For = max(f.For/to*to, min(to, f.For))
	}
	if f.Amount >= 10 {
		f.Amount = math.Floor(f.Amount)
	}
	return *f != was
}
