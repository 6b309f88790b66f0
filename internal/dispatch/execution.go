package dispatch

import (
	"fmt"

	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// storeRetryAfter is the Retry-After of a rejection because the store could not record the start of a run.
const storeRetryAfter = microtime.Second

// KeyedRequest is a request with an idempotency key, as the execution store and the peer process know it.
type KeyedRequest struct {
	Class, Tenant  int
	IdempotencyKey string
	// ArrivedAt is when the attempt that ran arrived; negative if before the process started.
	ArrivedAt microtime.Time
	// ArrivedAtUnixMilli is the arrival time as the caller stated it, in Unix milliseconds; 0 if it stated none.
	ArrivedAtUnixMilli int64
	// Retry means that the caller has made an earlier attempt, here or at another server.
	Retry bool
	// Result is the result of the run.
	Result []byte
}

// Verdict is what an execution store knows of a request with an idempotency key.
type Verdict uint8

// The verdicts. All but VerdictGranted and VerdictUnavailable come only from stores that other servers write to.
const (
	// VerdictGranted grants the lease to run the request. Only Acquire returns it.
	VerdictGranted Verdict = iota
	// VerdictSucceeded means that the request has run and succeeded; its result is LeaseResult.Result.
	VerdictSucceeded
	// VerdictFailed means that the request has run and failed.
	VerdictFailed
	// VerdictIndeterminate means that another server runs the request, or ran it when it crashed.
	VerdictIndeterminate
	// VerdictUnavailable means that no lease could be recorded, so that the request must not run.
	VerdictUnavailable
	// VerdictUnknown means that the store has no record of the request. Only Lookup returns it; it is not a
	// lease.
	VerdictUnknown
)

// String names the verdict for logs and tests.
func (v Verdict) String() string {
	names := [...]string{"granted", "succeeded", "failed", "indeterminate", "unavailable", "unknown"}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// LeaseResult is the answer of an execution store to Lookup or Acquire.
type LeaseResult struct {
	Verdict Verdict
	// ArrivedAt is when the attempt that ran arrived; set with VerdictSucceeded.
	ArrivedAt microtime.Time
	// Result is the result of the run; set with VerdictSucceeded.
	Result []byte
	// Err is the cause of VerdictUnavailable.
	Err error
}

// ExecutionStore durably records the runs of requests with an idempotency key. Each done is called once, on the event
// loop, possibly before the method returns; without an error, the record is durable by then.
type ExecutionStore interface {
	// Lookup asks what the store knows of a request that this core does not know, before the request is admitted. It
	// returns false, and never calls done, if there is no reason to ask other servers.
	Lookup(request KeyedRequest, done func(LeaseResult)) bool
	// Acquire records that a request is about to run: from then on it may have run.
	Acquire(request KeyedRequest, done func(LeaseResult))
	// ReleaseLease asynchronously releases the lease that Acquire recorded: the request did not run.
	ReleaseLease(request KeyedRequest)
	// RecordFailure asynchronously records that the request ran and failed.
	RecordFailure(request KeyedRequest)
	// RecordResult records the result of a request that ran.
	RecordResult(request KeyedRequest, done func(error))
}

// UseExecutionStore sets the execution store. With it, every request with an idempotency key is recorded before it
// runs, and its result before the response is sent.
func (c *Core) UseExecutionStore(store ExecutionStore) { c.store = store }

// Restore adds a request that an earlier process of this server ran: repeats within the retention window get its
// result.
func (c *Core) Restore(request KeyedRequest) {
	if !c.knownClass(request.Class) {
		return
	}
	entry := c.addExternal(request, handoff.Free)
	entry.finish(RunSucceeded, request.Result)
}

// RestoreLease adds a request that an earlier process of this server was about to run, or ran, without a recorded
// result. As that process may have been killed at any time, repeats fail as indeterminate until the window is over.
func (c *Core) RestoreLease(request KeyedRequest) {
	if c.knownClass(request.Class) {
		c.addExternal(request, handoff.Indeterminate)
	}
}

// addExternal adds the entry of a key that another process runs, ran or may run.
func (c *Core) addExternal(request KeyedRequest, peerState handoff.State) *keyEntry {
	entry := &keyEntry{
		key:       IdempotencyKey{request.Tenant, request.IdempotencyKey},
		class:     request.Class,
		arrivedAt: request.ArrivedAt,
		expires:   request.ArrivedAt + c.retentionWindow(request.Class),
		retained:  true,
		external:  true,
		peerState: peerState,
	}
	c.keys.byKey[entry.key] = entry
	return entry
}

// launch starts the run of an attempt. With an execution store it first acquires the lease; without the lease the
// attempt does not run.
func (c *Core) launch(req *request) {
	if req.entry == nil || c.store == nil {
		c.startBackend(req)
		return
	}
	id := req.RunID
	request := req.entry.keyedRequest()
	request.Retry = req.Retry
	c.store.Acquire(request, func(lease LeaseResult) {
		if c.requests.byRunID[id] == req {
			c.launchWithLease(req, lease)
		}
	})
}

// launchWithLease handles the store's answer to Acquire: it starts the run if the lease was granted.
func (c *Core) launchWithLease(req *request, lease LeaseResult) {
	entry := req.entry
	switch {
	case lease.Verdict == VerdictSucceeded:
		entry.arrivedAt = lease.ArrivedAt
		entry.expires = lease.ArrivedAt + c.retentionWindow(entry.class)
		entry.external = true
		entry.finish(RunSucceeded, lease.Result)
		c.finishAll(entry, req, RunSucceeded, lease.Result)
	case lease.Verdict == VerdictFailed:
		entry.finish(RunFailed, nil)
		c.finishAll(entry, req, RunFailed, nil)
	case lease.Verdict == VerdictIndeterminate:
		c.keys.markIndeterminate(entry, req.ArrivedAt+c.retentionWindow(req.Class))
		c.finishAll(entry, req, RunIndeterminate, nil)
	case lease.Verdict == VerdictUnavailable:
		c.logf("dispatch: lease not recorded, request not run: key=%q error=%v", entry.key.text, lease.Err)
		c.RunDeclined(req.RunID, storeRetryAfter, false)
	case req.answered && len(entry.waiters) == 0: // No caller waits for the result any more.
		c.RunFinished(req.RunID, RunNotStarted, nil)
	default:
		c.startBackend(req)
	}
}

// deferToStore parks an attempt whose key is not known here and looks it up in the store, so that a repeat of a run at
// another server is answered even if this server is overloaded. It returns false if the attempt has to be admitted at
// once.
func (c *Core) deferToStore(req *request) bool {
	if c.store == nil || c.keys.current(req.scopedKey(), req.ArrivedAt) != nil {
		return false
	}
	// The attempt is parked before Lookup, as a replication group of one server answers before Lookup returns.
	req.state = stateWaiting
	c.parked.add(req)
	lookupStarted := c.store.Lookup(req.keyedRequest(), func(lease LeaseResult) {
		stillParked := c.requests.byID[req.id] == req && req.state == stateWaiting && req.entry == nil
		if stillParked { // Otherwise the attempt was answered meanwhile, or its caller has abandoned it.
			c.resumeAfterLookup(req, lease)
		}
	})
	if !lookupStarted {
		req.state = stateQueued
		c.parked.remove(req)
	}
	return lookupStarted
}

// resumeAfterLookup admits or answers an attempt that was parked until the store's answer to Lookup.
func (c *Core) resumeAfterLookup(req *request, lease LeaseResult) {
	c.parked.remove(req)
	known := c.keys.current(req.scopedKey(), req.ArrivedAt)
	switch {
	case lease.Verdict == VerdictUnknown || known != nil: // known: another attempt has arrived here meanwhile.
		req.state = stateQueued
		c.admit(req)
	case lease.Verdict == VerdictSucceeded:
		entry := c.addExternal(req.keyedRequest(), handoff.Free)
		entry.finish(RunSucceeded, lease.Result)
		entry.arrivedAt = lease.ArrivedAt
		entry.expires = lease.ArrivedAt + c.retentionWindow(req.Class)
		c.respondLater(req, entry.response())
	case lease.Verdict == VerdictFailed:
		c.respondLater(req, failed(reasonRunFailed))
	default:
		c.respondLater(req, failed(reasonIndeterminate))
	}
}

// recordResult writes the result of a key's run to the store. If that fails, the request fails and is not run again,
// and a repeat makes the core write the result again. req is the request of the run; it is nil for the write that a
// repeat causes.
func (c *Core) recordResult(entry *keyEntry, req *request) {
	entry.run = runRecording
	c.store.RecordResult(entry.keyedRequest(), func(err error) {
		if err != nil {
			entry.run = runUnrecorded
			c.logf("dispatch: result not recorded: key=%q error=%v", entry.key.text, err)
			c.finishAll(entry, req, RunFailed, nil)
			return
		}
		entry.finish(RunSucceeded, entry.result)
		c.notifyFinished(entry)
		c.finishAll(entry, req, RunSucceeded, entry.result)
	})
}
