package replication

import "sync"

// completionQueue carries callbacks from the write-ahead log's goroutine to the event loop. Callbacks that come while
// the loop has not run yet share one call on it.
type completionQueue struct {
	mu        sync.Mutex
	pending   []func()
	scheduled bool // run is on its way to the loop
}

// post has a callback run on the loop, behind those that were posted before it.
func (q *completionQueue) post(execute func(func()) error, callback func()) {
	q.mu.Lock()
	q.pending = append(q.pending, callback)
	first := !q.scheduled
	q.scheduled = true
	q.mu.Unlock()
	if !first {
		return
	}
	// Once the loop has ended there is nobody left who would want to know.
	_ = execute(q.run)
}

func (q *completionQueue) run() {
	q.mu.Lock()
	callbacks := q.pending
	q.pending = nil
	q.scheduled = false
	q.mu.Unlock()
	for _, callback := range callbacks {
		callback()
	}
}
