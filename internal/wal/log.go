package wal

import (
	"errors"
	"fmt"
	"slices"
)

// defaultSegmentBytes is the size after which a new segment begins.
const defaultSegmentBytes = 4 << 20

// Options configure a Log.
type Options struct {
	SegmentBytes int // size after which a new segment begins; 0: 4 MiB
}

// Log is an open log.
type Log struct {
	fs            FS
	options       Options
	unlock        func() error
	active        File // the segment that is being written
	activeBytes   int
	unwritten     []byte   // encoded records that are not written yet
	nextIndex     uint64   // of the next record
	syncedIndex   uint64   // all records up to it are durable
	segments      []uint64 // first indexes, ascending
	snapshotIndex uint64   // the snapshot in use holds all records up to it; 0: there is none
	broken        error    // returned by all methods once the log is broken; nil: it is not
}

// Append adds a record, which is durable after the next Sync, and returns its index. It keeps no reference to data.
// The error is ErrBroken or ErrTooLarge.
func (l *Log) Append(data []byte) (uint64, error) {
	if l.broken != nil {
		return 0, l.broken
	}
	if len(data) > MaxRecordBytes {
		return 0, fmt.Errorf("%w: a record of %d bytes is over %d", ErrTooLarge, len(data), MaxRecordBytes)
	}
	index := l.nextIndex
	l.unwritten = appendRecord(l.unwritten, index, l.syncedIndex, data)
	l.nextIndex++
	return index, nil
}

// Sync makes all appended records durable. An error wraps ErrBroken: the records appended since the last Sync may or
// may not be durable, and the log rejects all further calls.
func (l *Log) Sync() error {
	if l.broken != nil {
		return l.broken
	}
	if len(l.unwritten) == 0 {
		return nil
	}
	if _, err := l.active.Write(l.unwritten); err != nil {
		return l.markBroken(fmt.Errorf("write %d bytes: %w", len(l.unwritten), err))
	}
	if err := l.active.Sync(); err != nil {
		return l.markBroken(fmt.Errorf("sync: %w", err))
	}
	l.activeBytes += len(l.unwritten)
	l.unwritten = l.unwritten[:0]
	l.syncedIndex = l.nextIndex - 1
	if l.activeBytes >= l.options.SegmentBytes {
		if err := l.createSegment(l.nextIndex, nil); err != nil {
			return l.markBroken(err)
		}
	}
	return nil
}

// markBroken marks the log as broken, and returns the error that its methods return from now on.
func (l *Log) markBroken(err error) error {
	l.broken = fmt.Errorf("%w: %w", ErrBroken, err)
	return l.broken
}

// Synced returns the index of the last record that is durable.
func (l *Log) Synced() uint64 { return l.syncedIndex }

// Close closes the files and unlocks the directory. Records that were not synced may be lost.
func (l *Log) Close() error { return errors.Join(l.active.Close(), l.unlock()) }

// createSegment atomically creates a segment with its first records, and makes it the active one.
func (l *Log) createSegment(first uint64, records []byte) error {
	name := fileName(first, segmentSuffix)
	content := append(encodeHeader(first), records...)
	file, err := l.writeTemporary(name, content)
	if err != nil {
		return err
	}
	if err := l.publish(name); err != nil {
		return errors.Join(err, file.Close())
	}
	if l.active != nil {
		if err := l.active.Close(); err != nil {
			return errors.Join(fmt.Errorf("wal: close the segment before %s: %w", name, err), file.Close())
		}
	}
	l.active = file
	l.activeBytes = len(content)
	if !slices.Contains(l.segments, first) {
		l.segments = append(l.segments, first)
	}
	return nil
}

// writeTemporary writes a file under a temporary name, makes its content durable, and returns it open.
func (l *Log) writeTemporary(name string, content []byte) (File, error) {
	file, err := l.fs.Create(name + temporarySuffix)
	if err != nil {
		return nil, fmt.Errorf("wal: create %s: %w", name, err)
	}
	if _, err = file.Write(content); err == nil {
		err = file.Sync()
	}
	if err != nil {
		return nil, fmt.Errorf("wal: write %s: %w", name, errors.Join(err, file.Close()))
	}
	return file, nil
}

// publish renames a temporary file to its final name, durably.
func (l *Log) publish(name string) error {
	err := l.fs.Rename(name+temporarySuffix, name)
	if err == nil {
		err = l.fs.Sync()
	}
	if err != nil {
		return fmt.Errorf("wal: rename %s: %w", name, err)
	}
	return nil
}
