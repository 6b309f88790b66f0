package fakes

import (
	"cmp"
	"errors"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/store"
	"pewterline/internal/testbed/simnet"
)

// ErrStore is the error of a write during an injected failure.
var ErrStore = errors.New("fakes: the store failed")

// writeDuration is the duration of a write.
const writeDuration = 2 * microtime.Millisecond

// Store is a store of record on the simulated clock. Its records outlive the servers that use it.
type Store struct {
	clock     *simnet.Clock
	records   []store.Record
	idleAt    microtime.Time // when the last queued write completes
	slowBy    microtime.Time // added to each write
	slowUntil microtime.Time
	failUntil microtime.Time
}

// NewStore returns an empty store.
func NewStore(clock *simnet.Clock) *Store { return &Store{clock: clock} }

// Slow adds a duration to each write until a time.
func (s *Store) Slow(by, until microtime.Time) {
	s.slowBy = by
	s.slowUntil = until
}

// Fail makes writes fail until a time. They are stored all the same while the number of records is even, as when only
// the store's answer is lost.
func (s *Store) Fail(until microtime.Time) { s.failUntil = until }

// IdleAt returns when the last queued write completes.
func (s *Store) IdleAt() microtime.Time { return s.idleAt }

// Load implements server.Records: it returns the records since a time by the caller's clock, sorted by that clock. An
// intent is left out once its result is recorded.
func (s *Store) Load(sinceMilli int64) ([]store.Record, error) {
	var loaded []store.Record
	for _, record := range s.records {
		if record.ArrivedAtMilli >= sinceMilli && !s.settled(record) {
			loaded = append(loaded, record)
		}
	}
	slices.SortStableFunc(loaded, func(a, b store.Record) int { return cmp.Compare(a.ArrivedAtMilli, b.ArrivedAtMilli) })
	return loaded, nil
}

// settled reports whether a record is an intent whose result is recorded.
func (s *Store) settled(intent store.Record) bool {
	return intent.Intent && slices.ContainsFunc(s.records, func(other store.Record) bool {
		return !other.Intent && sameKey(intent, other) && other.ArrivedAtMilli >= intent.ArrivedAtMilli
	})
}

// Record implements server.Records: it writes a record after the earlier ones.
func (s *Store) Record(record store.Record, done func(error)) {
	now := s.clock.Now()
	duration := writeDuration
	if now < s.slowUntil {
		duration += s.slowBy
	}
	s.idleAt = max(s.idleAt, now) + duration
	record.Result = slices.Clone(record.Result)
	s.clock.At(s.idleAt, func() {
		failing := s.clock.Now() < s.failUntil
		if !failing || len(s.records)%2 == 0 {
			s.put(record)
		}
		if failing {
			done(ErrStore)
			return
		}
		done(nil)
	})
}

// put adds a record, or replaces the one of the same kind and idempotency key.
func (s *Store) put(record store.Record) {
	index := slices.IndexFunc(s.records, func(other store.Record) bool {
		return other.Intent == record.Intent && sameKey(other, record)
	})
	if index < 0 {
		s.records = append(s.records, record)
		return
	}
	s.records[index] = record
}

// sameKey reports whether two records have the same class, tenant and idempotency key.
func sameKey(a, b store.Record) bool {
	return a.Class == b.Class && a.Tenant == b.Tenant && a.IdempotencyKey == b.IdempotencyKey
}
