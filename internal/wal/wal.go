// Package wal is an append-only log of records on a disk that may lose power, tear writes, fill up and fail to sync.
//
// A log is a folder of segments and at most one snapshot in use. Records are numbered from 1. A record is durable once Sync
// has returned without an error, and then outlives any crash; one that was appended and not synced may or may not. What is
// read at Open is always a prefix of what was appended.
//
// After a write or a sync has failed, nothing is known of what the system still holds for the file: its pages may be marked
// clean and be lost (A. Rebello et al., "Can Applications Recover from fsync Failures?", 2020). So the log is broken from then
// on, and the next Open copies the last segment into a file of its own before it goes on.
//
// It is not safe for concurrent use.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"slices"
	"strings"
)

// Version is of the files; those of another are refused.
const Version = 1

const (
	lockName     = "LOCK"
	segmentKind  = ".log"
	snapshotKind = ".snap"
	newKind      = ".new" // written and not yet in use
	headSize     = 24     // of a file: magic, version, index, checksum
	recordHead   = 24     // length, index, what was durable by then, checksum
)

// The bounds and defaults of Options.
const (
	MaxRecordBytes = 1 << 20
	defaultSegment = 4 << 20
)

var (
	magic  = [6]byte{'p', 'w', 'w', 'a', 'l', 0}
	castag = crc32.MakeTable(crc32.Castagnoli)
)

// The errors. Corrupt names the file and the offset.
var (
	ErrBroken   = errors.New("wal: the log is broken by an earlier failure, and has to be opened anew")
	ErrTooLarge = errors.New("wal: a record of that size is not taken")
)

// CorruptError says that a file is spoilt where no crash can have spoilt it.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (c *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is spoilt at offset %d: %s", c.File, c.Offset, c.Reason)
}

// Options say how a log is kept.
type Options struct {
	SegmentBytes int // after which a new segment begins; 0: 4 MiB
}

// Log is an open log.
type Log struct {
	fs       FS
	opts     Options
	unlock   func() error
	file     File
	size     int    // of the segment that is written
	next     uint64 // index of the next record
	synced   uint64 // all up to it are durable
	buf      []byte // appended and not yet written
	segments []uint64
	snapshot uint64 // what it holds: all records up to it; 0: there is none
	broken   error
}

// Recovery is what Open has found.
type Recovery struct {
	Snapshot       []byte // nil: there is none
	Records        []Record
	TruncatedBytes int // bytes of a torn tail that were left out
}

// Record is one record.
type Record struct {
	Index uint64
	Data  []byte
}

// Open opens a log, or begins one in an empty folder, and reads all that it holds.
func Open(fs FS, opts Options) (_ *Log, rec Recovery, err error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegment
	}
	unlock, err := fs.Lock()
	if err != nil {
		return nil, rec, fmt.Errorf("wal: lock: %w", err)
	}
	l := &Log{fs: fs, opts: opts, unlock: unlock, next: 1}
	defer func() {
		if err != nil {
			err = errors.Join(err, unlock())
		}
	}()
	names, err := fs.List()
	if err != nil {
		return nil, rec, fmt.Errorf("wal: %w", err)
	}
	var snapshots []uint64
	for _, name := range names {
		switch index, kind := split(name); kind {
		case segmentKind:
			l.segments = append(l.segments, index)
		case snapshotKind:
			snapshots = append(snapshots, index)
		case newKind: // never in use
			if err := fs.Remove(name); err != nil {
				return nil, rec, fmt.Errorf("wal: %w", err)
			}
		}
	}
	if n := len(snapshots); n > 0 { // it came into use by its name alone, whole: a spoilt one is no crash's work
		l.snapshot = snapshots[n-1]
		if rec.Snapshot, err = l.readSnapshot(); err != nil {
			return nil, rec, err
		}
		l.next = l.snapshot + 1
	}
	if err := l.readSegments(&rec); err != nil {
		return nil, rec, err
	}
	if err := l.begin(rec.Records); err != nil {
		return nil, rec, err
	}
	return l, rec, l.clean(snapshots)
}

func split(name string) (index uint64, kind string) {
	for _, k := range []string{segmentKind, snapshotKind, newKind} {
		if stem, ok := strings.CutSuffix(name, k); ok {
			if _, err := fmt.Sscanf(stem, "%016x", &index); err == nil || k == newKind {
				return index, k
			}
		}
	}
	return 0, ""
}

func fileName(index uint64, kind string) string { return fmt.Sprintf("%016x%s", index, kind) }

func head(index uint64) []byte {
	out := append([]byte(nil), magic[:]...)
	out = binary.BigEndian.AppendUint16(out, Version)
	out = binary.BigEndian.AppendUint64(out, index)
	out = binary.BigEndian.AppendUint32(out, 0) // kept for flags
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castag))
}

