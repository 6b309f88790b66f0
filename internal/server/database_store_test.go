package server

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/store"
)

// fakeRecords is a database whose writes end when the test says so.
type fakeRecords struct{ writes []fakeWrite }

// fakeWrite is a write that has not ended.
type fakeWrite struct {
	record store.Record
	done   func(error)
}

func (r *fakeRecords) Load(int64) ([]store.Record, error) { return nil, nil }

func (r *fakeRecords) Record(record store.Record, done func(error)) {
	r.writes = append(r.writes, fakeWrite{record, done})
}

// end ends the oldest write.
func (r *fakeRecords) end(err error) store.Record {
	write := r.writes[0]
	r.writes = r.writes[1:]
	write.done(err)
	return write.record
}

// newStoreFixture returns a server that records executions in a database.
func newStoreFixture(t *testing.T) (*poolFixture, *fakeRecords) {
	t.Helper()
	fixture, records := newPoolFixture(t), &fakeRecords{}
	require.NoError(t, fixture.srv.UseStore(records, fixture.now))
	return fixture, records
}

var errSlow = errors.New("the database is too slow")

// Guards against a run that never starts and never ends, after which the server reports that it hangs and refuses all
// requests: an attempt arrives while the intent of the previous one is being cancelled, and the cancellation fails.
func TestAttemptWhileIntentIsCancelledRuns(t *testing.T) {
	for _, cancelled := range []error{nil, errSlow} {
		fixture, records := newStoreFixture(t)
		fixture.submit("00000000000000a1", "lot-intake", "k")
		records.end(errSlow) // The intent of a1 is not recorded.
		fixture.turn()
		require.Equal(t, thrift.ReplyThrottled, fixture.replyKinds()[1])

		fixture.now += microtime.Second
		fixture.submit("00000000000000a2", "lot-intake", "k")
		require.Len(t, records.writes, 2)
		require.Zero(t, records.end(cancelled).ArrivedAtMilli, "the first write is the cancellation")
		require.Positive(t, records.end(nil).ArrivedAtMilli, "the second write is the intent of a2")
		fixture.turn()
		require.Contains(t, string(fixture.pool.out), "spawn 00000000000000a2", "cancellation: %v", cancelled)
		fixture.poolSends(finishedNotice(1, "00000000000000a2", "lot"))
		records.end(nil)
		fixture.turn()
		require.Equal(t, thrift.ReplyAnswer, fixture.replyKinds()[2])
		require.Empty(t, records.writes)
	}
}

// Guards against a record of an intent that is cancelled after it was written: if an attempt waits when the intent of
// another one is refused, it runs in its place, and its intent is written after the cancellation.
func TestWaitingAttemptRunsAfterRefusedIntent(t *testing.T) {
	fixture, records := newStoreFixture(t)
	fixture.submit("00000000000000a1", "lot-intake", "k")
	fixture.submit("00000000000000a2", "lot-intake", "k")
	require.Len(t, records.writes, 1)
	records.end(errSlow)
	fixture.turn()
	require.Len(t, records.writes, 2)
	require.Zero(t, records.end(nil).ArrivedAtMilli, "the cancellation comes first")
	require.Positive(t, records.end(nil).ArrivedAtMilli, "then the intent of the waiting attempt")
	fixture.turn()
	require.Contains(t, string(fixture.pool.out), "spawn 00000000000000a2")
	fixture.poolSends(finishedNotice(1, "00000000000000a2", "lot"))
	records.end(nil)
	fixture.turn()
	require.Equal(t, thrift.ReplyAnswer, fixture.replyKinds()[2])
}
