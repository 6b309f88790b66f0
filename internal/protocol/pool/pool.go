// Package pool reads and writes the line protocol of the worker pool over byte slices. The backend (package
// backend/workerpool) reads messages and writes commands; the test side's pools do the reverse. It owns no connection
// and keeps nothing between two calls. The operators' page on the worker pool is the source of the format.
package pool

import (
	"errors"

	"pewterline/internal/protocol/textline"
)

const (
	maxLine = 1 << 10
	// maxResult is the protocol's limit of a result, in bytes. A length beyond it is malformed: all that follows would
	// wait for the end of the body.
	maxResult = 4 << 10
	// maxCall limits the body of a call and of the reply to it, in bytes. The protocol states no limit; the vault's
	// parser has the same.
	maxCall = 64 << 10
)

// ErrMalformed is wrapped by every error of the parsers: the stream can no longer be trusted.
var ErrMalformed = errors.New("pool: malformed line")

// framing returns what the protocol sets for its lines.
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

// parseOutcome returns the outcome of a word; 0: the word is none.
func parseOutcome(word string) Outcome {
	for outcome := Pass; outcome <= Noop; outcome++ {
		if outcome.String() == word {
			return outcome
		}
	}
	return 0
}