// checkHead reads the head of a file. torn says that it is not whole, or not sound.
func checkHead(name string, index uint64, in []byte) (torn bool, err error) {
	if len(in) < headSize || crc32.Checksum(in[:headSize-4], castag) != binary.BigEndian.Uint32(in[headSize-4:]) {
		return true, nil
	}
	switch v := binary.BigEndian.Uint16(in[6:]); {
	case [6]byte(in) != magic:
		return false, &CorruptError{name, 0, "no log of this program"}
	case v != Version:
		return false, &CorruptError{name, 6, fmt.Sprintf("version %d, and this program knows %d", v, Version)}
	case binary.BigEndian.Uint64(in[8:]) != index:
		return false, &CorruptError{name, 8, "it is of another index than its name"}
	}
	return false, nil
}

// appendRecord writes a record. synced is the last one that was durable when it was written: by that a reader tells a spoilt
// record that had been durable from one whose write was torn.
func appendRecord(out []byte, index, synced uint64, data []byte) []byte {
	at := len(out)
	out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
	out = binary.BigEndian.AppendUint64(out, index)
	out = binary.BigEndian.AppendUint64(out, synced)
	sum := crc32.Update(crc32.Checksum(out[at:], castag), castag, data)
	out = binary.BigEndian.AppendUint32(out, sum)
	return append(out, data...)
}

// record reads the record at the front of in. ok is false where there is no sound one.
func record(in []byte) (r Record, size int, ok bool) {
	if len(in) < recordHead {
		return r, 0, false
	}
	n := int(binary.BigEndian.Uint32(in))
	if n > MaxRecordBytes || len(in) < recordHead+n {
		return r, 0, false
	}
	data := in[recordHead : recordHead+n]
	if crc32.Update(crc32.Checksum(in[:20], castag), castag, data) != binary.BigEndian.Uint32(in[20:]) {
		return r, 0, false
	}
	return Record{binary.BigEndian.Uint64(in[4:]), data}, recordHead + n, true
}

func (l *Log) readSnapshot() ([]byte, error) {
	name := fileName(l.snapshot, snapshotKind)
	in, err := l.fs.Read(name)
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	torn, err := checkHead(name, l.snapshot, in)
	if err == nil && torn {
		err = &CorruptError{name, 0, "its head is not sound"}
	}
	if err != nil {
		return nil, err
	}
	body := in[headSize:]
	if len(body) < 12 || uint64(len(body)-12) != binary.BigEndian.Uint64(body) || crc32.Checksum(body[12:], castag) != binary.BigEndian.Uint32(body[8:]) {
		return nil, &CorruptError{name, headSize, "its length or its checksum is wrong"}
	}
	return body[12:], nil
}

// readSegments reads all records after the snapshot, in order.
func (l *Log) readSegments(rec *Recovery) error {
	for i, first := range l.segments {
		last := i == len(l.segments)-1
		name := fileName(first, segmentKind)
		in, err := l.fs.Read(name)
		if err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		torn, err := checkHead(name, first, in)
		if err != nil {
			return err
		}
		if torn {
			// A segment is synced with its head before a record is appended to it: without one, it held none.
			if !last || after(in, 0, first) >= 0 {
				return &CorruptError{name, 0, "its head is not sound"}
			}
			rec.TruncatedBytes += len(in)
			continue
		}
		if first > l.next { // it was begun once all before it was durable
			return &CorruptError{name, 8, fmt.Sprintf("it begins with record %d, and %d is missing", first, l.next)}
		}
		at, index := headSize, first
		for at < len(in) {
			r, size, ok := record(in[at:])
			if !ok || r.Index != index {
				break
			}
			if index == l.next { // those before are in the snapshot
				rec.Records = append(rec.Records, r)
				l.next++
			}
			at, index = at+size, index+1
		}
		if at == len(in) {
			continue
		}
		// A crash spoils the end of the last segment, where nothing was synced yet, and nothing else; of several records that
		// were written at once it may spoil any. A sound record behind the spoilt one that was written once that one was
		// durable says that this is no crash's work. Of what was synced last nobody can say that: it is cut, as a torn write.
		if !last {
			return &CorruptError{name, int64(at), fmt.Sprintf("record %d, and more segments follow", index)}
		}
		if later := after(in, at+1, index); later >= 0 {
			return &CorruptError{name, int64(at), fmt.Sprintf("record %d, which had been durable when the one at %d was written", index, later)}
		}
		rec.TruncatedBytes += len(in) - at
	}
	return nil
}

// after finds a sound record, from an offset on, that was written once the record of that index was durable; -1: there is none.
func after(in []byte, from int, index uint64) int {
	for at := from; at+recordHead <= len(in); at++ {
		i, synced := binary.BigEndian.Uint64(in[at+4:]), binary.BigEndian.Uint64(in[at+12:])
		if synced < index || i <= synced {
			continue
		}
		if _, _, ok := record(in[at:]); ok {
			return at
		}
	}
	return -1
}

