package routing

import (
	"pewterline/internal/micro"
)

// Intake is a keyed request that ran, with its result.
type Intake struct {
	Class, Tenant int
	Once          string
	At            micro.Time // when the try that ran came; negative if before the process started
	Result        []byte
}

// Recorder is the store of record. done is called once, on the loop: without an error, the intake is durable.
type Recorder interface {
	Record(in Intake, done func(error))
}

// UseRecorder has every intake's result recorded before its answer goes out.
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
