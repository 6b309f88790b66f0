package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"pewterline/internal/protocol/pool"
)

const (
	// usualWork is how long a run takes whose body names no time.
	usualWork = 100 * time.Millisecond
	// keptNotices is how many notices a worker pool keeps for a new link.
	keptNotices = 4000
	// readSize is the size of a single read from a connection, in bytes.
	readSize = 16 << 10
)

// workerPool is a worker pool, as the protocol page describes it. A body that begins with "work=MS " makes its run take
// that many milliseconds. The result of a run is "ran ID: " and the body.
type workerPool struct {
	world    *world
	name     string
	listener net.Listener

	mu      sync.Mutex
	link    net.Conn // the bound link; nil: none
	notices [][]byte
	running map[string]bool
	started []startedRun
}

// startedRun is one run that a worker pool began.
type startedRun struct {
	id   string
	body string
	at   time.Time
}

// newPool starts a worker pool on a free loopback address.
func (w *world) newPool(name string) (*workerPool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	opened := &workerPool{world: w, name: name, listener: listener, running: map[string]bool{}}
	w.mu.Lock()
	w.pools = append(w.pools, opened)
	w.mu.Unlock()
	go func() { // ends when the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go opened.serve(conn) // ends with the link
		}
	}()
	return opened, nil
}

func (p *workerPool) address() string { return p.listener.Addr().String() }

func (p *workerPool) close() { _ = p.listener.Close() } // an error means that it is closed already

// serve reads the commands of a link until it ends or something on it is no command.
func (p *workerPool) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing is left to write
	var received []byte
	chunk := make([]byte, readSize)
	for {
		command, size, err := pool.ParseCommand(received)
		if err != nil {
			return
		}
		if size > 0 {
			p.execute(conn, command)
			received = received[size:]
			continue
		}
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		received = append(received, chunk[:n]...)
	}
}

func (p *workerPool) execute(conn net.Conn, command pool.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch command.Verb {
	case pool.Bind:
		p.bind(conn, int(command.Notice))
	case pool.Poll:
		p.send(fmt.Appendf(nil, "polled %s %.2f %d 0.1 1\r\n", command.Tag,
			min(1, float64(len(p.running))/poolCores), len(p.running)))
	case pool.Verify:
		p.send(pool.AppendVerified(nil, command.Tag, pool.Pass))
	case pool.Spawn:
		p.spawn(command.ID, string(command.Body))
	case pool.Suspend:
		p.end(command.ID, pool.Killed, "")
	default: // no run makes calls, so no reply is expected
	}
}

// bind makes a link the bound one and repeats the notices after the last one that was read.
func (p *workerPool) bind(conn net.Conn, last int) {
	if p.link != nil && p.link != conn {
		_ = p.link.Close() // a new link replaces the one before it
	}
	p.link = conn
	p.send([]byte("bound LOADED 60000\r\n"))
	read := max(min(last, len(p.notices)), len(p.notices)-keptNotices)
	for i := read; i < len(p.notices); i++ {
		p.send(p.notices[i])
	}
}

func (p *workerPool) send(message []byte) {
	if p.link != nil {
		_, _ = p.link.Write(message) // a notice that is lost with the link is repeated on the next one
	}
}

// spawn begins a run, unless it runs already.
func (p *workerPool) spawn(id, body string) {
	if p.running[id] {
		return
	}
	p.running[id] = true
	p.started = append(p.started, startedRun{id: id, body: body, at: time.Now()})
	p.world.notef("%s: run of %s begins: %q", p.name, id, body)
	time.AfterFunc(workOf(body), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.end(id, pool.Pass, "ran "+id+": "+body)
	})
}

// workOf returns how long the run of a body takes.
func workOf(body string) time.Duration {
	text, found := strings.CutPrefix(body, "work=")
	if !found {
		return usualWork
	}
	number, _, _ := strings.Cut(text, " ")
	milliseconds, err := strconv.Atoi(number)
	if err != nil {
		return usualWork
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// end ends a run, if it still runs.
func (p *workerPool) end(id string, outcome pool.Outcome, result string) {
	if !p.running[id] {
		return
	}
	delete(p.running, id)
	p.world.notef("%s: run of %s ends: %v", p.name, id, outcome)
	number := uint64(len(p.notices) + 1)
	notice := pool.AppendFinished(nil, number, id, outcome, int(usualWork.Milliseconds()), []byte(result))
	p.notices = append(p.notices, notice)
	p.send(notice)
}

// runsOf returns the runs whose body is body.
func (p *workerPool) runsOf(body string) (runs []startedRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, run := range p.started {
		if run.body == body {
			runs = append(runs, run)
		}
	}
	return runs
}

// startWithPool starts a process with a worker pool of its own, and waits until the process accepts clients.
func (w *world) startWithPool(options startOptions) (*process, error) {
	w.mu.Lock()
	number := len(w.pools) + 1
	w.mu.Unlock()
	pool, err := w.newPool(fmt.Sprintf("pool %d", number))
	if err != nil {
		return nil, err
	}
	options.pool = pool.address()
	return w.startReady(options)
}
