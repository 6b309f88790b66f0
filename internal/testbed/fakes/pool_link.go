package fakes

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/testbed/simnet"
)

const (
	// maxNotices is the number of recent notices that a worker pool keeps to send them again.
	maxNotices = 4000
	// runsPerChatter is the number of finished runs per chatter notice, which concerns no run.
	runsPerChatter = 50
	// verifyDuration is the duration of a deep health check.
	verifyDuration = 10 * microtime.Millisecond
)

// finish ends a run and notifies the server.
func (p *Pool) finish(finished *poolRun, outcome pool.Outcome, result []byte) {
	finished.ended = true
	finished.blocked = false
	if p.rng.IntN(runsPerChatter) == 0 { // chatter has its own notice number, and is resent like other notices
		p.notify(func(number uint64) []byte { return fmt.Appendf(nil, "chatter %d all is well\r\n", number) })
	}
	durationMS := int((p.env.Clock.Now() - finished.startedAt) / microtime.Millisecond)
	p.notify(func(number uint64) []byte {
		return pool.AppendFinished(nil, number, finished.id, outcome, durationMS, result)
	})
}

// notify stores a notice under the next number, and sends it if the server is connected.
func (p *Pool) notify(encode func(number uint64) []byte) {
	line := encode(p.nextNotice())
	p.notices = append(p.notices, line)
	if len(p.notices) > maxNotices {
		p.notices = p.notices[1:]
		p.firstNotice++
	}
	if p.conn == nil || !p.conn.bound {
		return
	}
	if p.duplicateUntil > p.env.Clock.Now() {
		line = append(slices.Clone(line), line...)
	}
	p.conn.stream.Write(line)
}

// nextNotice returns the number of the next notice.
func (p *Pool) nextNotice() uint64 { return p.firstNotice + uint64(len(p.notices)) }

// poolConn is one connection from the server.
type poolConn struct {
	pool   *Pool
	stream *simnet.Stream
	in     []byte // incomplete command
	bound  bool
}

// EOF implements simnet.Handler.
func (c *poolConn) EOF(stream *simnet.Stream) {
	stream.Close()
	c.Reset(stream)
}

// Reset implements simnet.Handler.
func (c *poolConn) Reset(*simnet.Stream) {
	if c.pool.conn == c {
		c.pool.conn = nil
	}
}

// Received implements simnet.Handler.
func (c *poolConn) Received(stream *simnet.Stream, in []byte) {
	c.in = append(c.in, in...)
	for stream.IsOpen() {
		command, size, err := pool.ParseCommand(c.in)
		if err != nil { // an invalid command ends the connection
			stream.Close()
			c.Reset(stream)
		}
		if size == 0 {
			return
		}
		c.handle(command)
		c.in = c.in[:copy(c.in, c.in[size:])]
	}
}

// handle executes a command. On a connection that is not the bound one, only bind is accepted.
func (c *poolConn) handle(command pool.Command) {
	if command.Verb != pool.Bind && c.pool.conn != c {
		return
	}
	switch command.Verb {
	case pool.Bind:
		c.bind(command)
	case pool.Spawn:
		c.spawn(command)
	case pool.Suspend:
		c.pool.suspend(command.ID)
	case pool.Supply:
		c.supply(command)
	case pool.Verify:
		c.verify(command)
	case pool.Poll:
		c.poll(command)
	}
}

// bind makes this connection the bound one, on which notices are sent, in place of the previous one. It then resends
// the notices that the server has not received.
func (c *poolConn) bind(command pool.Command) {
	owner := c.pool
	if owner.conn != nil && owner.conn != c {
		owner.conn.stream.Close()
	}
	owner.conn = c
	c.bound = true
	state := "LOADED"
	if owner.cold {
		state = "EMPTY"
	}
	uptimeMS := (owner.env.Clock.Now() - owner.startedAt) / microtime.Millisecond
	c.stream.Write(fmt.Appendf(nil, "bound %s %d\r\n", state, uptimeMS))
	for number := max(command.Notice+1, owner.firstNotice); number < owner.nextNotice(); number++ {
		c.stream.Write(owner.notices[number-owner.firstNotice])
	}
}

// spawn starts a run, unless it is already running.
func (c *poolConn) spawn(command pool.Command) {
	owner := c.pool
	attempt := owner.env.Requests.attempts[command.ID]
	if attempt == nil || !attempt.matches(owner.server, command) {
		c.stream.Write([]byte("unknown spawn " + command.ID + "\r\n"))
		return
	}
	if earlier := owner.runs[command.ID]; earlier != nil && !earlier.ended {
		return
	}
	started := &poolRun{id: command.ID, startedAt: owner.env.Clock.Now(), body: slices.Clone(command.Body)}
	owner.runs[command.ID] = started
	if attempt.ended { // a request that has ended is not run
		owner.finish(started, pool.Noop, nil)
		return
	}
	attempt.pool = owner
	attempt.run = started
	owner.change(func() {
		owner.drawWork(started, command.Class, attempt.size)
		owner.start(started)
	})
}

// matches reports whether a command has the server, class and body of the attempt.
func (a *sentAttempt) matches(server string, command pool.Command) bool {
	return a.server == server && a.class == command.Class && a.bodyHash == xxhash.Sum64(command.Body)
}

// drawWork chooses the number of calls and the work of a run at random. A size of 0 is replaced by a random one.
func (p *Pool) drawWork(started *poolRun, className string, size float64) {
	class := slices.IndexFunc(p.env.Settings.Classes, func(class control.Class) bool { return class.Name == className })
	factor := p.classSlowdown[className]
	if factor == 0 {
		factor = 1
	}
	if size == 0 {
		size = drawSize(p.rng)
	}
	started.callsLeft = p.env.Deployment.drawCalls(class, p.rng)
	work := float64(p.env.Deployment.MeanWork[class]) * factor * size
	started.segmentService = work / float64(started.callsLeft+1)
}

// supply passes a reply to the run that waits for it, which continues on the cores.
func (c *poolConn) supply(command pool.Command) {
	waiter := c.pool.runs[command.ID]
	if waiter == nil || !waiter.blocked {
		c.stream.Write([]byte("unknown supply " + command.ID + "\r\n"))
		return
	}
	waiter.blocked = false
	c.pool.change(func() { c.pool.start(waiter) })
}

// verify answers a deep health check after verifyDuration, scaled by the slowdown.
func (c *poolConn) verify(command pool.Command) {
	owner := c.pool
	owner.env.Clock.In(microtime.Time(float64(verifyDuration)*owner.slowdown), func() {
		if owner.conn == c {
			c.stream.Write(pool.AppendVerified(nil, command.Tag, pool.Pass))
		}
	})
}

// poll answers with the load of the pool.
func (c *poolConn) poll(command pool.Command) {
	owner := c.pool
	busy := min(1, float64(len(owner.running))/owner.cores)
	queued := max(0, len(owner.running)-int(owner.cores))
	c.stream.Write(fmt.Appendf(nil, "polled %s %.2f %d 0.2 %d\r\n",
		command.Tag, busy, queued, owner.node.OpenConnections()))
}
