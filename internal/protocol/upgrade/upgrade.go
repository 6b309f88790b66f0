// Package upgrade reads and writes what an old process and its successor tell each other: a preamble with the version, then
// frames of a length and a CBOR map (RFC 8949), over byte slices. Unknown fields are passed over.
package upgrade

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pewterline/control"
)

// Version is of the messages. It is in the preamble, so that a release that speaks another one is known by its first bytes.
const Version = 1

// Preamble comes first in both directions.
var Preamble = [6]byte{'p', 'w', 't', 'u', 0, Version}

// The bounds of a message and of a result in it, in bytes. The platform's results have 4 KiB at most.
const (
	MaxFrame  = 64 << 10
	MaxResult = MaxFrame - 4<<10
)

// ChunkKeys is how many keys are told before the successor has to ask for more. With the platform's largest results they stay
// below what a connection may leave unread.
const ChunkKeys = 32

// The errors; both say that the connection is past help.
var (
	ErrMalformedFrame  = errors.New("upgrade: broken frame")
	ErrVersionMismatch = errors.New("upgrade: the other process speaks another version")
)

// Kind says what a message is.
type Kind uint8

// The kinds of messages. Those of keys go both ways.
const (
	Hello                Kind = iota + 1 // successor: its Name
	Welcome                              // old: what it has Learned, and whether it is Out of service
	Reject                               // old: Text says why; the connection ends
	NextChunk                            // successor: asks for the next keys
	Synced                               // old: all keys were told; from now on each change
	OwnershipTransferred                 // old: the successor owns the keys, and gets new connections
	ServiceChanged                       // an operator has taken the log server out of service or in: Out
	ConnectionCount                      // old: how many connections it has open
	Claim                                // of a key: may it run here?
	Grant
	Started
	Succeeded // with Result
	Failed
	Released
	kinds
)

// Message is one message.
type Message struct {
	Kind           Kind
	Name           string
	Class          string
	Tenant         string
	IdempotencyKey string
	ArrivedAtMilli int64 // Unix milliseconds
	Result         []byte
	OutOfService   bool
	Connections    int
	Reason         string
	Learned        *control.LearnedState
}

var reader = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 12, MaxMapPairs: 1 << 10, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // of the options above alone
	}
	return m
}()

// Append writes a message.
func Append(out []byte, m Message) []byte {
	body, err := cbor.Marshal(wireMessage{m.Kind, m.Name, m.Class, m.Tenant, m.IdempotencyKey, m.ArrivedAtMilli, m.Result,
		m.OutOfService, m.Connections, m.Reason, toWire(m.Learned)})
	if err != nil {
		panic(fmt.Sprintf("upgrade: %v", err)) // of the struct above alone
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	return append(out, body...)
}

// Size is how long the body is whose length begins in.
func Size(in []byte) (int, error) {
	n := binary.BigEndian.Uint32(in)
	if n == 0 || n > MaxFrame {
		return 0, fmt.Errorf("%w: a length of %d", ErrMalformedFrame, n)
	}
	return int(n), nil
}

// Decode reads the body of a message.
func Decode(body []byte) (m Message, err error) {
	var w wireMessage
	if err := reader.Unmarshal(body, &w); err != nil {
		return m, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	m = Message{w.Kind, w.Name, w.Class, w.Tenant, w.IdempotencyKey, w.ArrivedAtMilli, w.Result, w.OutOfService, w.Connections,
		w.Reason, w.Learned.fromWire()}
	if m.Kind == 0 || m.Kind >= kinds {
		return m, fmt.Errorf("%w: a message of kind %d", ErrMalformedFrame, m.Kind)
	}
	return m, nil
}

// Parse reads a message from the front of in; size is 0 while more is to come.
func Parse(in []byte) (m Message, size int, err error) {
	if len(in) < 4 {
		return m, 0, nil
	}
	n, err := Size(in)
	if err != nil || len(in) < 4+n {
		return m, 0, err
	}
	m, err = Decode(in[4 : 4+n])
	return m, 4 + n, err
}

// CheckPreamble reads the preamble. It returns false while more is to come.
func CheckPreamble(in []byte) (bool, error) {
	n := min(len(in), len(Preamble))
	for i := range n {
		if in[i] != Preamble[i] {
			if i < 4 {
				return false, fmt.Errorf("%w: no preamble", ErrMalformedFrame)
			}
			return false, ErrVersionMismatch
		}
	}
	return n == len(Preamble), nil
}
