package control

import (
	"maps"
	"time"
)

// expiredKeyRetention is how long a key is kept after it has expired, as a repeat that is read late may still refer to
// it.
const expiredKeyRetention = time.Minute

// retainedKey is the idempotency key of one request, which the host retains too.
type retainedKey struct {
	expiresAt time.Duration
	started   bool // the request was started: it may have taken effect
}

// retainedKeys tracks the idempotency keys that the host retains. Each key is stored under the ID of its original: the
// request that RetainKey named. A repeat is a later attempt with the same key.
type retainedKeys struct {
	keys map[RequestID]*retainedKey
	// aliases maps the attempts whose key is now held by another attempt to that attempt. The host learns of it when it
	// carries out the actions of the step, and names any of them as the original until then.
	aliases   map[RequestID]RequestID
	liveCount int // number of keys that had not expired at the last call of expire
}

func newRetainedKeys() *retainedKeys {
	return &retainedKeys{keys: map[RequestID]*retainedKey{}, aliases: map[RequestID]RequestID{}}
}

// beginStep drops the aliases of the previous step, as the host has carried out its actions.
func (t *retainedKeys) beginStep() { clear(t.aliases) }

// retain adds the key of a request.
func (t *retainedKeys) retain(id RequestID, expiresAt time.Duration) {
	t.keys[id] = &retainedKey{expiresAt: expiresAt}
	t.liveCount++
}

// requestStarted marks the key of a request, if there is one, as started: the request may take effect from now on.
func (t *retainedKeys) requestStarted(id RequestID) {
	if key := t.keys[id]; key != nil {
		key.started = true
	}
}

// release removes the key of a request that never ran and reports whether there was one. If it were kept, it would use
// memory and prevent a later attempt from running.
func (t *retainedKeys) release(id RequestID) bool {
	key := t.keys[id]
	if key == nil || key.started {
		return false
	}
	t.liveCount--
	delete(t.keys, id)
	return true
}

// expire recounts the live keys and removes those that expired more than expiredKeyRetention ago.
func (t *retainedKeys) expire(now time.Duration) {
	t.liveCount = 0
	maps.DeleteFunc(t.keys, func(_ RequestID, key *retainedKey) bool {
		if now < key.expiresAt {
			t.liveCount++
		}
		return now > key.expiresAt+expiredKeyRetention
	})
}

// retainKey retains the key of a request before the request can run. The key of a keyed request is retained for the
// retention window, counted from the arrival of the request. An idempotent request has a key only if its result may
// answer others. retainKey returns false if the request must not run, because there is no memory for the key that it
// needs; an idempotent request can run without a key.
func (c *Controller) retainKey(req *request) bool {
	class := c.classes.of(req)
	ttl := class.RetentionWindow - req.Age + tickInterval
	switch {
	case class.Idempotency == Idempotent && c.settings.ResultFreshness > 0 && req.SubjectKey != 0:
		ttl = class.Deadline + c.settings.ResultFreshness
	case class.Idempotency != IdempotentByKey:
		return true
	}
	if !c.memory.fitsKey(c.keys.liveCount, req.QueuedKB) {
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

// replayOriginal answers a repeat with the result of its original and returns true. It returns false if the repeat must
// be queued like any other request: the original has no retained key, or it is a keyed request that is still queued. A
// queued original is rejected in favour of the repeat, whose caller waits longer. So at most one attempt of a keyed
// request is queued.
func (c *Controller) replayOriginal(req *request) bool {
	keyed := c.classes.of(req).Idempotency == IdempotentByKey
	holder := c.keyHolder(req.Original)
	key := c.keys.keys[holder]
	original := c.requests.byID[holder]
	replaced := keyed && key != nil && !key.started && original != nil
	if replaced {
		c.reject(original, true)
	}
	if key == nil || replaced {
		if keyed {
			c.keys.aliases[holder] = req.ID
		}
		return false
	}
	if keyed {
		c.keys.aliases[req.ID] = holder
	}
	req.Original = holder
	if c.memoryUse() > 1 {
		// A repeat that waits for the result needs memory. It fails and is not rejected, because a rejection would
		// wrongly state that nothing ran.
		c.fail(req)
		return true
	}
	c.transition(req, stateReplaying)
	c.emit(ReplayResult{ID: req.ID})
	return true
}

// keyHolder returns the attempt that holds the key of an attempt, or was the last one to hold it. The attempt may be a
// repeat that waits for the result, and it may have ended in this step.
func (c *Controller) keyHolder(id RequestID) RequestID {
	for {
		if holder, moved := c.keys.aliases[id]; moved {
			id = holder
			continue
		}
		attempt := c.requests.byID[id]
		if attempt == nil || attempt.state != stateReplaying {
			return id
		}
		id = attempt.Original
	}
}
