package fakes

import (
	"fmt"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	// maxOpenPerConn is the maximum number of open requests on a Thrift connection; an AJP connection carries one.
	maxOpenPerConn = 32
	// maxConnsPerServer is the maximum number of connections of a Thrift caller to a server.
	maxConnsPerServer = 4
	// maxAJPConnsPerServer is the maximum number of connections of an AJP caller to a server.
	maxAJPConnsPerServer = 8 * maxConnsPerServer
	// idleTimeout is how long a connection stays open without requests.
	idleTimeout = 6 * microtime.Second
	// deadlineGrace is how long a caller still waits for an answer after the deadline.
	deadlineGrace = 200 * microtime.Millisecond
	// dialFailedPause is the pause before a job whose connection failed is retried.
	dialFailedPause = 50 * microtime.Millisecond
	// requestsPerEarlyCancel is the number of requests per early cancellation in a deployment with a vault.
	requestsPerEarlyCancel = 20
	// maxEarlyCancelDelay is the longest wait before such an early cancellation.
	maxEarlyCancelDelay = 400 * microtime.Millisecond
)

// attempt is one request that a caller sends for a job.
type attempt struct {
	job        *job
	id         string
	sequenceID int32
	timer      *simnet.Timer // cancels it
}

// outcome is the outcome of an attempt according to its final answer.
type outcome uint8

const (
	outcomeFailed   outcome = iota // the request may have run
	outcomeServed                  // the result was received
	outcomeRejected                // the request did not run
)

// String returns the outcome's name.
func (o outcome) String() string { return [...]string{"failed", "served", "rejected"}[o] }

// answer is a final answer to an attempt.
type answer struct {
	outcome    outcome
	retryAfter microtime.Time // after a rejection: pause before the next attempt
	noRetry    bool           // after a rejection: other servers would reject the job too
}

// callerConn is a caller's connection to a server, open or being dialled.
type callerConn struct {
	caller       *Caller
	server       string
	stream       *simnet.Stream // nil while being dialled
	waiting      []*job         // jobs that wait until the connection is open
	open         []*attempt
	lastSequence int32
	in           []byte // incomplete message
	draining     bool   // the server has announced that it accepts no more requests
	ended        bool
	idleTimer    *simnet.Timer
	head         answer // AJP: answer decoded from the headers of the response
}

// connTo returns the connection to a server with the most open requests that can carry another one, so that the others
// may become idle. If all are full it dials a new one; it returns nil if the caller has too many connections.
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

// dial starts to open a connection to a server. It counts as the caller's at once, and jobs wait until it is open.
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

// dialFailed retries the jobs that waited for the connection; none of them has been sent.
func (c *callerConn) dialFailed() {
	waiting := c.waiting
	c.waiting = nil
	c.remove()
	for _, sent := range waiting {
		sent.avoidServer = c.server
		c.caller.retry(sent, dialFailedPause)
	}
}

