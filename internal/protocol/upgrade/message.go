package upgrade

import (
	"fmt"

	"pewterline/control"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. Their numbers are part of the format. The kinds from Claim on concern a key, and are sent by
// both processes.
const (
	Hello                Kind = iota + 1 // from the successor: its Name
	Welcome                              // from the old process: its Learned state, and whether it is OutOfService
	Reject                               // from the old process: the Reason why it closes the connection
	NextChunk                            // from both: the end of a chunk of keys, or a request for the next one
	Synced                               // from the old process: all keys have been sent; later changes follow
	OwnershipTransferred                 // from the old process: the successor owns the keys and gets new connections
	ServiceChanged                       // from both: an operator has changed OutOfService
	ConnectionCount                      // from the old process: the number of its open Connections
	Claim                                // asks the owner for permission to run the key at the sender
	Grant                                // the owner's permission
	Started                              // a run of the key has started
	Succeeded                            // the run has succeeded, with Result
	Failed                               // the run has failed
	Released                             // the sender will not run the key
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

// Message is a message between the two processes. Which fields are set depends on its kind; the others are zero.
type Message struct {
	Kind           Kind
	Name           string // of the server, as it is configured
	Class          string
	Tenant         string // empty if there are no tenants
	IdempotencyKey string
	ArrivedAtMilli int64 // when the running attempt arrived, in Unix milliseconds
	Result         []byte
	OutOfService   bool
	Connections    int
	Reason         string
	Learned        *control.LearnedState
}
