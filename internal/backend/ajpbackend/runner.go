// Package ajpbackend has the work done by a server that speaks AJP, over a few kept connections. It has no gauges.
package ajpbackend

import (
	"slices"

	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/transport"
)

// Core is told how runs end.
type Core interface {
	RunFinished(id string, end dispatch.RunOutcome, result []byte)
}

// Loop is what the runner needs of the event loop.
type Loop interface {
	Now() microtime.Time
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
}

// Config says where the server is, and how long a run may take: longer than any answer could be wanted.
type Config struct {
	config.AJP
	RunTimeout microtime.Time
}

// Backend hands runs to the server. All its methods are called on the loop.
type Backend struct {
	config  Config
	core    Core
	loop    Loop
	logf    func(format string, args ...any)
	links   orderedset.Set[*link]
	idle    []*link
	dialing int
	queue   []*run // not sent yet, oldest first
	runs    map[string]*run
}

// run is a run that has not ended.
type run struct {
	dispatch.Run
	link *link // nil while queued
}

// New returns a runner without a connection: the first run opens one. Attach must follow.
func New(cfg Config, logf func(format string, args ...any)) *Backend {
	return &Backend{config: cfg, logf: logf, runs: map[string]*run{}}
}

// Attach ties the runner to its core and its loop.
func (r *Backend) Attach(core Core, loop Loop) { r.core, r.loop = core, loop }

// Start is part of routing.Runner.
func (r *Backend) Start(started dispatch.Run) {
	q := &run{Run: started}
	r.runs[q.ID] = q
	r.queue = append(r.queue, q)
	r.feed()
}

// Cancel is part of routing.Runner. AJP has no word for it: the connection is closed.
func (r *Backend) Cancel(id string) {
	q := r.runs[id]
	switch {
	case q == nil:
	case q.link != nil:
		q.link.conn.Close()
		q.link.end(dispatch.RunCancelled, nil)
	default:
		if i := slices.Index(r.queue, q); i >= 0 {
			r.queue = slices.Delete(r.queue, i, i+1)
		}
		r.finish(q, dispatch.RunCancelled, nil)
	}
}

// RequestGauges is part of routing.Runner.
func (r *Backend) RequestGauges() {}

func (r *Backend) finish(q *run, end dispatch.RunOutcome, result []byte) {
	delete(r.runs, q.ID)
	r.core.RunFinished(q.ID, end, result)
}

// feed gives queued runs to idle connections, and opens more where those do not suffice.
func (r *Backend) feed() {
	for len(r.queue) > 0 && len(r.idle) > 0 {
		l, q := r.idle[len(r.idle)-1], r.queue[0]
		r.idle, r.queue = r.idle[:len(r.idle)-1], r.queue[1:]
		l.start(q)
	}
	for r.dialing < len(r.queue) && r.links.Len()+r.dialing < r.config.BackendConnections {
		r.dialing++
		r.loop.Dial(r.config.BackendAddress, func(conn transport.Conn) transport.Session { return r.opened(conn) })
	}
}

func (r *Backend) opened(conn transport.Conn) *link {
	l := &link{runner: r, conn: conn}
	r.dialing--
	r.links.Add(l)
	r.idle = append(r.idle, l)
	r.feed()
	return l
}

// ExpireTimeouts ends runs whose time is over; it returns when to look again.
func (r *Backend) ExpireTimeouts(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, l := range r.links.Items() {
		if l.run == nil {
			continue
		} else if now < l.due {
			next = min(next, l.due)
			continue
		}
		r.logf("ajp: runner %s: %s did not end in time", l.conn.Remote(), l.run.ID)
		l.conn.Close()
		l.end(dispatch.RunFailed, nil)
	}
	return next
}
