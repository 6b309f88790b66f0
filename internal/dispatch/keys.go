package dispatch

import (
	"cmp"
	"hash/maphash"
	"maps"
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

const (
	// expiredEntryGrace is how long an entry is kept after its retention window, as a repeat that arrived within the
	// window may be read later.
	expiredEntryGrace = 10 * microtime.Second
	// sweepInterval is how often expired entries are dropped.
	sweepInterval = microtime.Second
)

// IdempotencyKey identifies a request across all its attempts. The same text from another tenant identifies another
// request.
type IdempotencyKey struct {
	tenant int
	text   string
}

// compareKeys orders keys by tenant and text.
func compareKeys(a, b IdempotencyKey) int {
	return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.text, b.text))
}

// runState is the progress of the run of a key. A key runs once within its retention window.
type runState uint8

const (
	// runNone means that no run was started, or that the run is proven not to have taken place.
	runNone runState = iota
	// runActive means that the run was started and has not ended.
	runActive
	// runRecording means that the run succeeded and its result is being written to the execution store.
	runRecording
	// runUnrecorded means that the run succeeded and its result could not be written. A repeat makes the core write it
	// again.
	runUnrecorded
	// runFinished means that the run ended with the outcome and the result of the entry.
	runFinished
)

// keyEntry is the state of one request with an idempotency key.
type keyEntry struct {
	key      IdempotencyKey
	class    int
	bodyHash uint64            // all attempts have the same body
	original control.RequestID // the attempt that the decision module knows as the original
	expires  microtime.Time    // the end of the retention that the decision module has requested
	retained bool              // the decision module has retained the key; false: the entry lasts for this turn only
	// external means that the run is known only from the execution store or the peer process: an earlier process of this
	// server, its peer or another server runs the key, ran it or may run it. The decision module has not seen the run.
	external bool

	run                runState
	ranBy              control.RequestID // the attempt that ran
	arrivedAt          microtime.Time    // when that attempt arrived
	arrivedAtUnixMilli int64             // arrivedAt as the caller stated it, in Unix milliseconds
	outcome            RunOutcome        // of runFinished
	result             []byte            // from runRecording on
	waiters            []*request        // attempts that are answered when the run ends

	peerState   handoff.State // Requested, Remote or Indeterminate if the peer process may run the key; else Free
	peerWaiting bool          // the peer process waits for the end of the run
	// claimPending means that this process has claimed the key from the peer process, which has not answered yet.
	claimPending bool
}

// claim marks the key as run by req. It returns false if another attempt runs or has run, or if the peer process may
// run the key.
func (e *keyEntry) claim(req *request) bool {
	if e.peerState != handoff.Free {
		return false
	}
	if e.run == runNone {
		e.run = runActive
	} else if e.ranBy != req.id {
		return false
	}
	e.ranBy = req.id
	e.arrivedAt = req.ArrivedAt
	e.arrivedAtUnixMilli = req.ArrivedAtUnixMilli
	return true
}

// unfinished reports whether the key has a run that has not ended, or whose result is not recorded yet.
func (e *keyEntry) unfinished() bool { return e.run != runNone && e.run != runFinished }

// finish records how the run of the key ended.
func (e *keyEntry) finish(outcome RunOutcome, result []byte) {
	e.run = runFinished
	e.outcome = outcome
	e.result = result
}

// moveWindow makes the retention window count from the arrival of attempt, which runs in place of replaced.
func (e *keyEntry) moveWindow(replaced, attempt *request) {
	e.expires += max(attempt.ArrivedAt-replaced.ArrivedAt, 0)
	if attempt.ArrivedAt > e.arrivedAt {
		e.arrivedAt = attempt.ArrivedAt
		e.arrivedAtUnixMilli = attempt.ArrivedAtUnixMilli
	}
}

func (e *keyEntry) removeWaiter(req *request) {
	e.waiters = slices.DeleteFunc(e.waiters, func(waiter *request) bool { return waiter == req })
}

// response returns the response to an attempt of a key whose run has finished, or of which it is not known whether it
// ran.
func (e *keyEntry) response() Response {
	if e.run != runFinished {
		return failed(reasonIndeterminate)
	}
	if e.outcome == RunSucceeded {
		return succeeded(e.result)
	}
	return failed(reasonRunFailed)
}

