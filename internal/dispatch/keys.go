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
	// expiredEntryGrace is how long past its window an entry stays to be found: a repeat that arrived within the window
	// may be read, or waited for, that much later.
	expiredEntryGrace = 10 * microtime.Second
	// sweepInterval is how often expired entries are dropped.
	sweepInterval = microtime.Second
)

// IdempotencyKey names a request over all its attempts. The same text from another tenant is another request.
type IdempotencyKey struct {
	tenant int
	text   string
}

// compareKeys orders keys by nothing but themselves.
func compareKeys(a, b IdempotencyKey) int {
	return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.text, b.text))
}

// runState is how far the run of a key has come. A key runs once within its retention window.
type runState uint8

const (
	// runNone has not been started, or is proven not to have run.
	runNone runState = iota
	// runActive was started and has not ended.
	runActive
	// runRecording has succeeded, and its result is being written to the execution store.
	runRecording
	// runUnrecorded has succeeded, but its result could not be written. A repeat makes the core try again.
	runUnrecorded
	// runFinished has ended, with the outcome and the result of the entry.
	runFinished
)

// keyEntry is what is known of one request with an idempotency key.
type keyEntry struct {
	key      IdempotencyKey
	class    int
	bodyHash uint64            // all attempts have the same body
	holder   control.RequestID // the attempt that the decision module knows as the original
	expires  microtime.Time    // the end of the retention that the decision module has requested
	retained bool              // the decision module has retained the key; false: the entry lasts for this turn only
	restored bool              // known from the store or the peer process: the decision module has not seen the run

	run                runState
	ranBy              control.RequestID // the attempt that ran
	arrivedAt          microtime.Time    // when that attempt arrived
	arrivedAtUnixMilli int64             // the same as its caller stated it, in Unix milliseconds
	outcome            RunOutcome        // of runFinished
	result             []byte            // from runRecording on
	waiters            []*request        // attempts that are answered when the run ends

	peerState   handoff.State // Requested, Remote or Indeterminate if the peer process may run the key; else Free
	peerWaiting bool          // the peer process waits for the end of the run
}

