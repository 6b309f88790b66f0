package wal

import (
	"fmt"
	"math"
)

// Snapshot replaces all records up to the last synced one with state. If it fails after it has started to write, the
// log is broken, but still contains the records.
func (l *Log) Snapshot(state []byte) error {
	switch {
	case l.broken != nil:
		return l.broken
	case len(l.unwritten) > 0:
		return errUnsynced
	case uint64(len(state)) > math.MaxInt32:
		return fmt.Errorf("%w: a snapshot of %d bytes", ErrTooLarge, len(state))
	case l.syncedIndex == l.snapshotIndex:
		return nil
	}
	if err := l.replaceSnapshot(state); err != nil {
		return l.markBroken(err)
	}
	return nil
}

func (l *Log) replaceSnapshot(state []byte) error {
	name := fileName(l.syncedIndex, snapshotSuffix)
	file, err := l.writeTemporary(name, encodeSnapshot(l.syncedIndex, state))
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("wal: close %s: %w", name, err)
	}
	if err := l.publish(name); err != nil {
		return err
	}
	if l.activeBytes > headerBytes { // start a new segment, so that all earlier ones can be removed
		if err := l.createSegment(l.nextIndex, nil); err != nil {
			return err
		}
	}
	var replaced []uint64
	if l.snapshotIndex != 0 {
		replaced = []uint64{l.snapshotIndex}
	}
	l.snapshotIndex = l.syncedIndex
	return l.removeObsolete(replaced)
}

// removeObsolete removes earlier snapshots, and segments whose records are all in the snapshot in use.
func (l *Log) removeObsolete(snapshots []uint64) error {
	for _, index := range snapshots {
		if index >= l.snapshotIndex {
			continue
		}
		if err := l.remove(fileName(index, snapshotSuffix)); err != nil {
			return err
		}
	}
	// Remove the oldest first, so that a crash leaves no gap.
	for len(l.segments) > 1 && l.segments[1] <= l.snapshotIndex+1 {
		if err := l.remove(fileName(l.segments[0], segmentSuffix)); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func (l *Log) remove(name string) error {
	if err := l.fs.Remove(name); err != nil {
		return fmt.Errorf("wal: remove %s: %w", name, err)
	}
	return nil
}
