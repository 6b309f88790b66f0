package replication

import "sync"

// completionQueue passes callbacks from the write-ahead log's goroutine to the event loop. All callbacks that are
// posted before the loop next runs share one task on it.
type completionQueue struct {
	mu        sync.Mutex
	pending   []func()
	scheduled bool // a task that calls run is queued on the loop
}

// post runs a callback on the loop, after those that were posted before it.
func (q *completionQueue) post(execute func(func()) error, callback func()) {
	q.mu.Lock()
	q.pending = append(q.pending, callback)
	first := !q.scheduled
	q.scheduled = true
	q.mu.Unlock()
	if !first {
		return
	}
	// Execute fails only after the loop has ended, when no caller waits for the callbacks.
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
