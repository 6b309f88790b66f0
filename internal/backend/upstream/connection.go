package upstream

import (
	"maps"
	"slices"
	"strconv"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
)

const (
	// maxInFlight is the maximum number of requests in flight on a connection. The platform's protocol sets it.
	maxInFlight = 32
	// maxMessagesPerTurn is the maximum number of messages read from a connection in one turn: twice maxInFlight.
	maxMessagesPerTurn = 64
	// idleTimeout is how long a connection without a request is kept open.
	idleTimeout = 5 * microtime.Second
	// maxRetryAfterBits limits the Retry-After of a rejection to 2^20-1 ms, about 17 minutes.
	maxRetryAfterBits = 20
)

// connection is an open connection to an endpoint, or one that is being opened. It implements transport.Session.
type connection struct {
	backend      *Backend
	endpoint     *endpoint
	conn         transport.Conn // nil while it is being opened
	unsent       []*attempt     // attempts to write once the connection is open
	inFlight     map[int32]*attempt
	lastSequence int32
	draining     bool           // no further attempts are sent on it
	lastReadAt   microtime.Time // when bytes were last received
	busySince    microtime.Time // when requests in flight last rose from zero, or the dial began
	idleSince    microtime.Time // when a request last ended, or the dial began
}

// open starts to open a connection to an endpoint, and queues an attempt on it.
func (b *Backend) open(target *endpoint, first *attempt) {
	now := b.now()
	c := &connection{
		backend:   b,
		endpoint:  target,
		unsent:    []*attempt{first},
		inFlight:  map[int32]*attempt{},
		busySince: now,
		idleSince: now,
	}
	first.connection = c
	target.connections = append(target.connections, c)
	b.loop.DialOnce(target.Address, c.opened, c.openFailed)
}

func (c *connection) opened(conn transport.Conn) transport.Session {
	c.conn = conn
	unsent := c.unsent
	c.unsent = nil
	for _, a := range unsent {
		c.write(a)
	}
	return c
}

// openFailed is called when the connection could not be opened: nothing was written.
func (c *connection) openFailed() {
	c.remove()
	unsent := c.unsent
	c.unsent = nil
	for _, a := range unsent {
		c.backend.attemptEnded(a, loadbalancer.Result{Outcome: loadbalancer.ConnectFailed}, nil)
	}
}

func (c *connection) remove() {
	c.endpoint.connections = slices.DeleteFunc(c.endpoint.connections, func(other *connection) bool { return other == c })
}

// hasCapacity reports whether another attempt may be sent on the connection. On a silent connection it may not: a probe
// must not wait behind requests that get no reply.
func (c *connection) hasCapacity(now microtime.Time) bool {
	count := len(c.inFlight) + len(c.unsent)
	silent := count > 0 && now-max(c.lastReadAt, c.busySince) > c.backend.balancer.SilenceTimeout()
	return !c.draining && !silent && count < maxInFlight
}

func (c *connection) send(a *attempt) {
	a.connection = c
	if c.conn == nil {
		c.unsent = append(c.unsent, a)
		return
	}
	c.write(a)
}

// write sends an attempt. After this the endpoint may have executed it.
func (c *connection) write(sent *attempt) {
	backend := c.backend
	if len(c.inFlight) == 0 {
		c.busySince = backend.now()
	}
	c.lastSequence++
	sent.sequenceID = c.lastSequence
	sent.written = true
	c.inFlight[sent.sequenceID] = sent
	if r := sent.run; r.keyed {
		backend.retries.RecordSent(backend.now(), r.key, c.endpoint.Name, microtime.FromDuration(r.class.RetentionWindow))
	}
	backend.scratch = thrift.AppendCall(backend.scratch[:0], sent.sequenceID, backend.callFields(sent), sent.run.Body)
	c.conn.Write(backend.scratch)
}

// abandon drops an attempt. If the attempt was written, the endpoint is notified that its reply is not needed.
func (c *connection) abandon(abandoned *attempt) {
	c.unsent = slices.DeleteFunc(c.unsent, func(a *attempt) bool { return a == abandoned })
	if !abandoned.written || c.inFlight[abandoned.sequenceID] != abandoned {
		return
	}
	delete(c.inFlight, abandoned.sequenceID)
	c.idleSince = c.backend.now()
	c.backend.scratch = thrift.AppendGiveUp(c.backend.scratch[:0], abandoned.sequenceID)
	c.conn.Write(c.backend.scratch)
	c.closeIfDrained()
}

// drain stops the connection from getting further attempts, and closes it once all attempts in flight have ended.
func (c *connection) drain() {
	c.draining = true
	c.closeIfDrained()
}

func (c *connection) closeIfDrained() {
	if c.draining && len(c.inFlight) == 0 && c.conn != nil {
		c.conn.Close()
	}
}

// closeIfIdle closes the connection if it has been idle for longer than idleTimeout.
func (c *connection) closeIfIdle(now microtime.Time) {
	if c.conn != nil && len(c.inFlight) == 0 && now > c.idleSince+idleTimeout {
		c.conn.Close()
		c.draining = true
	}
}

// Receive implements transport.Session.
func (c *connection) Receive(in []byte) (int, error) {
	c.lastReadAt = c.backend.now()
	consumed := 0
	for range maxMessagesPerTurn {
		payload, size, err := thrift.SplitFrame(in[consumed:])
		if err != nil || payload == nil {
			return consumed, err
		}
		consumed += size
		reply, err := thrift.DecodeReply(payload)
		if err != nil {
			return consumed, err
		}
		c.handle(reply)
	}
	c.conn.Resume()
	return consumed, nil
}

func (c *connection) handle(reply thrift.Reply) {
	if reply.Kind == thrift.ReplyFarewell {
		c.drain()
		return
	}
	answered := c.inFlight[reply.SequenceID]
	if answered == nil {
		return // the attempt was abandoned while the reply was in flight
	}
	delete(c.inFlight, reply.SequenceID)
	c.idleSince = c.backend.now()
	var body []byte
	if reply.Kind == thrift.ReplyAnswer {
		body = append([]byte(nil), reply.Body...) // the input buffer is reused
	}
	c.backend.attemptEnded(answered, resultOf(&reply), body)
	c.closeIfDrained()
}

// resultOf converts a reply to the result of its attempt.
func resultOf(reply *thrift.Reply) loadbalancer.Result {
	switch reply.Kind {
	case thrift.ReplyAnswer:
		return loadbalancer.Result{Outcome: loadbalancer.Succeeded}
	case thrift.ReplyThrottled:
		// The error is ignored: ParseUint then returns 0 if the field is absent or not a number, and the largest value
		// of maxRetryAfterBits if it is too large.
		millis, _ := strconv.ParseUint(reply.Fields["after"], 10, maxRetryAfterBits)
		return loadbalancer.Result{
			Outcome:    loadbalancer.Rejected,
			RetryAfter: microtime.Time(millis) * microtime.Millisecond,
			NoRetry:    reply.Fields["last"] == "1",
		}
	default:
		return loadbalancer.Result{Outcome: loadbalancer.Failed}
	}
}

// Idle implements transport.Session.
func (c *connection) Idle() bool { return len(c.inFlight) == 0 }

// Closed implements transport.Session. The endpoint may have executed the attempts in flight.
func (c *connection) Closed() {
	c.remove()
	lost := c.inFlight
	c.inFlight = map[int32]*attempt{}
	for _, sequenceID := range slices.Sorted(maps.Keys(lost)) {
		c.backend.attemptEnded(lost[sequenceID], loadbalancer.Result{Outcome: loadbalancer.ConnectionLost}, nil)
	}
}
