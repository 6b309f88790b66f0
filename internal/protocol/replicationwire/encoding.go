package replicationwire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pewterline/internal/decide/consensus"
)

// decodeMode limits the memory that the decoder allocates for a frame or a record.
var decodeMode = func() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // unreachable: the options are constant and valid
	}
	return mode
}()

// The types of this package whose names end in Encoding define the format. Types tagged "toarray" are encoded as arrays
// of their fields in order, the others as maps with the field numbers as keys.

type identityEncoding struct {
	_           struct{} `cbor:",toarray"`
	ID          uint32
	Incarnation uint64
}

type ballotEncoding struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	ID          uint32 // of the proposer
	Incarnation uint64 // of the proposer
}

type valueEncoding struct {
	Kind        uint8  `cbor:"1,keyasint,omitempty"`
	Owner       uint32 `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Attempt     uint64 `cbor:"4,keyasint,omitempty"`
	AttemptedAt int64  `cbor:"5,keyasint,omitempty"`
	Result      []byte `cbor:"6,keyasint,omitempty"`
}

func encodeIdentity(identity consensus.Identity) identityEncoding {
	return identityEncoding{ID: identity.ID, Incarnation: identity.Incarnation}
}

func (e identityEncoding) decode() consensus.Identity {
	return consensus.Identity{ID: e.ID, Incarnation: e.Incarnation}
}

func encodeBallot(ballot consensus.Ballot) ballotEncoding {
	return ballotEncoding{
		Number:      ballot.Number,
		ID:          ballot.Proposer.ID,
		Incarnation: ballot.Proposer.Incarnation,
	}
}

func (e ballotEncoding) decode() consensus.Ballot {
	return consensus.Ballot{
		Number:   e.Number,
		Proposer: consensus.Identity{ID: e.ID, Incarnation: e.Incarnation},
	}
}

// encodeOptionalBallot encodes the zero ballot as an absent field.
func encodeOptionalBallot(ballot consensus.Ballot) *ballotEncoding {
	if ballot == (consensus.Ballot{}) {
		return nil
	}
	encoded := encodeBallot(ballot)
	return &encoded
}

// decodeOptional is the inverse of encodeOptionalBallot.
func (e *ballotEncoding) decodeOptional() consensus.Ballot {
	if e == nil {
		return consensus.Ballot{}
	}
	return e.decode()
}

// encodeValue encodes the zero value as an absent field.
func encodeValue(value consensus.Value) *valueEncoding {
	if value == (consensus.Value{}) {
		return nil
	}
	return &valueEncoding{
		Kind:        uint8(value.Kind),
		Owner:       value.Owner,
		Incarnation: value.Incarnation,
		Attempt:     value.Attempt,
		AttemptedAt: value.AttemptedAt,
		Result:      []byte(value.Result),
	}
}

func (e *valueEncoding) decode() consensus.Value {
	if e == nil {
		return consensus.Value{}
	}
	return consensus.Value{
		Kind:        consensus.ValueKind(e.Kind),
		Owner:       e.Owner,
		Incarnation: e.Incarnation,
		Attempt:     e.Attempt,
		AttemptedAt: e.AttemptedAt,
		Result:      string(e.Result),
	}
}

// encodeMembership encodes an optional membership as text. A nil membership is encoded as "".
func encodeMembership(membership *consensus.Membership) string {
	if membership == nil {
		return ""
	}
	return membership.String()
}

// decodeMembership is the inverse of encodeMembership.
func decodeMembership(text string) (*consensus.Membership, error) {
	if text == "" {
		return nil, nil
	}
	membership, err := consensus.ParseMembership(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	return &membership, nil
}
