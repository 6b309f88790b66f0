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
	// queuedRecords bounds the records that wait for the disk.
	queuedRecords = 4096
	// recordBytes is about the size at which a new record begins, far below the limit of the write-ahead log.
	recordBytes = 256 << 10
	// registerOverhead is about what a register takes in a record besides its key and its result.
	registerOverhead = 100
)

// storage keeps the durable state of a replica in a write-ahead log, which it owns. Its state is what is durable, and
// belongs to the goroutine of the log's committer once the log is in use.
type storage struct {
	log         *wal.Committer
	state       durableState
	recordBytes int // bytes of records since the last snapshot
	threshold   int // bytes of records at which the next snapshot is taken
	minimum     int // the least threshold
	completions completionQueue

	execute func(func()) error // runs a callback on the event loop
	failed  func(error)        // called on the event loop for each operation that has failed
}

// newIncarnation draws a number that no other incarnation has had, as far as chance allows. It is never 0.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("draw an incarnation: %w", err)
	}
	return binary.BigEndian.Uint64(random[:])>>1 | 1, nil
}

// openStorage reads the log of a folder. An empty folder begins a new incarnation. snapshotThreshold is the least
// number of bytes of records that a snapshot replaces.
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
	s.log = wal.NewCommitter(log, wal.CommitOptions{QueueSize: queuedRecords})
	return s, nil
}

// recover rebuilds the state from what the log holds, and begins an incarnation where there is none.
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

// attach says how callbacks reach the event loop, and who hears of failures. It comes before the first write.
func (s *storage) attach(execute func(func()) error, failed func(error)) {
	s.execute = execute
	s.failed = failed
}

// write makes a record durable, and then has durable called on the event loop.
func (s *storage) write(record replicationwire.Record, durable func()) {
	data, err := replicationwire.AppendRecord(nil, record)
	if err != nil {
		s.failed(err)
		return
	}
	s.log.Submit(data, func(_ uint64, err error) {
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

// compact replaces the records by a snapshot, if there are enough of them.
func (s *storage) compact() {
	s.log.Do(s.snapshot, func(err error) {
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

// registers returns a copy of the registers, for a node to go on from. It comes before the first write.
func (s *storage) registers() map[string]consensus.Register { return maps.Clone(s.state.registers) }

// close makes durable what was submitted, and closes the log.
func (s *storage) close() error { return s.log.Close() }

// recordsOf returns the records that make durable what has to be before the messages of ready are sent.
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
