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
	// cores is the number of cores that the reported utilization is based on.
	cores = 2
	// callTimeout limits how long a run waits for the reply to its call. It is longer than the request's deadline.
	callTimeout = 5 * time.Second
)

// workerPool is a worker pool in which each run takes the same time.
type workerPool struct {
	work      time.Duration
	callClass string // the class whose runs call the vault, halfway through
}

// serve serves one server's connection. The toy does not store notices: the result of a run that ends without a
// connection is lost.
func (p workerPool) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing is left to write
	session := &poolSession{pool: p, conn: conn, blocked: map[string]*time.Timer{}}
	err := readMessages(conn, func(received []byte) (int, error) {
		command, size, err := pool.ParseCommand(received)
		if size > 0 {
			session.handle(command)
		}
		return size, err
	})
	log.Printf("connection to a server ended: %v", err)
}

// poolSession is one server's connection. Its timers may fire after the connection has ended, up to the duration of a
// run or callTimeout later.
type poolSession struct {
	pool workerPool
	conn net.Conn

	mu         sync.Mutex // guards the fields below and writes to conn
	lastNotice uint64
	running    int
	blocked    map[string]*time.Timer // timeouts of the runs that wait for the reply to their call, by ID
}

// handle executes a command.
func (s *poolSession) handle(command pool.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch command.Verb {
	case pool.Bind:
		s.lastNotice = command.Notice
		s.write([]byte("bound LOADED 0\r\n"))
	case pool.Poll:
		utilization := math.Min(1, float64(s.running)/cores)
		s.write(fmt.Appendf(nil, "polled %s %.2f %d 0.1 1\r\n", command.Tag, utilization, s.running))
	case pool.Verify:
		s.after(s.pool.work, func() { s.write(pool.AppendVerified(nil, command.Tag, pool.Pass)) })
	case pool.Spawn:
		s.spawn(command.ID, command.Class, string(command.Body))
	case pool.Supply:
		s.supply(command.ID, string(command.Body))
	default: // suspend is ignored: the toy lets the run finish
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

// block makes a run wait for the reply to its call.
func (s *poolSession) block(id, body string) {
	log.Printf("run %s waits for the vault", id)
	s.running--
	s.blocked[id] = s.after(callTimeout, func() {
		delete(s.blocked, id)
		s.finish(id, pool.Killed, "")
	})
	s.write(pool.AppendBlocked(nil, s.nextNotice(), id, []byte(body)))
}

// supply resumes a run with the reply to its call.
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

// succeed ends a running run with a result.
func (s *poolSession) succeed(id, result string) {
	s.running--
	s.finish(id, pool.Pass, result)
}

// finish notifies the server of a run's end.
func (s *poolSession) finish(id string, outcome pool.Outcome, result string) {
	milliseconds := int(s.pool.work.Milliseconds())
	s.write(pool.AppendFinished(nil, s.nextNotice(), id, outcome, milliseconds, []byte(result)))
}

func (s *poolSession) nextNotice() uint64 {
	s.lastNotice++
	return s.lastNotice
}

// after calls f after a delay, with the session's lock held.
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
