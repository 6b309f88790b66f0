package replication

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/protocol/replicationwire"
)

const (
	snapshotLengthBytes = 4   // size of the length prefix of each record in a snapshot
	snapshotChunkKeys   = 200 // maximum number of registers in one record of a snapshot
)

// errTruncatedSnapshot means that a snapshot ends within a record or its length prefix.
var errTruncatedSnapshot = errors.New("snapshot ends within a record")

// durableState is the state that the records of the write-ahead log describe.
type durableState struct {
	incarnation uint64 // of this server as an acceptor; 0: not yet generated
	membership  consensus.Membership
	registers   map[string]consensus.Register
}

// apply applies a record to the state.
func (s *durableState) apply(record replicationwire.Record) {
	if record.Incarnation != 0 {
		s.incarnation = record.Incarnation
	}
	if record.Membership != nil {
		s.membership = *record.Membership
	}
	for _, saved := range record.Registers {
		s.registers[saved.Key] = saved.Register
	}
	if record.ForgetBefore != 0 {
		consensus.NewAcceptor(consensus.Identity{}, s.registers).Expire(record.ForgetBefore)
	}
}

// decode applies an encoded record to the state.
func (s *durableState) decode(data []byte) error {
	record, err := replicationwire.ParseRecord(data)
	if err != nil {
		return err
	}
	s.apply(record)
	return nil
}

// decodeSnapshot applies the records of a snapshot to the state.
func (s *durableState) decodeSnapshot(snapshot []byte) error {
	for offset := 0; offset < len(snapshot); {
		if len(snapshot)-offset < snapshotLengthBytes {
			return fmt.Errorf("%w: at offset %d", errTruncatedSnapshot, offset)
		}
		size := int(binary.BigEndian.Uint32(snapshot[offset:]))
		offset += snapshotLengthBytes
		if len(snapshot)-offset < size {
			return fmt.Errorf("%w: at offset %d", errTruncatedSnapshot, offset)
		}
		if err := s.decode(snapshot[offset : offset+size]); err != nil {
			return err
		}
		offset += size
	}
	return nil
}

// encodeSnapshot encodes the state as a sequence of records, each with a length prefix.
func (s *durableState) encodeSnapshot() ([]byte, error) {
	first := replicationwire.Record{Incarnation: s.incarnation}
	if s.membership.Epoch > 0 {
		first.Membership = &s.membership
	}
	snapshot, err := appendSnapshotRecord(nil, first)
	if err != nil {
		return nil, err
	}
	keys := slices.Sorted(maps.Keys(s.registers))
	for chunk := range slices.Chunk(keys, snapshotChunkKeys) {
		var record replicationwire.Record
		for _, key := range chunk {
			saved := consensus.SavedRegister{Key: key, Register: s.registers[key]}
			record.Registers = append(record.Registers, saved)
		}
		if snapshot, err = appendSnapshotRecord(snapshot, record); err != nil {
			return nil, err
		}
	}
	return snapshot, nil
}

func appendSnapshotRecord(snapshot []byte, record replicationwire.Record) ([]byte, error) {
	start := len(snapshot)
	snapshot, err := replicationwire.AppendRecord(append(snapshot, make([]byte, snapshotLengthBytes)...), record)
	if err != nil {
		return nil, err
	}
	binary.BigEndian.PutUint32(snapshot[start:], uint32(len(snapshot)-start-snapshotLengthBytes))
	return snapshot, nil
}
