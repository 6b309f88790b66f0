package processtest

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"pewterline/internal/protocol/pool"
)

const (
	// maxKeptNotices is how many notices a worker pool can send again to a connection that has missed them.
	maxKeptNotices = 4000
	// startedBuffer and bindBuffer are far more than any test waits for; what comes beyond them is not told.
	startedBuffer = 1 << 16
	bindBuffer    = 1 << 10
)

// Pool is a worker pool at an address of its own. The result of a run is "did " and its body, and for each call that
// the run made " got " and the reply.
type Pool struct {
	listener net.Listener
	runLog   *RunLog
	started  chan string // bodies, as their runs begin
	binds    chan uint64 // the last notices that connections were bound with

	mu           sync.Mutex
	bound        net.Conn     // the connection in use; nil: none
	unbound      *bindRequest // waits for its answer while the pool is disconnected
	disconnected bool
	frozen       bool
	notices      [][]byte
	checkOutcome pool.Outcome // of deep health checks; 0: they get no answer
	checks       int
	runs         map[string]*poolRun // that have not ended, by ID
	callsPerRun  map[string]int      // by class
	finishEarly  map[string]bool     // IDs of requests that wait for no answer any more
	unexpected   []string            // IDs of replies to calls that no run waited for
	holdsRuns    bool
	runDuration  time.Duration // of a run on a slot; 0: it ends at once
	slots        chan struct{}
}

// bindRequest is a server's wish to use a connection.
type bindRequest struct {
	conn       net.Conn
	lastNotice uint64 // that the server has seen
}

// NewPool opens a worker pool that ends each run at once. Its goroutines end with Close and with their connections.
func NewPool(runLog *RunLog) (*Pool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	workers := &Pool{
		listener:     listener,
		runLog:       runLog,
		started:      make(chan string, startedBuffer),
		binds:        make(chan uint64, bindBuffer),
		checkOutcome: pool.Pass,
		runs:         map[string]*poolRun{},
		callsPerRun:  map[string]int{},
		finishEarly:  map[string]bool{},
	}
	// The pool owns this goroutine; Close ends it.
	go workers.accept()
	return workers, nil
}

func (p *Pool) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		// The connection owns this goroutine, which ends with it.
		go p.serve(conn)
	}
}

// Addr returns the address that the pool listens on.
func (p *Pool) Addr() string { return p.listener.Addr().String() }

// Close has the pool accept no more connections. Those that are open end with the server's process.
func (p *Pool) Close() {
	// Only a listener that is closed already fails to close.
	_ = p.listener.Close()
}

// Hold has runs wait from now on as they begin, until Release.
func (p *Pool) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdsRuns = true
}

// Release has all runs that are held go on, and those to come not wait.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdsRuns = false
	for _, run := range p.runs {
		if run.held {
			p.advance(run)
		}
	}
}

// SetCallsPerRun has each run of a class from now on make so many calls, one after the other.
func (p *Pool) SetCallsPerRun(class string, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsPerRun[class] = calls
}

// FinishRun says that a request waits for no answer any more: its run ends at the call that it waits for, or at its
// next one.
func (p *Pool) FinishRun(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishEarly[id] = true
	if run := p.runs[id]; run != nil && run.blocked {
		p.end(run, pool.Killed)
	}
}

// Freeze has the pool read nothing more: commands stay on their way.
func (p *Pool) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
}

// AnswerChecksWith sets how deep health checks end from now on; 0: they get no answer.
func (p *Pool) AnswerChecksWith(outcome pool.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkOutcome = outcome
}

// Checks returns the number of deep health checks that were asked for.
func (p *Pool) Checks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checks
}

// Disconnect breaks the connection, and leaves those to come unbound until Reconnect.
func (p *Pool) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = true
	if p.bound != nil {
		// The server sees the end of the connection however it ends.
		_ = p.bound.Close()
		p.bound = nil
	}
}

// Reconnect binds the connection that has come meanwhile, and those to come.
func (p *Pool) Reconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = false
	if p.unbound != nil {
		p.bind(*p.unbound)
		p.unbound = nil
	}
}

// Slow has each run from now on take a while on one of so many slots.
func (p *Pool) Slow(slots int, runDuration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = make(chan struct{}, slots)
	p.runDuration = runDuration
}

// AwaitStart returns once a run with a body has begun.
func (p *Pool) AwaitStart(body string) error {
	timeout := time.After(Patience)
	for {
		select {
		case started := <-p.started:
			if started == body {
				return nil
			}
		case <-timeout:
			return fmt.Errorf("processtest: await the run of %s: %w", body, ErrTimeout)
		}
	}
}

// AwaitBind waits for the next connection to be bound, and returns the last notice that it was bound with.
func (p *Pool) AwaitBind() (lastNotice uint64, err error) {
	return receive(p.binds, "a connection to the worker pool")
}

// UnexpectedCommands returns the IDs of replies that came for runs that waited for none.
func (p *Pool) UnexpectedCommands() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unexpected)
}