// begin starts the segment that is written from now on. What the last one held is copied into it: its pages may be of a write
// that was never made durable, and its end may be torn.
func (l *Log) begin(records []Record) error {
	var last uint64
	if n := len(l.segments); n > 0 {
		last = l.segments[n-1]
	} else {
		last = l.next
	}
	var copied []byte
	for _, r := range records {
		if r.Index >= last {
			copied = appendRecord(copied, r.Index, 0, r.Data)
		}
	}
	if len(copied) == 0 {
		last = l.next // it holds nothing that the snapshot does not
	}
	if err := l.create(last, copied); err != nil {
		return err
	}
	l.synced = l.next - 1
	return nil
}

// create writes a segment's first bytes and brings it into use, all or nothing.
func (l *Log) create(first uint64, records []byte) error {
	name := fileName(first, segmentKind)
	f, err := l.fs.Create(name + newKind)
	if err != nil {
		return fmt.Errorf("wal: %w", err)
	}
	out := append(head(first), records...)
	_, err = f.Write(out)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.fs.Rename(name+newKind, name)
	}
	if err == nil {
		err = l.fs.Sync()
	}
	if err != nil {
		return fmt.Errorf("wal: %w", errors.Join(err, f.Close()))
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return fmt.Errorf("wal: %w", errors.Join(err, f.Close()))
		}
	}
	l.file, l.size = f, len(out)
	if !slices.Contains(l.segments, first) {
		l.segments = append(l.segments, first)
	}
	return nil
}

// clean takes away what the snapshot makes needless.
func (l *Log) clean(snapshots []uint64) error {
	for _, s := range snapshots {
		if s < l.snapshot {
			if err := l.fs.Remove(fileName(s, snapshotKind)); err != nil {
				return fmt.Errorf("wal: %w", err)
			}
		}
	}
	// Oldest first, so that a crash leaves no gap.
	for len(l.segments) > 1 && l.segments[1] <= l.snapshot+1 {
		if err := l.fs.Remove(fileName(l.segments[0], segmentKind)); err != nil {
			return fmt.Errorf("wal: %w", err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Append takes a record, which is durable after the next Sync, and returns its index. It keeps no hold on data.
func (l *Log) Append(data []byte) (uint64, error) {
	if l.broken != nil {
		return 0, l.broken
	}
	if len(data) > MaxRecordBytes {
		return 0, fmt.Errorf("%w: %d bytes are over %d", ErrTooLarge, len(data), MaxRecordBytes)
	}
	index := l.next
	l.buf = appendRecord(l.buf, index, l.synced, data)
	l.next++
	return index, nil
}

// Sync makes all that was appended durable. An error breaks the log: what was appended since the last Sync may be durable or
// not, and Sync is never tried again.
func (l *Log) Sync() error {
	if l.broken != nil {
		return l.broken
	}
	if len(l.buf) == 0 {
		return nil
	}
	if _, err := l.file.Write(l.buf); err != nil {
		return l.fail(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	l.size += len(l.buf)
	l.buf, l.synced = l.buf[:0], l.next-1
	if l.size >= l.opts.SegmentBytes {
		if err := l.create(l.next, nil); err != nil {
			return l.fail(err)
		}
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.broken = fmt.Errorf("%w: %w", ErrBroken, err)
	return l.broken
}

// Snapshot replaces all records up to the last synced one by state. An error breaks the log; the records before it stay.
func (l *Log) Snapshot(state []byte) error {
	switch {
	case l.broken != nil:
		return l.broken
	case len(l.buf) > 0:
		return errors.New("wal: a snapshot is of what is synced")
	case uint64(len(state)) > math.MaxInt32:
		return fmt.Errorf("%w: a snapshot of %d bytes", ErrTooLarge, len(state))
	case l.synced == l.snapshot:
		return nil
	}
	name := fileName(l.synced, snapshotKind)
	f, err := l.fs.Create(name + newKind)
	if err != nil {
		return l.fail(err)
	}
	out := binary.BigEndian.AppendUint64(head(l.synced), uint64(len(state)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(state, castag))
	_, err = f.Write(append(out, state...))
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = l.fs.Rename(name+newKind, name)
	}
	if err == nil {
		err = l.fs.Sync()
	}
	if err == nil && l.size > headSize { // so that all before it can go
		err = l.create(l.next, nil)
	}
	if err != nil {
		return l.fail(err)
	}
	before := l.snapshot
	if l.snapshot = l.synced; before == 0 {
		return l.cleaned(nil)
	}
	return l.cleaned([]uint64{before})
}

func (l *Log) cleaned(snapshots []uint64) error {
	if err := l.clean(snapshots); err != nil {
		return l.fail(err)
	}
	return nil
}

// Synced is the index of the last record that is durable.
func (l *Log) Synced() uint64 { return l.synced }

// Close ends the log. What was not synced may be lost.
func (l *Log) Close() error { return errors.Join(l.file.Close(), l.unlock()) }
