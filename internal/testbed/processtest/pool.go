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
	// maxKeptNotices bounds the number of notices that a worker pool sends again on a new connection.
	maxKeptNotices = 4000
	// startedBufferSize and bindBufferSize exceed what any test awaits. Events beyond them are discarded.
	startedBufferSize = 1 << 16
	bindBufferSize    = 1 << 10
)

// Pool is a worker pool that listens on an address of its own. The result of a run is "did " and its body, followed by
// " got " and the reply for each downstream call of the run.
type Pool struct {
	listener net.Listener
	runLog   *RunLog
	started  chan string // request bodies, as their runs begin
	binds    chan uint64 // the last notices that servers named in their bind commands

	mu                sync.Mutex
	boundConn         net.Conn     // the bound connection; nil: none
	pendingBind       *bindRequest // held back while the pool is disconnected; nil: none
	disconnected      bool
	frozen            bool
	notices           [][]byte
	checkOutcome      pool.Outcome // of deep health checks; 0: they are not answered
	checks            int
	runs              map[string]*poolRun // in progress, by ID
	callsPerRun       map[string]int      // by class
	finishEarly       map[string]bool     // IDs of requests whose callers no longer await a reply
	unexpectedReplies []string            // IDs of replies to calls that no run awaited
	holdsRuns         bool
	runDuration       time.Duration // of a run in a slot; 0: it ends at once
	slots             chan struct{}
}

// bindRequest is a server's bind command on a connection.
type bindRequest struct {
	conn       net.Conn
	lastNotice uint64 // the last notice that the server has received
}

// NewPool opens a worker pool that ends each run at once. Close ends its accepting goroutine; the others end with their
// connections.
func NewPool(runLog *RunLog) (*Pool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	workers := &Pool{
		listener:     listener,
		runLog:       runLog,
		started:      make(chan string, startedBufferSize),
		binds:        make(chan uint64, bindBufferSize),
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

// Close stops accepting connections. Open connections end with the server's process.
func (p *Pool) Close() {
	// A failure needs no handling: it means that the listener is closed already.
	_ = p.listener.Close()
}

// Hold suspends each run that begins from now on, until Release.
func (p *Pool) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdsRuns = true
}

// Release resumes all held runs and ends the effect of Hold.
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

// SetCallsPerRun sets how many downstream calls each run of a class makes from now on, one after the other.
func (p *Pool) SetCallsPerRun(class string, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callsPerRun[class] = calls
}

// FinishRun reports that the caller of a request no longer awaits its reply. The run of the request is killed at its
// current downstream call, or else at its next one.
func (p *Pool) FinishRun(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishEarly[id] = true
	if run := p.runs[id]; run != nil && run.blocked {
		p.end(run, pool.Killed)
	}
}

// Freeze stops the pool from executing commands, as if they were still in transit.
func (p *Pool) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
}

// SetCheckOutcome sets the outcome of deep health checks from now on; 0: they are not answered.
func (p *Pool) SetCheckOutcome(outcome pool.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkOutcome = outcome
}

// CheckCount returns the number of deep health checks that servers have requested.
func (p *Pool) CheckCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checks
}

// Disconnect closes the bound connection. The pool binds no other one until Reconnect.
func (p *Pool) Disconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = true
	if p.boundConn != nil {
		// A failure to close needs no handling: the server detects the end of the connection.
		_ = p.boundConn.Close()
		p.boundConn = nil
	}
}

// Reconnect binds the latest connection that a server has requested since Disconnect, and binds later ones at once.
func (p *Pool) Reconnect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = false
	if p.pendingBind != nil {
		p.bind(*p.pendingBind)
		p.pendingBind = nil
	}
}

// SetRunDuration makes each run from now on occupy one of the given number of slots for a duration.
func (p *Pool) SetRunDuration(slots int, runDuration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = make(chan struct{}, slots)
	p.runDuration = runDuration
}

// AwaitRunStart waits until the run of a request with a body has begun. It discards the starts of other runs.
func (p *Pool) AwaitRunStart(body string) error {
	timeout := time.After(WaitTimeout)
	for {
		select {
		case started := <-p.started:
			if started == body {
				return nil
			}
		case <-timeout:
			return fmt.Errorf("processtest: await the start of the run of %s: %w", body, ErrTimeout)
		}
	}
}

// AwaitBind waits for the next bind command, and returns the last notice that the server has received according to it.
func (p *Pool) AwaitBind() (lastNotice uint64, err error) {
	return receive(p.binds, "a bind command at the worker pool")
}

// UnexpectedReplies returns the IDs of the runs that were sent a reply to a call although they awaited none.
func (p *Pool) UnexpectedReplies() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.unexpectedReplies)
}
