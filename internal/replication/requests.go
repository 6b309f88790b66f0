package replication

import (
	"cmp"
	"slices"

	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
)

const (
	// The backoff between two polls of a key that another server runs grows from minPollInterval to maxPollInterval.
	minPollInterval = 50 * microtime.Millisecond
	maxPollInterval = 400 * microtime.Millisecond
)

// keyedRequest is the state of a key's request on this server.
type keyedRequest struct {
	lifecycle  execution.Lifecycle
	key        string
	sequence   uint64 // in the order of creation
	lookupOnly bool   // made by Lookup: it never requests the lease, and is not in requestTable.byKey

	attempt       Attempt // that is to run, or ran
	lastArrival   int64   // the latest arrival of any attempt, in Unix milliseconds
	leaseProposal uint64  // proposal that asked for the lease
	proposal      uint64  // proposal in flight; 0: none
	otherArrival  int64   // of the attempt that another process leases, in Unix milliseconds; 0: unknown

	retryAt microtime.Time // the next poll, or the next attempt to record a result
	backoff microtime.Time // time between that poll and the next

	succeeded bool   // whether the run has succeeded; false: it has failed
	result    string // of a run that has succeeded
	done      func(Outcome)
}

// nextEvent returns when the next timer of a waiting request is due.
func (q *keyedRequest) nextEvent() microtime.Time {
	switch q.lifecycle.State {
	case execution.StateHeldByOther:
		return min(q.retryAt, q.attempt.Deadline)
	case execution.StateUnrecorded:
		// Recording is retried beyond the deadline, for later attempts of the key.
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

// scheduleRetry sets the time of the next poll, and doubles the backoff.
func (q *keyedRequest) scheduleRetry(now microtime.Time) {
	q.retryAt = now + q.backoff
	q.backoff = min(2*q.backoff, maxPollInterval)
}

// requestTable holds the requests in progress. It belongs to the event loop.
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

// update updates the table after a change of a request's state. It adds the request to waiting or removes it, and drops
// a request that holds no information.
func (t *requestTable) update(request *keyedRequest) {
	switch request.lifecycle.State {
	case execution.StateHeldByOther, execution.StateAcquiring, execution.StatePolling, execution.StateUnrecorded:
		t.waiting[request] = struct{}{}
	default:
		delete(t.waiting, request)
	}
	forgotten := request.lifecycle.State == execution.StateIdle && !request.lifecycle.Started
	if forgotten && t.byKey[request.key] == request {
		delete(t.byKey, request.key) // the key's register, if there is one, has all that is known
	}
}

// due returns the requests whose next event is due, in the order of their creation.
func (t *requestTable) due(now microtime.Time) []*keyedRequest {
	var due []*keyedRequest
	for request := range t.waiting {
		if now >= request.nextEvent() {
			due = append(due, request)
		}
	}
	slices.SortFunc(due, func(a, b *keyedRequest) int { return cmp.Compare(a.sequence, b.sequence) })
	return due
}

// nextEvent returns when the next event of any request is due.
func (t *requestTable) nextEvent() microtime.Time {
	next := microtime.Never
	for request := range t.waiting {
		next = min(next, request.nextEvent())
	}
	return next
}

// proposed records which request a proposal in flight belongs to.
func (t *requestTable) proposed(id uint64, request *keyedRequest) {
	request.proposal = id
	t.byProposal[id] = request
}

// finished removes a proposal that has ended and returns its request, or nil if the request waits for a later proposal.
func (t *requestTable) finished(id uint64) *keyedRequest {
	request := t.byProposal[id]
	delete(t.byProposal, id)
	if request == nil || request.proposal != id {
		return nil
	}
	request.proposal = 0
	return request
}

// expire drops the requests at rest whose last attempt arrived before a time in Unix milliseconds.
func (t *requestTable) expire(before int64) {
	for key, request := range t.byKey {
		if request.lastArrival >= before {
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
