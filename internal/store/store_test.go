package store

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testTimeout = time.Minute // ends a test that hangs; no check depends on it

// open opens the store of a server with testTimeout.
func open(t *testing.T, driver, dsn, server string) *Store {
	t.Helper()
	opened, err := Open(Config{Driver: driver, DSN: dsn, Server: server, Timeout: testTimeout})
	require.NoError(t, err)
	return opened
}

// record queues a record and returns the error of its write.
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

// roundTrip writes records, reopens the database and reads them, as a server does that crashes and restarts.
func roundTrip(t *testing.T, driver, dsn string) {
	t.Helper()
	first := result("k1", 5000, "\x00first'\xff")
	again := result("k0", 6000, "")
	third := result("k3", 5100, "three")
	pendingIntent := intent("k2", 5500)
	newerIntent := intent("k3", 7000) // its key has only an older result
	notRun := intent("k4", 5600)

	store := open(t, driver, dsn, "n0")
	for _, written := range []Record{
		result("k0", 1000, "old"), intent("k1", 5000), first, intent("k0", 6000), again, pendingIntent, third, newerIntent,
		notRun, notRun.Cancelled(),
	} {
		require.NoError(t, record(t, store, written))
	}
	require.NoError(t, store.Close())
	require.ErrorIs(t, record(t, store, first), ErrClosed)

	store = open(t, driver, dsn, "n0")
	got, err := store.Load(5000)
	require.NoError(t, err)
	require.Equal(t, []Record{first, third, pendingIntent, again, newerIntent}, got, "records since the given time")
	require.NoError(t, store.Close())

	store = open(t, driver, dsn, "n1")
	got, err = store.Load(0)
	require.NoError(t, err)
	require.Empty(t, got, "records of another server")
	require.NoError(t, store.Close())
}

func TestSQLite(t *testing.T) { roundTrip(t, SQLite, filepath.Join(t.TempDir(), "intakes.db")) }

func TestPostgres(t *testing.T) {
	fake := newFakePostgres(t)
	roundTrip(t, Postgres, fake.dsn())
	require.Positive(t, fake.commits)
}

// Guards against a record that is reported as durable and is not: if the commit fails or the database does not answer,
// the store reports an error, within its timeout.
func TestFailures(t *testing.T) {
	fake := newFakePostgres(t)
	store := open(t, Postgres, fake.dsn(), "n0")
	written := result("k1", 5000, "x")
	fake.setFault("COMMIT", "fail")
	require.ErrorContains(t, record(t, store, written), "disk full")
	fake.setFault("COMMIT", "")
	require.NoError(t, record(t, store, written))
	require.NoError(t, store.Close())

	store = open(t, Postgres, fake.dsn(), "n0")
	store.config.Timeout = 50 * time.Millisecond // short, as no answer can arrive from here on
	fake.setFault("BEGIN", "hang")
	require.Error(t, record(t, store, written), "the database does not answer")
	_ = store.Close() // its connection is broken

	_, err := Open(Config{Driver: "oracle", Server: "n0", Timeout: testTimeout})
	require.ErrorContains(t, err, "oracle")
	file := filepath.Join(t.TempDir(), "no", "such", "folder")
	_, err = Open(Config{Driver: SQLite, DSN: file, Server: "n0", Timeout: testTimeout})
	require.Error(t, err)
}

// Guards against unbounded memory use while the database does not answer: at most queueSize records wait, and further
// records are rejected.
func TestQueueIsBounded(t *testing.T) {
	store := &Store{queue: make(chan submission, queueSize), closing: make(chan struct{})} // without a writer
	const surplus = 10
	rejected := make(chan error, queueSize+surplus)
	for range cap(rejected) {
		store.Record(result("k", 1, ""), func(err error) { rejected <- err })
	}
	for range surplus {
		require.ErrorIs(t, <-rejected, ErrQueueFull)
	}
	require.Len(t, store.queue, queueSize)
}
