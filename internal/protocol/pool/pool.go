// Package pool is the codec of the worker pool's line protocol. Package backend/workerpool parses messages and encodes
// commands; the worker pools of the test side do the reverse. It works on byte slices, does no I/O and keeps no state
// between calls. The operators' page on the worker pool is the source of the format.
package pool

import (
	"errors"

	"pewterline/internal/protocol/textline"
)

const (
	maxLine = 1 << 10
	// maxResult is the protocol's limit of a result, in bytes. A larger length is malformed: a corrupt one would make
	// the parser wait for a body that never ends.
	maxResult = 4 << 10
	// maxCall is the limit of the body of a call and of its reply, in bytes. The protocol states none; package vault
	// has the same limit.
	maxCall = 64 << 10
)

// ErrMalformed is wrapped by every error of the parsers: the stream can no longer be trusted.
var ErrMalformed = errors.New("pool: malformed line")

// framing returns the parameters of the protocol's lines.
func framing() textline.Framing {
	return textline.Framing{MaxLine: maxLine, Malformed: ErrMalformed}
}

// Outcome says how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Pass   Outcome = iota + 1 // it succeeded
	Fail                      // it failed, possibly after taking effect
	Killed                    // it was suspended
	Noop                      // it was not started
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

// parseOutcome returns the outcome for a word; 0: there is none.
func parseOutcome(word string) Outcome {
	for outcome := Pass; outcome <= Noop; outcome++ {
		if outcome.String() == word {
			return outcome
		}
	}
	return 0
}
