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
	AtMilli       int64      // the same as the caller gave it, in Unix milliseconds; 0: it gave none
	Retry         bool       // its caller has tried before, here or elsewhere
	Result        []byte
}

// Word says whether an intake may run.
type Word uint8

// The words. Those but MayRun and NoRecord come from recorders that other servers write to as well.
const (
	MayRun    Word = iota
	HasRun         // with Leave's Result
	HasFailed      // it has run, and not well
	NotKnown       // another server runs it, or ran it when it died
	NoRecord       // it can't be put on record, and is not to run
)

// Leave is a recorder's answer.
type Leave struct {
	Word   Word
	At     micro.Time // HasRun: of the try that ran
	Result []byte
	Err    error // NoRecord: why
}

// Recorder is the store of record. done is called once, on the loop: without an error, what was to be recorded is durable.
type Recorder interface {
	// Find asks what is known of an intake that this core knows nothing of, before it is taken. It returns false where there is
	// nobody to ask: then done is not called. Its MayRun is no leave to run.
	Find(in Intake, done func(Leave)) bool
	// Intend records that an intake is about to run: from then on it may have.
	Intend(in Intake, done func(Leave))
	// Void takes that back, some time: it did not run.
	Void(in Intake)
	// Fail records that it ran, and not well, some time.
	Fail(in Intake)
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
	in := k.intake()
	in.Retry = r.Retry
	c.recorder.Intend(in, func(l Leave) {
		switch {
		case c.runs[id] != r:
		case l.Word == HasRun:
			k.at, k.expires, k.restored = l.At, l.At+c.window(k.class), true
			k.over, k.end, k.result = true, Passed, l.Result
			c.conclude(k, r, Passed, l.Result)
		case l.Word == HasFailed:
			k.over, k.end = true, Errored
			c.conclude(k, r, Errored, nil)
		case l.Word == NotKnown:
			c.keys.doubt(k, r.At+c.window(r.Class))
			c.conclude(k, r, Doubtful, nil)
		case l.Word == NoRecord:
			c.logf("routing: intake %q is not run, as it is not on record that it may be: %v", k.name.once, l.Err)
			c.Declined(id, storeAfter, false)
		case r.answered && len(k.waiters) == 0: // too late, and nobody waits: better not at all
			c.Finished(id, Unneeded, nil)
		default:
			c.start(r)
		}
	})
}

// find asks the recorder about a try of which nothing is known here. It returns false where the try is to go to the module.
// Guards a run of another server's: its repeat here is not turned away, however full this one is.
func (c *Core) find(q *request) bool {
	if c.recorder == nil || c.keys.current(onceKey{q.Tenant, q.Once}, q.At) != nil {
		return false
	}
	in := Intake{Class: q.Class, Tenant: q.Tenant, Once: q.Once, At: q.At, AtMilli: q.AtMilli, Retry: q.Retry}
	// First, as the word may come at once: a group of one server asks nobody else.
	q.state = joined
	c.parked = append(c.parked, q)
	if !c.recorder.Find(in, func(l Leave) {
		if c.live[q.id] != q || q.state != joined || q.key != nil {
			return // it was answered meanwhile, or has left
		}
		c.unpark(q)
		e := c.keys.current(onceKey{q.Tenant, q.Once}, q.At)
		switch {
		case l.Word == MayRun || e != nil: // another try was quicker here
			q.state = held
			c.arrive(q)
		case l.Word == HasRun:
			e = c.aside(in, handover.Free)
			e.ran, e.over, e.end, e.result, e.at, e.expires = true, true, Passed, l.Result, l.At, l.At+c.window(q.Class)
			c.ready = append(c.ready, due{q, e.answer()})
		case l.Word == HasFailed:
			c.ready = append(c.ready, due{q, Answer{Status: Failed, Reason: "the run failed"}})
		default:
			c.ready = append(c.ready, due{q, notKnown})
		}
	}) {
		q.state = held
		c.unpark(q)
		return false
	}
	return true
}

// save records the result of a key's run; r is the run's request, nil when a repeat tries again to record it.
// What cannot be recorded is not answered as served, and not run again either: a repeat tries to record it.
func (c *Core) save(k *onceEntry, r *request) {
	k.saving = true
	in := k.intake()
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
