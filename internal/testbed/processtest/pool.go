package processtest

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"pewterline/internal/protocol/pool"
)

// noticesKept are the notices that a worker pool can tell again.
const noticesKept = 4000

// Pool is a worker pool at one address. A result is "did " and the body, and for each call that the run made " got " and its reply.
type Pool struct {
	ln       net.Listener
	ledger   *RunLog
	mu       sync.Mutex
	link     net.Conn // the one that is bound; nil: none
	unbound  *bind    // waits for its answer while the pool is away
	away     bool
	notices  [][]byte
	hold     bool
	frozen   bool
	checkEnd pool.Outcome // of deep health checks; 0: they get no answer
	checks   int
	calls    map[string]int      // that a run makes, by class
	runs     map[string]*poolRun // that have not ended, by ID
	over     map[string]bool     // requests that wait for no answer any more, by ID
	started  chan string         // bodies, as their runs begin
	binds    chan uint64         // the notices that links were bound with
	strays   []string            // IDs of supplies that no run waited for
	took     time.Duration       // of a run on one of slots; 0: none
	slots    chan struct{}
}

// bind is a log server's wish to use a link.
type bind struct {
	link net.Conn
	seen uint64
}

// NewPool opens a worker pool that ends each run at once.
func NewPool(l *RunLog) (*Pool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Pool{ln: ln, ledger: l, checkEnd: pool.Pass, calls: map[string]int{}, runs: map[string]*poolRun{}, over: map[string]bool{},
		started: make(chan string, 1<<16), binds: make(chan uint64, 1<<10)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Addr is where it listens.
func (p *Pool) Addr() string { return p.ln.Addr().String() }

// Close ends it.
func (p *Pool) Close() { _ = p.ln.Close() }

// Hold has runs wait from now on as they begin, until Release.
func (p *Pool) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = true
}

// SetCallsPerRun has each run of a class from now on make so many calls, one after the other.
func (p *Pool) SetCallsPerRun(class string, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[class] = calls
}

// FinishRun says that a request waits for no answer any more: its run ends at the call that it waits for, or at its next one.
func (p *Pool) FinishRun(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over[id] = true
	if r := p.runs[id]; r != nil && r.blocked {
		p.end(r, pool.Killed)
	}
}

// Freeze has the worker pool read nothing more: commands stay on their way.
func (p *Pool) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
}

// AnswerChecksWith sets how deep health checks end from now on; 0: they get no answer.
func (p *Pool) AnswerChecksWith(end pool.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkEnd = end
}

// Checks counts the deep health checks that were asked for.
func (p *Pool) Checks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checks
}

// Disconnect breaks the link, and leaves those to come unbound until Return.
func (p *Pool) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = true
	if p.link != nil {
		_ = p.link.Close()
		p.link = nil
	}
}

// Reconnect binds the link that has come meanwhile, and those to come.
func (p *Pool) Reconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = false
	if p.unbound != nil {
		p.bind(*p.unbound)
		p.unbound = nil
	}
}

// Slow has each run from now on take a while on one of so many slots.
func (p *Pool) Slow(slots int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots, p.took = make(chan struct{}, slots), took
}

// Release has all runs that wait go on, and those to come not wait.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = false
	for _, r := range p.runs {
		if r.held {
			p.advance(r)
		}
	}
}

// AwaitStart returns when a run with that body has begun.
func (p *Pool) AwaitStart(body string) error {
	late := time.After(Patience)
	for {
		select {
		case b := <-p.started:
			if b == body {
				return nil
			}
		case <-late:
			return fmt.Errorf("procs: %s was not run", body)
		}
	}
}

// AwaitBind is the notice that the next link asked to be bound with.
func (p *Pool) AwaitBind() (uint64, error) { return await(p.binds, "a link to the worker pool") }

// UnexpectedCommands are the IDs of replies that came for runs that waited for none.
func (p *Pool) UnexpectedCommands() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.strays)
}

func await[T any](from <-chan T, what string) (v T, err error) {
	select {
	case v = <-from:
		return v, nil
	case <-time.After(Patience):
		return v, fmt.Errorf("procs: %s has not come", what)
	}
}
