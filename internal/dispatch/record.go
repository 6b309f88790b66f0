package dispatch

import (
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// KeyedRequest is a keyed request that ran, with its result.
type KeyedRequest struct {
	Class, Tenant      int
	IdempotencyKey     string
	ArrivedAt          microtime.Time // when the try that ran came; negative if before the process started
	ArrivedAtUnixMilli int64          // the same as the caller gave it, in Unix milliseconds; 0: it gave none
	Retry              bool           // its caller has tried before, here or elsewhere
	Result             []byte
}

// Verdict says whether an intake may run.
type Verdict uint8

// The words. Those but MayRun and NoRecord come from recorders that other servers write to as well.
const (
	VerdictGranted       Verdict = iota
	VerdictSucceeded             // with Leave's Result
	VerdictFailed                // it has run, and not well
	VerdictIndeterminate         // another server runs it, or ran it when it died
	VerdictUnavailable           // it can't be put on record, and is not to run
)

// LeaseResult is a recorder's answer.
type LeaseResult struct {
	Verdict   Verdict
	ArrivedAt microtime.Time // HasRun: of the try that ran
	Result    []byte
	Err       error // NoRecord: why
}

// ExecutionStore is the store of record. done is called once, on the loop: without an error, what was to be recorded is durable.
type ExecutionStore interface {
	// Find asks what is known of an intake that this core knows nothing of, before it is taken. It returns false where there is
	// nobody to ask: then done is not called. Its MayRun is no leave to run.
	Lookup(in KeyedRequest, done func(LeaseResult)) bool
	// Intend records that an intake is about to run: from then on it may have.
	Acquire(in KeyedRequest, done func(LeaseResult))
	// Void takes that back, some time: it did not run.
	Release(in KeyedRequest)
	// Fail records that it ran, and not well, some time.
	RecordFailure(in KeyedRequest)
	// Record records the result of one that ran.
	RecordResult(in KeyedRequest, done func(error))
}

// storeAfter is when to come back to a server whose store does not record that an intake is about to run.
const storeAfter = microtime.Second

// UseExecutionStore has every intake recorded before it runs, and its result before its answer goes out.
func (c *Core) UseExecutionStore(r ExecutionStore) { c.recorder = r }

// Restore takes up an intake that an earlier life of this server ran: repeats within its window get its result.
func (c *Core) Restore(in KeyedRequest) {
	if in.Class < 0 || in.Class >= len(c.settings.Classes) {
		return
	}
	e := &keyEntry{
		name: idempotencyKey{in.Tenant, in.IdempotencyKey}, class: in.Class, kept: true, ran: true, at: in.ArrivedAt, over: true, end: RunSucceeded,
		result: in.Result, restored: true, expires: in.ArrivedAt + microtime.FromDuration(c.settings.Classes[in.Class].RetentionWindow),
	}
	c.keys.byName[e.name] = e
}

// RestoreLease takes up an intake that an earlier life was about to run, or ran, and that has no result on record: whether it
// ran is not known until its window is over. Guards it against a second run: the life before may have been killed in between.
func (c *Core) RestoreLease(in KeyedRequest) {
	if in.Class >= 0 && in.Class < len(c.settings.Classes) {
		c.aside(in, handoff.Indeterminate)
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
	c.recorder.Acquire(in, func(l LeaseResult) {
		switch {
		case c.runs[id] != r:
		case l.Verdict == VerdictSucceeded:
			k.at, k.expires, k.restored = l.ArrivedAt, l.ArrivedAt+c.window(k.class), true
			k.over, k.end, k.result = true, RunSucceeded, l.Result
			c.conclude(k, r, RunSucceeded, l.Result)
		case l.Verdict == VerdictFailed:
			k.over, k.end = true, RunFailed
			c.conclude(k, r, RunFailed, nil)
		case l.Verdict == VerdictIndeterminate:
			c.keys.doubt(k, r.ArrivedAt+c.window(r.Class))
			c.conclude(k, r, RunIndeterminate, nil)
		case l.Verdict == VerdictUnavailable:
			c.logf("routing: intake %q is not run, as it is not on record that it may be: %v", k.name.once, l.Err)
			c.RunDeclined(id, storeAfter, false)
		case r.answered && len(k.waiters) == 0: // too late, and nobody waits: better not at all
			c.RunFinished(id, RunNotStarted, nil)
		default:
			c.start(r)
		}
	})
}

// find asks the recorder about a try of which nothing is known here. It returns false where the try is to go to the module.
// Guards a run of another server's: its repeat here is not turned away, however full this one is.
func (c *Core) find(q *request) bool {
	if c.recorder == nil || c.keys.current(idempotencyKey{q.Tenant, q.IdempotencyKey}, q.ArrivedAt) != nil {
		return false
	}
	in := KeyedRequest{Class: q.Class, Tenant: q.Tenant, IdempotencyKey: q.IdempotencyKey, ArrivedAt: q.ArrivedAt, ArrivedAtUnixMilli: q.ArrivedAtUnixMilli, Retry: q.Retry}
	// First, as the word may come at once: a group of one server asks nobody else.
	q.state = joined
	c.parked = append(c.parked, q)
	if !c.recorder.Lookup(in, func(l LeaseResult) {
		if c.live[q.id] != q || q.state != joined || q.key != nil {
			return // it was answered meanwhile, or has left
		}
		c.unpark(q)
		e := c.keys.current(idempotencyKey{q.Tenant, q.IdempotencyKey}, q.ArrivedAt)
		switch {
		case l.Verdict == VerdictGranted || e != nil: // another try was quicker here
			q.state = held
			c.arrive(q)
		case l.Verdict == VerdictSucceeded:
			e = c.aside(in, handoff.Free)
			e.ran, e.over, e.end, e.result, e.at, e.expires = true, true, RunSucceeded, l.Result, l.ArrivedAt, l.ArrivedAt+c.window(q.Class)
			c.ready = append(c.ready, due{q, e.answer()})
		case l.Verdict == VerdictFailed:
			c.ready = append(c.ready, due{q, Response{Status: StatusFailed, Reason: "the run failed"}})
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
func (c *Core) save(k *keyEntry, r *request) {
	k.saving = true
	in := k.intake()
	c.recorder.RecordResult(in, func(err error) {
		k.saving = false
		if err != nil {
			c.logf("routing: intake %q is not on record: %v", k.name.once, err)
			c.conclude(k, r, RunFailed, nil)
			return
		}
		k.unsaved, k.over, k.end = false, true, RunSucceeded
		c.tellEnded(k)
		c.conclude(k, r, RunSucceeded, k.result)
	})
}
