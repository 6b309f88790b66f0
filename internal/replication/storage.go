package replication

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/wal"
)

const (
	// queuedRecords is the most records that may wait for the disk.
	queuedRecords = 4096
	// recordBytes is about the size at which a new record begins, far below the limit of the write-ahead log.
	recordBytes = 256 << 10
	// registerOverhead is about what a register takes in a record besides its key and its result.
	registerOverhead = 100
)

// storage keeps the durable state of a replica in a write-ahead log, which it owns. state reflects the durable records.
// Until the first write it may be read by the caller that opened the storage; from then on only the committer's
// goroutine uses it, and recordBytes and threshold with it.
type storage struct {
	committer   *wal.Committer
	state       durableState
	recordBytes int // bytes of records since the last snapshot
	threshold   int // bytes of records at which the next snapshot is taken
	minimum     int // the least threshold
	completions completionQueue

	execute func(func()) error // runs a callback on the event loop
	failed  func(error)        // called on the event loop for each operation that has failed
}

// newIncarnation draws a random number, which is unique with high probability and never 0.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("draw an incarnation: %w", err)
	}
	return binary.BigEndian.Uint64(random[:])>>1 | 1, nil
}

// openStorage opens the log in a directory. If the directory is empty, a new incarnation begins. snapshotThreshold is
// the least number of bytes of records that a snapshot replaces.
func openStorage(filesystem wal.FS, snapshotThreshold int) (*storage, error) {
	log, recovery, err := wal.Open(filesystem, wal.Options{})
	if err != nil {
		return nil, err
	}
	s := &storage{
		state:     durableState{registers: map[string]consensus.Register{}},
		threshold: snapshotThreshold,
		minimum:   snapshotThreshold,
	}
	if err := s.recover(log, recovery); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	s.committer = wal.NewCommitter(log, wal.CommitOptions{QueueSize: queuedRecords})
	return s, nil
}

// recover rebuilds the state from the log. If the log holds no incarnation, recover draws one and makes it durable.
func (s *storage) recover(log *wal.Log, recovery wal.Recovery) error {
	if err := s.state.decodeSnapshot(recovery.Snapshot); err != nil {
		return err
	}
	for _, record := range recovery.Records {
		if err := s.state.decode(record.Data); err != nil {
			return fmt.Errorf("record %d: %w", record.Index, err)
		}
		s.recordBytes += len(record.Data)
	}
	if s.state.incarnation != 0 {
		return nil
	}
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	s.state.incarnation = incarnation
	data, err := replicationwire.AppendRecord(nil, replicationwire.Record{Incarnation: incarnation})
	if err != nil {
		return err
	}
	if _, err := log.Append(data); err != nil {
		return err
	}
	return log.Sync()
}

// attach sets how callbacks reach the event loop, and what is called on failures. It must be called before the first
// write.
func (s *storage) attach(execute func(func()) error, failed func(error)) {
	s.execute = execute
	s.failed = failed
}

// write queues a record. Once it is durable, durable is called on the event loop; if the write fails, failed is called
// instead.
func (s *storage) write(record replicationwire.Record, durable func()) {
	data, err := replicationwire.AppendRecord(nil, record)
	if err != nil {
		s.failed(err)
		return
	}
	s.committer.Submit(data, func(_ uint64, err error) {
		if err == nil {
			s.state.apply(record)
			s.recordBytes += len(data)
		}
		s.completions.post(s.execute, func() {
			if err != nil {
				s.failed(err)
				return
			}
			durable()
		})
	})
}

// compact replaces the records in the log by a snapshot, if they have reached the threshold.
func (s *storage) compact() {
	s.committer.Do(s.snapshot, func(err error) {
		if err != nil {
			s.completions.post(s.execute, func() { s.failed(err) })
		}
	})
}

// snapshot runs on the committer's goroutine.
func (s *storage) snapshot(log *wal.Log) error {
	if s.recordBytes < s.threshold {
		return nil
	}
	snapshot, err := s.state.encodeSnapshot()
	if err != nil {
		return err
	}
	s.recordBytes = 0
	s.threshold = max(s.minimum, 2*len(snapshot))
	return log.Snapshot(snapshot)
}

// registers returns a copy of the registers, as the initial state of a node. It must be called before the first write.
func (s *storage) registers() map[string]consensus.Register { return maps.Clone(s.state.registers) }

// close writes and syncs the queued records, and closes the log.
func (s *storage) close() error { return s.committer.Close() }

// recordsOf returns the log records with the state of ready that must be durable before its messages are sent.
func recordsOf(ready consensus.Ready) []replicationwire.Record {
	var records []replicationwire.Record
	record := replicationwire.Record{Membership: ready.Membership}
	size := 0
	for _, saved := range ready.Registers {
		record.Registers = append(record.Registers, saved)
		if size > recordBytes {
			records = append(records, record)
			record = replicationwire.Record{}
			size = 0
		}
		size += registerOverhead + len(saved.Key) + len(saved.Register.Value.Result)
	}
	return append(records, record)
}
