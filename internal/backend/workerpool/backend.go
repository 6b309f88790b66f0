// Package workerpool is the backend that has the worker pool do the work, over one connection at a time on the event
// loop. Package server creates it, package dispatch hands it runs by the Backend interface and is told of their ends.
//
// It owns the runs that have not ended and the state of the connection. Runs outlive a connection: after a new one is
// bound, the notices that were missed come first, and only then is sent again what may have been lost. It never starts
// a run twice that must run at most once, and never decides which run comes next.
package workerpool

import (
	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/settings"
	"pewterline/internal/transport"
)

// gaugesTag marks the polls for the gauges.
const gaugesTag = "g"

// Core is told of the worker pool and of the runs.
type Core interface {
	Start(now, age microtime.Time, cold bool)
	RunFinished(id string, outcome dispatch.RunOutcome, result []byte)
	RunBlocked(id string, call []byte)
	SetGauges(control.Gauges)
}

// EventLoop is what the backend needs of the event loop.
type EventLoop interface {
	Now() microtime.Time
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
}

// Config says where the worker pool is and what it reports.
type Config struct {
	Address string
	Gauges  []string // names of its gauges, in their order
}

// Backend hands runs to the worker pool. It implements dispatch.CallingBackend. All its methods are called on the loop.
type Backend struct {
	config Config
	core   Core
	loop   EventLoop
	logf   func(format string, args ...any)

	current     transport.Conn // nil while there is no connection
	candidate   transport.Conn // replaces current once the pool has bound it; nil: none
	cancelDial  func()         // nil while nothing is dialled
	synced      bool           // the missed notices have been read on the current connection
	connections int            // that were the current one so far; numbers the current one

	acks    acknowledgements
	notices noticeSequence

	runs      map[string]*run // that have not ended, by id
	uncertain []*run          // of which it is not known whether the pool has them
	lastOrder int             // of the last command that was numbered
	checks    deepChecks
	scratch   []byte
}

// New returns a backend without a connection. Attach must follow.
func New(config Config, logf func(format string, args ...any)) *Backend {
	return &Backend{
		config: config,
		logf:   logf,
		acks:   acknowledgements{received: map[int]int{}},
		runs:   map[string]*run{},
		checks: deepChecks{lastPass: never},
	}
}

// Attach ties the backend to its core and its loop, and opens the connection.
func (b *Backend) Attach(core Core, loop EventLoop) {
	b.core, b.loop = core, loop
	b.dial()
}

// SetAddress has the backend reach the worker pool at another address. The current connection serves until the new one
// is bound.
func (b *Backend) SetAddress(address string) {
	if address == b.config.Address {
		return
	}
	b.config.Address = address
	b.dial()
}

// SetGauges replaces the names of the gauges.
func (b *Backend) SetGauges(names []string) { b.config.Gauges = names }

// Status is what operators and tests may know of the backend.
type Status struct {
	Bound       bool // the connection serves
	Connections int  // opened since the start
	Dialling    bool
	Migrating   bool   // a connection waits to be bound in place of the current one
	Notice      uint64 // the number of the last notice that was read
	Runs        int    // that have not ended
	Uncertain   int    // of these, those of which it is not known whether the pool has them
}

// Status returns the state of the backend.
func (b *Backend) Status() Status {
	return Status{
		Bound:       b.synced,
		Connections: b.connections,
		Dialling:    b.cancelDial != nil,
		Migrating:   b.candidate != nil,
		Notice:      b.notices.last,
		Runs:        len(b.runs),
		Uncertain:   len(b.uncertain),
	}
}

// Start is part of dispatch.Backend.
func (b *Backend) Start(request dispatch.Run) {
	started := &run{Run: request, spawn: position{order: b.nextOrder()}}
	b.runs[request.ID] = started
	if b.synced {
		b.sendSpawn(started)
	}
}

// Cancel is part of dispatch.Backend.
func (b *Backend) Cancel(id string) {
	r := b.runs[id]
	switch {
	case r == nil || r.cancelled:
	case !r.spawn.sent():
		b.finish(id, dispatch.RunCancelled, nil)
	default:
		r.cancelled = true
		if b.synced {
			b.sendSuspend(id)
		}
	}
}

// DeliverReply is part of dispatch.CallingBackend.
func (b *Backend) DeliverReply(id string, reply []byte) {
	r := b.runs[id]
	if r == nil {
		return
	}
	r.reply = &callReply{body: reply}
	if b.synced {
		b.sendReply(r)
	}
}

// RequestGauges is part of dispatch.Backend.
func (b *Backend) RequestGauges() { b.PollTagged(gaugesTag) }

// PollTagged asks for the gauges under a tag of its own; what was sent before it has been read once that is answered.
func (b *Backend) PollTagged(tag string) {
	if !b.synced {
		return
	}
	if tag == gaugesTag {
		b.acks.pollSent(b.lastOrder)
	}
	b.write(pool.AppendPoll(b.scratch[:0], tag))
}

// finish ends a run.
func (b *Backend) finish(id string, outcome dispatch.RunOutcome, result []byte) {
	delete(b.runs, id)
	b.core.RunFinished(id, outcome, result)
}

// takeGauges handles the answer to a poll.
func (b *Backend) takeGauges(m pool.Message) {
	if m.Tag == gaugesTag {
		b.acks.pollAnswered(b.connections)
	}
	if m.Tag == b.syncTag() && !b.synced {
		b.resync()
	}
	b.core.SetGauges(settings.ReadGauges(b.config.Gauges, m.Gauges))
}
