package lab

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a run that the worker pool was told to start.
type Run struct {
	ID, Class, Body string
	StartedAt       time.Time
}

// Pool is a worker pool: it starts each run at once and ends it after its work, with PASS or, if Fails says so, FAIL.
type Pool struct {
	Cores    int
	Work     func(Run) time.Duration
	Fails    func(Run) bool
	Started  func(Run)
	Finished func(Run, string)

	listener net.Listener
	mu       sync.Mutex
	conn     net.Conn
	runs     map[string]*time.Timer
	notices  []string // the notices, the first one under number 1
	started  time.Time
}

// StartPool makes the pool listen.
func StartPool(p *Pool) (*Pool, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listener, p.runs, p.started = listener, map[string]*time.Timer{}, time.Now().Add(-time.Minute)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// Address returns the address of the pool.
func (p *Pool) Address() string { return p.listener.Addr().String() }

// Close ends the pool with all its runs.
func (p *Pool) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, timer := range p.runs {
		timer.Stop()
	}
	if p.conn != nil {
		_ = p.conn.Close()
	}
}

func (p *Pool) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		var body []byte
		if words[0] == "spawn" || words[0] == "supply" {
			length, err := strconv.Atoi(words[len(words)-1])
			if err != nil {
				return
			}
			body = make([]byte, length+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			body = body[:length]
		}
		p.mu.Lock()
		p.command(conn, words, string(body))
		p.mu.Unlock()
	}
}

func (p *Pool) command(conn net.Conn, words []string, body string) {
	switch words[0] {
	case "bind":
		if p.conn != nil && p.conn != conn {
			_ = p.conn.Close()
		}
		p.conn = conn
		p.send(fmt.Sprintf("bound LOADED %d\r\n", time.Since(p.started).Milliseconds()))
		last, _ := strconv.Atoi(words[1])
		for _, notice := range p.notices[min(last, len(p.notices)):] {
			p.send(notice)
		}
	case "poll":
		busy := math.Min(1, float64(len(p.runs))/float64(p.Cores))
		p.send(fmt.Sprintf("polled %s %.2f %d 0.1 1\r\n", words[1], busy, len(p.runs)))
	case "verify":
		p.send(fmt.Sprintf("verified %s PASS\r\n", words[1]))
	case "spawn":
		p.spawn(Run{ID: words[1], Class: words[2], Body: body, StartedAt: time.Now()})
	case "suspend":
		if timer := p.runs[words[1]]; timer != nil && timer.Stop() {
			p.finish(Run{ID: words[1]}, "KILLED", "")
		}
	}
}

func (p *Pool) spawn(run Run) {
	if p.runs[run.ID] != nil {
		return // it runs already
	}
	if p.Started != nil {
		p.Started(run)
	}
	p.runs[run.ID] = time.AfterFunc(p.Work(run), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.Fails != nil && p.Fails(run) {
			p.finish(run, "FAIL", "")
			return
		}
		p.finish(run, "PASS", "result of run "+run.ID+" for "+run.Body)
	})
}

func (p *Pool) finish(run Run, end, result string) {
	delete(p.runs, run.ID)
	if p.Finished != nil {
		p.Finished(run, end)
	}
	took := 0
	if !run.StartedAt.IsZero() {
		took = int(time.Since(run.StartedAt).Milliseconds())
	}
	notice := fmt.Sprintf("finished %d %s %s %d %d\r\n%s\r\n", len(p.notices)+1, run.ID, end, took, len(result), result)
	p.notices = append(p.notices, notice)
	p.send(notice)
}

func (p *Pool) send(text string) {
	if p.conn != nil {
		_, _ = io.WriteString(p.conn, text) // after a failure the log server opens a new link
	}
}
