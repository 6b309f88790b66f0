package wal

import (
	"errors"
	"fmt"
)

// Recovery is the content of a log as read by Open.
type Recovery struct {
	Snapshot       []byte   // nil: there is none
	Records        []Record // after the snapshot, in order
	TruncatedBytes int      // length of the torn tail that was dropped
}

// Open opens a log, or creates one in an empty directory, and reads its whole content. Its error may wrap ErrLocked or
// be a CorruptError. The caller must close the log.
func Open(fs FS, options Options) (*Log, Recovery, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	unlock, err := fs.Lock()
	if err != nil {
		return nil, Recovery{}, fmt.Errorf("wal: lock: %w", err)
	}
	log := &Log{fs: fs, options: options, unlock: unlock, nextIndex: 1}
	recovery, err := log.recover()
	if err != nil {
		if log.active != nil {
			err = errors.Join(err, log.active.Close())
		}
		return nil, Recovery{}, errors.Join(err, unlock())
	}
	return log, recovery, nil
}

// recover reads the content of the directory, and creates the segment for new records.
func (l *Log) recover() (Recovery, error) {
	var recovery Recovery
	snapshots, err := l.listFiles()
	if err != nil {
		return Recovery{}, err
	}
	if len(snapshots) > 0 {
		// A snapshot gets its final name only when it is complete and durable, so a crash cannot have made it corrupt.
		l.snapshotIndex = snapshots[len(snapshots)-1]
		if recovery.Snapshot, err = l.readSnapshot(); err != nil {
			return Recovery{}, err
		}
		l.nextIndex = l.snapshotIndex + 1
	}
	for i, first := range l.segments {
		isLast := i == len(l.segments)-1
		if err := l.readSegment(first, isLast, &recovery); err != nil {
			return Recovery{}, err
		}
	}
	if err := l.beginSegment(recovery.Records); err != nil {
		return Recovery{}, err
	}
	return recovery, l.removeObsolete(snapshots)
}

// listFiles records the segments in l.segments, removes temporary files, and returns the indexes of the snapshots in
// ascending order.
func (l *Log) listFiles() (snapshots []uint64, err error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, fmt.Errorf("wal: list: %w", err)
	}
	for _, name := range names {
		switch index, suffix := parseFileName(name); suffix {
		case segmentSuffix:
			l.segments = append(l.segments, index)
		case snapshotSuffix:
			snapshots = append(snapshots, index)
		case temporarySuffix:
			if err := l.remove(name); err != nil {
				return nil, err
			}
		}
	}
	return snapshots, nil
}

func (l *Log) readSnapshot() ([]byte, error) {
	name := fileName(l.snapshotIndex, snapshotSuffix)
	content, err := l.fs.Read(name)
	if err != nil {
		return nil, fmt.Errorf("wal: read %s: %w", name, err)
	}
	return decodeSnapshot(name, l.snapshotIndex, content)
}

// readSegment adds the records of a segment that are not in the snapshot.
func (l *Log) readSegment(first uint64, isLast bool, recovery *Recovery) error {
	name := fileName(first, segmentSuffix)
	content, err := l.fs.Read(name)
	if err != nil {
		return fmt.Errorf("wal: read %s: %w", name, err)
	}
	torn, err := checkHeader(name, first, content)
	if err != nil {
		return err
	}
	if torn {
		// The header is durable before a record is appended, so a segment without a valid header held no durable
		// record.
		if !isLast || findLaterRecord(content, 0, first) >= 0 {
			return corruptErrorf(name, 0, "header is incomplete or has a wrong checksum")
		}
		recovery.TruncatedBytes += len(content)
		return nil
	}
	if first > l.nextIndex { // a segment begins once all records before it are durable
		return corruptErrorf(name, indexOffset, "segment begins with record %d, but %d is missing", first, l.nextIndex)
	}
	offset, index := l.readRecords(content, first, recovery)
	if offset == len(content) {
		return nil
	}
	if err := checkTornTail(name, content, offset, index, isLast); err != nil {
		return err
	}
	recovery.TruncatedBytes += len(content) - offset
	return nil
}

// readRecords adds the intact records at the front of a segment to recovery. It returns the offset and the index of the
// first record that is not intact.
func (l *Log) readRecords(content []byte, first uint64, recovery *Recovery) (offset int, index uint64) {
	offset = headerBytes
	index = first
	for offset < len(content) {
		record, size, ok := decodeRecord(content[offset:])
		if !ok || record.Index != index {
			break
		}
		if index == l.nextIndex { // earlier records are in the snapshot
			recovery.Records = append(recovery.Records, record)
			l.nextIndex++
		}
		offset += size
		index++
	}
	return offset, index
}

// checkTornTail distinguishes a torn write, which is dropped, from a corrupt record, which is an error. A crash can
// only damage unsynced data at the end of the last segment, but there any of the records that were written together. If
// a later, intact record was written when the damaged one was already durable, a crash cannot be the cause. For the
// records of the last sync there is no such proof: they are dropped.
func checkTornTail(name string, content []byte, offset int, index uint64, isLast bool) error {
	if !isLast {
		return corruptErrorf(name, offset, "corrupt record %d is not in the last segment", index)
	}
	if later := findLaterRecord(content, offset+1, index); later >= 0 {
		return corruptErrorf(name, offset, "corrupt record %d was durable before the record at offset %d", index, later)
	}
	return nil
}

// beginSegment creates the segment for new records. It copies the records of the last segment, because that file's end
// may be torn, and its cached pages may come from a write that never became durable.
func (l *Log) beginSegment(records []Record) error {
	first := l.nextIndex
	if len(l.segments) > 0 {
		first = l.segments[len(l.segments)-1]
	}
	var copied []byte
	for _, record := range records {
		if record.Index >= first {
			copied = appendRecord(copied, record.Index, 0, record.Data)
		}
	}
	if len(copied) == 0 {
		first = l.nextIndex // the last segment holds nothing that the snapshot does not
	}
	if err := l.createSegment(first, copied); err != nil {
		return err
	}
	l.syncedIndex = l.nextIndex - 1
	return nil
}
