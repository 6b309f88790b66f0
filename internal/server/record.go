package server

import (
	"fmt"

	"pewterline/internal/decide/execution"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/store"
)

// RecordStore is a store of record: what store.Store does.
type RecordStore interface {
	// Load reads the intakes since a time in Unix milliseconds, oldest first.
	Load(sinceMilli int64) ([]store.Record, error)
	// Record writes r. done is called once, from anywhere but never before Record returns, when r is durable or an
	// error says that this is not known.
	Record(r store.Record, done func(error))
}

// UseStore takes up what an earlier life of this server has recorded, and records from then on. It comes before
// Attach, and may wait for the database.
func (s *Server) UseStore(st RecordStore, now microtime.Time) error {
	window := microtime.Time(0)
	for _, c := range s.cfg.Settings.Classes {
		window = max(window, microtime.FromDuration(c.RetentionWindow))
	}
	records, err := st.Load(s.wall.UnixMilli(now - window))
	if err != nil {
		return fmt.Errorf("edge: %w", err)
	}
	open := 0
	for _, r := range records {
		class, known := s.classes[r.Class]
		if !known {
			continue // of settings that have changed since
		}
		in := dispatch.KeyedRequest{Class: class, Tenant: s.tenants[r.Tenant], IdempotencyKey: r.IdempotencyKey, ArrivedAt: s.wall.FromUnixMilli(r.ArrivedAtMilli), Result: r.Result}
		if r.Intent {
			open++
			s.core.RestoreLease(in)
		} else {
			s.core.Restore(in)
		}
	}
	s.core.UseExecutionStore(&recorder{s, st, map[recordName]*execution.Lifecycle{}})
	s.logf("edge: %d intakes restored, of %d it is not known whether they ran", len(records), open)
	return nil
}

// recordName names an intake in the store.
type recordName struct{ tenant, once string }

// recorder is the core's way to the store, which works off the loop. The store is the one holder of what the ledger decides.
type recorder struct {
	s    *Server
	st   RecordStore
	keys map[recordName]*execution.Lifecycle // of what has not come to an end, by tenant and once-key
}

func (r *recorder) record(in dispatch.KeyedRequest) store.Record {
	rec := store.Record{Class: r.s.cfg.Settings.Classes[in.Class].Name, IdempotencyKey: in.IdempotencyKey,
		ArrivedAtMilli: r.s.wall.UnixMilli(in.ArrivedAt), Result: in.Result}
	if in.Tenant < len(r.s.cfg.Settings.Tenants) {
		rec.Tenant = r.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	return rec
}

// move takes an intake a step on, and carries out what the ledger says of the store. told hears what is said to whoever asked.
func (r *recorder) move(in dispatch.KeyedRequest, ev execution.Event, told func(execution.Action, error)) {
	rec := r.record(in)
	name := recordName{rec.Tenant, rec.IdempotencyKey}
	k := r.keys[name]
	if k == nil {
		k = &execution.Lifecycle{}
		r.keys[name] = k
	}
	var err error
	var step func(execution.Event)
	write := func(rec store.Record, then execution.Event) {
		r.st.Record(rec, func(failed error) {
			// Once the loop has ended there is nobody left to answer.
			_ = r.s.loop.Execute(func() {
				if err = failed; failed != nil {
					then = execution.EventUnavailable
				}
				step(then)
			})
		})
	}
	step = func(ev execution.Event) {
		for _, d := range k.Step(ev) {
			switch d {
			case execution.ActionAcquireLease:
				intent := rec
				intent.Intent, intent.Result = true, nil
				write(intent, execution.EventLeaseGranted)
			case execution.ActionRecord:
				if ev == execution.EventRunFailed { // a life to come takes the intent for one whose end is not known
					step(execution.EventFailureFound)
				} else {
					write(rec, execution.EventResultFound)
				}
			case execution.ActionReleaseLease:
				write(rec.Cancelled(), execution.EventVacant)
			case execution.ActionRetryLater: // a repeat tries again
			default:
				told(d, err)
			}
		}
		if (k.State == execution.StateIdle || k.State == execution.StateRecorded) && r.keys[name] == k {
			delete(r.keys, name) // the core keeps what has come to an end
		}
		if ev == execution.EventUnavailable && k.State == execution.StateIdle {
			r.s.logf("edge: an intent of %q that came to nothing stays on record: %v", in.IdempotencyKey, err)
		}
	}
	step(ev)
}

// Lookup is part of routing.Recorder: nobody else writes to this store.
func (r *recorder) Lookup(dispatch.KeyedRequest, func(dispatch.LeaseResult)) bool { return false }

// Acquire is part of routing.Recorder.
func (r *recorder) Acquire(in dispatch.KeyedRequest, done func(dispatch.LeaseResult)) {
	r.move(in, execution.EventAttemptArrived, func(d execution.Action, err error) {
		if d == execution.ActionStart {
			done(dispatch.LeaseResult{})
			return
		}
		done(dispatch.LeaseResult{Verdict: dispatch.VerdictUnavailable, Err: err})
	})
}

// Release is part of routing.Recorder. Where it is lost, a repeat after a restart fails for no reason but that nobody knows.
func (r *recorder) Release(in dispatch.KeyedRequest) {
	r.move(in, execution.EventRunNotStarted, func(execution.Action, error) {})
}

// RecordFailure is part of routing.Recorder.
func (r *recorder) RecordFailure(in dispatch.KeyedRequest) {
	r.move(in, execution.EventRunFailed, func(execution.Action, error) {})
}

// RecordResult is part of routing.Recorder.
func (r *recorder) RecordResult(in dispatch.KeyedRequest, done func(error)) {
	r.move(in, execution.EventRunSucceeded, func(d execution.Action, err error) { done(err) })
}
