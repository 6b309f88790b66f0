package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// maxQueuedKB bounds Request.QueuedKB, in kilobytes; a larger value is an error of the caller.
const maxQueuedKB = 2000

// Submit accepts a request that a frontend has read. The returned ID is for Abandon. The core passes the response to
// the request's Responder, never before Submit has returned. If Submit returns an error, which is a *RequestError, the
// request is not accepted and its Responder is never called.
func (c *Core) Submit(now microtime.Time, attempt Request) (control.RequestID, error) {
	if err := c.validate(&attempt); err != nil {
		return 0, err
	}
	c.Start(now, 0, false)
	req := c.requests.add(now, attempt)
	if !c.keyed(req) || !c.deferToPeer(req) && !c.deferToStore(req) {
		c.admit(req)
	}
	return req.id, nil
}

// validate checks the preconditions of the decision module and the key table.
func (c *Core) validate(attempt *Request) error {
	switch {
	case !c.knownClass(attempt.Class):
		return &RequestError{"class", "none of that number"}
	case c.requests.byRunID[attempt.RunID] != nil:
		return &RequestError{"id", fmt.Sprintf("%q is open already", attempt.RunID)}
	case !(attempt.QueuedKB > 0 && attempt.QueuedKB < maxQueuedKB): // Also true for NaN.
		return &RequestError{"kb", fmt.Sprintf("%v is not within 0 to %d", attempt.QueuedKB, maxQueuedKB)}
	case !(attempt.Rank >= 0 && attempt.Rank < 1):
		return &RequestError{"rank", fmt.Sprintf("%v is not within 0 to 1", attempt.Rank)}
	case c.idempotency(attempt) == control.IdempotentByKey && attempt.IdempotencyKey == "":
		return &RequestError{"once", "missing in a keyed class"}
	}
	return c.keys.checkSameRequest(attempt, c.settings.Classes)
}

func (c *Core) idempotency(attempt *Request) control.Idempotency {
	return c.settings.Classes[attempt.Class].Idempotency
}

// keyed reports whether a request belongs to a class that is idempotent by key.
func (c *Core) keyed(req *request) bool {
	return c.idempotency(&req.Request) == control.IdempotentByKey
}

// admit passes a request to the decision module. A request whose key has an external run is answered without the
// module.
func (c *Core) admit(req *request) {
	event := control.RequestArrived{
		ID:         req.id,
		Class:      req.Class,
		Tenant:     req.Tenant,
		SubjectKey: req.SubjectKey,
		Age:        max(c.now-req.ArrivedAt, req.readAt-req.ArrivedAt, 0).Duration(),
		CostHint:   req.CostHint.Duration(),
		QueuedKB:   req.QueuedKB,
		Rank:       req.Rank,
		Retry:      req.Retry,
		Caller:     req.CallerID,
	}
	if c.keyed(req) {
		if entry := c.keys.ranBefore(req); entry != nil {
			req.state = stateWaiting // for the next Step, which sends the response
			c.respondLater(req, entry.response())
			return
		}
		req.entry, event.Original = c.keys.attach(req)
		event.SubjectKey = 0
		if req.entry.external { // The decision module has not seen the run, and cannot replay it.
			req.state = stateWaiting // for the next Step, which sends the response
			c.respondLater(req, req.entry.response())
			return
		}
	}
	c.events = append(c.events, event)
}

// Abandon reports that the caller of a request has disconnected or cancelled it. The core sends no response.
func (c *Core) Abandon(id control.RequestID) {
	req := c.requests.byID[id]
	if req == nil || req.answered {
		return
	}
	c.markAnswered(req)
	c.events = append(c.events, control.RequestCancelled{ID: id})
	if !req.state.started() {
		c.removeRequest(req)
	}
}
