package dispatch

import (
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// expiryLead is how long before its deadline a failed request already counts as expired: the decision module fails
// requests shortly before their deadlines.
const expiryLead = 100 * microtime.Millisecond

// start starts the run of a queued request. A key that runs or has run is not run again, even if the decision module
// asks for it.
func (c *Core) start(req *request) {
	if req == nil || req.state != stateQueued {
		return
	}
	if req.entry != nil {
		if c.keys.reattach(req) {
			c.logf("dispatch: key of a queued request was released: run=%s key=%q", req.RunID, req.entry.key.text)
		}
		if !req.entry.claim(req) {
			c.logf("dispatch: run withheld, another attempt has run the key: run=%s", req.RunID)
			c.replay(req)
			return
		}
	}
	req.state = stateRunning
	if req.entry != nil && c.peer != nil && c.role == handoff.Owner {
		// Sent before the run begins, so that the peer knows of the run even if this process crashes.
		c.peer.NotifyStarted(req.entry.keyedRequest())
	}
	c.launch(req)
}

// startBackend passes an attempt to the backend. The run's deadline covers the retention window, as a repeat within the
// window still needs the result.
func (c *Core) startBackend(req *request) {
	class := c.class(req)
	c.counters.byClass[req.Class].Attempts++
	c.backend.Start(Run{
		ID:         req.RunID,
		Class:      class.Name,
		Body:       req.Body,
		AtMostOnce: class.Idempotency != control.Idempotent,
		Deadline:   req.ArrivedAt + microtime.FromDuration(max(class.Deadline, class.RetentionWindow)),
		Request:    &req.Request,
	})
}

// reject rejects a request, unless it was started.
func (c *Core) reject(req *request, action control.Reject) {
	if req == nil || req.state.started() {
		return
	}
	retryAfter := microtime.FromDuration(action.RetryAfter)
	c.respond(req, c.rejection(req, retryAfter, action.NoRetry))
	c.removeRequest(req)
}

// rejection returns the response to a rejected request. If its key may have run, the response is a failure instead.
func (c *Core) rejection(req *request, retryAfter microtime.Time, noRetry bool) Response {
	if req.entry != nil && c.keys.mayHaveRun(req, c.now) {
		return failed(reasonIndeterminate)
	}
	return Response{Status: StatusRejected, RetryAfter: retryAfter, NoRetry: noRetry}
}

// fail answers a request with an error. A run that was started continues.
func (c *Core) fail(now microtime.Time, req *request) {
	if req == nil {
		return
	}
	response := failed(reasonGivenUp)
	if now >= c.deadline(req)-expiryLead {
		response = expired()
	}
	c.respond(req, response)
	if !req.state.started() {
		c.removeRequest(req)
	}
}

// preempt stops a run, and abandons the call that it waits for.
func (c *Core) preempt(req *request) {
	if req == nil || !req.state.started() {
		return
	}
	c.abandonCall(req)
	c.backend.Cancel(req.RunID)
}

// replay answers a request with the result of its key, or makes the request wait for the run.
func (c *Core) replay(req *request) {
	if req == nil || req.state != stateQueued {
		return
	}
	req.state = stateWaiting
	entry := req.entry
	switch {
	case entry == nil || entry.run == runNone:
		c.finish(req, RunFailed, nil)
	case entry.run == runFinished:
		c.finish(req, entry.outcome, entry.result)
	default:
		entry.waiters = append(entry.waiters, req)
		if entry.run == runUnrecorded {
			c.recordResult(entry, nil)
		}
	}
}

// RunFinished reports how the run of an attempt ended. The core keeps result.
func (c *Core) RunFinished(id string, outcome RunOutcome, result []byte) {
	req := c.requests.byRunID[id]
	if req == nil || !req.state.started() || req.recording {
		return
	}
	c.abandonCall(req)
	req.state, req.call = stateRunning, nil
	if req.entry == nil || req.entry.ranBy != req.id {
		c.finish(req, outcome, result)
		return
	}
	c.finishKeyed(req, outcome, result)
}

// finishKeyed handles the end of the run of a key.
func (c *Core) finishKeyed(req *request, outcome RunOutcome, result []byte) {
	entry := req.entry
	switch {
	case outcome == RunIndeterminate:
		// A repeat is passed to the backend again, as only the backend knows where the key may have run.
		c.keys.markIndeterminate(entry, req.ArrivedAt+c.retentionWindow(req.Class))
		c.finishAll(entry, req, outcome, nil)
	case outcome.neverRan():
		if c.startWaiterInstead(req, outcome) {
			return
		}
		c.keys.markNotRun(entry)
		if c.store != nil {
			c.store.ReleaseLease(entry.keyedRequest())
		}
		c.finishAll(entry, req, outcome, nil)
	case outcome == RunSucceeded && c.store != nil:
		entry.result, req.recording = result, true
		c.recordResult(entry, req)
	default:
		entry.finish(outcome, result)
		if c.store != nil {
			c.store.RecordFailure(entry.keyedRequest())
		}
		c.notifyFinished(entry)
		c.finishAll(entry, req, outcome, result)
	}
}

// RunDeclined reports that a run was declined and never started anywhere. The core rejects the request. retryAfter
// and noRetry are passed on to the caller; retryAfter is bounded by Settings.MaxRetryAfter.
func (c *Core) RunDeclined(id string, retryAfter microtime.Time, noRetry bool) {
	req := c.requests.byRunID[id]
	if req == nil {
		return
	}
	req.retryAfter = min(retryAfter, microtime.FromDuration(c.settings.MaxRetryAfter))
	req.noRetry = noRetry
	c.RunFinished(id, RunRejected, nil)
}

// finishAll finishes the request that ran a key and the requests that wait for the run. req is the former; it is nil if
// that request has ended before.
func (c *Core) finishAll(entry *keyEntry, req *request, outcome RunOutcome, result []byte) {
	waiters := entry.waiters
	entry.waiters = nil
	if req != nil {
		c.finish(req, outcome, result)
	}
	for _, waiter := range waiters {
		c.finish(waiter, outcome, result)
	}
}

// startWaiterInstead starts a waiting attempt in place of req, whose run was not started. It returns false if no waiter
// may be started.
func (c *Core) startWaiterInstead(req *request, outcome RunOutcome) bool {
	entry := req.entry
	if len(entry.waiters) > 0 && entry.waiters[0].RunID == req.RunID {
		// req already ran as this waiter (see promoteWaiter), and that run was not started either.
		c.finish(entry.waiters[0], outcome, nil)
	}
	index := slices.IndexFunc(entry.waiters, c.mayStart)
	if index < 0 {
		return false
	}
	c.promoteWaiter(entry, req, index)
	return true
}

// promoteWaiter answers req, whose run was not started, and runs the waiter at index in place of req. For the decision
// module req is still running: it counts one run for both. The run has the RunID of the waiter from now on. The waiter
// moves to the front of the waiters and is answered when the run ends.
func (c *Core) promoteWaiter(entry *keyEntry, req *request, index int) {
	if c.store != nil { // This lease was for the attempt that was not started; the waiter acquires its own.
		c.store.ReleaseLease(entry.keyedRequest())
	}
	waiter := entry.waiters[index]
	entry.waiters[0], entry.waiters[index] = waiter, entry.waiters[0]
	entry.moveWindow(req, waiter)
	c.respond(req, failed(reasonRunNotStarted))
	c.requests.runAs(req, waiter)
	c.launch(req)
}

// mayStart reports whether the drain permits starting a request: requests that were read later than DrainGrace after
// the start of the drain must not be started.
func (c *Core) mayStart(req *request) bool {
	limit := c.drain.requestedAt + microtime.FromDuration(c.settings.DrainGrace)
	return !c.drain.received || req.readAt <= limit
}

// finish answers a request whose own run, or the run that it waited for, has ended. It reports the end to the decision
// module.
func (c *Core) finish(req *request, outcome RunOutcome, result []byte) {
	c.respond(req, c.responseTo(req, outcome, result))
	c.events = append(c.events, control.RequestFinished{ID: req.id, Outcome: outcome.controlOutcome()})
	c.removeRequest(req)
}

// responseTo returns the response to a request whose run has ended with the outcome.
func (c *Core) responseTo(req *request, outcome RunOutcome, result []byte) Response {
	switch outcome {
	case RunSucceeded:
		return succeeded(result)
	case RunUnsupported:
		return failed(reasonUnsupported)
	case RunRejected:
		return c.rejection(req, req.retryAfter, req.noRetry)
	case RunIndeterminate:
		return failed(reasonIndeterminate)
	case RunCancelled:
		return failed(reasonRunStopped)
	case RunNotStarted:
		return failed(reasonRunNotStarted)
	case RunFailed:
	}
	return failed(reasonRunFailed)
}
