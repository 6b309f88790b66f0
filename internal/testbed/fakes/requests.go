package fakes

import (
	"github.com/cespare/xxhash/v2"
)

// RequestRegistry knows which attempts have been sent where: what a worker pool of the platform knows of the
// requests.
type RequestRegistry struct {
	attempts map[string]*sentAttempt // by ID
}

// sentAttempt is one attempt that a server may have got.
type sentAttempt struct {
	server   string
	class    string
	bodyHash uint64
	size     float64  // of its work; 0: nobody said
	ended    bool     // answered, cancelled, or its connection is gone
	pool     *Pool    // of the run
	run      *poolRun // its last; nil: none
}

// Add notes an attempt that has come to a server, as from an edge.
func (r *RequestRegistry) Add(id, server, class string, body []byte) {
	r.attempts[id] = &sentAttempt{server: server, class: class, bodyHash: xxhash.Sum64(body)}
}

// MarkEnded notes that nobody waits for an attempt any more, and ends its run where that waits for a call.
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
