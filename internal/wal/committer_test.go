package wal

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Many callers share syncs; each record is durable, in one order, when its caller is told.
func TestCommitter(t *testing.T) {
	dir := t.TempDir()
	l, _, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	committer := NewCommitter(l, CommitOptions{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	told := map[uint64]string{}
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range 50 {
				data, done := fmt.Sprintf("%d/%d", i, j), make(chan error)
				committer.Submit([]byte(data), func(index uint64, err error) {
					mu.Lock()
					told[index] = data
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
	snap := make(chan error)
	committer.Do(func(l *Log) error {
		if l.Synced() != 400 {
			return fmt.Errorf("%d are durable", l.Synced())
		}
		return nil
	}, func(err error) { snap <- err })
	require.NoError(t, <-snap)
	require.NoError(t, committer.Close())
	committer.Submit(nil, func(_ uint64, err error) { require.ErrorIs(t, err, ErrClosed) })
	_, rec, err := Open(Dir(dir), Options{})
	require.NoError(t, err)
	require.Len(t, rec.Records, 400)
	for _, r := range rec.Records {
		require.Equal(t, told[r.Index], string(r.Data))
	}
}

// Guards against a caller told that its record is durable after a sync has failed, that one's or an earlier one's;
// and against a queue without a bound.
func TestCommitterOnABadDisk(t *testing.T) {
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
	disk.failingSync = 1
	require.ErrorIs(t, submit("two"), ErrBroken)
	require.ErrorIs(t, submit("three"), ErrBroken)
	hold, held := make(chan struct{}), make(chan struct{})
	committer.Do(func(*Log) error { return nil }, func(error) { close(held); <-hold })
	<-held
	full := 0
	for range 5 {
		committer.Submit([]byte("x"), func(_ uint64, err error) {
			if errors.Is(err, ErrQueueFull) {
				full++
			}
		})
	}
	require.Equal(t, 3, full)
	close(hold)
	require.NoError(t, committer.Close())
	disk.crash()
	_, rec, err := Open(disk, Options{})
	require.NoError(t, err)
	require.Equal(t, "one", string(rec.Records[0].Data))
	require.LessOrEqual(t, len(rec.Records), 2, "what came after the failure was never written")
}

// BenchmarkIntake is an intake's record of 600 bytes made durable, by 64 callers at once.
func BenchmarkIntake(b *testing.B) {
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
