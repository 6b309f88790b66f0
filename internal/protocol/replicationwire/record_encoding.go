package replicationwire

import "pewterline/internal/decide/consensus"

type registerEncoding struct {
	Key              []byte          `cbor:"1,keyasint"`
	Promised         ballotEncoding  `cbor:"2,keyasint"`
	Accepted         *ballotEncoding `cbor:"3,keyasint,omitempty"`
	Value            *valueEncoding  `cbor:"4,keyasint,omitempty"`
	LastAttemptAt    int64           `cbor:"5,keyasint,omitempty"`
	TransferredEpoch uint64          `cbor:"6,keyasint,omitempty"`
}

type recordEncoding struct {
	Version      int                `cbor:"1,keyasint"`
	Incarnation  uint64             `cbor:"2,keyasint,omitempty"`
	Membership   string             `cbor:"3,keyasint,omitempty"`
	Registers    []registerEncoding `cbor:"4,keyasint,omitempty"`
	ForgetBefore int64              `cbor:"5,keyasint,omitempty"`
}

func encodeRecord(record Record) recordEncoding {
	encoded := recordEncoding{
		Version:      Version,
		Incarnation:  record.Incarnation,
		Membership:   encodeMembership(record.Membership),
		ForgetBefore: record.ForgetBefore,
	}
	for _, saved := range record.Registers {
		encoded.Registers = append(encoded.Registers, registerEncoding{
			Key:              []byte(saved.Key),
			Promised:         encodeBallot(saved.Register.Promised),
			Accepted:         encodeOptionalBallot(saved.Register.Accepted),
			Value:            encodeValue(saved.Register.Value),
			LastAttemptAt:    saved.Register.LastAttemptAt,
			TransferredEpoch: saved.Register.TransferredEpoch,
		})
	}
	return encoded
}

func (e recordEncoding) decode() (Record, error) {
	membership, err := decodeMembership(e.Membership)
	if err != nil {
		return Record{}, err
	}
	record := Record{Incarnation: e.Incarnation, Membership: membership, ForgetBefore: e.ForgetBefore}
	for _, encoded := range e.Registers {
		record.Registers = append(record.Registers, encoded.decode())
	}
	return record, nil
}

func (e registerEncoding) decode() consensus.SavedRegister {
	return consensus.SavedRegister{
		Key: string(e.Key),
		Register: consensus.Register{
			Promised:         e.Promised.decode(),
			Accepted:         e.Accepted.decodeOptional(),
			Value:            e.Value.decode(),
			LastAttemptAt:    e.LastAttemptAt,
			TransferredEpoch: e.TransferredEpoch,
		},
	}
}
