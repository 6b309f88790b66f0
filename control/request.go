package control

import (
	"slices"
	"time"
)

// requestState is the state of a request.
type requestState uint8

const (
	stateQueued       requestState = iota
	stateRunning                   // uses the cores or the disk
	stateAwaitingCall              // waits for permission to call
	stateCalling                   // its call is in flight
	stateReplaying                 // waits for the result of its original
	stateEnded
	requestStates // the number of states
)

// String returns the state in words.
func (s requestState) String() string {
	switch s {
	case stateQueued:
		return "queued"
	case stateRunning:
		return "running"
	case stateAwaitingCall:
		return "awaiting call"
	case stateCalling:
		return "calling"
	case stateReplaying:
		return "replaying"
	case stateEnded:
		return "ended"
	case requestStates:
	}
	return "unknown state"
}

// request is an open request: one attempt of its caller.
type request struct {
	RequestArrived
	arrivedAt      time.Duration // when the request reached the machine
	dueAt          time.Duration // when the caller gives up
	state          requestState
	stateSince     time.Duration // start of the state; in stateAwaitingCall, earliest time of the next call attempt
	startedAt      time.Duration
	slotTime       time.Duration // time on the cores or at the disk before stateSince
	answered       bool          // an answer was sent, or the caller has left
	overQuota      bool          // beyond its tenant's quota
	callsSucceeded float64
	callsFailed    int
}

// neverRan reports whether the request has not been started.
func (r *request) neverRan() bool { return r.state == stateQueued || r.state == stateReplaying }

// requestTable holds the open requests and counts them by state.
type requestTable struct {
	byID    map[RequestID]*request
	ordered []*request // by order of arrival events; may hold ended requests until open is called
	counts  [requestStates]int
}

func newRequestTable() *requestTable { return &requestTable{byID: map[RequestID]*request{}} }

// add adds a request that was just read.
func (t *requestTable) add(req *request) {
	t.byID[req.ID] = req
	t.ordered = append(t.ordered, req)
	t.counts[req.state]++
}

// setState sets the state of a request. If the request was running, the time in that state is added to its slot time.
func (t *requestTable) setState(req *request, to requestState, now time.Duration) {
	if req.state == stateRunning {
		req.slotTime += now - req.stateSince
	}
	t.counts[req.state]--
	t.counts[to]++
	req.state = to
	req.stateSince = now
}

// remove drops a request that has ended.
func (t *requestTable) remove(req *request) { delete(t.byID, req.ID) }

// open returns the open requests in the order of their arrival events. It also removes ended requests from ordered, so
// it must be called in each step.
func (t *requestTable) open() []*request {
	t.ordered = slices.DeleteFunc(t.ordered, func(req *request) bool { return t.byID[req.ID] != req })
	return t.ordered
}
