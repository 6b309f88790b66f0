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

// bench drives a log on a disk that fails, beside what it should hold.
type bench struct {
	t     *testing.T
	rng   *rand.Rand
	disk  *disk
	log   *Log
	all   []string // appended, in order
	acked int      // of them, durable
	say   []string
}

func (b *bench) open() {
	b.t.Helper()
	var rec Recovery
	var err error
	b.log, rec, err = Open(b.disk, Options{SegmentBytes: 2000})
	if err != nil {
		for _, s := range b.say {
			b.t.Log(s)
		}
		require.NoError(b.t, err)
	}
	n := 0
	if rec.Snapshot != nil {
		_, err := fmt.Sscanf(string(rec.Snapshot), "%d", &n)
		require.NoError(b.t, err)
		require.Equal(b.t, state(b.all[:n]), string(rec.Snapshot))
	}
	for _, r := range rec.Records {
		require.Equal(b.t, uint64(n+1), r.Index, "%v", b.say)
		require.Less(b.t, n, len(b.all))
		require.Equal(b.t, b.all[n], string(r.Data))
		n++
	}
	require.GreaterOrEqual(b.t, n, b.acked, "what was acknowledged is lost: %v", b.say)
	b.all, b.acked = b.all[:n], n
	require.Equal(b.t, uint64(n), b.log.Synced())
}

func state(all []string) string {
	s := fmt.Sprintf("%d", len(all))
	for _, a := range all {
		s += "\n" + a
	}
	return s
}

func (b *bench) note(format string, args ...any) { b.say = append(b.say, fmt.Sprintf(format, args...)) }

// failed opens the log anew after a failure, in the same process or after a crash.
func (b *bench) failed(err error) {
	require.ErrorIs(b.t, err, ErrBroken)
	_, err = b.log.Append([]byte("more"))
	require.ErrorIs(b.t, err, ErrBroken, "it goes on as if nothing had happened")
	require.ErrorIs(b.t, b.log.Sync(), ErrBroken)
	if b.disk.room, b.disk.failing = -1, 0; b.rng.IntN(2) == 0 {
		b.note("crash after the failure")
		b.disk.crash()
	} else {
		b.note("reopened after the failure")
		require.NoError(b.t, b.log.Close())
	}
	b.open()
}

// Guards what was acknowledged: through crashes at any moment, torn writes, failed syncs, reopened or not, a full disk and
// snapshots, a log holds a prefix of what was appended, and all of it that was synced.
func TestWhateverTheDiskDoes(t *testing.T) {
	crashes, failures, cut := 0, 0, 0
	for seed := range uint64(600) {
		b := &bench{t: t, rng: rand.New(rand.NewPCG(seed, 1)), disk: newDisk(seed)}
		b.open()
		for range 120 {
			switch b.rng.IntN(12) {
			default:
				data := fmt.Sprintf("%d:%d:%s", seed, len(b.all), string(make([]byte, b.rng.IntN(300))))
				i, err := b.log.Append([]byte(data))
				require.NoError(t, err)
				b.all = append(b.all, data)
				require.Equal(t, uint64(len(b.all)), i)
				b.note("append %d", i)
			case 5, 6, 7:
				b.note("sync")
				if err := b.log.Sync(); err != nil {
					failures++
					b.failed(err)
				} else {
					b.acked = len(b.all)
				}
			case 8:
				if err := b.log.Sync(); err != nil {
					failures++
					b.failed(err)
					continue
				}
				b.acked = len(b.all)
				b.note("snapshot at %d", b.acked)
				if err := b.log.Snapshot([]byte(state(b.all))); err != nil {
					failures++
					b.failed(err)
				}
			case 9:
				b.note("crash")
				crashes++
				b.disk.crash()
				b.open()
			case 10:
				b.disk.failing = 1 + b.rng.IntN(4)
				b.note("sync %d from now fails", b.disk.failing)
			case 11:
				if b.rng.IntN(3) == 0 {
					b.disk.room = b.rng.IntN(1500)
					b.note("room for %d", b.disk.room)
				}
			}
		}
		cut += b.disk.syncs
	}
	t.Logf("%d crashes, %d failures, %d syncs", crashes, failures, cut)
	require.Greater(t, crashes, 1000)
	require.Greater(t, failures, 1000)
}

// Guards against a spoilt byte where no crash can have spoilt it: it is refused with the file and the offset, and nothing is
// left out in silence.
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
	for _, c := range []struct {
		file   string
		offset int
	}{{names[0], headSize + 20}, {names[0], 3}, {names[1], headSize + recordHead + 5}, {names[len(names)-1], headSize + 2}, {names[len(names)-1], 30}} {
		sound, err := os.ReadFile(c.file)
		require.NoError(t, err)
		spoilt := append([]byte(nil), sound...)
		spoilt[c.offset] ^= 4
		require.NoError(t, os.WriteFile(c.file, spoilt, 0o600))
		_, _, err = Open(Dir(dir), Options{})
		var corrupt *CorruptError
		require.True(t, errors.As(err, &corrupt), "%s at %d: %v", c.file, c.offset, err)
		require.Equal(t, filepath.Base(c.file), corrupt.File)
		require.LessOrEqual(t, corrupt.Offset, int64(c.offset))
		require.NoError(t, os.WriteFile(c.file, sound, 0o600))
	}
	_, rec, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Len(t, rec.Records, 44)
}

// One writer alone; a missing segment, another version and a record too large are errors that say so.
func TestRefused(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(Dir(dir), Options{SegmentBytes: 100})
	require.NoError(t, err)
	_, _, err = Open(Dir(dir), Options{})
	require.ErrorIs(t, err, ErrLocked)
	_, err = l.Append(make([]byte, MaxRecordBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
	for range 3 {
		_, err = l.Append(make([]byte, 200))
		require.NoError(t, err)
		require.NoError(t, l.Sync())
	}
	require.NoError(t, l.Close())
	require.NoError(t, os.Rename(dir+"/"+fileName(2, segmentKind), dir+"/kept"))
	_, _, err = Open(Dir(dir), Options{})
	require.ErrorContains(t, err, "2 is missing")
	require.NoError(t, os.Rename(dir+"/kept", dir+"/"+fileName(2, segmentKind)))
	l, rec, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Len(t, rec.Records, 3)
	require.NoError(t, l.Snapshot([]byte("three")))
	require.NoError(t, l.Close())
	l, rec, err = Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Equal(t, "three", string(rec.Snapshot))
	require.Empty(t, rec.Records)
	names, err := Dir(dir).List()
	require.NoError(t, err)
	require.Equal(t, []string{fileName(3, snapshotKind), fileName(4, segmentKind), lockName}, names, "what the snapshot holds is gone")
	require.NoError(t, l.Close())
}

func FuzzSegment(f *testing.F) {
	f.Add(append(head(1), appendRecord(nil, 1, 0, []byte("a"))...))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := newDisk(1)
		d.names[fileName(1, segmentKind)] = &inode{data: in}
		l, rec, err := Open(d, Options{})
		if err == nil {
			require.Equal(t, uint64(len(rec.Records)), l.Synced())
		}
	})
}
