package sim

import (
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/invariant"
)

// Shrink makes a failing script smaller as long as it breaks the same invariant in the same way. It plays maxPlays
// scripts at most, and calls onShrunk with each smaller script that still fails, where that is not nil. A script that
// breaks no invariant is returned as it is, with the zero Violation.
func Shrink(
	script faults.Script, maxPlays int, onShrunk func(faults.Script),
) (faults.Script, invariant.Violation, error) {
	return shrinking{maxPlays: maxPlays, onShrunk: onShrunk, options: Options{StopAtFirst: true}}.run(script)
}

// shrinking is how a script is made smaller.
type shrinking struct {
	maxPlays int
	onShrunk func(faults.Script) // nil: nobody is told
	options  Options
}

// run returns the smallest script that was found, and its violation.
func (s shrinking) run(script faults.Script) (faults.Script, invariant.Violation, error) {
	first, err := Play(script, s.options)
	if err != nil || len(first.Violations) == 0 {
		return script, invariant.Violation{}, err
	}
	violation := first.Violations[0]
	shrinker := faultsearch.NewShrinker(script, s.maxPlays)
	for {
		candidate, ok := shrinker.Next()
		if !ok {
			return shrinker.Best(), violation, nil
		}
		outcome, err := Play(candidate, s.options)
		if err != nil {
			return shrinker.Best(), violation, err
		}
		fails := len(outcome.Violations) > 0 && outcome.Violations[0].Key() == violation.Key()
		shrinker.Report(fails)
		if !fails {
			continue
		}
		violation = outcome.Violations[0]
		if s.onShrunk != nil {
			s.onShrunk(shrinker.Best())
		}
	}
}
