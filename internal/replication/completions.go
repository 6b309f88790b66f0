package replication

import "sync"

// completionQueue passes callbacks from the write-ahead log's goroutine to the event loop. One task on the loop runs
// all callbacks that were posted since the previous task.
type completionQueue struct {
	mu        sync.Mutex
	pending   []func()
	scheduled bool // a task that runs the pending callbacks is queued on the loop
}

// post runs a callback on the loop, after all callbacks that were posted earlier.
func (q *completionQueue) post(execute func(func()) error, callback func()) {
	q.mu.Lock()
	q.pending = append(q.pending, callback)
	first := !q.scheduled
	q.scheduled = true
	q.mu.Unlock()
	if !first {
		return
	}
	// execute fails only after the loop has ended, when nothing waits for the callbacks.
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