// opened sends the jobs that waited for the connection.
func (c *callerConn) opened(stream *simnet.Stream) {
	waiting := c.waiting
	c.waiting = nil
	c.stream = stream
	stream.SetHandler(c)
	if c.caller.faults.notReadingUntil > c.caller.env.Clock.Now() {
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

// load returns the number of requests that are on the connection or wait for it.
func (c *callerConn) load() int { return len(c.open) + len(c.waiting) }

// remove removes the connection from the caller's connections.
func (c *callerConn) remove() {
	c.ended = true
	c.idleTimer.Stop()
	c.caller.conns = slices.DeleteFunc(c.caller.conns, func(other *callerConn) bool { return other == c })
}

// close closes the connection from the caller's side.
func (c *callerConn) close() {
	c.stream.Close()
	c.remove()
}

// abandon ends the connection when the caller's process crashes.
func (c *callerConn) abandon() {
	c.ended = true
	for _, sent := range c.open {
		sent.timer.Stop()
		c.caller.env.Requests.MarkEnded(sent.id)
	}
	c.idleTimer.Stop()
}

// send writes an attempt for a job and starts the timer that cancels it.
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
	c.idleTimer.Stop()
	env.Requests.Add(started.id, c.server, caller.classOf(sent).Name, sent.body)
	env.Requests.attempts[started.id].size = sent.size
	if caller.ajp {
		c.writeAJP(started)
	} else {
		c.writeThrift(started)
	}
	started.timer = env.Clock.In(caller.timeout(sent), func() { c.cancel(started) })
	if caller.faults.overlapUntil > env.Clock.Now() && caller.hasKey(sent) {
		c.scheduleOverlap(started)
	}
}

// scheduleOverlap sends another attempt of a job after the overlap interval if the given one is still unanswered.
func (c *callerConn) scheduleOverlap(unanswered *attempt) {
	caller := c.caller
	caller.env.Clock.In(caller.faults.overlapInterval, func() {
		if c.ended || !slices.Contains(c.open, unanswered) {
			return
		}
		unanswered.job.stickyServer = c.server
		caller.dispatch(unanswered.job)
	})
}

// timeout returns how long the caller waits for an answer: until shortly after the deadline, or a shorter time during a
// fault that cancels early or, at random in a deployment with a vault, to cancel while a run waits for a call.
func (c *Caller) timeout(sent *job) microtime.Time {
	wait := c.deadline(sent) + deadlineGrace
	if c.faults.cancelEarlyUntil > c.env.Clock.Now() {
		wait = min(wait, c.faults.cancelAfter)
	}
	if c.env.Deployment.HasVault && c.rng.IntN(requestsPerEarlyCancel) == 0 {
		wait = min(wait, randomUpTo(c.rng, maxEarlyCancelDelay))
	}
	return wait
}

// finish removes an attempt from the connection, and reports whether the connection had it.
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

// cancel cancels an attempt. AJP has no message for this, so an AJP connection is closed instead.
func (c *callerConn) cancel(cancelled *attempt) {
	if c.ended || !c.finish(cancelled) {
		return
	}
	if c.caller.ajp {
		c.close()
	} else {
		c.writeCancel(cancelled.sequenceID)
		c.closeWhenIdle()
	}
	c.caller.attemptFailed(cancelled.job, c.server)
}

// closeWhenIdle closes a connection without requests: at once if the server is draining, otherwise after idleTimeout.
func (c *callerConn) closeWhenIdle() {
	if c.load() > 0 || c.ended || c.stream == nil {
		return
	}
	if c.draining {
		c.close()
		return
	}
	c.idleTimer.Stop()
	c.idleTimer = c.caller.env.Clock.In(idleTimeout, func() {
		if len(c.open) == 0 && !c.ended {
			c.close()
		}
	})
}

// answered continues a job after the final answer to an attempt.
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

// EOF implements simnet.Handler.
func (c *callerConn) EOF(stream *simnet.Stream) {
	stream.Close()
	c.Reset(stream)
}

// Reset implements simnet.Handler: the open requests fail, as they may have run.
func (c *callerConn) Reset(*simnet.Stream) {
	if c.ended {
		return
	}
	c.remove()
	open := c.open
	c.open = nil
	for _, lost := range open {
		lost.timer.Stop()
		c.caller.env.Requests.MarkEnded(lost.id)
		c.caller.attemptFailed(lost.job, c.server)
	}
}

// Received implements simnet.Handler.
func (c *callerConn) Received(stream *simnet.Stream, in []byte) {
	c.in = append(c.in, in...)
	for !c.ended {
		size, err := c.parse()
		if err != nil { // the invariant checker reports it
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

// parse handles the first message of the bytes read, and returns its size; 0 if it is incomplete.
func (c *callerConn) parse() (int, error) {
	if c.caller.ajp {
		return c.parseAJP()
	}
	return c.parseThrift()
}
