package fakes

import (
	"cmp"
	"errors"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/store"
	"pewterline/internal/testbed/simnet"
)

// ErrStore is what a failing store says.
var ErrStore = errors.New("fakes: the store failed")

// writeTime is what a write takes.
const writeTime = 2 * microtime.Millisecond

// Store is a store of record on the simulated clock. It outlives the servers that use it.
type Store struct {
	world     *simnet.World
	records   []store.Record
	idleAt    microtime.Time // when it has written all before
	slowBy    microtime.Time // added to each write
	slowUntil microtime.Time
	failUntil microtime.Time
}

// NewStore returns an empty store.
func NewStore(world *simnet.World) *Store { return &Store{world: world} }

// Slow has each write take longer until a time.
func (s *Store) Slow(by, until microtime.Time) {
	s.slowBy = by
	s.slowUntil = until
}

// Fail has writes fail until a time. Every other one is on record all the same, as where the answer is lost.
func (s *Store) Fail(until microtime.Time) { s.failUntil = until }

// Load lists the records since a time by the caller's clock, in its order; an intent is left out once its result is
// on record. It is part of server.Records.
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

// settled reports whether a record is an intent whose result is on record.
func (s *Store) settled(intent store.Record) bool {
	return intent.Intent && slices.ContainsFunc(s.records, func(other store.Record) bool {
		return !other.Intent && sameKey(intent, other) && other.ArrivedAtMilli >= intent.ArrivedAtMilli
	})
}

// Record writes a record, after those before it. It is part of server.Records.
func (s *Store) Record(record store.Record, done func(error)) {
	now := s.world.Now()
	took := writeTime
	if now < s.slowUntil {
		took += s.slowBy
	}
	s.idleAt = max(s.idleAt, now) + took
	record.Result = slices.Clone(record.Result)
	s.world.At(s.idleAt, func() {
		failing := s.world.Now() < s.failUntil
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

// put enters a record in place of the one of its kind under the same key.
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

// sameKey reports whether two records are under the same idempotency key.
func sameKey(a, b store.Record) bool {
	return a.Class == b.Class && a.Tenant == b.Tenant && a.IdempotencyKey == b.IdempotencyKey
}
