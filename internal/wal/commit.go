package wal

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// The errors of a Committer.
var (
	ErrQueueFull = errors.New("wal: too many records wait to be made durable")
	ErrClosed    = errors.New("wal: closed")
)

// CommitOptions say how records are gathered.
type CommitOptions struct {
	QueueSize  int           // records that may wait; 0: 1024. More are refused at once
	MaxBatch   int           // most of one sync; 0: 256
	BatchDelay time.Duration // for more, once there is one; 0: a batch is what came while the last sync was under way
}

// Committer makes records durable for many callers, with one sync for as many as have come. It owns its log.
type Committer struct {
	log   *Log
	opts  CommitOptions
	queue chan entry
	mu    sync.Mutex // of closed
	shut  bool
	done  chan struct{}
	err   error // of Close
	syncs atomic.Int64
	bytes atomic.Int64
}

// Written counts the syncs and the bytes of records so far.
func (c *Committer) Written() (syncs, bytes int64) { return c.syncs.Load(), c.bytes.Load() }

// entry is a record, or something to be done between two batches.
type entry struct {
	data []byte
	told func(index uint64, err error)
	do   func(*Log) error
}

// NewCommitter starts a Committer on an open log.
func NewCommitter(l *Log, o CommitOptions) *Committer {
	if o.QueueSize == 0 {
		o.QueueSize = 1024
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = 256
	}
	c := &Committer{log: l, opts: o, queue: make(chan entry, o.QueueSize), done: make(chan struct{})}
	go c.run()
	return c
}

// Submit takes a record. told is called once, from another goroutine or at once where the record is refused: without an error
// it is durable under that index; with ErrBroken it may be durable or not, and nothing that follows will be. Records are
// durable in the order in which they were taken.
func (c *Committer) Submit(data []byte, told func(index uint64, err error)) {
	c.put(entry{data: data, told: told})
}

// Do has f called between two batches, as for a snapshot.
func (c *Committer) Do(f func(*Log) error, told func(error)) {
	c.put(entry{do: f, told: func(_ uint64, err error) { told(err) }})
}

func (c *Committer) put(e entry) {
	c.mu.Lock()
	if c.shut {
		c.mu.Unlock()
		e.told(0, ErrClosed)
		return
	}
	select {
	case c.queue <- e:
		c.mu.Unlock()
	default:
		c.mu.Unlock()
		e.told(0, ErrQueueFull)
	}
}

// Close makes durable what was taken, and closes the log.
func (c *Committer) Close() error {
	c.mu.Lock()
	if !c.shut {
		c.shut = true
		close(c.queue)
	}
	c.mu.Unlock()
	<-c.done
	return c.err
}

func (c *Committer) run() {
	defer close(c.done)
	for e := range c.queue {
		c.commit(c.gather(e))
	}
	c.err = c.log.Close()
}

// gather takes what else is there, or comes within the wait, up to something that is to be done in between.
func (c *Committer) gather(first entry) []entry {
	batch := []entry{first}
	var late <-chan time.Time
	if c.opts.BatchDelay > 0 {
		t := time.NewTimer(c.opts.BatchDelay)
		defer t.Stop()
		late = t.C
	}
	for len(batch) < c.opts.MaxBatch && batch[len(batch)-1].do == nil {
		if late == nil {
			select {
			case e, ok := <-c.queue:
				if !ok {
					return batch
				}
				batch = append(batch, e)
				continue
			default:
				return batch
			}
		}
		select {
		case e, ok := <-c.queue:
			if !ok {
				return batch
			}
			batch = append(batch, e)
		case <-late:
			return batch
		}
	}
	return batch
}

func (c *Committer) commit(batch []entry) {
	indexes, errs, n := make([]uint64, len(batch)), make([]error, len(batch)), int64(0)
	for i, e := range batch {
		if e.do == nil {
			indexes[i], errs[i] = c.log.Append(e.data)
			n += int64(len(e.data))
		}
	}
	err := c.log.Sync()
	if n > 0 {
		c.syncs.Add(1)
		c.bytes.Add(n)
	}
	for i, e := range batch {
		switch {
		case e.do != nil && err == nil:
			errs[i] = e.do(c.log)
		case err != nil:
			indexes[i], errs[i] = 0, err
		}
		e.told(indexes[i], errs[i])
	}
}