// claim marks the key as run by req. It returns false if another attempt has run.
func (e *keyEntry) claim(req *request) bool {
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

// unfinished reports whether the key has a run whose end is not known or not recorded yet.
func (e *keyEntry) unfinished() bool { return e.run != runNone && e.run != runFinished }

// finish records how the run of the key ended.
func (e *keyEntry) finish(outcome RunOutcome, result []byte) {
	e.run = runFinished
	e.outcome = outcome
	e.result = result
}

// moveWindow has the retention window count from another attempt, which runs in the place of the one before.
func (e *keyEntry) moveWindow(before, attempt *request) {
	e.expires += max(attempt.ArrivedAt-before.ArrivedAt, 0)
	if attempt.ArrivedAt > e.arrivedAt {
		e.arrivedAt = attempt.ArrivedAt
		e.arrivedAtUnixMilli = attempt.ArrivedAtUnixMilli
	}
}

func (e *keyEntry) removeWaiter(req *request) {
	e.waiters = slices.DeleteFunc(e.waiters, func(waiter *request) bool { return waiter == req })
}

// response is what an attempt gets from a run that has ended.
func (e *keyEntry) response() Response {
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

// keyTable is the one table of idempotency keys, whatever frontend an attempt came by.
type keyTable struct {
	byKey      map[IdempotencyKey]*keyEntry
	byHolder   map[control.RequestID]*keyEntry
	unretained []*keyEntry // first seen in this turn
	// released are the entries that were dropped without a run since the last step.
	released []*keyEntry
	// indeterminate are keys that the backend has lost sight of: they may have run, until the time given. Their repeats go
	// to the backend again, but none is told that it was turned away.
	indeterminate map[IdempotencyKey]microtime.Time
	hashSeed      maphash.Seed
	sweptAt       microtime.Time
}

func newKeyTable() keyTable {
	return keyTable{
		byKey:         map[IdempotencyKey]*keyEntry{},
		byHolder:      map[control.RequestID]*keyEntry{},
		indeterminate: map[IdempotencyKey]microtime.Time{},
		hashSeed:      maphash.MakeSeed(),
	}
}

// checkSameRequest turns down an attempt whose key is another request's, so that nobody gets the result of what was
// never asked for: all attempts of one request have its class and body. An entry that was restored has no hash.
func (t *keyTable) checkSameRequest(attempt *Request, classes []control.Class) error {
	entry := t.byKey[attempt.scopedKey()]
	switch {
	case entry == nil || attempt.IdempotencyKey == "":
		return nil
	case classes[entry.class].Name != classes[attempt.Class].Name: // Its settings may have changed since.
		return &RequestError{"once", "the key is of a request of another class"}
	case !entry.restored && entry.bodyHash != maphash.Bytes(t.hashSeed, attempt.Body):
		return &RequestError{"once", "the key is of a request with another body"}
	}
	return nil
}

// attach finds the entry of a request, or makes one that lasts for this turn unless the decision module retains it.
// The ID is that of the attempt it repeats, 0 for none. What counts is when the repeat arrived, not when it is read.
func (t *keyTable) attach(req *request) (*keyEntry, control.RequestID) {
	key := req.scopedKey()
	if entry := t.current(key, req.ArrivedAt); entry != nil {
		return entry, entry.holder
	}
	entry := &keyEntry{
		key: key, class: req.Class, bodyHash: maphash.Bytes(t.hashSeed, req.Body), holder: req.id,
		arrivedAt: req.ArrivedAt, arrivedAtUnixMilli: req.ArrivedAtUnixMilli,
	}
	t.byKey[key] = entry
	t.byHolder[req.id] = entry
	t.unretained = append(t.unretained, entry)
	return entry, 0
}

// current is the entry that counts for an attempt that arrived at a time; one whose window is over is removed.
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
	t.remove(entry)
	return nil
}

// retain makes req the holder of its entry until expires.
func (t *keyTable) retain(req *request, expires microtime.Time) {
	entry := req.entry
	if known := t.byKey[entry.key]; known != entry { // It was dropped while req was queued.
		if known != nil {
			return
		}
		t.byKey[entry.key] = entry
	}
	delete(t.byHolder, entry.holder)
	entry.holder = req.id
	entry.retained = true
	entry.expires = expires
	t.byHolder[req.id] = entry
}

// release drops the entry of a holder, unless an attempt of it has run.
func (t *keyTable) release(holder control.RequestID) {
	if entry := t.byHolder[holder]; entry != nil && entry.run == runNone {
		t.drop(entry)
	}
}

// markIndeterminate forgets a run whose outcome the backend does not know, except that it may have been one.
func (t *keyTable) markIndeterminate(entry *keyEntry, until microtime.Time) {
	t.indeterminate[entry.key] = max(t.indeterminate[entry.key], until)
	t.markNotRun(entry)
}

// mayHaveRun says that the key of a request may have run, and nobody here knows.
func (t *keyTable) mayHaveRun(req *request, now microtime.Time) bool {
	return now < t.indeterminate[req.scopedKey()]
}

// markNotRun forgets that an attempt has run: proof came that nothing was started.
func (t *keyTable) markNotRun(entry *keyEntry) {
	entry.run = runNone
	t.drop(entry)
}

// drop removes an entry without a run, of which the peer process is to hear.
func (t *keyTable) drop(entry *keyEntry) {
	t.remove(entry)
	t.released = append(t.released, entry)
}

func (t *keyTable) remove(entry *keyEntry) {
	if t.byKey[entry.key] == entry {
		delete(t.byKey, entry.key)
	}
	if t.byHolder[entry.holder] == entry {
		delete(t.byHolder, entry.holder)
	}
}

// takeReleased returns the entries that were dropped without a run since the last call.
func (t *keyTable) takeReleased() []*keyEntry {
	released := t.released
	t.released = nil
	return released
}

// endTurn drops the entries that the decision module did not retain in the turn that brought them.
func (t *keyTable) endTurn() {
	for _, entry := range t.unretained {
		if !entry.retained && entry.run == runNone {
			t.drop(entry)
		}
	}
	t.unretained = t.unretained[:0]
}

// sweep drops what has expired.
func (t *keyTable) sweep(now microtime.Time) {
	if now < t.sweptAt+sweepInterval {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.indeterminate, func(_ IdempotencyKey, until microtime.Time) bool { return now >= until })
	for _, entry := range t.byKey { // In any order: each stays or goes by itself.
		inUse := entry.run == runActive || entry.run == runRecording
		if now > entry.expires+expiredEntryGrace && !inUse {
			t.remove(entry)
		}
	}
}

// sorted are all keys, in an order that depends on nothing but themselves.
func (t *keyTable) sorted() []IdempotencyKey {
	return slices.SortedFunc(maps.Keys(t.byKey), compareKeys)
}
