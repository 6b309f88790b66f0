package fakes

import (
	"github.com/cespare/xxhash/v2"
)

// RequestRegistry records the attempts sent to each server. It stands for the knowledge of requests that real worker
// pools have from the platform.
type RequestRegistry struct {
	attempts map[string]*sentAttempt // by ID
}

// sentAttempt is one attempt that a server may have received.
type sentAttempt struct {
	server   string
	class    string
	bodyHash uint64
	size     float64  // work as a multiple of the class's average; 0 if unknown
	ended    bool     // answered, cancelled, or its connection has ended
	pool     *Pool    // pool of the run
	run      *poolRun // last run of the attempt; nil if there is none
}

// Add records an attempt that is sent to a server, by a caller or an edge.
func (r *RequestRegistry) Add(id, server, class string, body []byte) {
	r.attempts[id] = &sentAttempt{server: server, class: class, bodyHash: xxhash.Sum64(body)}
}

// MarkEnded records that the caller no longer waits for an attempt, and ends its run if the run waits for a call.
func (r *RequestRegistry) MarkEnded(id string) {
	attempt := r.attempts[id]
	if attempt == nil {
		return
	}
	attempt.ended = true
	if attempt.run != nil {
		attempt.pool.requestEnded(attempt.run)
	}
}

// awaitsCall reports whether the run of an attempt waits for a call.
func (r *RequestRegistry) awaitsCall(id string) bool {
	attempt := r.attempts[id]
	return attempt != nil && attempt.run != nil && attempt.run.blocked && !attempt.pool.killed
}
