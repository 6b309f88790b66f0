package dispatch

import (
	"pewterline/internal/decide/handoff"
)

// PeerProcess is the other process of this server during a hot restart, while an old process and its successor run side
// by side. It sends the messages in the order of the calls.
type PeerProcess interface {
	// Claim asks for permission to run a key here.
	Claim(KeyedRequest)
	// Grant permits the peer to run a key.
	Grant(KeyedRequest)
	// NotifyStarted reports that this process runs a key or may run it.
	NotifyStarted(KeyedRequest)
	// NotifyFinished reports that the run of a key has ended here.
	NotifyFinished(KeyedRequest, RunOutcome)
	// NotifyReleased reports that this process gives up a key that it has not run.
	NotifyReleased(KeyedRequest)
}

// JoinPeer makes the core share its keys with another process of this server from now on.
func (c *Core) JoinPeer(peer PeerProcess, role handoff.Role) { c.peer, c.role = peer, role }

// Role returns the role of this process in the handoff.
func (c *Core) Role() handoff.Role { return c.role }

// handoffKey converts an entry to the state of package handoff; e may be nil.
func (e *keyEntry) handoffKey() handoff.Key {
	switch {
	case e == nil:
		return handoff.Key{State: handoff.Free}
	case e.peerState != handoff.Free:
		return handoff.Key{State: e.peerState, PeerWaiting: e.peerWaiting, ClaimPending: e.claimPending}
	case e.run == runFinished:
		return handoff.Key{State: handoff.Done, PeerWaiting: e.peerWaiting}
	}
	return handoff.Key{State: handoff.Local, PeerWaiting: e.peerWaiting}
}

// deferToPeer parks or fails an attempt whose key the peer process may run or may have run. It returns false if the
// attempt has to be admitted at once.
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
		entry = c.addExternal(req.keyedRequest(), key.State)
	}
	entry.claimPending = key.ClaimPending
	req.entry = entry
	for _, action := range actions {
		switch action {
		case handoff.Queue:
			c.parked.add(req)
		case handoff.Fail:
			c.respondLater(req, failed(reasonIndeterminate))
		case handoff.Claim:
			c.peer.Claim(req.keyedRequest())
		default: // The event Attempt has no other actions.
		}
	}
	return true
}

// keyEvent is an event of the handoff and the request that it concerns.
type keyEvent struct {
	kind    handoff.Event
	request KeyedRequest
	outcome RunOutcome // of PeerFinished
}

// handlePeerMessage handles a message of the peer process about a key. It ignores a request of an unknown class.
func (c *Core) handlePeerMessage(event keyEvent) {
	if !c.knownClass(event.request.Class) {
		return
	}
	key := IdempotencyKey{event.request.Tenant, event.request.IdempotencyKey}
	entry := c.keys.current(key, event.request.ArrivedAt)
	if c.isNewerRun(event, entry) {
		c.keys.replace(entry)
		entry = nil
	}
	c.stepKey(entry, event)
}

// isNewerRun reports whether an event concerns a run of the peer from after the retention window of the run that is
// known here. The processes may keep an entry for slightly different times, and the peer's decides.
func (c *Core) isNewerRun(event keyEvent, entry *keyEntry) bool {
	isRun := event.kind == handoff.PeerStarted || event.kind == handoff.PeerFinished
	return isRun && entry != nil && entry.run == runFinished &&
		event.request.ArrivedAt >= entry.arrivedAt+c.retentionWindow(entry.class)
}

// stepAllKeys applies an event of the handoff to all keys, in the order of compareKeys.
func (c *Core) stepAllKeys(kind handoff.Event) {
	for _, key := range c.keys.sorted() {
		entry := c.keys.byKey[key]
		c.stepKey(entry, keyEvent{kind: kind, request: entry.keyedRequest()})
	}
}

// stepKey applies an event of the handoff to a key and carries out the actions. entry may be nil.
func (c *Core) stepKey(entry *keyEntry, event keyEvent) {
	waiting := c.parked.waitingFor(entry)
	key := entry.handoffKey()
	previousState := key.State
	actions := key.Step(c.role, event.kind, len(waiting) > 0)
	if key.State != previousState {
		entry = c.enterState(entry, key.State, event)
	}
	if entry != nil {
		entry.peerWaiting = key.PeerWaiting
		entry.claimPending = key.ClaimPending
	}
	for _, action := range actions {
		c.resumeParked(action, entry, waiting)
		c.applyToPeer(action, entry, event.request)
	}
}

