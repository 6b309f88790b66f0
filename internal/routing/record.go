package routing

import (
	"pewterline/internal/decide/handover"
	"pewterline/internal/micro"
)

// Intake is a keyed request that ran, with its result.
type Intake struct {
	Class, Tenant int
	Once          string
	At            micro.Time // when the try that ran came; negative if before the process started
	Result        []byte
}

// Recorder is the store of record. done is called once, on the loop: without an error, what was to be recorded is durable.
type Recorder interface {
	// Intend records that an intake is about to run: from then on it may have.
	Intend(in Intake, done func(error))
	// Void takes that back, some time: it did not run.
	Void(in Intake)
	// Record records the result of one that ran.
	Record(in Intake, done func(error))
}

// storeAfter is when to come back to a server whose store does not record that an intake is about to run.
const storeAfter = micro.Second

// UseRecorder has every intake recorded before it runs, and its result before its answer goes out.
func (c *Core) UseRecorder(r Recorder) { c.recorder = r }

// Restore takes up an intake that an earlier life of this server ran: repeats within its window get its result.
func (c *Core) Restore(in Intake) {
	if in.Class < 0 || in.Class >= len(c.settings.Classes) {
		return
	}
	e := &onceEntry{
		name: onceKey{in.Tenant, in.Once}, class: in.Class, kept: true, ran: true, at: in.At, over: true, end: Passed,
		result: in.Result, restored: true, expires: in.At + micro.Of(c.settings.Classes[in.Class].Window),
	}
	c.keys.byName[e.name] = e
}

// RestoreIntent takes up an intake that an earlier life was about to run, or ran, and that has no result on record: whether it
// ran is not known until its window is over. Guards it against a second run: the life before may have been killed in between.
func (c *Core) RestoreIntent(in Intake) {
	if in.Class >= 0 && in.Class < len(c.settings.Classes) {
		c.aside(in, handover.Doubt)
	}
}

// launch starts a try, once it is on record that it may run. What can't be put on record never ran: it is turned away.
func (c *Core) launch(r *request) {
	if r.key == nil || c.recorder == nil {
		c.start(r)
		return
	}
	k, id := r.key, r.RunID
	c.recorder.Intend(k.intake(), func(err error) {
		switch {
		case c.runs[id] != r:
		case err != nil:
			c.logf("routing: intake %q is not run, as the store does not record that it may be: %v", k.name.once, err)
			c.Declined(id, storeAfter, false)
		case r.answered && len(k.waiters) == 0: // too late, and nobody waits: better not at all
			c.Finished(id, Unneeded, nil)
		default:
			c.start(r)
		}
	})
}

// save records the result of a key's run; r is the run's request, nil when a repeat tries again to record it.
// What cannot be recorded is not answered as served, and not run again either: a repeat tries to record it.
func (c *Core) save(k *onceEntry, r *request) {
	k.saving = true
	in := Intake{Class: k.class, Tenant: k.name.tenant, Once: k.name.once, At: k.at, Result: k.result}
	c.recorder.Record(in, func(err error) {
		k.saving = false
		if err != nil {
			c.logf("routing: intake %q is not on record: %v", k.name.once, err)
			c.conclude(k, r, Errored, nil)
			return
		}
		k.unsaved, k.over, k.end = false, true, Passed
		c.tellEnded(k)
		c.conclude(k, r, Passed, k.result)
	})
}
