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
	// maxQueuedRecords is the maximum number of records that may wait for the disk.
	maxQueuedRecords = 4096
	// targetRecordBytes is the approximate size of a record at which a new record is started. It is far below the record
	// limit of the write-ahead log.
	targetRecordBytes = 256 << 10
	// registerOverheadBytes is the approximate size of a register in a record, without its key and result.
	registerOverheadBytes = 100
)

// storage keeps the durable state of a replica in a write-ahead log, which it owns. state reflects the durable records.
// Until the first write, the caller that opened the storage may read state; after that, only the committer's goroutine
// uses state, bytesSinceSnapshot and snapshotThreshold.
type storage struct {
	committer          *wal.Committer
	state              durableState
	bytesSinceSnapshot int // size of the records written since the last snapshot
	snapshotThreshold  int // value of bytesSinceSnapshot at which the next snapshot is taken
	minThreshold       int // lower bound of snapshotThreshold
	completions        completionQueue

	execute   func(func()) error // runs a callback on the event loop
	onFailure func(error)        // called on the event loop for each failed operation
}

// newIncarnation returns a random number that is unique with high probability and never 0.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("generate an incarnation: %w", err)
	}
	return binary.BigEndian.Uint64(random[:])>>1 | 1, nil
}

// openStorage opens the log in a directory. If the directory is empty, it generates a new incarnation.
// snapshotThreshold is the minimum size in bytes of the records that a snapshot replaces.
func openStorage(filesystem wal.FS, snapshotThreshold int) (*storage, error) {
	log, recovery, err := wal.Open(filesystem, wal.Options{})
	if err != nil {
		return nil, err
	}
	s := &storage{
		state:             durableState{registers: map[string]consensus.Register{}},
		snapshotThreshold: snapshotThreshold,
		minThreshold:      snapshotThreshold,
	}
	if err := s.recover(log, recovery); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	s.committer = wal.NewCommitter(log, wal.CommitOptions{QueueSize: maxQueuedRecords})
	return s, nil
}

// recover rebuilds the state from the log. If the log holds no incarnation, recover generates one and makes it durable.
func (s *storage) recover(log *wal.Log, recovery wal.Recovery) error {
	if err := s.state.decodeSnapshot(recovery.Snapshot); err != nil {
		return err
	}
	for _, record := range recovery.Records {
		if err := s.state.decode(record.Data); err != nil {
			return fmt.Errorf("record %d: %w", record.Index, err)
		}
		s.bytesSinceSnapshot += len(record.Data)
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

// attach sets the function that runs callbacks on the event loop, and the callback for failed operations. It must be
// called before the first write.
func (s *storage) attach(execute func(func()) error, onFailure func(error)) {
	s.execute = execute
	s.onFailure = onFailure
}

// write queues a record. Once the record is durable, onDurable is called on the event loop; if the write fails,
// onFailure is called instead.
func (s *storage) write(record replicationwire.Record, onDurable func()) {
	data, err := replicationwire.AppendRecord(nil, record)
	if err != nil {
		s.onFailure(err)
		return
	}
	s.committer.Submit(data, func(_ uint64, err error) {
		if err == nil {
			s.state.apply(record)
			s.bytesSinceSnapshot += len(data)
		}
		s.completions.post(s.execute, func() {
			if err != nil {
				s.onFailure(err)
				return
			}
			onDurable()
		})
	})
}

// compact replaces the records in the log with a snapshot, if they have reached snapshotThreshold.
func (s *storage) compact() {
	s.committer.Do(s.snapshot, func(err error) {
		if err != nil {
			s.completions.post(s.execute, func() { s.onFailure(err) })
		}
	})
}

// snapshot takes a snapshot if one is due. It runs on the committer's goroutine.
func (s *storage) snapshot(log *wal.Log) error {
	if s.bytesSinceSnapshot < s.snapshotThreshold {
		return nil
	}
	snapshot, err := s.state.encodeSnapshot()
	if err != nil {
		return err
	}
	s.bytesSinceSnapshot = 0
	s.snapshotThreshold = max(s.minThreshold, 2*len(snapshot))
	return log.Snapshot(snapshot)
}

// registers returns a copy of the registers for the initial state of a node. It must be called before the first write.
func (s *storage) registers() map[string]consensus.Register { return maps.Clone(s.state.registers) }

// close writes and syncs the queued records, and closes the log.
func (s *storage) close() error { return s.committer.Close() }

// recordsOf returns the log records that must be durable before the messages of ready are sent.
func recordsOf(ready consensus.Ready) []replicationwire.Record {
	var records []replicationwire.Record
	record := replicationwire.Record{Membership: ready.Membership}
	size := 0
	for _, saved := range ready.Registers {
		record.Registers = append(record.Registers, saved)
		if size > targetRecordBytes {
			records = append(records, record)
			record = replicationwire.Record{}
			size = 0
		}
		size += registerOverheadBytes + len(saved.Key) + len(saved.Register.Value.Result)
	}
	return append(records, record)
}
