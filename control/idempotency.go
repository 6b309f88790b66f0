package control

import (
	"maps"
	"time"
)

// expiredKeyRetention is how long an expired key is kept, as a repeat that is read late may still name it.
const expiredKeyRetention = time.Minute

// retainedKey is the idempotency key of one request in the host's table.
type retainedKey struct {
	expiresAt time.Duration
	started   bool // the request was started: it may have taken effect
}

// retainedKeys mirrors the idempotency keys that the host retains, by the request that RetainKey named.
type retainedKeys struct {
	keys map[RequestID]*retainedKey
	live int // keys that have not expired, as of the last expire
}

func newRetainedKeys() *retainedKeys { return &retainedKeys{keys: map[RequestID]*retainedKey{}} }

// retain adds the key of a request.
func (t *retainedKeys) retain(id RequestID, expiresAt time.Duration) {
	t.keys[id] = &retainedKey{expiresAt: expiresAt}
	t.live++
}

// requestStarted records that a request was started. If it has a key, the request may have taken effect from now on.
func (t *retainedKeys) requestStarted(id RequestID) {
	if key := t.keys[id]; key != nil {
		key.started = true
	}
}

// release removes the key of a request that never ran and reports whether there was one. Such a key must neither use
// memory nor prevent a later attempt from running.
func (t *retainedKeys) release(id RequestID) bool {
	key := t.keys[id]
	if key == nil || key.started {
		return false
	}
	t.live--
	delete(t.keys, id)
	return true
}

// expire recounts the live keys and drops those that no repeat can name any more.
func (t *retainedKeys) expire(now time.Duration) {
	t.live = 0
	maps.DeleteFunc(t.keys, func(_ RequestID, key *retainedKey) bool {
		if now < key.expiresAt {
			t.live++
		}
		return now > key.expiresAt+expiredKeyRetention
	})
}

// retainKey retains the key of a request before it can run, for the retention window from its arrival. False means
// that there is no memory for it, so the request must not run.
func (c *Controller) retainKey(req *request) bool {
	class := c.classes.of(req)
	ttl := class.RetentionWindow - req.Age + tickInterval
	switch {
	case class.Idempotency == Idempotent && c.settings.ResultFreshness > 0 && req.SubjectKey != 0:
		ttl = class.Deadline + c.settings.ResultFreshness
	case class.Idempotency != IdempotentByKey:
		return true
	}
	if !c.memory.fitsKey(c.keys.live, req.QueuedKB) {
		return class.Idempotency == Idempotent
	}
	c.keys.retain(req.ID, c.now+ttl)
	c.emit(RetainKey{ID: req.ID, TTL: ttl})
	return true
}

// releaseKey releases the key of a request that never ran.
func (c *Controller) releaseKey(req *request) {
	if c.keys.release(req.ID) {
		c.emit(ReleaseKey{ID: req.ID})
	}
}

// replayOriginal answers a repeat with the result of its original and returns true. It returns false if the original
// has no retained key, and also if the original is still queued: that is rejected in favour of the repeat, whose caller
// waits longer. The repeat is then queued like any other request.
func (c *Controller) replayOriginal(req *request) bool {
	id := req.Original
	// The original may be a repeat itself, whose key is under its own original.
	original := c.requests.byID[id]
	for c.keys.keys[id] == nil && original != nil && original.Original != 0 {
		id = original.Original
		original = c.requests.byID[id]
	}
	key := c.keys.keys[id]
	if key == nil {
		return false
	}
	if !key.started && original != nil && c.classes.of(req).Idempotency == IdempotentByKey {
		c.reject(original, true)
		return false
	}
	if c.memoryUse() > 1 {
		// Once the original has started, a rejection would wrongly state that nothing ran. Waiting repeats must not use
		// up the memory either.
		c.fail(req)
		return true
	}
	c.transition(req, stateReplaying)
	c.emit(ReplayResult{ID: req.ID})
	return true
}
