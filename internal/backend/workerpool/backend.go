// Package workerpool is the backend that runs requests on the worker pool, over one connection at a time on the event
// loop. Package server creates it. Package dispatch starts runs through its Backend interface and is notified of their
// ends. It owns the runs in progress and the state of the connection. Runs survive a lost connection: after a new one
// is bound, the pool first repeats the missed notices, and only then commands that may have been lost are sent again. A
// run that must run at most once is never started twice. The order of runs is decided by the request core.
package workerpool

import (
	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/settings"
	"pewterline/internal/transport"
)

// gaugesTag is the tag of the polls for the gauges.
const gaugesTag = "g"

// Core is notified of the state of the worker pool and of the progress of runs.
type Core interface {
	Start(now, age microtime.Time, cold bool)
	RunFinished(id string, outcome dispatch.RunOutcome, result []byte)
	RunBlocked(id string, call []byte)
	SetGauges(control.Gauges)
}

// EventLoop is what the backend needs from the event loop.
type EventLoop interface {
	Now() microtime.Time
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
}

// Config configures a Backend.
type Config struct {
	Address string
	Gauges  []string // names of its gauges, in their order
}

// Backend starts runs on the worker pool. It implements dispatch.CallingBackend. All its methods are called on the
// loop.
type Backend struct {
	config Config
	core   Core
	loop   EventLoop
	logf   func(format string, args ...any)

	current     transport.Conn // nil while there is no connection
	candidate   transport.Conn // replaces current once the pool has bound it; nil: none
	cancelDial  func()         // nil while nothing is dialled
	synced      bool           // the missed notices have been read on the current connection
	connections int            // that have been current so far; also the number of the current one

	acks    acknowledgements
	notices noticeSequence

	runs      map[string]*run // in progress, by ID
	uncertain []*run          // runs of which it is unknown whether the pool has received them
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

// Attach connects the backend to its core and its loop, and opens the connection.
func (b *Backend) Attach(core Core, loop EventLoop) {
	b.core, b.loop = core, loop
	b.dial()
}

// SetAddress changes the address of the worker pool. The current connection stays in use until the new one is bound.
func (b *Backend) SetAddress(address string) {
	if address == b.config.Address {
		return
	}
	b.config.Address = address
	b.dial()
}

// SetGauges replaces the names of the gauges.
func (b *Backend) SetGauges(names []string) { b.config.Gauges = names }

// Status is the state of the backend, for operators and tests.
type Status struct {
	Bound       bool // the connection is in use
	Connections int  // opened since the start
	Dialling    bool
	Migrating   bool   // a connection waits to be bound in place of the current one
	Notice      uint64 // the number of the last notice that was read
	Runs        int    // in progress
	Uncertain   int    // of these, those of which it is unknown whether the pool has received them
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

// PollTagged requests the gauges under the given tag. Its answer proves that all commands before it were read.
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
