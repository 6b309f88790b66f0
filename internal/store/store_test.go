package store

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const patience = time.Minute // bounds a test that hangs; no verdict depends on it

// open opens the store of a server, with all the patience of a test.
func open(t *testing.T, driver, dsn, server string) *Store {
	t.Helper()
	opened, err := Open(Config{Driver: driver, DSN: dsn, Server: server, Timeout: patience})
	require.NoError(t, err)
	return opened
}

// record writes a record, and waits until it is written.
func record(t *testing.T, s *Store, r Record) error {
	t.Helper()
	done := make(chan error, 1)
	s.Record(r, func(err error) { done <- err })
	return <-done
}

func result(key string, at int64, content string) Record {
	return Record{Class: "lot-intake", Tenant: "hill-estate", IdempotencyKey: key, ArrivedAtMilli: at,
		Result: []byte(content)}
}

func intent(key string, at int64) Record {
	return Record{Class: "lot-intake", Tenant: "hill-estate", IdempotencyKey: key, ArrivedAtMilli: at, Intent: true}
}

// roundTrip writes, reopens and reads: what a server that has died and come back does.
func roundTrip(t *testing.T, driver, dsn string) {
	t.Helper()
	first := result("k1", 5000, "\x00first'\xff")
	again := result("k0", 6000, "")
	third := result("k3", 5100, "three")
	unsettled := intent("k2", 5500)
	younger := intent("k3", 7000) // its key's older result does not settle it
	unneeded := intent("k4", 5600)

	store := open(t, driver, dsn, "n0")
	for _, written := range []Record{
		result("k0", 1000, "old"), intent("k1", 5000), first, intent("k0", 6000), again, unsettled, third, younger,
		unneeded, unneeded.Cancelled(),
	} {
		require.NoError(t, record(t, store, written))
	}
	require.NoError(t, store.Close())
	require.ErrorIs(t, record(t, store, first), ErrClosed)

	store = open(t, driver, dsn, "n0")
	got, err := store.Load(5000)
	require.NoError(t, err)
	require.Equal(t, []Record{first, third, unsettled, again, younger}, got, "the newest of a key, and none from before")
	require.NoError(t, store.Close())

	store = open(t, driver, dsn, "n1")
	got, err = store.Load(0)
	require.NoError(t, err)
	require.Empty(t, got, "another server's")
	require.NoError(t, store.Close())
}

func TestSQLite(t *testing.T) { roundTrip(t, SQLite, filepath.Join(t.TempDir(), "intakes.db")) }

func TestPostgres(t *testing.T) {
	fake := newFakePostgres(t)
	roundTrip(t, Postgres, fake.dsn())
	require.Positive(t, fake.commits)
}

// Guards the promise that an answer means a durable record: when the database fails at the commit, or is gone,
// the error comes back, and it comes back within the bound.
func TestFailures(t *testing.T) {
	fake := newFakePostgres(t)
	store := open(t, Postgres, fake.dsn(), "n0")
	written := result("k1", 5000, "x")
	fake.set("COMMIT", "fail")
	require.ErrorContains(t, record(t, store, written), "disk full")
	fake.set("COMMIT", "")
	require.NoError(t, record(t, store, written))
	require.NoError(t, store.Close())

	store = open(t, Postgres, fake.dsn(), "n0")
	store.config.Timeout = 50 * time.Millisecond // from here on nothing is waited for that could come
	fake.set("BEGIN", "hang")
	require.Error(t, record(t, store, written), "a database that does not answer")
	_ = store.Close() // its connection is broken

	_, err := Open(Config{Driver: "oracle", Server: "n0", Timeout: patience})
	require.ErrorContains(t, err, "oracle")
	file := filepath.Join(t.TempDir(), "no", "such", "folder")
	_, err = Open(Config{Driver: SQLite, DSN: file, Server: "n0", Timeout: patience})
	require.Error(t, err)
}

// Guards memory against a database that does not answer: no more than a queue's length waits, and the rest is
// refused.
func TestQueueIsBounded(t *testing.T) {
	store := &Store{queue: make(chan submission, queueSize), closing: make(chan struct{})} // nobody writes
	const surplus = 10
	refused := make(chan error, queueSize+surplus)
	for range cap(refused) {
		store.Record(result("k", 1, ""), func(err error) { refused <- err })
	}
	for range surplus {
		require.ErrorIs(t, <-refused, ErrQueueFull)
	}
	require.Len(t, store.queue, queueSize)
}
