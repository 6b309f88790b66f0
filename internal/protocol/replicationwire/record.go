package replicationwire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pewterline/internal/decide/consensus"
)

// Record is a change to an acceptor's durable state. Fields with zero values change nothing.
type Record struct {
	Incarnation  uint64
	Membership   *consensus.Membership // the new membership
	Registers    []consensus.SavedRegister
	ForgetBefore int64 // registers whose last attempt arrived before this time, in Unix milliseconds, are dropped
}

// AppendRecord appends an encoded record to out. The encoding does not mark its end: ParseRecord expects exactly one
// record.
func AppendRecord(out []byte, record Record) ([]byte, error) {
	body, err := cbor.Marshal(encodeRecord(record))
	if err != nil {
		return out, fmt.Errorf("replicationwire: encode record: %w", err)
	}
	return append(out, body...), nil
}

// ParseRecord decodes a record. Its error wraps ErrMalformedFrame.
func ParseRecord(in []byte) (Record, error) {
	var encoded recordEncoding
	if err := decodeMode.Unmarshal(in, &encoded); err != nil {
		return Record{}, fmt.Errorf("%w: record: %w", ErrMalformedFrame, err)
	}
	if encoded.Version != Version {
		return Record{}, fmt.Errorf("%w: record version %d, want %d", ErrMalformedFrame, encoded.Version, Version)
	}
	record, err := encoded.decode()
	if err != nil {
		return Record{}, fmt.Errorf("record: %w", err)
	}
	return record, nil
}
