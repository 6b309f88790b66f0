package control

import (
	"slices"
	"time"
)

// requestState is where a request is on its way through the server.
type requestState uint8

const (
	stateQueued       requestState = iota
	stateRunning                   // on the cores or at the disk
	stateAwaitingCall              // waits for permission to call
	stateCalling                   // its call is in flight
	stateReplaying                 // waits for the result of its original
	stateEnded
	requestStates // how many there are
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

// request is an attempt of a request that is open here.
type request struct {
	RequestArrived
	arrivedAt      time.Duration // when it reached the machine
	dueAt          time.Duration // when an answer is owed
	state          requestState
	stateSince     time.Duration // awaiting a call: when its next attempt may be made
	startedAt      time.Duration
	slotTime       time.Duration // spent on the cores or at the disk, before stateSince
	answered       bool          // an answer was sent, or its caller has left
	overQuota      bool
	callsSucceeded float64
	callsFailed    int
}

// neverRan reports whether the request has not been started.
func (r *request) neverRan() bool { return r.state == stateQueued || r.state == stateReplaying }

// requestTable holds the open requests and counts them by state.
type requestTable struct {
	byID    map[RequestID]*request
	ordered []*request // in the order in which they were read; may hold some that have ended
	counts  [requestStates]int
}

func newRequestTable() *requestTable { return &requestTable{byID: map[RequestID]*request{}} }

// add enters a request that was just read.
func (t *requestTable) add(req *request) {
	t.byID[req.ID] = req
	t.ordered = append(t.ordered, req)
	t.counts[req.state]++
}

// move brings a request into another state.
func (t *requestTable) move(req *request, to requestState, now time.Duration) {
	if req.state == stateRunning {
		req.slotTime += now - req.stateSince
	}
	t.counts[req.state]--
	t.counts[to]++
	req.state = to
	req.stateSince = now
}

// remove forgets a request that has ended.
func (t *requestTable) remove(req *request) { delete(t.byID, req.ID) }

// open returns the open requests in the order in which they were read. It is called at each step, so that the table
// drops those that have ended.
func (t *requestTable) open() []*request {
	t.ordered = slices.DeleteFunc(t.ordered, func(req *request) bool { return t.byID[req.ID] != req })
	return t.ordered
}
