package dispatch

import (
	"pewterline/internal/decide/handoff"
)

// PeerProcess is the other process of this server, while an old one and its successor live side by side. It takes these
// messages in the order of the calls.
type PeerProcess interface {
	// Claim asks whether a key may be run here.
	Claim(KeyedRequest)
	// Grant lets the peer run a key.
	Grant(KeyedRequest)
	// NotifyStarted tells that a key is held or run here.
	NotifyStarted(KeyedRequest)
	// NotifyFinished tells that a run of a key has ended here.
	NotifyFinished(KeyedRequest, RunOutcome)
	// NotifyReleased tells that a key is held here no more, and has not run.
	NotifyReleased(KeyedRequest)
}

// JoinPeer has the core decide about keys together with another process from now on.
func (c *Core) JoinPeer(peer PeerProcess, role handoff.Role) { c.peer, c.role = peer, role }

// Role is what this process is to its peer.
func (c *Core) Role() handoff.Role { return c.role }

// handoffKey is what is known of a key, as the state machine of the handoff sees it; e may be nil.
func (e *keyEntry) handoffKey() handoff.Key {
	switch {
	case e == nil:
		return handoff.Key{State: handoff.Free}
	case e.peerState != handoff.Free:
		return handoff.Key{State: e.peerState, PeerWaiting: e.peerWaiting}
	case e.run == runFinished:
		return handoff.Key{State: handoff.Done, PeerWaiting: e.peerWaiting}
	}
	return handoff.Key{State: handoff.Local, PeerWaiting: e.peerWaiting}
}

// deferToPeer decides on an attempt whose key the peer process may have something to say about. It returns false
// where the attempt is to be admitted.
func (c *Core) deferToPeer(req *request) bool {
	entry := c.keys.current(req.scopedKey(), req.ArrivedAt)
	if c.peer == nil && (entry == nil || entry.peerState == handoff.Free) {
		return false
	}
	key := entry.handoffKey()
	actions := key.Step(c.role, handoff.Attempt, false)
	if actions[0] == handoff.Admit {
		return false
	}
	req.state = stateWaiting
	if entry == nil {
		entry = c.addRestored(req.keyedRequest(), key.State)
	}
	req.entry = entry
	for _, action := range actions {
		switch action {
		case handoff.Queue:
			c.parked.add(req)
		case handoff.Fail:
			c.respondLater(req, failed(reasonIndeterminate))
		case handoff.Claim:
			c.peer.Claim(req.keyedRequest())
		default: // An attempt has no other effect.
		}
	}
	return true
}

// keyEvent is something that happens to a key while there is a peer process.
type keyEvent struct {
	kind    handoff.Event
	request KeyedRequest
	outcome RunOutcome // of PeerFinished
}

// receive takes up what the peer process says of a key.
func (c *Core) receive(event keyEvent) {
	if !c.knownClass(event.request.Class) {
		return
	}
	key := IdempotencyKey{event.request.Tenant, event.request.IdempotencyKey}
	c.stepKey(c.keys.current(key, event.request.ArrivedAt), event)
}

// stepAll has the same happen to all keys, in an order that depends on nothing but themselves.
func (c *Core) stepAll(kind handoff.Event) {
	for _, name := range c.keys.sorted() {
		entry := c.keys.byKey[name]
		c.stepKey(entry, keyEvent{kind: kind, request: entry.keyedRequest()})
	}
}

// stepKey takes a key a step on; entry is what is known of it, nil for nothing.
func (c *Core) stepKey(entry *keyEntry, event keyEvent) {
	waiting := c.parked.waitingFor(entry)
	key := entry.handoffKey()
	before := key.State
	actions := key.Step(c.role, event.kind, len(waiting) > 0)
	if key.State != before {
		entry = c.enterState(entry, key.State, event)
	}
	if entry != nil {
		entry.peerWaiting = key.PeerWaiting
	}
	for _, action := range actions {
		c.resumeParked(action, entry, waiting)
		c.applyToPeer(action, entry, event.request)
	}
}

// enterState notes the new state of a key, and returns its entry.
func (c *Core) enterState(entry *keyEntry, state handoff.State, event keyEvent) *keyEntry {
	switch state {
	case handoff.Requested, handoff.Remote, handoff.Indeterminate:
		if entry == nil || entry.peerState == handoff.Free {
			entry = c.addRestored(event.request, state)
		}
		entry.peerState = state
	case handoff.Done:
		if event.kind == handoff.PeerFinished {
			entry = c.finishRemote(entry, event)
		}
	default: // Local, by the attempts that waited, or Free.
		if entry != nil && entry.peerState != handoff.Free {
			c.keys.remove(entry)
		}
	}
	return entry
}

// finishRemote notes the end of a run in the peer process.
func (c *Core) finishRemote(entry *keyEntry, event keyEvent) *keyEntry {
	if entry == nil {
		entry = c.addRestored(event.request, handoff.Free)
	}
	entry.peerState = handoff.Free
	entry.finish(event.outcome, event.request.Result)
	entry.arrivedAt = event.request.ArrivedAt
	entry.expires = event.request.ArrivedAt + c.retentionWindow(event.request.Class)
	return entry
}

