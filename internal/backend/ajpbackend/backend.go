// Package ajpbackend is the backend that forwards runs to one server that speaks AJP, in place of the worker pool.
// Package server builds it and expires its timeouts; the request core starts and cancels runs. The package owns the
// connections to that server and the queue of runs that wait for one. It never sends a run twice: if the connection is
// lost after the run was sent, the run has failed. It has no gauges.
package ajpbackend

import (
	"slices"

	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Core is the request core as the backend sees it.
type Core interface {
	// RunFinished reports the end of a run. It may start and cancel runs.
	RunFinished(id string, outcome dispatch.RunOutcome, result []byte)
}

// Loop is the event loop as the backend sees it.
type Loop interface {
	// Now returns the time of the loop's turn.
	Now() microtime.Time
	// Dial opens a connection, and retries until it succeeds. open returns its session.
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
}

// Config configures a Backend.
type Config struct {
	config.AJP
	// RunTimeout is how long a run may take. After it no request can use the result any more.
	RunTimeout microtime.Time
}

// Backend forwards runs to the server. All its methods are called on the event loop.
type Backend struct {
	config      Config
	core        Core
	loop        Loop
	logf        func(format string, args ...any)
	connections orderedset.Set[*connection]
	idle        []*connection
	dialing     int    // connections that are not open yet
	queue       []*run // not sent yet, oldest first
	runs        map[string]*run
}

// run is a run that has not ended.
type run struct {
	dispatch.Run
	connection *connection // nil while queued
}

// New returns a backend without a connection: the first run opens one. Attach must follow.
func New(cfg Config, logf func(format string, args ...any)) *Backend {
	return &Backend{config: cfg, logf: logf, runs: map[string]*run{}}
}

// Attach connects the backend to its core and its loop.
func (b *Backend) Attach(core Core, loop Loop) {
	b.core = core
	b.loop = loop
}

// Start is part of dispatch.Backend.
func (b *Backend) Start(started dispatch.Run) {
	r := &run{Run: started}
	b.runs[r.ID] = r
	b.queue = append(b.queue, r)
	b.dispatchQueue()
}

// Cancel is part of dispatch.Backend. AJP has no message to cancel a request, so the connection of a run that was sent
// is closed.
func (b *Backend) Cancel(id string) {
	r := b.runs[id]
	switch {
	case r == nil:
	case r.connection != nil:
		r.connection.conn.Close()
		r.connection.finish(dispatch.RunCancelled, nil)
	default:
		if i := slices.Index(b.queue, r); i >= 0 {
			b.queue = slices.Delete(b.queue, i, i+1)
		}
		b.finish(r, dispatch.RunCancelled, nil)
	}
}

// RequestGauges is part of dispatch.Backend. AJP has no gauges.
func (b *Backend) RequestGauges() {}

// finish removes a run and reports its end.
func (b *Backend) finish(r *run, outcome dispatch.RunOutcome, result []byte) {
	delete(b.runs, r.ID)
	b.core.RunFinished(r.ID, outcome, result)
}

// dispatchQueue assigns queued runs to idle connections, the last used first, and opens more connections for the rest.
func (b *Backend) dispatchQueue() {
	for len(b.queue) > 0 && len(b.idle) > 0 {
		last := len(b.idle) - 1
		c, r := b.idle[last], b.queue[0]
		b.idle = b.idle[:last]
		b.queue = b.queue[1:]
		c.start(r)
	}
	for b.dialing < len(b.queue) && b.connections.Len()+b.dialing < b.config.BackendConnections {
		b.dialing++
		b.loop.Dial(b.config.BackendAddress, func(conn transport.Conn) transport.Session { return b.opened(conn) })
	}
}

// opened adds a connection that was dialled.
func (b *Backend) opened(conn transport.Conn) *connection {
	c := &connection{backend: b, conn: conn}
	b.dialing--
	b.connections.Add(c)
	b.idle = append(b.idle, c)
	b.dispatchQueue()
	return c
}

// closed removes a connection. A run that it had not sent yet goes back to the head of the queue.
func (b *Backend) closed(c *connection) {
	b.connections.Remove(c)
	if i := slices.Index(b.idle, c); i >= 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
	}
	if r := c.run; r != nil {
		if c.sent { // it may have run: never sent again
			c.finish(dispatch.RunFailed, nil)
		} else {
			c.run, r.connection = nil, nil
			b.queue = slices.Insert(b.queue, 0, r)
		}
	}
	b.dispatchQueue()
}

// ExpireTimeouts fails the runs that have exceeded RunTimeout. It returns when to call it again, or microtime.Never.
func (b *Backend) ExpireTimeouts(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, c := range b.connections.Items() {
		switch {
		case c.run == nil:
		case now < c.deadline:
			next = min(next, c.deadline)
		default:
			b.logf("ajp: run did not end in time: backend=%s run=%s", c.conn.Remote(), c.run.ID)
			c.conn.Close()
			c.finish(dispatch.RunFailed, nil)
		}
	}
	return next
}
