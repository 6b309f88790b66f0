package edge

import (
	"fmt"

	"pewterline/internal/decide/ledger"
	"pewterline/internal/micro"
	"pewterline/internal/routing"
	"pewterline/internal/store"
)

// Records is a store of record: what store.Store does.
type Records interface {
	// Load reads the intakes since a time in Unix milliseconds, oldest first.
	Load(sinceMilli int64) ([]store.Record, error)
	// Record writes r. done is called once, from anywhere but never before Record returns, when r is durable or an
	// error says that this is not known.
	Record(r store.Record, done func(error))
}

// UseStore takes up what an earlier life of this server has recorded, and records from then on. It comes before
// Attach, and may wait for the database.
func (s *Server) UseStore(st Records, now micro.Time) error {
	window := micro.Time(0)
	for _, c := range s.cfg.Settings.Classes {
		window = max(window, micro.Of(c.Window))
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
		in := routing.Intake{Class: class, Tenant: s.tenants[r.Tenant], Once: r.Once, At: s.wall.FromUnixMilli(r.AtMilli), Result: r.Result}
		if r.Intent {
			open++
			s.core.RestoreIntent(in)
		} else {
			s.core.Restore(in)
		}
	}
	s.core.UseRecorder(&recorder{s, st, map[recordName]*ledger.Key{}})
	s.logf("edge: %d intakes restored, of %d it is not known whether they ran", len(records), open)
	return nil
}

// recordName names an intake in the store.
type recordName struct{ tenant, once string }

// recorder is the core's way to the store, which works off the loop. The store is the one holder of what the ledger decides.
type recorder struct {
	s    *Server
	st   Records
	keys map[recordName]*ledger.Key // of what has not come to an end, by tenant and once-key
}

func (r *recorder) record(in routing.Intake) store.Record {
	rec := store.Record{Class: r.s.cfg.Settings.Classes[in.Class].Name, Once: in.Once,
		AtMilli: r.s.wall.UnixMilli(in.At), Result: in.Result}
	if in.Tenant < len(r.s.cfg.Settings.Tenants) {
		rec.Tenant = r.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	return rec
}

// move takes an intake a step on, and carries out what the ledger says of the store. told hears what is said to whoever asked.
func (r *recorder) move(in routing.Intake, ev ledger.Event, told func(ledger.Do, error)) {
	rec := r.record(in)
	name := recordName{rec.Tenant, rec.Once}
	k := r.keys[name]
	if k == nil {
		k = &ledger.Key{}
		r.keys[name] = k
	}
	var err error
	var step func(ledger.Event)
	write := func(rec store.Record, then ledger.Event) {
		r.st.Record(rec, func(failed error) {
			// Once the loop has ended there is nobody left to answer.
			_ = r.s.loop.Execute(func() {
				if err = failed; failed != nil {
					then = ledger.NoAnswer
				}
				step(then)
			})
		})
	}
	step = func(ev ledger.Event) {
		for _, d := range k.Step(ev) {
			switch d {
			case ledger.Ask:
				intent := rec
				intent.Intent, intent.Result = true, nil
				write(intent, ledger.Granted)
			case ledger.Copy:
				if ev == ledger.Failed { // a life to come takes the intent for one whose end is not known
					step(ledger.FoundBad)
				} else {
					write(rec, ledger.Found)
				}
			case ledger.TakeBack:
				write(rec.Void(), ledger.Nothing)
			case ledger.Later: // a repeat tries again
			default:
				told(d, err)
			}
		}
		if (k.State == ledger.Idle || k.State == ledger.Copied) && r.keys[name] == k {
			delete(r.keys, name) // the core keeps what has come to an end
		}
		if ev == ledger.NoAnswer && k.State == ledger.Idle {
			r.s.logf("edge: an intent of %q that came to nothing stays on record: %v", in.Once, err)
		}
	}
	step(ev)
}

// Find is part of routing.Recorder: nobody else writes to this store.
func (r *recorder) Find(routing.Intake, func(routing.Leave)) bool { return false }

// Intend is part of routing.Recorder.
func (r *recorder) Intend(in routing.Intake, done func(routing.Leave)) {
	r.move(in, ledger.Try, func(d ledger.Do, err error) {
		if d == ledger.Start {
			done(routing.Leave{})
			return
		}
		done(routing.Leave{Word: routing.NoRecord, Err: err})
	})
}

// Void is part of routing.Recorder. Where it is lost, a repeat after a restart fails for no reason but that nobody knows.
func (r *recorder) Void(in routing.Intake) {
	r.move(in, ledger.Unbegun, func(ledger.Do, error) {})
}

// Fail is part of routing.Recorder.
func (r *recorder) Fail(in routing.Intake) {
	r.move(in, ledger.Failed, func(ledger.Do, error) {})
}

// Record is part of routing.Recorder.
func (r *recorder) Record(in routing.Intake, done func(error)) {
	r.move(in, ledger.Passed, func(d ledger.Do, err error) { done(err) })
}
