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
var ErrStore = errors.New("standin: the store failed")

// Store is a store of record on the virtual clock. It outlives the servers that use it.
type Store struct {
	w     *simnet.World
	rows  []store.Record
	free  microtime.Time // when it has written all before
	slow  microtime.Time // added to each write
	until microtime.Time // of its being slow
	fails microtime.Time // until then
}

// NewStore returns an empty one.
func NewStore(w *simnet.World) *Store { return &Store{w: w} }

// Slow has each write take longer until a time; Fail has writes fail until one.
func (s *Store) Slow(by, until microtime.Time) { s.slow, s.until = by, until }

// Fail has writes fail until a time. Every other one is on record all the same, as where the answer is lost.
func (s *Store) Fail(until microtime.Time) { s.fails = until }

// Load is part of edge.Records.
func (s *Store) Load(sinceMilli int64) ([]store.Record, error) {
	var out []store.Record
	for _, r := range s.rows {
		settled := r.Intent && slices.ContainsFunc(s.rows, func(o store.Record) bool {
			return !o.Intent && o.Class == r.Class && o.Tenant == r.Tenant && o.IdempotencyKey == r.IdempotencyKey && o.ArrivedAtMilli >= r.ArrivedAtMilli
		})
		if r.ArrivedAtMilli >= sinceMilli && !settled {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b store.Record) int { return cmp.Compare(a.ArrivedAtMilli, b.ArrivedAtMilli) })
	return out, nil
}

// Record is part of edge.Records.
func (s *Store) Record(r store.Record, done func(error)) {
	now := s.w.Now()
	took := 2 * microtime.Millisecond
	if now < s.until {
		took += s.slow
	}
	s.free = max(s.free, now) + took
	r.Result = slices.Clone(r.Result)
	s.w.At(s.free, func() {
		if s.w.Now() < s.fails {
			if len(s.rows)%2 == 0 {
				s.put(r)
			}
			done(ErrStore)
			return
		}
		s.put(r)
		done(nil)
	})
}

func (s *Store) put(r store.Record) {
	for i, o := range s.rows {
		if o.Intent == r.Intent && o.Class == r.Class && o.Tenant == r.Tenant && o.IdempotencyKey == r.IdempotencyKey {
			s.rows[i] = r
			return
		}
	}
	s.rows = append(s.rows, r)
}