// enterState updates the entry of a key to its new state and returns the entry.
func (c *Core) enterState(entry *keyEntry, state handoff.State, event keyEvent) *keyEntry {
	switch state {
	case handoff.Requested, handoff.Remote, handoff.Indeterminate:
		if entry == nil || entry.peerState == handoff.Free {
			entry = c.addExternal(event.request, state)
		}
		entry.peerState = state
	case handoff.Done:
		if event.kind == handoff.PeerFinished {
			entry = c.finishRemote(entry, event)
		}
	default: // Free or Local. For Local, the handoff also admits the attempts that waited.
		if entry != nil && entry.peerState != handoff.Free {
			c.keys.remove(entry)
		}
	}
	return entry
}

// finishRemote records the end of a run in the peer process.
func (c *Core) finishRemote(entry *keyEntry, event keyEvent) *keyEntry {
	if entry == nil {
		entry = c.addExternal(event.request, handoff.Free)
	}
	entry.peerState = handoff.Free
	entry.finish(event.outcome, event.request.Result)
	entry.arrivedAt = event.request.ArrivedAt
	entry.expires = event.request.ArrivedAt + c.retentionWindow(event.request.Class)
	return entry
}

// resumeParked carries out the actions of the handoff on the requests that wait for a key.
func (c *Core) resumeParked(action handoff.Action, entry *keyEntry, waiting []*request) {
	switch action {
	case handoff.AdmitWaiting:
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
	default: // The other actions are messages to the peer process.
	}
}

// applyToPeer carries out the actions of the handoff that are messages to the peer process.
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
			c.peer.NotifyFinished(request, RunFailed) // The key may have run.
		}
	case handoff.NotifyReleased:
		c.peer.NotifyReleased(request)
	default: // The other actions concern the requests that wait here.
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

// notifyDroppedKeys notifies the peer process of the keys whose entries were dropped without a run. It is called after
// all actions of a step, as the decision module may stop retaining a key and, in the same step, retain it again for a
// newer attempt.
func (c *Core) notifyDroppedKeys() {
	for _, entry := range c.keys.takeDropped() {
		if c.peer == nil || c.keys.byKey[entry.key] != nil {
			continue
		}
		request := entry.keyedRequest()
		key := handoff.Key{State: handoff.Local, PeerWaiting: entry.peerWaiting}
		for _, action := range key.Step(c.role, handoff.LocalReleased, false) {
			if action == handoff.Grant {
				c.addExternal(request, handoff.Remote)
			}
			c.applyToPeer(action, nil, request)
		}
	}
}

// Keys returns all keys that have an entry, for AnnounceKey.
func (c *Core) Keys() []IdempotencyKey { return c.keys.sorted() }

// AnnounceKey notifies the peer process of the run of a key, if the key has run or may have run here.
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

// PeerClaimed handles the peer's request for permission to run a key.
func (c *Core) PeerClaimed(request KeyedRequest) {
	c.handlePeerMessage(keyEvent{kind: handoff.PeerClaimed, request: request})
}

// PeerGranted handles the peer's permission to run a key here.
func (c *Core) PeerGranted(request KeyedRequest) {
	c.handlePeerMessage(keyEvent{kind: handoff.PeerGranted, request: request})
}

// PeerStarted handles the peer's message that it runs a key or may run it.
func (c *Core) PeerStarted(request KeyedRequest) {
	c.handlePeerMessage(keyEvent{kind: handoff.PeerStarted, request: request})
}

// PeerFinished handles the peer's message about the end of a run. The core keeps request.Result.
func (c *Core) PeerFinished(request KeyedRequest, outcome RunOutcome) {
	c.handlePeerMessage(keyEvent{kind: handoff.PeerFinished, request: request, outcome: outcome})
}

// PeerReleased handles the peer's message that it gives up a key that it has not run.
func (c *Core) PeerReleased(request KeyedRequest) {
	c.handlePeerMessage(keyEvent{kind: handoff.PeerReleased, request: request})
}

// PassOwnership makes the peer the owner of all keys and notifies it of those that this process runs or may run.
func (c *Core) PassOwnership() {
	c.stepAllKeys(handoff.OwnershipPassed)
	c.role = handoff.Requester
}

// TakeOwnership makes this process the owner of all keys.
func (c *Core) TakeOwnership() {
	c.role = handoff.Owner
	c.stepAllKeys(handoff.OwnershipTaken)
}

// PeerLost handles the loss of the peer process. The keys that the peer ran or may have run become indeterminate.
func (c *Core) PeerLost() {
	c.peer = nil
	c.stepAllKeys(handoff.PeerLost)
	c.role = handoff.Alone
}

// KeyedRuns counts the unfinished runs of requests with an idempotency key.
func (c *Core) KeyedRuns() int {
	count := 0
	for _, req := range c.requests.byRunID {
		if req.state.started() && req.entry != nil {
			count++
		}
	}
	return count
}
