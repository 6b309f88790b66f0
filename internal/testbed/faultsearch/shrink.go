package faultsearch

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// Shrinker minimizes a failing script: it removes faults and nodes, shortens the run and rounds values until no
// reduction that it knows keeps the script failing. It removes faults in large groups first, as in A. Zeller and
// R. Hildebrandt, "Simplifying and Isolating Failure-Inducing Input" (2002).
//
// The caller gets a script from Next, plays it, and reports with Report whether it still fails in the same way.
type Shrinker struct {
	best       faults.Script
	candidate  faults.Script
	position   int  // index of the next reduction
	improved   bool // a reduction succeeded in this pass over the reductions
	playsLeft  int
	done       bool
	reductions []func(*faults.Script) bool // of best
}

// NewShrinker returns a Shrinker for a failing script. Next returns at most maxPlays scripts.
func NewShrinker(script faults.Script, maxPlays int) *Shrinker {
	shrinker := &Shrinker{best: script.Clone(), playsLeft: maxPlays}
	shrinker.reductions = reductionsOf(&shrinker.best)
	return shrinker
}

// Best returns the smallest failing script so far.
func (s *Shrinker) Best() faults.Script { return s.best.Clone() }

// Next returns the script to try next, or false if there is none left.
func (s *Shrinker) Next() (faults.Script, bool) {
	for !s.done && s.playsLeft > 0 {
		if s.position >= len(s.reductions) {
			if s.done = !s.improved; s.done {
				break
			}
			s.position, s.improved = 0, false
			s.reductions = reductionsOf(&s.best)
			continue
		}
		script := s.best.Clone()
		if !s.reductions[s.position](&script) || script.Validate() != nil {
			s.position++
			continue
		}
		s.playsLeft--
		s.candidate = script
		return script.Clone(), true
	}
	return faults.Script{}, false
}

// Report records whether the script that Next returned last fails in the same way as the first script.
func (s *Shrinker) Report(fails bool) {
	if !fails {
		s.position++
		return
	}
	s.best, s.improved = s.candidate, true
	// The same reduction may succeed again, on the next fault or node or on the shortened run. The list is rebuilt, as
	// its reductions refer to faults and nodes by index.
	position := s.position
	s.reductions = reductionsOf(&s.best)
	s.position = min(position, len(s.reductions))
}

// reductionsOf returns the possible reductions of a script, the largest first. Each changes the given copy of the
// script and reports whether it did.
func reductionsOf(script *faults.Script) (reductions []func(*faults.Script) bool) {
	count := len(script.Faults)
	for size := count; size >= 1; size /= 2 {
		for from := 0; from < count; from += size {
			reductions = append(reductions, func(s *faults.Script) bool {
				if from >= len(s.Faults) {
					return false
				}
				s.Faults = slices.Delete(s.Faults, from, min(from+size, len(s.Faults)))
				return true
			})
		}
	}
	for _, letter := range []byte("spo") {
		nodes := map[byte]int{'s': script.Servers, 'p': script.Proxies, 'o': script.WebFrontends}[letter]
		for i := nodes - 1; i >= 0; i-- {
			reductions = append(reductions, func(s *faults.Script) bool { return removeNode(s, letter, i) })
		}
	}
	reductions = append(reductions, func(s *faults.Script) bool {
		hadStore := s.Store
		s.Store = false
		return hadStore
	})
	for _, share := range []float64{0.25, 0.5, 0.8, 0.95} {
		reductions = append(reductions, func(s *faults.Script) bool { return shorten(s, share) })
	}
	for _, share := range []float64{0.1, 0.5, 0.8} {
		reductions = append(reductions, func(s *faults.Script) bool {
			previous := s.Rate
			s.Rate = math.Max(1, math.Floor(s.Rate*share))
			return s.Rate < previous
		})
	}
	for i := range count {
		reductions = append(reductions, func(s *faults.Script) bool { return roundFault(s, i, microtime.Second) },
			func(s *faults.Script) bool { return roundFault(s, i, 100*microtime.Millisecond) },
			func(s *faults.Script) bool { return roundFault(s, i, microtime.Millisecond) })
	}
	return reductions
}

// removeNode removes a node with the faults that name it, and renumbers the later nodes of its kind. It returns false,
// and changes nothing, if there is no such node or it is the last server.
func removeNode(script *faults.Script, letter byte, index int) bool {
	count := map[byte]*int{'s': &script.Servers, 'p': &script.Proxies, 'o': &script.WebFrontends}[letter]
	if index >= *count || letter == 's' && *count == 1 {
		return false
	}
	*count--
	isRemoved := false // whether renumber has seen the removed node
	renumber := func(name string) string {
		if name == "" || name == "control" {
			return name
		}
		kind := name[0]
		if kind == 'w' {
			kind = 's' // A worker pool is removed with its server.
		}
		number, err := strconv.Atoi(name[1:])
		switch {
		case err != nil || kind != letter || number < index:
			return name
		case number == index:
			isRemoved = true
			return name
		}
		return fmt.Sprintf("%c%d", name[0], number-1)
	}
	script.Faults = slices.DeleteFunc(script.Faults, func(fault faults.Fault) bool {
		isRemoved = false
		renumber(fault.Node)
		renumber(fault.Peer)
		return isRemoved
	})
	for i := range script.Faults {
		script.Faults[i].Node, script.Faults[i].Peer = renumber(script.Faults[i].Node), renumber(script.Faults[i].Peer)
	}
	return true
}

// shorten reduces the length of a script to a share of it, in steps of 100 ms, and removes the later faults. It reports
// whether it did.
func shorten(script *faults.Script, share float64) bool {
	length := microtime.Time(float64(script.Length)*share) / (100 * microtime.Millisecond) * (100 * microtime.Millisecond)
	if length < 100*microtime.Millisecond || length >= script.Length {
		return false
	}
	script.Length = length
	script.Faults = slices.DeleteFunc(script.Faults, func(fault faults.Fault) bool { return fault.At > length })
	return true
}

// roundFault rounds the times of a fault down to a multiple of unit, and a larger amount to a whole number. It reports
// whether the fault has changed.
func roundFault(script *faults.Script, index int, unit microtime.Time) bool {
	if index >= len(script.Faults) {
		return false
	}
	fault := &script.Faults[index]
	previous := *fault
	fault.At = fault.At / unit * unit
	if fault.For > 0 {
		fault.For = max(fault.For/unit*unit, min(unit, fault.For))
	}
	if fault.Amount >= 10 {
		fault.Amount = math.Floor(fault.Amount)
	}
	return *fault != previous
}