// keyedRequest describes the attempt that ran to the execution store and to the peer process.
func (e *keyEntry) keyedRequest() KeyedRequest {
	return KeyedRequest{
		Class: e.class, Tenant: e.key.tenant, IdempotencyKey: e.key.text,
		ArrivedAt: e.arrivedAt, ArrivedAtUnixMilli: e.arrivedAtUnixMilli, Result: e.result,
	}
}

// keyTable holds the entries of the idempotency keys of all frontends.
type keyTable struct {
	byKey      map[IdempotencyKey]*keyEntry
	byOriginal map[control.RequestID]*keyEntry
	unretained []*keyEntry // added in this turn
	// replaced maps each key to the entry whose retention window had ended when a later attempt arrived. An attempt that
	// arrived within that window may be read after the later one.
	replaced map[IdempotencyKey]*keyEntry
	// dropped holds the entries that were dropped without a run since the last call of takeDropped.
	dropped []*keyEntry
	// indeterminate maps each key of a run whose outcome the backend does not know to the end of its retention window.
	// Until then, repeats are passed to the backend again, but are never answered as rejected, as the key may have run.
	indeterminate map[IdempotencyKey]microtime.Time
	hashSeed      maphash.Seed
	sweptAt       microtime.Time
}

func newKeyTable() keyTable {
	return keyTable{
		byKey:         map[IdempotencyKey]*keyEntry{},
		byOriginal:    map[control.RequestID]*keyEntry{},
		replaced:      map[IdempotencyKey]*keyEntry{},
		indeterminate: map[IdempotencyKey]microtime.Time{},
		hashSeed:      maphash.MakeSeed(),
	}
}

// checkSameRequest returns a *RequestError if the key of an attempt belongs to a request of another class or body, so
// that no caller gets the result of another request. The body of an external entry is not known and not checked.
func (t *keyTable) checkSameRequest(attempt *Request, classes []control.Class) error {
	entry := t.byKey[attempt.scopedKey()]
	switch {
	case entry == nil || attempt.IdempotencyKey == "":
		return nil
	case classes[entry.class].Name != classes[attempt.Class].Name: // Compared by name, as a reload may change the index.
		return &RequestError{"once", "the key is of a request of another class"}
	case !entry.external && entry.bodyHash != maphash.Bytes(t.hashSeed, attempt.Body):
		return &RequestError{"once", "the key is of a request with another body"}
	}
	return nil
}

// attach returns the entry of a request's key and the ID of the attempt that the request repeats. If there is no entry,
// it adds one and returns 0 as the ID; the new entry lasts for this turn unless the decision module retains it. The
// retention window is compared with the time at which the request arrived, not with the time at which it was read.
func (t *keyTable) attach(req *request) (*keyEntry, control.RequestID) {
	key := req.scopedKey()
	if entry := t.current(key, req.ArrivedAt); entry != nil {
		return entry, entry.original
	}
	entry := &keyEntry{
		key: key, class: req.Class, bodyHash: maphash.Bytes(t.hashSeed, req.Body), original: req.id,
		arrivedAt: req.ArrivedAt, arrivedAtUnixMilli: req.ArrivedAtUnixMilli,
	}
	t.byKey[key] = entry
	t.byOriginal[req.id] = entry
	t.unretained = append(t.unretained, entry)
	return entry, 0
}

// current returns the entry of a key for an attempt that arrived at arrivedAt; nil if there is none. It removes an
// entry whose retention window has ended by arrivedAt, unless the run is unfinished or the peer process may run the
// key.
func (t *keyTable) current(key IdempotencyKey, arrivedAt microtime.Time) *keyEntry {
	entry := t.byKey[key]
	switch {
	case entry == nil, !entry.retained, arrivedAt < entry.expires:
		return entry
	case entry.unfinished():
		return entry
	case entry.peerState == handoff.Requested, entry.peerState == handoff.Remote:
		return entry
	}
	t.replace(entry)
	return nil
}

// replace removes an entry whose retention window has ended. If it may have run, it is kept for ranBefore.
func (t *keyTable) replace(entry *keyEntry) {
	t.remove(entry)
	if entry.run == runFinished || entry.peerState == handoff.Indeterminate {
		t.replaced[entry.key] = entry
	}
}

