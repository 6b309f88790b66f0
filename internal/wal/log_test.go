package wal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// harness drives a log on a faulty disk, and tracks the content that the log must have.
type harness struct {
	t            *testing.T
	rng          *rand.Rand
	disk         *faultyDisk
	log          *Log
	appended     []string // records appended to the log, in order
	acknowledged int      // number of appended records that are durable
	trace        []string // steps taken, for messages of failed assertions
}

// open opens the log and checks that it contains a prefix of the appended records that includes all acknowledged ones.
func (h *harness) open() {
	h.t.Helper()
	var rec Recovery
	var err error
	h.log, rec, err = Open(h.disk, Options{SegmentBytes: 2000})
	if err != nil {
		for _, s := range h.trace {
			h.t.Log(s)
		}
		require.NoError(h.t, err)
	}
	n := 0
	if rec.Snapshot != nil {
		_, err := fmt.Sscanf(string(rec.Snapshot), "%d", &n)
		require.NoError(h.t, err)
		require.Equal(h.t, snapshotState(h.appended[:n]), string(rec.Snapshot))
	}
	for _, r := range rec.Records {
		require.Equal(h.t, uint64(n+1), r.Index, "%v", h.trace)
		require.Less(h.t, n, len(h.appended))
		require.Equal(h.t, h.appended[n], string(r.Data))
		n++
	}
	require.GreaterOrEqual(h.t, n, h.acknowledged, "acknowledged records are lost: %v", h.trace)
	h.appended, h.acknowledged = h.appended[:n], n
	require.Equal(h.t, uint64(n), h.log.Synced())
}

// snapshotState returns the content of a snapshot of the given records.
func snapshotState(all []string) string {
	s := fmt.Sprintf("%d", len(all))
	for _, a := range all {
		s += "\n" + a
	}
	return s
}

func (h *harness) recordStep(format string, args ...any) {
	h.trace = append(h.trace, fmt.Sprintf(format, args...))
}

// reopenAfterFailure checks that the log is broken, and reopens it in the same process or after a crash.
func (h *harness) reopenAfterFailure(err error) {
	require.ErrorIs(h.t, err, ErrBroken)
	_, err = h.log.Append([]byte("more"))
	require.ErrorIs(h.t, err, ErrBroken, "a broken log must reject further records")
	require.ErrorIs(h.t, h.log.Sync(), ErrBroken)
	if h.disk.bytesLeft, h.disk.syncsUntilFailure = -1, 0; h.rng.IntN(2) == 0 {
		h.recordStep("crash after a failed sync or snapshot")
		h.disk.crash()
	} else {
		h.recordStep("reopen after a failed sync or snapshot")
		require.NoError(h.t, h.log.Close())
	}
	h.open()
}

// Guards against the loss of synced records: after any sequence of crashes, torn writes, failed syncs, reopenings, full
// disks and snapshots, a log contains a prefix of the appended records that includes all synced ones.
func TestSyncedRecordsSurviveDiskFaults(t *testing.T) {
	crashes, failures, syncs := 0, 0, 0
	for seed := range uint64(600) {
		run := &harness{t: t, rng: rand.New(rand.NewPCG(seed, 1)), disk: newFaultyDisk(seed)}
		run.open()
		for range 120 {
			switch run.rng.IntN(12) {
			default:
				data := fmt.Sprintf("%d:%d:%s", seed, len(run.appended), string(make([]byte, run.rng.IntN(300))))
				i, err := run.log.Append([]byte(data))
				require.NoError(t, err)
				run.appended = append(run.appended, data)
				require.Equal(t, uint64(len(run.appended)), i)
				run.recordStep("append %d", i)
			case 5, 6, 7:
				run.recordStep("sync")
				if err := run.log.Sync(); err != nil {
					failures++
					run.reopenAfterFailure(err)
				} else {
					run.acknowledged = len(run.appended)
				}
			case 8:
				if err := run.log.Sync(); err != nil {
					failures++
					run.reopenAfterFailure(err)
					continue
				}
				run.acknowledged = len(run.appended)
				run.recordStep("snapshot at %d", run.acknowledged)
				if err := run.log.Snapshot([]byte(snapshotState(run.appended))); err != nil {
					failures++
					run.reopenAfterFailure(err)
				}
			case 9:
				run.recordStep("crash")
				crashes++
				run.disk.crash()
				run.open()
			case 10:
				run.disk.syncsUntilFailure = 1 + run.rng.IntN(4)
				run.recordStep("sync %d from now will fail", run.disk.syncsUntilFailure)
			case 11:
				if run.rng.IntN(3) == 0 {
					run.disk.bytesLeft = run.rng.IntN(1500)
					run.recordStep("disk is full after %d bytes", run.disk.bytesLeft)
				}
			}
		}
		syncs += run.disk.syncs
	}
	t.Logf("%d crashes, %d failures, %d syncs", crashes, failures, syncs)
	require.Greater(t, crashes, 1000)
	require.Greater(t, failures, 1000)
}

