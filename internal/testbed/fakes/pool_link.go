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
	// maxNotices is how many of its last notices a worker pool can send again.
	maxNotices = 4000
	// chatterOneIn is how many ends of runs there are for each notice that tells of none.
	chatterOneIn = 50
	// verifyTime is what a deep health check takes.
	verifyTime = 10 * microtime.Millisecond
)

// finish ends a run and tells the server so.
func (p *Pool) finish(finished *poolRun, outcome pool.Outcome, result []byte) {
	finished.ended = true
	finished.blocked = false
	if p.rng.IntN(chatterOneIn) == 0 { // it takes a number of its own, and is sent again like the others
		p.notify(func(number uint64) []byte { return fmt.Appendf(nil, "chatter %d all is well\r\n", number) })
	}
	tookMS := int((p.env.World.Now() - finished.startedAt) / microtime.Millisecond)
	p.notify(func(number uint64) []byte {
		return pool.AppendFinished(nil, number, finished.id, outcome, tookMS, result)
	})
}

// notify keeps a notice under the next number, and sends it where the server is connected.
func (p *Pool) notify(encode func(number uint64) []byte) {
	line := encode(p.nextNotice())
	p.notices = append(p.notices, line)
	if len(p.notices) > maxNotices {
		p.notices = p.notices[1:]
		p.firstNotice++
	}
	if p.link == nil || !p.link.bound {
		return
	}
	if p.duplicateUntil > p.env.World.Now() {
		line = append(slices.Clone(line), line...)
	}
	p.link.stream.Write(line)
}

// nextNotice is the number of the next notice.
func (p *Pool) nextNotice() uint64 { return p.firstNotice + uint64(len(p.notices)) }

// poolLink is one connection of the server's.
type poolLink struct {
	pool   *Pool
	stream *simnet.Stream
	in     []byte // read and not yet whole
	bound  bool
}

// EOF is part of simnet.Handler.
func (l *poolLink) EOF(stream *simnet.Stream) {
	stream.Close()
	l.Reset(stream)
}

// Reset is part of simnet.Handler.
func (l *poolLink) Reset(*simnet.Stream) {
	if l.pool.link == l {
		l.pool.link = nil
	}
}

// Received is part of simnet.Handler.
func (l *poolLink) Received(stream *simnet.Stream, in []byte) {
	l.in = append(l.in, in...)
	for stream.IsOpen() {
		command, size, err := pool.ParseCommand(l.in)
		if err != nil { // what is not a command ends the connection
			stream.Close()
			l.Reset(stream)
		}
		if size == 0 {
			return
		}
		l.handle(command)
		l.in = l.in[:copy(l.in, l.in[size:])]
	}
}

// handle does what a command says. Until it is bound, a connection takes no other command than to bind.
func (l *poolLink) handle(command pool.Command) {
	if command.Verb != pool.Bind && l.pool.link != l {
		return
	}
	switch command.Verb {
	case pool.Bind:
		l.bind(command)
	case pool.Spawn:
		l.spawn(command)
	case pool.Suspend:
		l.pool.suspend(command.ID)
	case pool.Supply:
		l.supply(command)
	case pool.Verify:
		l.verify(command)
	case pool.Poll:
		l.poll(command)
	}
}

// bind makes the connection the one that notices go to, in place of the one before it, and sends the notices again
// that the server has not got.
func (l *poolLink) bind(command pool.Command) {
	workers := l.pool
	if workers.link != nil && workers.link != l {
		workers.link.stream.Close()
	}
	workers.link = l
	l.bound = true
	state := "LOADED"
	if workers.cold {
		state = "EMPTY"
	}
	uptimeMS := (workers.env.World.Now() - workers.startedAt) / microtime.Millisecond
	l.stream.Write(fmt.Appendf(nil, "bound %s %d\r\n", state, uptimeMS))
	for number := max(command.Notice+1, workers.firstNotice); number < workers.nextNotice(); number++ {
		l.stream.Write(workers.notices[number-workers.firstNotice])
	}
}

// spawn starts a run, unless it runs already.
func (l *poolLink) spawn(command pool.Command) {
	workers := l.pool
	attempt := workers.env.Requests.attempts[command.ID]
	if attempt == nil || !attempt.matches(workers.server, command) {
		l.stream.Write([]byte("unknown spawn " + command.ID + "\r\n"))
		return
	}
	if earlier := workers.runs[command.ID]; earlier != nil && !earlier.ended {
		return
	}
	started := &poolRun{id: command.ID, startedAt: workers.env.World.Now(), body: slices.Clone(command.Body)}
	workers.runs[command.ID] = started
	if attempt.ended { // nothing is started for a request that has ended
		workers.finish(started, pool.Noop, nil)
		return
	}
	attempt.pool = workers
	attempt.run = started
	workers.change(func() {
		workers.drawWork(started, command.Class, attempt.size)
		workers.start(started)
	})
}

// matches reports whether a command is to run an attempt as it was sent.
func (a *sentAttempt) matches(server string, command pool.Command) bool {
	return a.server == server && a.class == command.Class && a.bodyHash == xxhash.Sum64(command.Body)
}

// drawWork draws the calls and the work of a run of a class; a size of 0 is drawn too.
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
	started.part = work / float64(started.callsLeft+1)
}

// supply gives a run the reply that it waits for.
func (l *poolLink) supply(command pool.Command) {
	waiter := l.pool.runs[command.ID]
	if waiter == nil || !waiter.blocked {
		l.stream.Write([]byte("unknown supply " + command.ID + "\r\n"))
		return
	}
	waiter.blocked = false
	l.pool.change(func() { l.pool.start(waiter) })
}

// verify answers a deep health check, after a while.
func (l *poolLink) verify(command pool.Command) {
	p := l.pool
	p.env.World.In(microtime.Time(float64(verifyTime)*p.slowdown), func() {
		if p.link == l {
			l.stream.Write(pool.AppendVerified(nil, command.Tag, pool.Pass))
		}
	})
}

// poll answers how busy the pool is.
func (l *poolLink) poll(command pool.Command) {
	p := l.pool
	busy := min(1, float64(len(p.running))/p.cores)
	queued := max(0, len(p.running)-int(p.cores))
	l.stream.Write(fmt.Appendf(nil, "polled %s %.2f %d 0.2 %d\r\n", command.Tag, busy, queued, p.node.OpenConnections()))
}
