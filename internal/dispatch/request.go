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
	// StatusFailed is an error; the attempt may have taken effect.
	StatusFailed
	// StatusExpired is a failure because the deadline has passed.
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
	// Result is the result of the run, with StatusSucceeded.
	Result []byte
	// RetryAfter is how long the caller should not use this server, with StatusRejected; 0 means no advice.
	RetryAfter microtime.Time
	// NoRetry asks the caller not to retry at another server, with StatusRejected.
	NoRetry bool
	// Reason describes the error, with StatusFailed and StatusExpired. Frontends send it to the caller.
	Reason string
}

// The reasons of failed and expired responses. The texts are part of the responses.
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

// Responder sends the response to a request to its caller. It is called at most once.
type Responder interface {
	Respond(Response)
}

// Request is one attempt of a request, as a frontend has read it. The core keeps Body until the attempt is over.
type Request struct {
	// RunID identifies the attempt for the backend. It is unique among the open attempts.
	RunID string
	// Class and Tenant are the indices of the request's class and tenant in the settings.
	Class, Tenant int
	// IdempotencyKey is the same for all attempts of one request of a class that is idempotent by key; else empty.
	IdempotencyKey string
	// SubjectKey identifies the subject of the request; 0 if it is not known.
	SubjectKey uint64
	// ArrivedAt is when the attempt reached the machine, as its caller stated it.
	ArrivedAt microtime.Time
	// ArrivedAtUnixMilli is ArrivedAt as the caller stated it, in Unix milliseconds; 0 if it stated none. Servers whose
	// clocks differ agree on it.
	ArrivedAtUnixMilli int64
	// CostHint is the expected work, in time on one core; 0 if the caller stated none.
	CostHint microtime.Time
	// QueuedKB is the memory that the request takes while it is queued, in kilobytes.
	QueuedKB float64
	// Rank orders the requests of a class, from 0 up to but not including 1.
	Rank float64
	// Retry means that the caller has made an earlier attempt, here or at another server.
	Retry bool
	// CallerID identifies the connection or process that the request came from.
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

// requestState is the stage of an open attempt.
type requestState uint8

const (
	// stateQueued means that the attempt waits for the decision module to start it.
	stateQueued requestState = iota
	// stateRunning means that the attempt was passed to the backend and its run has not ended.
	stateRunning
	// stateBlocked means that the run waits until the decision module permits its call.
	stateBlocked
	// stateCalling means that the run waits for the reply to a call in flight.
	stateCalling
	// stateWaiting means that the attempt waits for the run of another attempt, for the peer process or the execution
	// store (parked), or for the next Step to send the response that is already decided.
	stateWaiting
)

// started reports whether a run was started for the request and has not ended.
func (s requestState) started() bool {
	return s == stateRunning || s == stateBlocked || s == stateCalling
}

// request is an open attempt.
type request struct {
	Request
	id     control.RequestID
	readAt microtime.Time
	state  requestState
	// answered means that the response was sent, or that the caller has abandoned the request.
	answered bool
	// recording means that the run has ended and its result is being written to the execution store.
	recording bool
	// noRetry and retryAfter are the advice of a backend that declined the run. The order of the fields keeps the struct
	// in the smaller size class of the allocator.
	noRetry    bool
	retryAfter microtime.Time
	entry      *keyEntry // nil unless the class is idempotent by key
	call       *call     // while blocked or calling
}

// registry indexes the open requests.
type registry struct {
	lastID control.RequestID
	byID   map[control.RequestID]*request
	// byRunID maps the ID of a run to its request, until the attempt has ended.
	byRunID map[string]*request
	// unanswered counts the requests that have no response yet and that their callers have not abandoned.
	unanswered int
}

func newRegistry() registry {
	return registry{byID: map[control.RequestID]*request{}, byRunID: map[string]*request{}}
}

// add registers an attempt that was read now, under a new ID.
func (g *registry) add(now microtime.Time, attempt Request) *request {
	g.lastID++
	req := &request{Request: attempt, id: g.lastID, readAt: now}
	g.byID[req.id] = req
	g.byRunID[req.RunID] = req
	g.unanswered++
	return req
}

// remove drops a request that has ended.
func (g *registry) remove(req *request) {
	delete(g.byID, req.id)
	if g.byRunID[req.RunID] == req {
		delete(g.byRunID, req.RunID)
	}
}

// runAs makes req run with the RunID and body of another attempt. That RunID maps to req from now on.
func (g *registry) runAs(req, attempt *request) {
	delete(g.byRunID, req.RunID)
	req.RunID = attempt.RunID
	req.Body = attempt.Body
	g.byRunID[req.RunID] = req
}