// Guards against a log that silently drops records: if a byte is damaged in a place where a crash cannot have damaged
// it, Open returns a CorruptError with the file and the offset of the damaged part.
func TestCorruptRecordIsReported(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(Dir(dir), Options{SegmentBytes: 1000})
	require.NoError(t, err)
	for i := range 44 {
		_, err := l.Append(fmt.Appendf(nil, "record %d, %s", i, make([]byte, 50)))
		require.NoError(t, err)
		require.NoError(t, l.Sync())
	}
	require.NoError(t, l.Close())
	names, err := filepath.Glob(dir + "/*.log")
	require.NoError(t, err)
	require.Greater(t, len(names), 2)
	for _, tc := range []struct {
		file   string
		offset int
	}{
		{names[0], headerBytes + 20},
		{names[0], 3},
		{names[1], headerBytes + recordHeaderBytes + 5},
		{names[len(names)-1], headerBytes + 2},
		{names[len(names)-1], 30},
	} {
		intact, err := os.ReadFile(tc.file)
		require.NoError(t, err)
		damaged := append([]byte(nil), intact...)
		damaged[tc.offset] ^= 4
		require.NoError(t, os.WriteFile(tc.file, damaged, 0o600))
		_, _, err = Open(Dir(dir), Options{})
		var corrupt *CorruptError
		require.True(t, errors.As(err, &corrupt), "%s at %d: %v", tc.file, tc.offset, err)
		require.Equal(t, filepath.Base(tc.file), corrupt.File)
		require.LessOrEqual(t, corrupt.Offset, int64(tc.offset))
		require.NoError(t, os.WriteFile(tc.file, intact, 0o600))
	}
	_, rec, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Len(t, rec.Records, 44)
}

// A second writer, a record that is too large and a missing segment give errors. A snapshot replaces the segments.
func TestErrorsAndSnapshot(t *testing.T) {
	dir := t.TempDir()
	log, _, err := Open(Dir(dir), Options{SegmentBytes: 100})
	require.NoError(t, err)
	_, _, err = Open(Dir(dir), Options{})
	require.ErrorIs(t, err, ErrLocked)
	_, err = log.Append(make([]byte, MaxRecordBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
	for range 3 {
		_, err = log.Append(make([]byte, 200))
		require.NoError(t, err)
		require.NoError(t, log.Sync())
	}
	require.NoError(t, log.Close())
	require.NoError(t, os.Rename(dir+"/"+fileName(2, segmentSuffix), dir+"/kept"))
	_, _, err = Open(Dir(dir), Options{})
	require.ErrorContains(t, err, "2 is missing")
	require.NoError(t, os.Rename(dir+"/kept", dir+"/"+fileName(2, segmentSuffix)))
	log, rec, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Len(t, rec.Records, 3)
	require.NoError(t, log.Snapshot([]byte("three")))
	require.NoError(t, log.Close())
	log, rec, err = Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Equal(t, "three", string(rec.Snapshot))
	require.Empty(t, rec.Records)
	names, err := Dir(dir).List()
	require.NoError(t, err)
	want := []string{fileName(3, snapshotSuffix), fileName(4, segmentSuffix), lockName}
	require.Equal(t, want, names, "segments that the snapshot replaces must be removed")
	require.NoError(t, log.Close())
}

func FuzzSegment(f *testing.F) {
	f.Add(append(encodeHeader(1), appendRecord(nil, 1, 0, []byte("a"))...))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := newFaultyDisk(1)
		d.files[fileName(1, segmentSuffix)] = &inode{data: in}
		l, rec, err := Open(d, Options{})
		if err == nil {
			require.Equal(t, uint64(len(rec.Records)), l.Synced())
		}
	})
}
