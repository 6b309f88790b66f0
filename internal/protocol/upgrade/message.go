package upgrade

import (
	"fmt"

	"pewterline/control"
)

// Kind says what a message is.
type Kind uint8

// The kinds of messages. Their numbers are the format. Those about a key go both ways: all from Claim on.
const (
	Hello                Kind = iota + 1 // successor: its Name
	Welcome                              // old process: what it has Learned, and whether it is OutOfService
	Reject                               // old process: the Reason why the connection ends
	NextChunk                            // both: the last key of a chunk was told, and the next chunk is asked for
	Synced                               // old process: all keys were told; from now on each change is
	OwnershipTransferred                 // old process: the successor owns the keys and gets new connections
	ServiceChanged                       // both: an operator has taken the server OutOfService, or in again
	ConnectionCount                      // old process: how many Connections it has open
	Claim                                // asks the owner whether the key may run here
	Grant                                // the owner's answer: it may
	Started                              // a run of the key has started
	Succeeded                            // the run has succeeded, with Result
	Failed                               // the run has failed
	Released                             // the key will not run here
	kindCount
)

var kindNames = [kindCount]string{
	Hello:                "hello",
	Welcome:              "welcome",
	Reject:               "reject",
	NextChunk:            "next chunk",
	Synced:               "synced",
	OwnershipTransferred: "ownership transferred",
	ServiceChanged:       "service changed",
	ConnectionCount:      "connection count",
	Claim:                "claim",
	Grant:                "grant",
	Started:              "started",
	Succeeded:            "succeeded",
	Failed:               "failed",
	Released:             "released",
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k.valid() {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

func (k Kind) valid() bool { return k > 0 && k < kindCount }

// Message is what one process tells the other. Its kind says which fields it has; the others are zero.
type Message struct {
	Kind           Kind
	Name           string // of the server, as it is configured
	Class          string
	Tenant         string // "": there are no tenants
	IdempotencyKey string
	ArrivedAtMilli int64 // when the attempt that runs arrived, in Unix milliseconds
	Result         []byte
	OutOfService   bool
	Connections    int
	Reason         string
	Learned        *control.LearnedState
}
