package dispatch

import (
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// expiryLead is how far before its deadline a failed request still counts as expired: the decision module fails what
// nears its deadline a little ahead of it.
const expiryLead = 100 * microtime.Millisecond

// start has a queued request run. A key that has run is not run again, whatever was decided.
func (c *Core) start(req *request) {
	if req == nil || req.state != stateQueued {
		return
	}
	if req.entry != nil && !req.entry.claim(req) {
		c.logf("dispatch: run withheld, its key has run: run=%s", req.RunID)
		c.replay(req)
		return
	}
	req.state = stateRunning
	if req.entry != nil && c.peer != nil && c.role == handoff.Owner {
		// Before the run begins, as what the peer knows outlives this process.
		c.peer.NotifyStarted(req.entry.keyedRequest())
	}
	c.launch(req)
}

// startBackend hands an attempt to the backend. Its end is of use as long as a repeat of it may come.
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

// reject turns a request away, unless it has run or may have.
func (c *Core) reject(req *request, action control.Reject) {
	if req == nil || req.state.started() {
		return
	}
	retryAfter := microtime.FromDuration(action.RetryAfter)
	c.respond(req, c.rejection(req, retryAfter, action.NoRetry))
	c.forget(req)
}

// rejection is the response to a request that is turned away. One whose key may have run is failed instead.
func (c *Core) rejection(req *request, retryAfter microtime.Time, noRetry bool) Response {
	if req.entry != nil && c.keys.mayHaveRun(req, c.now) {
		return failed(reasonIndeterminate)
	}
	return Response{Status: StatusRejected, RetryAfter: retryAfter, NoRetry: noRetry}
}

// fail answers a request with an error; what runs for it goes on.
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
		c.forget(req)
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

// replay answers a request from the result of its key, or lets it wait for the run.
func (c *Core) replay(req *request) {
	if req == nil || req.state != stateQueued {
		return
	}
	req.state = stateJoined
	entry := req.entry
	switch {
	case entry == nil || !entry.ran:
		c.finish(req, RunFailed, nil)
	case entry.finished:
		c.finish(req, entry.outcome, entry.result)
	default:
		entry.waiters = append(entry.waiters, req)
		if entry.unrecorded && !entry.recording {
			c.recordResult(entry, nil)
		}
	}
}

// RunFinished tells how the run of an attempt ended. The core keeps result.
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

// finishKeyed ends the run of a key.
func (c *Core) finishKeyed(req *request, outcome RunOutcome, result []byte) {
	entry := req.entry
	switch {
	case outcome == RunIndeterminate:
		// A repeat is passed to the backend again, which alone knows where it may have run and can ask there.
		c.keys.markIndeterminate(entry, req.ArrivedAt+c.retentionWindow(req.Class))
		c.finishAll(entry, req, outcome, nil)
	case outcome.neverRan():
		if c.startWaiterInstead(req, outcome) {
			return
		}
		c.keys.markNotRun(entry)
		if c.store != nil {
			c.store.Release(entry.keyedRequest())
		}
		c.finishAll(entry, req, outcome, nil)
	case outcome == RunSucceeded && c.store != nil:
		entry.result, entry.unrecorded, req.recording = result, true, true
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

// RunDeclined says that a run was turned away and never started anywhere: the request is rejected, with advice when to
// come back that is cut to what the settings allow.
func (c *Core) RunDeclined(id string, retryAfter microtime.Time, noRetry bool) {
	req := c.requests.byRunID[id]
	if req == nil {
		return
	}
	req.retryAfter = min(retryAfter, microtime.FromDuration(c.settings.MaxRetryAfter))
	req.noRetry = noRetry
	c.RunFinished(id, RunRejected, nil)
}

// finishAll ends the run of a key and the waits for it. req is nil where the run itself has ended before.
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

// startWaiterInstead lets a waiting attempt run in the place of req, which was not started: nothing has run, and the
// decision module counts one run for both. It returns false where no waiter may run.
func (c *Core) startWaiterInstead(req *request, outcome RunOutcome) bool {
	entry := req.entry
	if len(entry.waiters) > 0 && entry.waiters[0].RunID == req.RunID {
		// req runs in the place of this waiter already, which was not started either.
		c.finish(entry.waiters[0], outcome, nil)
	}
	index := slices.IndexFunc(entry.waiters, c.mayStart)
	if index < 0 {
		return false
	}
	if c.store != nil { // The lease was for the attempt that was not started; the other one acquires its own.
		c.store.Release(entry.keyedRequest())
	}
	waiter := entry.waiters[index]
	entry.waiters[0], entry.waiters[index] = waiter, entry.waiters[0]
	entry.moveWindow(req, waiter)
	c.respond(req, failed(reasonRunNotStarted))
	// The waiter stays joined and is answered with the run, to which its RunID leads now.
	c.requests.runAs(req, waiter)
	c.launch(req)
	return true
}

// mayStart says that a request may still be run, as far as the notice to leave goes: what was read later than the grace
// after the notice waits for a run that goes on, and does not run in its place.
func (c *Core) mayStart(req *request) bool {
	limit := c.drain.at + microtime.FromDuration(c.settings.DrainGrace)
	return !c.drain.received || req.readAt <= limit
}

// finish ends a run or the wait for one: the response goes out and the decision module hears of it.
func (c *Core) finish(req *request, outcome RunOutcome, result []byte) {
	c.respond(req, c.responseTo(req, outcome, result))
	c.events = append(c.events, control.RequestFinished{ID: req.id, Outcome: outcome.controlOutcome()})
	c.forget(req)
}

// responseTo is what a request gets from a run that ended. A caller that has left is not hurt by the response to a run
// that was not started, and one that has not left is owed it.
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