// resumeParked carries out an action of the handoff on the requests that wait for a key.
func (c *Core) resumeParked(action handoff.Action, entry *keyEntry, waiting []*request) {
	switch action {
	case handoff.Release:
		for _, req := range waiting {
			c.parked.remove(req)
			req.state, req.entry = stateQueued, nil
			c.admit(req)
		}
	case handoff.Serve:
		for _, req := range waiting {
			c.parked.remove(req)
			c.respondLater(req, entry.response())
		}
	case handoff.Fail:
		for _, req := range waiting {
			c.parked.remove(req)
			c.respondLater(req, failed(reasonIndeterminate))
		}
	default: // The others are for the peer process.
	}
}

// applyToPeer carries out an action of the handoff on the peer process.
func (c *Core) applyToPeer(action handoff.Action, entry *keyEntry, request KeyedRequest) {
	if c.peer == nil {
		return
	}
	switch action {
	case handoff.Claim:
		c.peer.Claim(request)
	case handoff.Grant:
		c.peer.Grant(request)
	case handoff.NotifyStarted:
		c.peer.NotifyStarted(request)
	case handoff.NotifyFinished:
		if entry != nil && entry.run == runFinished {
			c.peer.NotifyFinished(entry.keyedRequest(), entry.outcome)
		} else {
			c.peer.NotifyFinished(request, RunFailed) // It may have run.
		}
	case handoff.NotifyReleased:
		c.peer.NotifyReleased(request)
	default: // The others are for the requests that wait here.
	}
}

// notifyFinished notifies the peer process that the run of a key has ended here.
func (c *Core) notifyFinished(entry *keyEntry) {
	if c.peer == nil {
		return
	}
	key := entry.handoffKey()
	actions := key.Step(c.role, handoff.LocalFinished, false)
	entry.peerWaiting = key.PeerWaiting
	for _, action := range actions {
		c.applyToPeer(action, entry, entry.keyedRequest())
	}
}

// notifyReleasedKeys tells the peer process of keys that are held here no more. It waits until all actions of a step
// are carried out: the decision module may release a key and retain it again for a newer attempt.
func (c *Core) notifyReleasedKeys() {
	for _, entry := range c.keys.takeReleased() {
		if c.peer == nil || c.keys.byKey[entry.key] != nil {
			continue
		}
		request := entry.keyedRequest()
		key := handoff.Key{State: handoff.Local, PeerWaiting: entry.peerWaiting}
		for _, action := range key.Step(c.role, handoff.LocalReleased, false) {
			if action == handoff.Grant {
				c.addRestored(request, handoff.Remote)
			}
			c.applyToPeer(action, nil, request)
		}
	}
}

// Keys are all keys of which something is known, for AnnounceKey.
func (c *Core) Keys() []IdempotencyKey { return c.keys.sorted() }

// AnnounceKey tells the peer process what is known of a key, if it has run here or may have.
func (c *Core) AnnounceKey(key IdempotencyKey) {
	entry := c.keys.byKey[key]
	if entry == nil || c.peer == nil || c.now >= entry.expires && !entry.unfinished() {
		return
	}
	switch state := entry.handoffKey().State; {
	case state == handoff.Done:
		c.peer.NotifyFinished(entry.keyedRequest(), entry.outcome)
	case state == handoff.Indeterminate:
		c.peer.NotifyFinished(entry.keyedRequest(), RunFailed)
	case entry.run != runNone:
		c.peer.NotifyStarted(entry.keyedRequest())
	}
}

// PeerClaimed is the peer's question whether it may run a key.
func (c *Core) PeerClaimed(request KeyedRequest) {
	c.receive(keyEvent{kind: handoff.PeerClaimed, request: request})
}

// PeerGranted is the peer's permission to run a key here.
func (c *Core) PeerGranted(request KeyedRequest) {
	c.receive(keyEvent{kind: handoff.PeerGranted, request: request})
}

// PeerStarted says that the peer holds or runs a key.
func (c *Core) PeerStarted(request KeyedRequest) {
	c.receive(keyEvent{kind: handoff.PeerStarted, request: request})
}

// PeerFinished says how a run of the peer's ended. The core keeps its result.
func (c *Core) PeerFinished(request KeyedRequest, outcome RunOutcome) {
	c.receive(keyEvent{kind: handoff.PeerFinished, request: request, outcome: outcome})
}

// PeerReleased says that the peer holds a key no more and has not run it.
func (c *Core) PeerReleased(request KeyedRequest) {
	c.receive(keyEvent{kind: handoff.PeerReleased, request: request})
}

// PassOwnership makes the peer the owner of all keys; it hears of what is held or run here.
func (c *Core) PassOwnership() {
	c.stepAll(handoff.OwnershipPassed)
	c.role = handoff.Requester
}

// TakeOwnership makes this process the owner of all keys.
func (c *Core) TakeOwnership() {
	c.role = handoff.Owner
	c.stepAll(handoff.OwnershipTaken)
}

// PeerLost says that the peer is gone: what it held may have run.
func (c *Core) PeerLost() {
	c.peer = nil
	c.stepAll(handoff.PeerLost)
	c.role = handoff.Alone
}

// KeyedRuns counts the runs of requests with an idempotency key that have not ended.
func (c *Core) KeyedRuns() int {
	count := 0
	for _, req := range c.requests.byRunID {
		if req.state.started() && req.entry != nil {
			count++
		}
	}
	return count
}
