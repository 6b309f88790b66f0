package dispatch

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// Status is the kind of a response.
type Status uint8

// The kinds of response.
const (
	// StatusSucceeded carries the result of the run.
	StatusSucceeded Status = iota
	// StatusRejected proves that this attempt never ran.
	StatusRejected
	// StatusFailed is an error; whether the attempt took effect is left open.
	StatusFailed
	// StatusExpired is a failure because the deadline has come.
	StatusExpired
)

// String names the status for logs and tests.
func (s Status) String() string {
	switch s {
	case StatusSucceeded:
		return "succeeded"
	case StatusRejected:
		return "rejected"
	case StatusFailed:
		return "failed"
	case StatusExpired:
		return "expired"
	}
	return fmt.Sprintf("Status(%d)", uint8(s))
}

// Response is the one response to a request.
type Response struct {
	Status Status
	// Result is what the run made; StatusSucceeded alone has one.
	Result []byte
	// RetryAfter says, with StatusRejected, how long to leave this server alone; 0 gives no advice.
	RetryAfter microtime.Time
	// NoRetry asks, with StatusRejected, that no other server is tried.
	NoRetry bool
	// Reason says in words what went wrong, with StatusFailed and StatusExpired. Frontends send it to the caller.
	Reason string
}

// The reasons of failed and expired responses, as callers read them.
const (
	reasonRunFailed       = "the run failed"
	reasonRunStopped      = "the run was stopped"
	reasonRunNotStarted   = "the run was not started"
	reasonUnsupported     = "the runner does not take it"
	reasonIndeterminate   = "whether it ran is not known"
	reasonCallUncertain   = "whether its call ran is not known"
	reasonGivenUp         = "given up"
	reasonPastDeadline    = "past its deadline"
	reasonProcessShutdown = "the process ends"
)

func succeeded(result []byte) Response { return Response{Status: StatusSucceeded, Result: result} }

func failed(reason string) Response { return Response{Status: StatusFailed, Reason: reason} }

func expired() Response { return Response{Status: StatusExpired, Reason: reasonPastDeadline} }

// Responder takes a request's response to its caller. It is called at most once.
type Responder interface {
	Respond(Response)
}

// Request is one attempt of a request, as a frontend has read it. The core keeps Body until the attempt is over.
type Request struct {
	// RunID names the attempt for the backend. No other open attempt has the same.
	RunID string
	// Class and Tenant are the places of the request's class and tenant in the settings.
	Class, Tenant int
	// IdempotencyKey is the same for all attempts of one request of a class that is idempotent by key; else empty.
	IdempotencyKey string
	// SubjectKey names what the request is about; 0 for nothing.
	SubjectKey uint64
	// ArrivedAt is when the attempt reached the machine, by the caller's word.
	ArrivedAt microtime.Time
	// ArrivedAtUnixMilli is ArrivedAt as the caller gave it, in Unix milliseconds; 0 where it gave none. Servers whose
	// clocks differ agree on it.
	ArrivedAtUnixMilli int64
	// CostHint is roughly the work to expect, on one core; 0 where the caller gave none.
	CostHint microtime.Time
	// QueuedKB is the memory that the request takes while it is queued, in kilobytes.
	QueuedKB float64
	// Rank orders the requests of a class, from 0 up to but not including 1.
	Rank float64
	// Retry says that the caller has tried before.
	Retry bool
	// CallerID names the connection or process that the request came from.
	CallerID  uint32
	Body      []byte
	Responder Responder
}

// scopedKey is the idempotency key together with the tenant that it belongs to.
func (r *Request) scopedKey() IdempotencyKey { return IdempotencyKey{r.Tenant, r.IdempotencyKey} }

// keyedRequest describes the attempt to the execution store and to the peer process.
func (r *Request) keyedRequest() KeyedRequest {
	return KeyedRequest{
		Class: r.Class, Tenant: r.Tenant, IdempotencyKey: r.IdempotencyKey,
		ArrivedAt: r.ArrivedAt, ArrivedAtUnixMilli: r.ArrivedAtUnixMilli, Retry: r.Retry,
	}
}

// requestState is how far an attempt has come.
type requestState uint8

const (
	// stateQueued waits for the decision module to start it.
	stateQueued requestState = iota
	// stateRunning was handed to the backend, and its run has not ended.
	stateRunning
	// stateBlocked has a run that waits for permission to make a call.
	stateBlocked
	// stateCalling has a run that waits for the reply to a call in flight.
	stateCalling
	// stateJoined waits for something else than the module: the run of another attempt, the peer process or the store.
	stateJoined
)

// started says that a run was launched for the request and has not ended.
func (s requestState) started() bool {
	return s == stateRunning || s == stateBlocked || s == stateCalling
}

// request is an open attempt.
type request struct {
	Request
	id     control.RequestID
	readAt microtime.Time
	state  requestState
	// answered says that the caller has its response, or has left.
	answered bool
	// recording says that the run has ended and its result is on its way to the execution store.
	recording bool
	// noRetry and retryAfter are the advice of a backend that declined the run. The flags stand together: another order
	// costs a size class of the allocator.
	noRetry    bool
	retryAfter microtime.Time
	entry      *keyEntry // nil unless the class is idempotent by key
	call       *call     // while blocked or calling
}

// registry finds the open requests.
type registry struct {
	lastID control.RequestID
	byID   map[control.RequestID]*request
	// byRunID leads to the request that a run belongs to, until the attempt is over.
	byRunID map[string]*request
	// unanswered counts the requests that are owed a response.
	unanswered int
}

func newRegistry() registry {
	return registry{byID: map[control.RequestID]*request{}, byRunID: map[string]*request{}}
}

// add registers an attempt that was read now, under a fresh ID.
func (g *registry) add(now microtime.Time, attempt Request) *request {
	g.lastID++
	req := &request{Request: attempt, id: g.lastID, readAt: now}
	g.byID[req.id] = req
	g.byRunID[req.RunID] = req
	g.unanswered++
	return req
}

// remove forgets a request that is over.
func (g *registry) remove(req *request) {
	delete(g.byID, req.id)
	if g.byRunID[req.RunID] == req {
		delete(g.byRunID, req.RunID)
	}
}

// runAs has the run of req be that of another attempt from now on, whose RunID leads to req then.
func (g *registry) runAs(req, attempt *request) {
	delete(g.byRunID, req.RunID)
	req.RunID = attempt.RunID
	req.Body = attempt.Body
	g.byRunID[req.RunID] = req
}
