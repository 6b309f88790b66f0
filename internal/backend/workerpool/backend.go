// Package workerpool is the backend that runs requests on the worker pool, over one connection at a time on the event
// loop. Package server creates it. Package dispatch starts runs through its Backend interface and is notified of their
// ends. The backend owns the runs in progress and the state of the connection. Runs survive a lost connection: after a
// new connection is bound, the pool first repeats the missed notices. Only then are commands sent again that may have
// been lost. An at-most-once run is never started twice. The request core decides the order of runs.
package workerpool

import (
	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/settings"
	"pewterline/internal/transport"
)

// gaugesTag is the tag of the polls that RequestGauges sends.
const gaugesTag = "g"

// Core is the part of the request core that is notified of the state of the worker pool and of the progress of runs.
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
	Gauges  []string // the names of the pool's gauges, in the order in which it reports them
}

// Backend starts runs on the worker pool. It implements dispatch.CallingBackend. All its methods must be called on
// the event loop.
type Backend struct {
	config Config
	core   Core
	loop   EventLoop
	logf   func(format string, args ...any)

	current     transport.Conn // nil while there is no connection
	candidate   transport.Conn // replaces current once the pool has bound it; nil: there is none
	cancelDial  func()         // nil while no connection is being dialled
	synced      bool           // the missed notices have been read on the current connection
	connections int            // how many connections have become current; also the number of the current one

	acks    acknowledgements
	notices noticeSequence

	runs      map[string]*run // in progress, by ID
	uncertain []*run          // runs of which it is unknown whether the pool has read the last command
	lastOrder int             // the number of the last command
	checks    deepChecks
	scratch   []byte
}

// New returns a backend without a connection. Attach must be called before any other method.
func New(config Config, logf func(format string, args ...any)) *Backend {
	return &Backend{
		config: config,
		logf:   logf,
		acks:   acknowledgements{received: map[int]int{}},
		runs:   map[string]*run{},
		checks: deepChecks{lastPass: never},
	}
}

// Attach sets the core and the event loop of the backend, and dials the worker pool.
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
	Bound       bool // the current connection is bound, and the missed notices have been read
	Connections int  // how many connections have become current since the start
	Dialling    bool
	Migrating   bool   // a connection waits to be bound in place of the current one
	LastNotice  uint64 // the number of the last notice that was read
	Runs        int    // in progress
	Uncertain   int    // of these, those of which it is unknown whether the pool has read the last command
}

// Status returns the state of the backend.
func (b *Backend) Status() Status {
	return Status{
		Bound:       b.synced,
		Connections: b.connections,
		Dialling:    b.cancelDial != nil,
		Migrating:   b.candidate != nil,
		LastNotice:  b.notices.last,
		Runs:        len(b.runs),
		Uncertain:   len(b.uncertain),
	}
}

// Start implements dispatch.Backend.
func (b *Backend) Start(request dispatch.Run) {
	started := &run{Run: request, spawn: position{order: b.nextOrder()}}
	b.runs[request.ID] = started
	if b.synced {
		b.sendSpawn(started)
	}
}

// Cancel implements dispatch.Backend.
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

// DeliverReply implements dispatch.CallingBackend.
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

// RequestGauges implements dispatch.Backend.
func (b *Backend) RequestGauges() { b.PollTagged(gaugesTag) }

// PollTagged requests the gauges. The answer carries the given tag, and proves that the pool has read all commands that
// were sent before.
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

// handleGauges handles the answer to a poll.
func (b *Backend) handleGauges(m pool.Message) {
	if m.Tag == gaugesTag {
		b.acks.pollAnswered(b.connections)
	}
	if m.Tag == b.syncTag() && !b.synced {
		b.resync()
	}
	b.core.SetGauges(settings.ReadGauges(b.config.Gauges, m.Gauges))
}
