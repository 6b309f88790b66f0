// Package ajpbackend is the backend that forwards runs to one server that speaks AJP, in place of the worker pool.
// Package server creates the backend and calls ExpireTimeouts; the request core starts and cancels runs. The backend
// owns the connections to the AJP server and the queue of runs that wait for a connection. It never sends a run twice:
// if the connection is lost after the run was sent, the run has failed. It has no gauges.
package ajpbackend

import (
	"slices"

	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Core is the part of the request core that the backend calls.
type Core interface {
	// RunFinished reports the end of a run. The core may start and cancel runs during the call.
	RunFinished(id string, outcome dispatch.RunOutcome, result []byte)
}

// EventLoop is what the backend needs from the event loop.
type EventLoop interface {
	// Now returns the time of the current turn of the loop.
	Now() microtime.Time
	// Dial opens a connection, and retries until it succeeds. Then open is called and returns the connection's session.
	// The returned function cancels the dial.
	Dial(addr string, open func(transport.Conn) transport.Session) (cancel func())
}

// Config configures a Backend.
type Config struct {
	config.AJP
	// RunTimeout is how long a run may take. After that no request can use its result.
	RunTimeout microtime.Time
}

// Backend forwards runs to the server. All its methods must be called on the event loop.
type Backend struct {
	config      Config
	core        Core
	loop        EventLoop
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

// New returns a backend without a connection: the first run opens one. Attach must be called before any other method.
func New(cfg Config, logf func(format string, args ...any)) *Backend {
	return &Backend{config: cfg, logf: logf, runs: map[string]*run{}}
}

// Attach sets the core and the event loop of the backend.
func (b *Backend) Attach(core Core, loop EventLoop) {
	b.core = core
	b.loop = loop
}

// Start implements dispatch.Backend.
func (b *Backend) Start(started dispatch.Run) {
	r := &run{Run: started}
	b.runs[r.ID] = r
	b.queue = append(b.queue, r)
	b.dispatchQueue()
}

// Cancel implements dispatch.Backend. AJP has no message to cancel a request, so the connection of a run that was sent
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

// RequestGauges implements dispatch.Backend. AJP has no gauges.
func (b *Backend) RequestGauges() {}

// finish removes a run and reports its end.
func (b *Backend) finish(r *run, outcome dispatch.RunOutcome, result []byte) {
	delete(b.runs, r.ID)
	b.core.RunFinished(r.ID, outcome, result)
}

// dispatchQueue assigns queued runs to idle connections, the most recently used first, and opens more connections for
// the remaining runs.
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

// closed removes a connection. If its run was not sent yet, the run goes back to the head of the queue.
func (b *Backend) closed(c *connection) {
	b.connections.Remove(c)
	if i := slices.Index(b.idle, c); i >= 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
	}
	if r := c.run; r != nil {
		if c.sent { // the server may have executed the run, so it is not sent again
			c.finish(dispatch.RunFailed, nil)
		} else {
			c.run, r.connection = nil, nil
			b.queue = slices.Insert(b.queue, 0, r)
		}
	}
	b.dispatchQueue()
}

// ExpireTimeouts fails the runs that have exceeded RunTimeout. It returns when it has to be called again,
// or microtime.Never.
func (b *Backend) ExpireTimeouts(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, c := range b.connections.Items() {
		switch {
		case c.run == nil:
		case now < c.deadline:
			next = min(next, c.deadline)
		default:
			b.logf("ajp: run timed out: backend=%s run=%s", c.conn.Remote(), c.run.ID)
			c.conn.Close()
			c.finish(dispatch.RunFailed, nil)
		}
	}
	return next
}
