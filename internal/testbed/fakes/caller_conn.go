package fakes

import (
	"fmt"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	// maxOpenPerConn is how many requests a Thrift connection carries at once; an AJP connection carries one.
	maxOpenPerConn = 32
	// maxConnsPerServer is how many connections a caller by Thrift has to a server.
	maxConnsPerServer = 4
	// maxAJPConnsPerServer is the same by AJP.
	maxAJPConnsPerServer = 8 * maxConnsPerServer
	// idleTimeout is how long a connection stays open without a request.
	idleTimeout = 6 * microtime.Second
	// deadlineGrace is how long after the deadline of a request its caller still waits.
	deadlineGrace = 200 * microtime.Millisecond
	// dialFailedPause is the pause before a job whose connection failed is retried.
	dialFailedPause = 50 * microtime.Millisecond
	// hastyOneIn is how many requests to a server with a vault there are for each that is cancelled early.
	hastyOneIn = 20
	// hastyTimeout is how long the caller waits at most for such a request.
	hastyTimeout = 400 * microtime.Millisecond
)

// attempt is one sending of a job.
type attempt struct {
	job        *job
	id         string
	sequenceID int32
	timer      *simnet.Timer // cancels it
}

// outcome is what a final answer says became of an attempt.
type outcome uint8

const (
	outcomeFailed   outcome = iota // it may have run
	outcomeServed                  // its result came
	outcomeRejected                // it never ran
)

// String is the outcome's name.
func (o outcome) String() string { return [...]string{"failed", "served", "rejected"}[o] }

// answer is a final answer to an attempt.
type answer struct {
	outcome    outcome
	retryAfter microtime.Time // for a rejection: how long to wait before the next attempt
	noRetry    bool           // for a rejection: no attempt elsewhere will do better
}

// callerConn is a connection to a server, or one that is being opened.
type callerConn struct {
	caller       *Caller
	server       string
	stream       *simnet.Stream // nil while it is being opened
	waiting      []*job         // until it is open
	open         []*attempt
	lastSequence int32
	in           []byte // read and not yet whole
	draining     bool   // the server has said that it takes no more
	ended        bool
	idle         *simnet.Timer
	head         answer // AJP: what the headers of the answer said
}

// connTo is the fullest connection to a server that has room, so that the others may become idle. It dials a new one
// where none has room, and returns nil where there are too many.
func (c *Caller) connTo(server string) *callerConn {
	maxOpen, maxConns := maxOpenPerConn, maxConnsPerServer
	if c.ajp {
		maxOpen, maxConns = 1, maxAJPConnsPerServer
	}
	var fullest *callerConn
	count := 0
	for _, conn := range c.conns {
		if conn.server != server || conn.ended {
			continue
		}
		count++
		hasRoom := !conn.draining && conn.load() < maxOpen
		if hasRoom && (fullest == nil || len(conn.open) > len(fullest.open)) {
			fullest = conn
		}
	}
	if fullest != nil {
		return fullest
	}
	if count >= maxConns {
		return nil
	}
	return c.dial(server)
}

// dial opens a connection to a server. It is of the caller's at once, and jobs wait on it until it is open.
func (c *Caller) dial(server string) *callerConn {
	conn := &callerConn{caller: c, server: server}
	c.conns = append(c.conns, conn)
	address := server + "/thrift"
	if c.ajp {
		address = server + "/ajp"
	}
	incarnation := c.incarnation
	c.node.Dial(address, func(stream *simnet.Stream, err error) {
		switch {
		case !c.alive(incarnation):
		case err != nil:
			conn.dialFailed()
		default:
			conn.opened(stream)
		}
	})
	return conn
}

// dialFailed retries what waited for the connection elsewhere: none of it has run.
func (c *callerConn) dialFailed() {
	waiting := c.waiting
	c.waiting = nil
	c.drop()
	for _, sent := range waiting {
		sent.avoid = c.server
		c.caller.retry(sent, dialFailedPause)
	}
}

// opened sends what waited for the connection.
func (c *callerConn) opened(stream *simnet.Stream) {
	waiting := c.waiting
	c.waiting = nil
	c.stream = stream
	stream.SetHandler(c)
	if c.caller.faults.notReadingUntil > c.caller.env.World.Now() {
		stream.PauseReading(true)
	}
	for _, sent := range waiting {
		if c.ended {
			c.caller.retry(sent, 0)
		} else {
			c.send(sent)
		}
	}
}

// load is how many requests are on the connection or wait for it.
func (c *callerConn) load() int { return len(c.open) + len(c.waiting) }

