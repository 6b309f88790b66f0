// Package workerpool is the runner that has the work done by the worker pool, over one link on the event loop. Runs outlive the
// link: after a new one is bound, the notices that were missed come first, and only then is sent again what may have been lost.
package workerpool

import (
	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/settings"
	"pewterline/internal/transport"
)

// noticesKept are the notices that the worker pool can tell again.
const noticesKept = 4000

// gaugesTag marks the polls for the gauges.
const gaugesTag = "g"

// Core is what the runner tells of its runs.
type Core interface {
	Start(now, age microtime.Time, cold bool)
	RunFinished(id string, end dispatch.RunOutcome, result []byte)
	RunBlocked(id string, call []byte)
	SetGauges(control.Gauges)
}

// Loop is what the runner needs of the event loop.
type Loop interface {
	Now() microtime.Time
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
}

// Config says where the worker pool is and what it reports.
type Config struct {
	Address string
	Gauges  []string // names of its gauges, in their order
}

// Backend hands runs to the worker pool. All its methods are called on the loop.
type Backend struct {
	config Config
	core   Core
	loop   Loop
	logf   func(format string, args ...any)

	conn   transport.Conn // nil while there is no link
	next   transport.Conn // to take its place once the pool has bound it; nil: none
	drop   func()         // gives up the link that is being dialled; nil while none is
	synced bool           // the missed notices of this link have been read
	links  int            // opened so far; names the poll that marks their end
	acked  map[int]int    // by link: the order up to which what was sent on it is known to have arrived
	polled []int          // for each poll without an answer on this link: the last order sent before it

	notice  uint64 // the last one that was read
	begun   bool   // a notice that is new has been read on this link
	gap     uint64 // the number of the notice that came out of order last; 0: none has
	remarks uint64 // read on this link since the last notice, each under the next number

	runs      map[string]*run
	uncertain []*run // runs that nobody knows of, by when they are given up
	order     int    // of the last command that was sent or is to be sent
	checks    deepChecks
	out       []byte // scratch
}

// run is a run that has not ended.
type run struct {
	dispatch.Run
	order     int  // of its start, until it is sent; then of that
	link      int  // the link it was last sent on; 0: never
	arrived   bool // it is known that the pool has read it
	uncertain bool
	stopped   bool // its answer is no longer wanted
	restart   bool // it is being stopped to be started anew
	reply     *callReply
}

// callReply is the reply to a run's call, until the pool is known to have read it.
type callReply struct {
	body  []byte
	order int // of the command
	link  int // it was sent on; 0: not yet
}

// New returns a runner without a link. Attach must follow.
func New(config Config, logf func(format string, args ...any)) *Backend {
	return &Backend{config: config, logf: logf, runs: map[string]*run{}, acked: map[int]int{}, checks: deepChecks{lastPass: never}}
}

// Attach ties the runner to its core and its loop, and opens the link.
func (p *Backend) Attach(core Core, loop Loop) {
	p.core, p.loop = core, loop
	p.dial()
}

// SetAddress has the runner reach the worker pool at another address. The link in use serves until the new one is bound.
func (p *Backend) SetAddress(address string) {
	if address == p.config.Address {
		return
	}
	p.config.Address = address
	p.dial()
}

// SetGauges names the gauges anew.
func (p *Backend) SetGauges(names []string) { p.config.Gauges = names }

// Status is what operators and tests may know of the link.
type Status struct {
	Bound     bool // the link serves
	Links     int  // opened since the start
	Dialling  bool
	Migrating bool   // a link waits to be bound in place of the one in use
	Notice    uint64 // the number of the last notice that was read
	Runs      int    // that have not ended
	Uncertain int    // of these, those of which it is not known whether they run
}

// Status tells how the link stands.
func (p *Backend) Status() Status {
	return Status{Bound: p.synced, Links: p.links, Dialling: p.drop != nil, Migrating: p.next != nil, Notice: p.notice, Runs: len(p.runs),
		Uncertain: len(p.uncertain)}
}

func (p *Backend) write(b []byte) {
	p.out = b[:0]
	p.conn.Write(b)
}

// nextOrder numbers a command, so that acked can tell what has arrived.
func (p *Backend) nextOrder() int {
	p.order++
	return p.order
}

// Start is part of routing.Runner.
func (p *Backend) Start(r dispatch.Run) {
	started := &run{Run: r, order: p.nextOrder()}
	p.runs[r.ID] = started
	if p.synced {
		p.send(started)
	}
}

func (p *Backend) send(r *run) {
	r.order, r.link = p.nextOrder(), p.links
	p.write(pool.AppendSpawn(p.out[:0], r.ID, r.Class, r.Body))
	if r.stopped {
		p.write(pool.AppendSuspend(p.out[:0], r.ID))
	}
}

// Cancel is part of routing.Runner.
func (p *Backend) Cancel(id string) {
	r := p.runs[id]
	switch {
	case r == nil || r.stopped:
	case r.link == 0:
		delete(p.runs, id)
		p.core.RunFinished(id, dispatch.RunCancelled, nil) // it was never sent
	default:
		r.stopped = true
		if p.synced {
			p.write(pool.AppendSuspend(p.out[:0], id))
		}
	}
}

// DeliverReply is part of routing.CallingRunner.
func (p *Backend) DeliverReply(id string, reply []byte) {
	r := p.runs[id]
	if r == nil {
		return
	}
	r.reply = &callReply{body: reply}
	if p.synced {
		p.sendReply(r)
	}
}

func (p *Backend) sendReply(r *run) {
	r.reply.order, r.reply.link = p.nextOrder(), p.links
	p.write(pool.AppendSupply(p.out[:0], r.ID, r.reply.body))
}

// RequestGauges is part of routing.Runner.
func (p *Backend) RequestGauges() { p.PollTagged(gaugesTag) }

// PollTagged asks for the gauges under a tag of its own; what was sent before it has arrived once that is answered.
func (p *Backend) PollTagged(tag string) {
	if !p.synced {
		return
	}
	if tag == gaugesTag {
		p.polled = append(p.polled, p.order)
	}
	p.write(pool.AppendPoll(p.out[:0], tag))
}

// takeGauges notes the answer to a poll.
func (p *Backend) takeGauges(m pool.Message) {
	if m.Tag == gaugesTag && len(p.polled) > 0 {
		p.acked[p.links], p.polled = max(p.acked[p.links], p.polled[0]), p.polled[1:]
	}
	if m.Tag == p.syncTag() && !p.synced {
		p.resync()
	}
	p.core.SetGauges(settings.ReadGauges(p.config.Gauges, m.Gauges))
}
