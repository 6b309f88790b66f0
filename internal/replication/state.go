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
	snapshotLengthBytes = 4   // before each record of a snapshot
	snapshotChunkKeys   = 200 // registers in one record of a snapshot
)

// errTruncatedSnapshot means that a snapshot ends within a record, or within the length before one.
var errTruncatedSnapshot = errors.New("the snapshot ends within a record")

// durableState is the state that results from the records of the write-ahead log.
type durableState struct {
	incarnation uint64 // of this server as an acceptor; 0: none has been drawn yet
	membership  consensus.Membership
	registers   map[string]consensus.Register
}

// apply adds a record.
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

// decode adds an encoded record.
func (s *durableState) decode(data []byte) error {
	record, err := replicationwire.ParseRecord(data)
	if err != nil {
		return err
	}
	s.apply(record)
	return nil
}

// decodeSnapshot adds the records of a snapshot.
func (s *durableState) decodeSnapshot(snapshot []byte) error {
	for at := 0; at < len(snapshot); {
		if len(snapshot)-at < snapshotLengthBytes {
			return fmt.Errorf("%w: at offset %d", errTruncatedSnapshot, at)
		}
		size := int(binary.BigEndian.Uint32(snapshot[at:]))
		at += snapshotLengthBytes
		if len(snapshot)-at < size {
			return fmt.Errorf("%w: at offset %d", errTruncatedSnapshot, at)
		}
		if err := s.decode(snapshot[at : at+size]); err != nil {
			return err
		}
		at += size
	}
	return nil
}

// encodeSnapshot encodes the state as a sequence of records, each of which follows its length.
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
