package procs

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"pewterline/internal/protocol/pool"
)

// Ran is one run.
type Ran struct {
	ID string
	By *Pool
	At time.Time
}

// Ledger is what was run, by all worker pools of a log server.
type Ledger struct {
	Named bool // results name the run that made them; set before any run
	mu    sync.Mutex
	runs  map[string][]Ran // by body
}

// NewLedger returns an empty one.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]Ran{}} }

func (l *Ledger) ran(body, id string, by *Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[body] = append(l.runs[body], Ran{id, by, time.Now()})
}

// Runs are the runs with a body.
func (l *Ledger) Runs(body string) []Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[body])
}

// before are the runs with a body that began before a time.
func (l *Ledger) before(body string, at time.Time) []Ran {
	return slices.DeleteFunc(l.Runs(body), func(r Ran) bool { return !r.At.Before(at) })
}

func (l *Ledger) all() map[string][]Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Twice are the bodies that ran more than once.
func (l *Ledger) Twice() (out []string) {
	for body, runs := range l.all() {
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("%s: %v", body, runs))
		}
	}
	return out
}

// Pool is a worker pool at one address. A result is "did " and the body.
type Pool struct {
	ln      net.Listener
	ledger  *Ledger
	mu      sync.Mutex
	conn    net.Conn
	notice  uint64
	hold    bool
	frozen  bool
	held    map[string]string // bodies of runs that wait, by ID
	started chan string       // bodies, as their runs begin
	took    time.Duration     // of a run on one of slots; 0: none
	slots   chan struct{}
}

// NewPool opens a worker pool that ends each run at once.
func NewPool(l *Ledger) (*Pool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Pool{ln: ln, ledger: l, held: map[string]string{}, started: make(chan string, 1<<16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conn = c
			p.mu.Unlock()
			go p.serve(c)
		}
	}()
	return p, nil
}

// Addr is where it listens.
func (p *Pool) Addr() string { return p.ln.Addr().String() }

// Close ends it.
func (p *Pool) Close() { _ = p.ln.Close() }

// Hold has runs wait from now on, until Release.
func (p *Pool) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = true
}

// Freeze has the worker pool read nothing more: commands stay on their way.
func (p *Pool) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
}

// Slow has each run from now on take a while on one of so many slots.
func (p *Pool) Slow(slots int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots, p.took = make(chan struct{}, slots), took
}

// later ends a run that takes its time.
func (p *Pool) later(id, body string) {
	p.slots <- struct{}{}
	time.Sleep(p.took)
	<-p.slots
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(id, body)
}

// Release ends all runs that wait, and those to come at once.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = false
	for id, body := range p.held {
		p.finish(id, body)
	}
	clear(p.held)
}

// Started returns when a run with that body has begun.
func (p *Pool) Started(body string) error {
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

func (p *Pool) finish(id, body string) {
	p.notice++
	result := "did " + body
	if p.ledger.Named {
		result += " as " + id
	}
	_, _ = p.conn.Write(pool.AppendFinished(nil, p.notice, id, pool.Pass, 1, []byte(result)))
}

func (p *Pool) serve(c net.Conn) {
	var buf []byte
	more := make([]byte, 64<<10)
	for {
		k, n, err := pool.ParseCommand(buf)
		if err != nil {
			_ = c.Close()
			return
		}
		if n == 0 {
			got, err := c.Read(more)
			if err != nil {
				return
			}
			buf = append(buf, more[:got]...)
			continue
		}
		p.mu.Lock()
		if p.frozen {
			p.mu.Unlock()
			return
		}
		switch k.Order {
		case pool.Bind:
			_, _ = c.Write([]byte("bound LOADED 60000\r\n"))
		case pool.Poll:
			_, _ = fmt.Fprintf(c, "polled %s 0.1 0 0.1 1\r\n", k.Tag)
		case pool.Spawn:
			body := string(k.Body)
			p.ledger.ran(body, k.ID, p)
			select {
			case p.started <- body:
			default: // nobody waits for so many
			}
			switch {
			case p.hold:
				p.held[k.ID] = body
			case p.took > 0:
				go p.later(k.ID, body)
			default:
				p.finish(k.ID, body)
			}
		}
		p.mu.Unlock()
		buf = buf[n:]
	}
}
