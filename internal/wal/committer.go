package wal

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultQueueSize = 1024
	defaultMaxBatch  = 256
)

// CommitOptions configure how records are gathered into batches.
type CommitOptions struct {
	QueueSize  int           // records that may be queued; Submit rejects further ones with ErrQueueFull; 0: 1024
	MaxBatch   int           // maximum number of records for one sync; 0: 256
	BatchDelay time.Duration // how long to wait for further records; 0: a batch is what was queued during the last sync
}

// Committer makes records of many callers durable, with one sync for each batch (group commit). It owns its log and a
// goroutine, which Close ends. It is safe for concurrent use.
type Committer struct {
	log      *Log
	options  CommitOptions
	queue    chan submission
	mu       sync.Mutex // guards closed, and the closing of queue
	closed   bool
	done     chan struct{} // closed once the goroutine has ended
	closeErr error         // of the log; read only after done is closed
	syncs    atomic.Int64
	bytes    atomic.Int64
}

// submission is a record, or an operation between two batches.
type submission struct {
	data      []byte
	operation func(*Log) error // nil: data is a record
	done      func(index uint64, err error)
}

// NewCommitter starts a Committer on an open log.
func NewCommitter(log *Log, options CommitOptions) *Committer {
	if options.QueueSize == 0 {
		options.QueueSize = defaultQueueSize
	}
	if options.MaxBatch == 0 {
		options.MaxBatch = defaultMaxBatch
	}
	committer := &Committer{
		log:     log,
		options: options,
		queue:   make(chan submission, options.QueueSize),
		done:    make(chan struct{}),
	}
	go committer.run()
	return committer
}

// Submit queues a record. done is called once: from the committer's goroutine, or, if the record is rejected with
// ErrQueueFull or ErrClosed, before Submit returns. Without an error the record is durable under that index. With
// ErrBroken it may or may not be durable, and no later record will be. Records become durable in the order in which
// they were queued.
func (c *Committer) Submit(data []byte, done func(index uint64, err error)) {
	c.enqueue(submission{data: data, done: done})
}

// Do queues an operation on the log, such as a snapshot, which runs between two batches. done is called as for Submit.
func (c *Committer) Do(operation func(*Log) error, done func(error)) {
	c.enqueue(submission{operation: operation, done: func(_ uint64, err error) { done(err) }})
}

func (c *Committer) enqueue(s submission) {
	if err := c.offer(s); err != nil {
		s.done(0, err)
	}
}

// offer queues a submission, unless the queue is full or closed.
func (c *Committer) offer(s submission) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	select {
	case c.queue <- s:
		return nil
	default:
		return ErrQueueFull
	}
}

// Written returns the numbers of syncs and of bytes of records since the start.
func (c *Committer) Written() (syncs, bytes int64) { return c.syncs.Load(), c.bytes.Load() }

// Close writes and syncs the queued records, and closes the log. Further calls return the same error.
func (c *Committer) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.queue)
	}
	c.mu.Unlock()
	<-c.done
	return c.closeErr
}

// run is the committer's goroutine. It ends once Close has closed the queue and everything in it is processed.
func (c *Committer) run() {
	defer close(c.done)
	for first := range c.queue {
		c.commit(c.gather(first))
	}
	c.closeErr = c.log.Close()
}

// gather fills a batch with the submissions that are queued, or that arrive within the batch delay. An operation ends
// the batch.
func (c *Committer) gather(first submission) []submission {
	batch := []submission{first}
	var expired <-chan time.Time
	if c.options.BatchDelay > 0 {
		timer := time.NewTimer(c.options.BatchDelay)
		defer timer.Stop()
		expired = timer.C
	}
	for len(batch) < c.options.MaxBatch && batch[len(batch)-1].operation == nil {
		next, ok := c.next(expired)
		if !ok {
			break
		}
		batch = append(batch, next)
	}
	return batch
}

// next takes the next submission from the queue. Without a timer it does not wait. ok is false if there is none, or the
// queue is closed.
func (c *Committer) next(expired <-chan time.Time) (next submission, ok bool) {
	if expired == nil {
		select {
		case next, ok = <-c.queue:
		default:
		}
		return next, ok
	}
	select {
	case next, ok = <-c.queue:
	case <-expired:
	}
	return next, ok
}

// commit makes the records of a batch durable, runs its operation if it has one, and calls each done.
func (c *Committer) commit(batch []submission) {
	indexes := make([]uint64, len(batch))
	errs := make([]error, len(batch))
	var recordBytes int64
	for i, s := range batch {
		if s.operation == nil {
			indexes[i], errs[i] = c.log.Append(s.data)
			recordBytes += int64(len(s.data))
		}
	}
	syncErr := c.log.Sync()
	if recordBytes > 0 {
		c.syncs.Add(1)
		c.bytes.Add(recordBytes)
	}
	for i, s := range batch {
		switch {
		case syncErr != nil:
			s.done(0, syncErr)
		case s.operation != nil:
			s.done(0, s.operation(c.log))
		default:
			s.done(indexes[i], errs[i])
		}
	}
}
