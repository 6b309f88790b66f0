package dispatch

import (
	"fmt"
	"hash/maphash"
	"maps"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
	"pewterline/internal/planted"
)

// lateRead is how long past its window an entry stays to be found: a repeat that arrived within the window may
// be read, or waited for, that much later.
const lateRead = 10 * microtime.Second

// idempotencyKey names a request over all its tries. The same text from another tenant is another request.
type idempotencyKey struct {
	tenant int
	once   string
}

// keyEntry is what is known of one keyed request.
type keyEntry struct {
	name    idempotencyKey
	class   int
	sum     uint64            // of the body; all tries have the same
	holder  control.RequestID // the try that the module knows as the original
	expires microtime.Time    // of the module's Keep
	kept    bool              // false: only seen in this turn

	ran     bool
	runner  control.RequestID // the try that ran
	at      microtime.Time    // when that try came
	atMilli int64             // the same by its caller
	over    bool              // that run has ended, in end with result
	end     RunOutcome
	result  []byte
	waiters []*request

	unsaved  bool // the run has ended, but its result is not on record
	saving   bool // it is on its way there
	restored bool // from the store of record, or from another process: the module has not seen its run

	side   handoff.State // Asked, Away or Doubt where the other process has a say; else Free
	wanted bool          // the other process waits for its end
}

// claim marks the key as run by r, unless another try has run.
func (e *keyEntry) claim(r *request) bool {
	if e.ran && e.runner != r.id {
		return false
	}
	e.ran, e.runner, e.at, e.atMilli = true, r.id, r.ArrivedAt, r.ArrivedAtUnixMilli
	return true
}

// keyTable is the one table of once-keys, whatever front a try came by.
type keyTable struct {
	byName map[idempotencyKey]*keyEntry
	byID   map[control.RequestID]*keyEntry // by holder
	fresh  []*keyEntry                     // seen in this turn and not yet kept
	seed   maphash.Seed
	swept  microtime.Time
	freed  []*keyEntry // held no more, without a run, since the last step
	// Intakes that a runner lost sight of: they may have run, until then. Their repeats go to the runner again, but
	// none is told that it was turned away.
	doubts map[idempotencyKey]microtime.Time
}

func newKeyTable() keyTable {
	return keyTable{byName: map[idempotencyKey]*keyEntry{}, byID: map[control.RequestID]*keyEntry{}, doubts: map[idempotencyKey]microtime.Time{}, seed: maphash.MakeSeed()}
}

// check refuses a request whose key is another request's. Guards against an answer with the result of what was
// never asked for: all tries of one request have its class and body. An entry of an earlier life has no sum.
func (t *keyTable) check(r *Request, classes []control.Class) error {
	e := t.byName[idempotencyKey{r.Tenant, r.IdempotencyKey}]
	switch {
	case e == nil || r.IdempotencyKey == "":
		return nil
	case classes[e.class].Name != classes[r.Class].Name: // its figures may have changed since
		return fmt.Errorf("once: the key is of a request of another class")
	case !e.restored && e.sum != maphash.Bytes(t.seed, r.Body):
		return fmt.Errorf("once: the key is of a request with another body")
	}
	return nil
}

// arrive finds the entry of a request, or makes one that lasts for this turn unless the module keeps it. The
// ID is that of the try it repeats, 0 for none. What counts is when the repeat arrived, not when it is read.
func (t *keyTable) arrive(r *request) (*keyEntry, control.RequestID) {
	name := idempotencyKey{r.Tenant, r.IdempotencyKey}
	if e := t.current(name, r.ArrivedAt); e != nil {
		if !(planted.Bug(planted.KeyTwice) && e.ran && !e.over) {
			return e, e.holder
		}
		t.remove(e)
	}
	e := &keyEntry{name: name, class: r.Class, at: r.ArrivedAt, atMilli: r.ArrivedAtUnixMilli, sum: maphash.Bytes(t.seed, r.Body), holder: r.id}
	t.byName[name], t.byID[r.id] = e, e
	t.fresh = append(t.fresh, e)
	return e, 0
}

// current is the entry that counts for a try that arrived at a time; one whose window is over is removed.
func (t *keyTable) current(name idempotencyKey, at microtime.Time) *keyEntry {
	e := t.byName[name]
	if e == nil || !e.kept || at < e.expires || e.ran && !e.over || e.side == handoff.Requested || e.side == handoff.Remote {
		return e
	}
	t.remove(e)
	return nil
}

// keep makes r the holder of its entry until expires.
func (t *keyTable) keep(r *request, expires microtime.Time) {
	e := r.key
	if t.byName[e.name] != e { // dropped while r was held
		if t.byName[e.name] != nil {
			return
		}
		t.byName[e.name] = e
	}
	delete(t.byID, e.holder)
	e.holder, e.kept, e.expires = r.id, true, expires
	t.byID[r.id] = e
}

// drop ends the entry that id holds, unless a try of it has run.
func (t *keyTable) drop(id control.RequestID) {
	if e := t.byID[id]; e != nil && !e.ran {
		t.remove(e)
		t.freed = append(t.freed, e)
	}
}

// doubt forgets a run whose outcome the runner does not know, but for that it may have been one.
func (t *keyTable) doubt(e *keyEntry, until microtime.Time) {
	t.doubts[e.name] = max(t.doubts[e.name], until)
	t.unrun(e)
}

// doubtful says that an intake may have run, and nobody here knows.
func (t *keyTable) doubtful(r *request, now microtime.Time) bool {
	return now < t.doubts[idempotencyKey{r.Tenant, r.IdempotencyKey}]
}

// unrun forgets that a try has run: proof came that nothing was started.
func (t *keyTable) unrun(e *keyEntry) {
	e.ran = false
	t.remove(e)
	t.freed = append(t.freed, e)
}

func (t *keyTable) remove(e *keyEntry) {
	if t.byName[e.name] == e {
		delete(t.byName, e.name)
	}
	if t.byID[e.holder] == e {
		delete(t.byID, e.holder)
	}
}

// settle ends the entries that the module did not keep in the turn that brought them.
func (t *keyTable) settle() {
	for _, e := range t.fresh {
		if !e.kept && !e.ran {
			t.remove(e)
			t.freed = append(t.freed, e)
		}
	}
	t.fresh = t.fresh[:0]
}

// sweep drops what has run out, about once a second.
func (t *keyTable) sweep(now microtime.Time) {
	if now < t.swept+microtime.Second {
		return
	}
	t.swept = now
	maps.DeleteFunc(t.doubts, func(_ idempotencyKey, until microtime.Time) bool { return now >= until })
	for _, e := range t.byName { // in any order: each goes or stays by itself
		if now > e.expires+lateRead && (e.over || !e.ran || e.unsaved) && !e.saving {
			t.remove(e)
		}
	}
}
