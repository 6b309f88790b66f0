package replication

import (
	"cmp"
	"slices"

	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
)

const (
	// While another server runs a key, the interval between polls doubles from minPollInterval up to maxPollInterval.
	minPollInterval = 50 * microtime.Millisecond
	maxPollInterval = 400 * microtime.Millisecond
)

// keyedRequest is the state of a key's request on this server.
type keyedRequest struct {
	lifecycle  execution.Lifecycle
	key        string
	sequence   uint64 // ascending in the order of creation
	lookupOnly bool   // created by Lookup: never requests the lease, and is not in requestTable.byKey

	attempt       Attempt // the attempt that waits, runs or ran
	lastArrival   int64   // arrival of the latest attempt, in Unix milliseconds
	leaseProposal uint64  // ID of the proposal that requested the lease
	proposal      uint64  // ID of the proposal in flight; 0: none
	leasedArrival int64   // arrival of the attempt that holds the lease elsewhere, in Unix milliseconds; 0: unknown

	retryAt microtime.Time // time of the next poll, or of the next attempt to record the result
	backoff microtime.Time // interval between that retry and the next

	succeeded bool   // false: the run has failed
	result    string // of a successful run
	done      func(Outcome)
}

// nextEventAt returns the time at which the next timer of a waiting request is due.
func (q *keyedRequest) nextEventAt() microtime.Time {
	switch q.lifecycle.State {
	case execution.StateHeldByOther:
		return min(q.retryAt, q.attempt.Deadline)
	case execution.StateUnrecorded:
		// Recording is retried after the deadline too, for later attempts of the key.
		return q.retryAt
	default:
		return q.attempt.Deadline
	}
}

// dueEvent returns the event that is due at now.
func (q *keyedRequest) dueEvent(now microtime.Time) execution.Event {
	if now >= q.attempt.Deadline && q.lifecycle.State != execution.StateUnrecorded {
		return execution.EventDeadlineReached
	}
	return execution.EventRetryDue
}

// scheduleRetry sets the time of the next retry, and doubles the backoff up to maxPollInterval.
func (q *keyedRequest) scheduleRetry(now microtime.Time) {
	q.retryAt = now + q.backoff
	q.backoff = min(2*q.backoff, maxPollInterval)
}

// requestTable holds the requests in progress. It is used only on the event loop.
type requestTable struct {
	byKey        map[string]*keyedRequest
	waiting      map[*keyedRequest]struct{} // requests with a timer
	byProposal   map[uint64]*keyedRequest
	lastSequence uint64
}

func newRequestTable() requestTable {
	return requestTable{
		byKey:      map[string]*keyedRequest{},
		waiting:    map[*keyedRequest]struct{}{},
		byProposal: map[uint64]*keyedRequest{},
	}
}

// create returns a new request, which is not in byKey.
func (t *requestTable) create(key string) *keyedRequest {
	t.lastSequence++
	return &keyedRequest{key: key, sequence: t.lastSequence, backoff: minPollInterval}
}

// findOrCreate returns the request of a key. It creates one if there is none.
func (t *requestTable) findOrCreate(key string) *keyedRequest {
	request := t.byKey[key]
	if request == nil {
		request = t.create(key)
		t.byKey[key] = request
	}
	return request
}

// update updates the table after a request's state has changed. It adds the request to waiting or removes it from
// there, and drops a request that holds no information.
func (t *requestTable) update(request *keyedRequest) {
	switch request.lifecycle.State {
	case execution.StateHeldByOther, execution.StateAcquiring, execution.StatePolling, execution.StateUnrecorded:
		t.waiting[request] = struct{}{}
	default:
		delete(t.waiting, request)
	}
	disposable := request.lifecycle.State == execution.StateIdle && !request.lifecycle.Started
	if disposable && t.byKey[request.key] == request {
		delete(t.byKey, request.key) // the key's register, if there is one, holds all information
	}
}

// due returns the requests whose next event is due, in order of creation.
func (t *requestTable) due(now microtime.Time) []*keyedRequest {
	var due []*keyedRequest
	for request := range t.waiting {
		if now >= request.nextEventAt() {
			due = append(due, request)
		}
	}
	slices.SortFunc(due, func(a, b *keyedRequest) int { return cmp.Compare(a.sequence, b.sequence) })
	return due
}

// nextEventAt returns the time at which the next event of any request is due.
func (t *requestTable) nextEventAt() microtime.Time {
	next := microtime.Never
	for request := range t.waiting {
		next = min(next, request.nextEventAt())
	}
	return next
}

// addProposal records the request to which a proposal in flight belongs.
func (t *requestTable) addProposal(id uint64, request *keyedRequest) {
	request.proposal = id
	t.byProposal[id] = request
}

// endProposal removes a proposal that has ended. It returns its request, or nil if the request waits for a later
// proposal.
func (t *requestTable) endProposal(id uint64) *keyedRequest {
	request := t.byProposal[id]
	delete(t.byProposal, id)
	if request == nil || request.proposal != id {
		return nil
	}
	request.proposal = 0
	return request
}

// expire drops the requests that are not in progress and whose last attempt arrived before cutoff, in Unix
// milliseconds.
func (t *requestTable) expire(cutoff int64) {
	for key, request := range t.byKey {
		if request.lastArrival >= cutoff {
			continue
		}
		switch request.lifecycle.State {
		case execution.StateIdle, execution.StateUnrecorded, execution.StateRecorded:
			delete(t.byKey, key)
			delete(t.waiting, request)
		default: // in progress
		}
	}
}
