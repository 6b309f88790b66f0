package main

import (
	"fmt"
	"log"
	"math"
	"net"
	"sync"
	"time"

	"pewterline/internal/protocol/pool"
)

const (
	// cores is how many cores the toy says that it has.
	cores = 2
	// callTimeout is how long a run waits for the reply to its call. Its request is over by then.
	callTimeout = 5 * time.Second
)

// workerPool is a worker pool that takes as long over each run.
type workerPool struct {
	work      time.Duration
	callClass string // the class whose runs call the vault, halfway through
}

// serve serves one server's connection. The toy keeps no notices: a run that ends without a connection is lost.
func (p workerPool) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing is left to write
	s := &poolSession{pool: p, conn: conn, blocked: map[string]*time.Timer{}}
	err := readMessages(conn, func(in []byte) (int, error) {
		command, size, err := pool.ParseCommand(in)
		if size > 0 {
			s.handle(command)
		}
		return size, err
	})
	log.Printf("connection to a server ended: %v", err)
}

// poolSession is one server's connection. Its timers outlive the connection by the time of a run at most.
type poolSession struct {
	pool workerPool
	conn net.Conn

	mu         sync.Mutex // guards what follows, and what is written
	lastNotice uint64
	running    int
	blocked    map[string]*time.Timer // runs that wait for the reply to their call, by ID; it ends the wait
}

// handle carries out a command.
func (s *poolSession) handle(command pool.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch command.Verb {
	case pool.Bind:
		s.lastNotice = command.Notice
		s.write([]byte("bound LOADED 0\r\n"))
	case pool.Poll:
		busy := math.Min(1, float64(s.running)/cores)
		s.write(fmt.Appendf(nil, "polled %s %.2f %d 0.1 1\r\n", command.Tag, busy, s.running))
	case pool.Verify:
		s.after(s.pool.work, func() { s.write(pool.AppendVerified(nil, command.Tag, pool.Pass)) })
	case pool.Spawn:
		s.spawn(command.ID, command.Class, string(command.Body))
	case pool.Supply:
		s.supply(command.ID, string(command.Body))
	default: // the toy lets runs end that are to be suspended
	}
}

// spawn starts a run.
func (s *poolSession) spawn(id, class, body string) {
	log.Printf("run %s of %s", id, class)
	s.running++
	if class != s.pool.callClass {
		s.after(s.pool.work, func() { s.succeed(id, "done "+id) })
		return
	}
	s.after(s.pool.work/2, func() { s.block(id, body) })
}

// block has a run wait for its call.
func (s *poolSession) block(id, body string) {
	log.Printf("run %s waits for the vault", id)
	s.running--
	s.blocked[id] = s.after(callTimeout, func() {
		delete(s.blocked, id)
		s.finish(id, pool.Killed, "")
	})
	s.write(pool.AppendBlocked(nil, s.nextNotice(), id, []byte(body)))
}

// supply has a run go on with the reply to its call.
func (s *poolSession) supply(id, reply string) {
	timeout := s.blocked[id]
	if timeout == nil || !timeout.Stop() {
		s.write(fmt.Appendf(nil, "unknown supply %s\r\n", id))
		return
	}
	delete(s.blocked, id)
	s.running++
	s.after(s.pool.work/2, func() { s.succeed(id, "done "+id+", the vault says: "+reply) })
}

// succeed ends a run that was at work.
func (s *poolSession) succeed(id, result string) {
	s.running--
	s.finish(id, pool.Pass, result)
}

// finish tells the server of a run's end.
func (s *poolSession) finish(id string, outcome pool.Outcome, result string) {
	milliseconds := int(s.pool.work.Milliseconds())
	s.write(pool.AppendFinished(nil, s.nextNotice(), id, outcome, milliseconds, []byte(result)))
}

func (s *poolSession) nextNotice() uint64 {
	s.lastNotice++
	return s.lastNotice
}

// after calls a function, which may use the session, after a while.
func (s *poolSession) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	})
}

func (s *poolSession) write(p []byte) {
	if _, err := s.conn.Write(p); err != nil {
		log.Printf("connection to a server: %v", err)
	}
}
