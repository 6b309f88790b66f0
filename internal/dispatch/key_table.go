package dispatch

import (
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
