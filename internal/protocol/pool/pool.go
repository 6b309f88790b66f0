// Package pool is the codec of the worker pool's line protocol. Package backend/workerpool parses messages and encodes
// commands; the worker pools in tests do the reverse. It works on byte slices, does no I/O and keeps no state
// between calls. The format is specified on the operators' page on the worker pool.
package pool

import (
	"errors"

	"pewterline/internal/protocol/textline"
)

const (
	maxLine = 1 << 10
	// maxResult is the protocol's limit on a result, in bytes. A larger length is malformed, because a
	// corrupted length would make the parser wait for a body that never arrives.
	maxResult = 4 << 10
	// maxCall is the limit on the bodies of a downstream call and of its reply, in bytes. The protocol states none;
	// package vault has the same limit.
	maxCall = 64 << 10
)

// ErrMalformed is wrapped by every parse error. The stream cannot be parsed any further after it.
var ErrMalformed = errors.New("pool: malformed line")

// framing returns the framing parameters of the protocol.
func framing() textline.Framing {
	return textline.Framing{MaxLine: maxLine, Malformed: ErrMalformed}
}

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Pass   Outcome = iota + 1 // the run succeeded
	Fail                      // the run failed, possibly after taking effect
	Killed                    // the run was suspended
	Noop                      // the run was not started
)

// String returns the outcome's word in the protocol.
func (o Outcome) String() string {
	switch o {
	case Pass:
		return "PASS"
	case Fail:
		return "FAIL"
	case Killed:
		return "KILLED"
	case Noop:
		return "NOOP"
	}
	return "invalid"
}

// parseOutcome returns the outcome for a word, or 0 if the word is unknown.
func parseOutcome(word string) Outcome {
	for outcome := Pass; outcome <= Noop; outcome++ {
		if outcome.String() == word {
			return outcome
		}
	}
	return 0
}
