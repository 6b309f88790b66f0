package control

import "time"

const (
	// expiredKeyRetention is how long an expired key is remembered: a repeat that is read late may still name it.
	expiredKeyRetention = time.Minute
)

type retainedKey struct { // a key in the host's table
	expiresAt time.Duration
	started   bool
}

// retainKey enters a keyed request before it can run, for its window from arrival. False: no room, so no run.
func (c *Controller) retainKey(r *request) bool {
	k := c.classes[r.Class]
	span := k.RetentionWindow - r.Age + tickInterval
	switch {
	case k.Idempotency == Idempotent && c.settings.ResultFreshness > 0 && r.Key != 0:
		span = k.Deadline + c.settings.ResultFreshness
	case k.Idempotency != IdempotentByKey:
		return true
	}
	// Entries outlive their requests by far: they must leave the cores room to run, or those starve on keys.
	room := memoryHighWater*c.settings.MemoryKB - float64(c.settings.Cores)*r.QueuedKB*c.settings.RunningMemoryFactor
	if c.settings.MemoryKB > 0 && (c.memoryUse(c.settings.KeyKB) > memoryHighWater ||
		float64(c.liveKeys+1)*c.settings.KeyKB > room) {
		return k.Idempotency == Idempotent
	}
	c.retainedKeys[r.ID] = &retainedKey{expiresAt: c.now + span}
	c.liveKeys++
	c.emit(RetainKey{ID: r.ID, TTL: span})
	return true
}

// releaseKey forgets the entry of a try that never ran: it must cost neither memory nor a later try's chance.
func (c *Controller) releaseKey(r *request) {
	if k := c.retainedKeys[r.ID]; k != nil && !k.started {
		c.liveKeys-- // the next tick counts again
		delete(c.retainedKeys, r.ID)
		c.emit(ReleaseKey{r.ID})
	}
}

// replayOriginal answers a repeat from its original. One still held gives way: the newer caller waits longer.
func (c *Controller) replayOriginal(r *request) bool {
	id := r.Original
	for o := c.requests[id]; c.retainedKeys[id] == nil && o != nil && o.Original != 0; o = c.requests[id] {
		id = o.Original // a repeat of a repeat
	}
	k := c.retainedKeys[id]
	if k == nil {
		return false
	}
	if old := c.requests[id]; !k.started && old != nil && c.classes[r.Class].Idempotency == IdempotentByKey {
		c.reject(old, true)
		return false
	}
	if c.memoryUse(0) > 1 { // it must not be turned away once it ran; nor may many bring the machine down
		c.fail(r)
		return true
	}
	c.transition(r, stateReplaying)
	c.emit(ReplayResult{r.ID})
	return true
}
