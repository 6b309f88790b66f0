package sim

import (
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/invariant"
)

// Shrink minimizes a failing script while it still violates the same invariant in the same way. It plays at most
// maxPlays scripts, and calls onShrunk, unless it is nil, with each smaller script that still fails. A script that
// violates no invariant is returned unchanged, with the zero Violation.
func Shrink(
	script faults.Script, maxPlays int, onShrunk func(faults.Script),
) (faults.Script, invariant.Violation, error) {
	return shrinkRun{maxPlays: maxPlays, onShrunk: onShrunk, options: Options{StopAtFirst: true}}.run(script)
}

// shrinkRun holds the settings of a minimization.
type shrinkRun struct {
	maxPlays int
	onShrunk func(faults.Script) // called for each smaller script that still fails; may be nil
	options  Options
}

// run returns the smallest failing script that was found, and its violation.
func (s shrinkRun) run(script faults.Script) (faults.Script, invariant.Violation, error) {
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
