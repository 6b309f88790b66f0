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

// harness drives a log on a disk that fails, beside what it should hold.
type harness struct {
	t            *testing.T
	rng          *rand.Rand
	disk         *faultyDisk
	log          *Log
	appended     []string // appended, in order
	acknowledged int      // of them, durable
	journal      []string
}

func (b *harness) open() {
	b.t.Helper()
	var rec Recovery
	var err error
	b.log, rec, err = Open(b.disk, Options{SegmentBytes: 2000})
	if err != nil {
		for _, s := range b.journal {
			b.t.Log(s)
		}
		require.NoError(b.t, err)
	}
	n := 0
	if rec.Snapshot != nil {
		_, err := fmt.Sscanf(string(rec.Snapshot), "%d", &n)
		require.NoError(b.t, err)
		require.Equal(b.t, state(b.appended[:n]), string(rec.Snapshot))
	}
	for _, r := range rec.Records {
		require.Equal(b.t, uint64(n+1), r.Index, "%v", b.journal)
		require.Less(b.t, n, len(b.appended))
		require.Equal(b.t, b.appended[n], string(r.Data))
		n++
	}
	require.GreaterOrEqual(b.t, n, b.acknowledged, "what was acknowledged is lost: %v", b.journal)
	b.appended, b.acknowledged = b.appended[:n], n
	require.Equal(b.t, uint64(n), b.log.Synced())
}

func state(all []string) string {
	s := fmt.Sprintf("%d", len(all))
	for _, a := range all {
		s += "\n" + a
	}
	return s
}

func (b *harness) record(format string, args ...any) {
	b.journal = append(b.journal, fmt.Sprintf(format, args...))
}

// failed opens the log anew after a failure, in the same process or after a crash.
func (b *harness) failed(err error) {
	require.ErrorIs(b.t, err, ErrBroken)
	_, err = b.log.Append([]byte("more"))
	require.ErrorIs(b.t, err, ErrBroken, "it goes on as if nothing had happened")
	require.ErrorIs(b.t, b.log.Sync(), ErrBroken)
	if b.disk.bytesLeft, b.disk.failingSync = -1, 0; b.rng.IntN(2) == 0 {
		b.record("crash after the failure")
		b.disk.crash()
	} else {
		b.record("reopened after the failure")
		require.NoError(b.t, b.log.Close())
	}
	b.open()
}

// Guards what was acknowledged: through crashes at any moment, torn writes, failed syncs, reopened or not, a full
// disk and snapshots, a log holds a prefix of what was appended, and all of it that was synced.
func TestWhateverTheDiskDoes(t *testing.T) {
	crashes, failures, cut := 0, 0, 0
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
				run.record("append %d", i)
			case 5, 6, 7:
				run.record("sync")
				if err := run.log.Sync(); err != nil {
					failures++
					run.failed(err)
				} else {
					run.acknowledged = len(run.appended)
				}
			case 8:
				if err := run.log.Sync(); err != nil {
					failures++
					run.failed(err)
					continue
				}
				run.acknowledged = len(run.appended)
				run.record("snapshot at %d", run.acknowledged)
				if err := run.log.Snapshot([]byte(state(run.appended))); err != nil {
					failures++
					run.failed(err)
				}
			case 9:
				run.record("crash")
				crashes++
				run.disk.crash()
				run.open()
			case 10:
				run.disk.failingSync = 1 + run.rng.IntN(4)
				run.record("sync %d from now fails", run.disk.failingSync)
			case 11:
				if run.rng.IntN(3) == 0 {
					run.disk.bytesLeft = run.rng.IntN(1500)
					run.record("room for %d", run.disk.bytesLeft)
				}
			}
		}
		cut += run.disk.syncs
	}
	t.Logf("%d crashes, %d failures, %d syncs", crashes, failures, cut)
	require.Greater(t, crashes, 1000)
	require.Greater(t, failures, 1000)
}

// Guards against a spoilt byte where no crash can have spoilt it: it is refused with the file and the offset, and
// nothing is left out in silence.
func TestSpoiltMiddleIsRefused(t *testing.T) {
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
		sound, err := os.ReadFile(tc.file)
		require.NoError(t, err)
		spoilt := append([]byte(nil), sound...)
		spoilt[tc.offset] ^= 4
		require.NoError(t, os.WriteFile(tc.file, spoilt, 0o600))
		_, _, err = Open(Dir(dir), Options{})
		var corrupt *CorruptError
		require.True(t, errors.As(err, &corrupt), "%s at %d: %v", tc.file, tc.offset, err)
		require.Equal(t, filepath.Base(tc.file), corrupt.File)
		require.LessOrEqual(t, corrupt.Offset, int64(tc.offset))
		require.NoError(t, os.WriteFile(tc.file, sound, 0o600))
	}
	_, rec, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Len(t, rec.Records, 44)
}

// One writer alone; a missing segment, another version and a record too large are errors that say so.
func TestRefused(t *testing.T) {
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
	require.Equal(t, want, names, "what the snapshot holds is gone")
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
