package edge

import (
	"fmt"

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
	s.core.UseRecorder(&recorder{s, st})
	s.logf("edge: %d intakes restored, of %d it is not known whether they ran", len(records), open)
	return nil
}

// recorder is the core's way to the store, which works off the loop.
type recorder struct {
	s  *Server
	st Records
}

func (r *recorder) record(in routing.Intake) store.Record {
	rec := store.Record{Class: r.s.cfg.Settings.Classes[in.Class].Name, Once: in.Once,
		AtMilli: r.s.wall.UnixMilli(in.At), Result: in.Result}
	if in.Tenant < len(r.s.cfg.Settings.Tenants) {
		rec.Tenant = r.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	return rec
}

func (r *recorder) write(rec store.Record, done func(error)) {
	r.st.Record(rec, func(err error) {
		// Once the loop has ended there is nobody left to answer.
		_ = r.s.loop.Execute(func() { done(err) })
	})
}

// Record is part of routing.Recorder.
func (r *recorder) Record(in routing.Intake, done func(error)) { r.write(r.record(in), done) }

// Find is part of routing.Recorder: nobody else writes to this store.
func (r *recorder) Find(routing.Intake, func(routing.Leave)) bool { return false }

// Fail is part of routing.Recorder: a life to come takes the intent for one whose end is not known.
func (r *recorder) Fail(routing.Intake) {}

// Intend is part of routing.Recorder.
func (r *recorder) Intend(in routing.Intake, done func(routing.Leave)) {
	rec := r.record(in)
	rec.Intent, rec.Result = true, nil
	r.write(rec, func(err error) {
		if err != nil {
			done(routing.Leave{Word: routing.NoRecord, Err: err})
			return
		}
		done(routing.Leave{})
	})
}

// Void is part of routing.Recorder. Where it is lost, a repeat after a restart fails for no reason but that nobody knows.
func (r *recorder) Void(in routing.Intake) {
	r.write(r.record(in).Void(), func(err error) {
		if err != nil {
			r.s.logf("edge: an intent of %q that came to nothing stays on record: %v", in.Once, err)
		}
	})
}