// drop takes the connection off the caller's.
func (c *callerConn) drop() {
	c.ended = true
	c.idle.Stop()
	c.caller.conns = slices.DeleteFunc(c.caller.conns, func(other *callerConn) bool { return other == c })
}

// close ends the connection from the caller's side.
func (c *callerConn) close() {
	c.stream.Close()
	c.drop()
}

// abandon ends the connection with the caller's process.
func (c *callerConn) abandon() {
	c.ended = true
	for _, sent := range c.open {
		sent.timer.Stop()
		c.caller.env.Requests.MarkEnded(sent.id)
	}
	c.idle.Stop()
}

// send writes an attempt, and waits for its answer.
func (c *callerConn) send(sent *job) {
	caller := c.caller
	env := caller.env
	c.lastSequence++
	started := &attempt{
		job:        sent,
		id:         fmt.Sprintf("%016x", caller.rng.Uint64()),
		sequenceID: c.lastSequence,
	}
	c.open = append(c.open, started)
	c.idle.Stop()
	env.Requests.Add(started.id, c.server, caller.classOf(sent).Name, sent.body)
	env.Requests.attempts[started.id].size = sent.size
	if caller.ajp {
		c.writeAJP(started)
	} else {
		c.writeThrift(started)
	}
	started.timer = env.World.In(caller.timeout(sent), func() { c.cancel(started) })
}

// timeout draws how long the caller waits for an answer: as long as the deadline is and a little longer, or less
// where a fault has it cancel early, or where it cancels while a run waits for a call.
func (c *Caller) timeout(sent *job) microtime.Time {
	wait := c.deadline(sent) + deadlineGrace
	if c.faults.cancelEarlyUntil > c.env.World.Now() {
		wait = min(wait, c.faults.cancelAfter)
	}
	if c.env.Deployment.Vault && c.rng.IntN(hastyOneIn) == 0 {
		wait = min(wait, randomUpTo(c.rng, hastyTimeout))
	}
	return wait
}

// finish takes an attempt off the connection; it reports whether it was on it.
func (c *callerConn) finish(finished *attempt) bool {
	index := slices.Index(c.open, finished)
	if index < 0 {
		return false
	}
	c.open = slices.Delete(c.open, index, index+1)
	finished.timer.Stop()
	c.caller.env.Requests.MarkEnded(finished.id)
	return true
}

// cancel stops waiting for an attempt. AJP has no message for it but the end of the connection.
func (c *callerConn) cancel(cancelled *attempt) {
	if c.ended || !c.finish(cancelled) {
		return
	}
	if c.caller.ajp {
		c.close()
	} else {
		c.writeCancel(cancelled.sequenceID)
		c.rest()
	}
	c.caller.attemptFailed(cancelled.job, c.server)
}

// rest closes a connection without requests: at once where the server is draining, and else once it has been idle.
func (c *callerConn) rest() {
	if c.load() > 0 || c.ended || c.stream == nil {
		return
	}
	if c.draining {
		c.close()
		return
	}
	c.idle.Stop()
	c.idle = c.caller.env.World.In(idleTimeout, func() {
		if len(c.open) == 0 && !c.ended {
			c.close()
		}
	})
}

// answered goes on after the final answer to an attempt.
func (c *callerConn) answered(finished *attempt, final answer) {
	switch final.outcome {
	case outcomeServed:
		c.caller.attemptServed(finished.job)
	case outcomeRejected:
		c.caller.attemptRejected(finished.job, c.server, final)
	case outcomeFailed:
		c.caller.attemptFailed(finished.job, c.server)
	}
}

// EOF is part of simnet.Handler.
func (c *callerConn) EOF(stream *simnet.Stream) {
	stream.Close()
	c.Reset(stream)
}

// Reset is part of simnet.Handler: what was open may have run.
func (c *callerConn) Reset(*simnet.Stream) {
	if c.ended {
		return
	}
	c.drop()
	open := c.open
	c.open = nil
	for _, lost := range open {
		lost.timer.Stop()
		c.caller.env.Requests.MarkEnded(lost.id)
		c.caller.attemptFailed(lost.job, c.server)
	}
}

// Received is part of simnet.Handler.
func (c *callerConn) Received(stream *simnet.Stream, in []byte) {
	c.in = append(c.in, in...)
	for !c.ended {
		size, err := c.parse()
		if err != nil { // the invariant checker sees it too
			stream.Close()
			c.Reset(stream)
			return
		}
		if size == 0 {
			return
		}
		c.in = c.in[:copy(c.in, c.in[size:])]
	}
}

// parse takes one message off the bytes read, and returns its size; 0 where it is not whole.
func (c *callerConn) parse() (int, error) {
	if c.caller.ajp {
		return c.parseAJP()
	}
	return c.parseThrift()
}
