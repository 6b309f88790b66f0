package dispatch

import (
	"fmt"

	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// storeRetryAfter is when to come back to a server whose store does not record that a request is about to run.
const storeRetryAfter = microtime.Second

// KeyedRequest is a request with an idempotency key, as the execution store and the peer process know it.
type KeyedRequest struct {
	Class, Tenant  int
	IdempotencyKey string
	// ArrivedAt is when the attempt that ran came; negative if before the process started.
	ArrivedAt microtime.Time
	// ArrivedAtUnixMilli is the same as the caller gave it, in Unix milliseconds; 0 where it gave none.
	ArrivedAtUnixMilli int64
	// Retry says that its caller has tried before, here or elsewhere.
	Retry bool
	// Result is what its run made.
	Result []byte
}

// Verdict says whether a request with an idempotency key may run.
type Verdict uint8

// The verdicts. All but VerdictGranted and VerdictUnavailable come from stores that other servers write to as well.
const (
	// VerdictGranted is the lease to run it.
	VerdictGranted Verdict = iota
	// VerdictSucceeded says that it has run, with LeaseResult.Result.
	VerdictSucceeded
	// VerdictFailed says that it has run, and failed.
	VerdictFailed
	// VerdictIndeterminate says that another server runs it, or ran it when it died.
	VerdictIndeterminate
	// VerdictUnavailable says that it cannot be put on record, and is not to run.
	VerdictUnavailable
)

// String names the verdict for logs and tests.
func (v Verdict) String() string {
	names := [...]string{"granted", "succeeded", "failed", "indeterminate", "unavailable"}
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// LeaseResult is the word of an execution store on a request.
type LeaseResult struct {
	Verdict Verdict
	// ArrivedAt is, with VerdictSucceeded, when the attempt that ran came.
	ArrivedAt microtime.Time
	Result    []byte
	// Err says, with VerdictUnavailable, why.
	Err error
}

// ExecutionStore is the store of record for the runs of requests with an idempotency key. Each done is called once,
// on the event loop, possibly before the method returns; without an error, what was to be recorded is durable then.
type ExecutionStore interface {
	// Lookup asks what is known of a request that this core knows nothing of, before it is admitted. It returns false
	// where there is nobody to ask; done is not called then. Its VerdictGranted is no lease to run.
	Lookup(request KeyedRequest, done func(LeaseResult)) bool
	// Acquire records that a request is about to run: from then on it may have.
	Acquire(request KeyedRequest, done func(LeaseResult))
	// Release takes that back in its own time: the request did not run.
	Release(request KeyedRequest)
	// RecordFailure records in its own time that the request ran and failed.
	RecordFailure(request KeyedRequest)
	// RecordResult records the result of a request that ran.
	RecordResult(request KeyedRequest, done func(error))
}

// UseExecutionStore has every request with an idempotency key recorded before it runs, and its result before its
// response goes out.
func (c *Core) UseExecutionStore(store ExecutionStore) { c.store = store }

// Restore takes up a request that an earlier incarnation of this server ran: repeats within its window get its result.
func (c *Core) Restore(request KeyedRequest) {
	if !c.knownClass(request.Class) {
		return
	}
	entry := c.addRestored(request, handoff.Free)
	entry.ran = true
	entry.finish(RunSucceeded, request.Result)
}

// RestoreLease takes up a request that an earlier incarnation was about to run, or ran, and that has no result on
// record. That incarnation may have been killed in between: whether it ran is not known until its window is over.
func (c *Core) RestoreLease(request KeyedRequest) {
	if c.knownClass(request.Class) {
		c.addRestored(request, handoff.Indeterminate)
	}
}

// addRestored makes the entry of a key whose run the decision module has not seen.
func (c *Core) addRestored(request KeyedRequest, peerState handoff.State) *keyEntry {
	entry := &keyEntry{
		key:       IdempotencyKey{request.Tenant, request.IdempotencyKey},
		class:     request.Class,
		arrivedAt: request.ArrivedAt,
		expires:   request.ArrivedAt + c.retentionWindow(request.Class),
		retained:  true,
		restored:  true,
		peerState: peerState,
	}
	c.keys.byKey[entry.key] = entry
	return entry
}

// launch has an attempt run, once it is on record that it may. What cannot be put on record never ran: it is rejected.
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

// launchWithLease takes up the store's word on an attempt that is about to run.
func (c *Core) launchWithLease(req *request, lease LeaseResult) {
	entry := req.entry
	switch {
	case lease.Verdict == VerdictSucceeded:
		entry.arrivedAt = lease.ArrivedAt
		entry.expires = lease.ArrivedAt + c.retentionWindow(entry.class)
		entry.restored = true
		entry.finish(RunSucceeded, lease.Result)
		c.finishAll(entry, req, RunSucceeded, lease.Result)
	case lease.Verdict == VerdictFailed:
		entry.finished, entry.outcome = true, RunFailed
		c.finishAll(entry, req, RunFailed, nil)
	case lease.Verdict == VerdictIndeterminate:
		c.keys.markIndeterminate(entry, req.ArrivedAt+c.retentionWindow(req.Class))
		c.finishAll(entry, req, RunIndeterminate, nil)
	case lease.Verdict == VerdictUnavailable:
		c.logf("dispatch: request is not run without a lease on record: key=%q error=%v", entry.key.text, lease.Err)
		c.RunDeclined(req.RunID, storeRetryAfter, false)
	case req.answered && len(entry.waiters) == 0: // It is too late, and nobody waits.
		c.RunFinished(req.RunID, RunNotStarted, nil)
	default:
		c.startBackend(req)
	}
}

// deferToStore asks the store about an attempt of which nothing is known here, so that the repeat of a run of another
// server's is not turned away, however full this one is. It returns false where the attempt is to be admitted.
func (c *Core) deferToStore(req *request) bool {
	if c.store == nil || c.keys.current(req.scopedKey(), req.ArrivedAt) != nil {
		return false
	}
	// Parked first, as the word may come at once: a group of one server asks nobody else.
	req.state = stateJoined
	c.parked.add(req)
	asked := c.store.Lookup(req.keyedRequest(), func(lease LeaseResult) {
		waits := c.requests.byID[req.id] == req && req.state == stateJoined && req.entry == nil
		if waits { // Else it was answered meanwhile, or its caller has left.
			c.resumeAfterLookup(req, lease)
		}
	})
	if !asked {
		req.state = stateQueued
		c.parked.remove(req)
	}
	return asked
}

// resumeAfterLookup goes on with an attempt that has waited for the store's word.
func (c *Core) resumeAfterLookup(req *request, lease LeaseResult) {
	c.parked.remove(req)
	known := c.keys.current(req.scopedKey(), req.ArrivedAt)
	switch {
	case lease.Verdict == VerdictGranted || known != nil: // Another attempt may have been quicker here.
		req.state = stateQueued
		c.admit(req)
	case lease.Verdict == VerdictSucceeded:
		entry := c.addRestored(req.keyedRequest(), handoff.Free)
		entry.ran = true
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

// recordResult records the result of a key's run; req is the run's request, nil when a repeat tries again to record it.
// What cannot be recorded is not answered as succeeded, and not run again either: a repeat tries to record it.
func (c *Core) recordResult(entry *keyEntry, req *request) {
	entry.recording = true
	c.store.RecordResult(entry.keyedRequest(), func(err error) {
		entry.recording = false
		if err != nil {
			c.logf("dispatch: result is not on record: key=%q error=%v", entry.key.text, err)
			c.finishAll(entry, req, RunFailed, nil)
			return
		}
		entry.unrecorded = false
		entry.finished, entry.outcome = true, RunSucceeded
		c.notifyFinished(entry)
		c.finishAll(entry, req, RunSucceeded, entry.result)
	})
}
