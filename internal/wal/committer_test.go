package wal

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// The records of concurrent callers share syncs. Each is durable under the index that its caller gets.
func TestCommitter(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	committer := NewCommitter(l, CommitOptions{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	acknowledged := map[uint64]string{}
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range 50 {
				data, done := fmt.Sprintf("%d/%d", i, j), make(chan error)
				committer.Submit([]byte(data), func(index uint64, err error) {
					mu.Lock()
					acknowledged[index] = data
					mu.Unlock()
					done <- err
				})
				if err := <-done; err != nil {
					t.Error(err)
				}
			}
		}()
	}
	wg.Wait()
	checked := make(chan error)
	committer.Do(func(l *Log) error {
		if l.Synced() != 400 {
			return fmt.Errorf("%d records are durable, expected 400", l.Synced())
		}
		return nil
	}, func(err error) { checked <- err })
	require.NoError(t, <-checked)
	require.NoError(t, committer.Close())
	committer.Submit(nil, func(_ uint64, err error) { require.ErrorIs(t, err, ErrClosed) })
	_, rec, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Len(t, rec.Records, 400)
	for _, r := range rec.Records {
		require.Equal(t, acknowledged[r.Index], string(r.Data))
	}
}

// Guards against the acknowledgement of a record after its own sync or an earlier one has failed, and against an
// unbounded queue.
func TestCommitterAfterAFailedSync(t *testing.T) {
	disk := newFaultyDisk(3)
	l, _, err := Open(disk, Options{})
	require.NoError(t, err)
	committer := NewCommitter(l, CommitOptions{QueueSize: 2, MaxBatch: 1})
	submit := func(data string) error {
		done := make(chan error, 1)
		committer.Submit([]byte(data), func(_ uint64, err error) { done <- err })
		return <-done
	}
	require.NoError(t, submit("one"))
	disk.syncsUntilFailure = 1
	require.ErrorIs(t, submit("two"), ErrBroken)
	require.ErrorIs(t, submit("three"), ErrBroken)
	release, blocked := make(chan struct{}), make(chan struct{})
	committer.Do(func(*Log) error { return nil }, func(error) { close(blocked); <-release })
	<-blocked
	full := 0
	for range 5 {
		committer.Submit([]byte("x"), func(_ uint64, err error) {
			if errors.Is(err, ErrQueueFull) {
				full++
			}
		})
	}
	require.Equal(t, 3, full)
	close(release)
	require.NoError(t, committer.Close())
	disk.crash()
	_, rec, err := Open(disk, Options{})
	require.NoError(t, err)
	require.Equal(t, "one", string(rec.Records[0].Data))
	require.LessOrEqual(t, len(rec.Records), 2, "records after the failed sync must not be written")
}

// BenchmarkCommitter makes records of 600 bytes, the size of the record of an intake, durable for 64 concurrent callers
// per processor.
func BenchmarkCommitter(b *testing.B) {
	l, _, err := Open(Dir(b.TempDir()), Options{})
	require.NoError(b, err)
	committer := NewCommitter(l, CommitOptions{})
	data := make([]byte, 600)
	b.ReportAllocs()
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		done := make(chan error, 1)
		for pb.Next() {
			committer.Submit(data, func(_ uint64, err error) { done <- err })
			if err := <-done; err != nil {
				b.Error(err)
			}
		}
	})
	require.NoError(b, committer.Close())
}