// ranBefore returns the replaced entry in whose retention window a request arrived; nil if there is none. The request
// must not run, whatever became of the attempts that arrived later.
func (t *keyTable) ranBefore(req *request) *keyEntry {
	if entry := t.replaced[req.scopedKey()]; entry != nil && req.ArrivedAt < entry.expires {
		return entry
	}
	return nil
}

// retain makes req the original of its entry until expires.
func (t *keyTable) retain(req *request, expires microtime.Time) {
	entry := req.entry
	if known := t.byKey[entry.key]; known != entry { // The entry was dropped while req was queued.
		if known != nil {
			return
		}
		t.byKey[entry.key] = entry
	}
	delete(t.byOriginal, entry.original)
	entry.original = req.id
	entry.retained = true
	entry.expires = expires
	t.byOriginal[req.id] = entry
}

// reattach gives a queued request the entry that the table has for its key, so that its run cannot start unknown to the
// table. If there is none, it adds the request's own one again. It returns false if the request has that entry already,
// which is always so unless the decision module has released the key or the retention window has ended.
func (t *keyTable) reattach(req *request) bool {
	known := t.byKey[req.entry.key]
	if known == req.entry {
		return false
	}
	if known == nil {
		t.byKey[req.entry.key] = req.entry
	} else {
		req.entry = known
	}
	return true
}

// endRetention drops the entry of an original, as the decision module no longer retains its key. An entry with a run is
// kept.
func (t *keyTable) endRetention(original control.RequestID) {
	if entry := t.byOriginal[original]; entry != nil && entry.run == runNone {
		t.drop(entry)
	}
}

// markIndeterminate drops the entry of a run whose outcome is not known, and marks the key as possibly run until the
// given time.
func (t *keyTable) markIndeterminate(entry *keyEntry, until microtime.Time) {
	t.indeterminate[entry.key] = max(t.indeterminate[entry.key], until)
	t.markNotRun(entry)
}

// mayHaveRun reports whether the key of a request had, within its retention window, a run whose outcome is not known.
func (t *keyTable) mayHaveRun(req *request, now microtime.Time) bool {
	return now < t.indeterminate[req.scopedKey()]
}

// markNotRun drops the entry of a key whose run was not started.
func (t *keyTable) markNotRun(entry *keyEntry) {
	entry.run = runNone
	t.drop(entry)
}

// drop removes an entry without a run and queues it for notifyDroppedKeys.
func (t *keyTable) drop(entry *keyEntry) {
	t.remove(entry)
	t.dropped = append(t.dropped, entry)
}

func (t *keyTable) remove(entry *keyEntry) {
	if t.byKey[entry.key] == entry {
		delete(t.byKey, entry.key)
	}
	if t.byOriginal[entry.original] == entry {
		delete(t.byOriginal, entry.original)
	}
}

// takeDropped returns the entries that were dropped without a run since the last call.
func (t *keyTable) takeDropped() []*keyEntry {
	dropped := t.dropped
	t.dropped = nil
	return dropped
}

// endTurn drops the entries that were added in this turn and that the decision module did not retain.
func (t *keyTable) endTurn() {
	for _, entry := range t.unretained {
		if !entry.retained && entry.run == runNone {
			t.drop(entry)
		}
	}
	t.unretained = t.unretained[:0]
}

// sweep removes the expired entries, once per sweepInterval.
func (t *keyTable) sweep(now microtime.Time) {
	if now < t.sweptAt+sweepInterval {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.indeterminate, func(_ IdempotencyKey, until microtime.Time) bool { return now >= until })
	maps.DeleteFunc(t.replaced, func(_ IdempotencyKey, entry *keyEntry) bool {
		return now > entry.expires+expiredEntryGrace
	})
	for _, entry := range t.byKey { // The order does not matter, as entries are independent.
		inUse := entry.run == runActive || entry.run == runRecording
		if now > entry.expires+expiredEntryGrace && !inUse {
			t.remove(entry)
		}
	}
}

// sorted returns all keys in the order of compareKeys, so that iterations are deterministic.
func (t *keyTable) sorted() []IdempotencyKey {
	return slices.SortedFunc(maps.Keys(t.byKey), compareKeys)
}
