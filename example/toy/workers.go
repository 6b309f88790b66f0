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

// cores is how many cores the toy says that it has.
const cores = 2

// callPatience is how long a run waits for the reply to its call. Its request is over by then.
const callPatience = 5 * time.Second

// workers are a worker pool that takes as long over each run.
type workers struct {
	work  time.Duration
	calls string // the class whose runs call the vault, halfway through
}

// link is one server's link. The toy keeps no notices: what ends without a link is lost.
type link struct {
	workers
	conn    net.Conn
	mu      sync.Mutex
	notice  uint64
	running int
	blocked map[string]*time.Timer // runs that wait for the reply to their call, by ID; it ends the wait
}

func (w workers) serveLink(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // nothing is left to write
	l := &link{workers: w, conn: conn, blocked: map[string]*time.Timer{}}
	err := readMessages(conn, func(in []byte) (int, error) {
		command, n, err := pool.ParseCommand(in)
		if n > 0 {
			l.obey(command)
		}
		return n, err
	})
	log.Printf("link ended: %v", err)
}

func (l *link) obey(c pool.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.Verb {
	case pool.Bind:
		l.notice = c.Notice
		l.write([]byte("bound LOADED 0\r\n"))
	case pool.Poll:
		l.write(fmt.Appendf(nil, "polled %s %.2f %d 0.1 1\r\n", c.Tag, math.Min(1, float64(l.running)/cores), l.running))
	case pool.Verify:
		l.after(l.work, func() { l.write(pool.AppendVerified(nil, c.Tag, pool.Pass)) })
	case pool.Spawn:
		l.spawn(c.ID, c.Class, string(c.Body))
	case pool.Supply:
		l.supply(c.ID, string(c.Body))
	}
}

func (l *link) spawn(id, class, body string) {
	log.Printf("run %s of %s", id, class)
	l.running++
	if class != l.calls {
		l.after(l.work, func() { l.finish(id, "done "+id) })
		return
	}
	l.after(l.work/2, func() { l.block(id, body) })
}

// block has a run wait for its call.
func (l *link) block(id, body string) {
	log.Printf("run %s waits for the vault", id)
	l.running--
	l.blocked[id] = l.after(callPatience, func() {
		delete(l.blocked, id)
		l.end(id, pool.Killed, "")
	})
	l.write(pool.AppendBlocked(nil, l.nextNotice(), id, []byte(body)))
}

// supply has a run go on with the reply to its call.
func (l *link) supply(id, reply string) {
	patience := l.blocked[id]
	if patience == nil || !patience.Stop() {
		l.write(fmt.Appendf(nil, "unknown supply %s\r\n", id))
		return
	}
	delete(l.blocked, id)
	l.running++
	l.after(l.work/2, func() { l.finish(id, "done "+id+", the vault says: "+reply) })
}

func (l *link) finish(id, result string) {
	l.running--
	l.end(id, pool.Pass, result)
}

func (l *link) end(id string, end pool.Outcome, result string) {
	l.write(pool.AppendFinished(nil, l.nextNotice(), id, end, int(l.work.Milliseconds()), []byte(result)))
}

func (l *link) nextNotice() uint64 {
	l.notice++
	return l.notice
}

// after calls f, which may use the link, after a while.
func (l *link) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		f()
	})
}

func (l *link) write(p []byte) {
	if _, err := l.conn.Write(p); err != nil {
		log.Printf("link: %v", err)
	}
}
