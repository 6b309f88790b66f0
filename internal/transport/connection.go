package transport

import "pewterline/internal/microtime"

// Connection is one connection, accepted or dialled. It implements Conn for its session; the driver calls Received and
// Ended. It has one buffer for received bytes that are not consumed yet, and one for the bytes written in this turn.
type Connection struct {
	loop     *Loop
	raw      RawConn
	session  Session
	received []byte
	outgoing []byte

	// A connection ends in three steps, in this order.
	closing bool // closes at the end of the turn, after its unsent bytes are sent
	closed  bool // the session has been notified; the connection may linger
	ended   bool // the driver has closed the connection

	lingerDeadline microtime.Time // when the connection is closed even if the peer has not closed it
	discarded      int            // bytes received while closing or lingering

	group      *connGroup // nil for a dialled connection
	index      int        // in group.conns
	identified bool
	acceptedAt microtime.Time
	lastActive microtime.Time // time of the last receive or write
	buffered   int            // this connection's share of the loop's buffered bytes
}

// Remote implements Conn.
func (c *Connection) Remote() string { return c.raw.Remote() }

// MarkIdentified implements Conn.
func (c *Connection) MarkIdentified() { c.identified = true }

// Received passes the received bytes to the session. It does not retain in. It returns false if the driver must close
// the connection. Bytes that arrive while the connection is closing are discarded, because no response can be sent.
func (c *Connection) Received(in []byte) bool {
	l := c.loop
	l.beginTurn()
	if c.closing {
		c.discarded += len(in)
		return c.discarded <= maxLingeringBytes
	}
	c.lastActive = l.now
	// A peer may send faster than its session consumes.
	if len(c.received)+len(in) > maxReceived {
		l.logf("transport: connection closed, too many unconsumed bytes: peer=%s limit_bytes=%d", c.Remote(), maxReceived)
		c.Close() // after its unsent responses are sent
		return true
	}
	c.received = append(c.received, in...)
	if c.deliver() {
		c.accountBuffers()
	}
	return true
}

// deliver passes the received bytes to the session. It returns false if that has ended the connection.
func (c *Connection) deliver() bool {
	n, err := c.session.Receive(c.received)
	if err != nil {
		c.loop.logf("transport: connection closed: peer=%s error=%v", c.Remote(), err)
		c.Close()
		// Responses that are already written, such as a protocol error, are sent now, because the session must be
		// notified before the turn continues.
		c.flush()
		return false
	}
	c.consume(n)
	return true
}

// Resume implements Conn. It does nothing if the session has consumed all received bytes.
func (c *Connection) Resume() {
	if len(c.received) == 0 {
		return
	}
	_ = c.loop.Execute(func() { // fails only if the loop, and so the connection, has ended
		if c.closed || c.closing {
			return
		}
		c.deliver()
	})
}

// consume drops the first n received bytes and moves the rest to the front of the buffer. A buffer that has grown large
// is released once it is empty.
func (c *Connection) consume(n int) {
	left := copy(c.received, c.received[n:])
	c.received = c.received[:left]
	if left == 0 && cap(c.received) > retainedCapacity {
		c.received = nil
	}
}

// Write implements Conn.
func (c *Connection) Write(data []byte) {
	if c.closed || c.closing {
		return
	}
	c.lastActive = c.loop.now
	c.scheduleFlush()
	// This limits the unsent bytes of a single turn, which may produce many large responses. send limits those that
	// remain over several turns.
	if len(c.outgoing)+len(data) > maxOutgoing {
		c.loop.logf("transport: connection closed, too many unsent bytes: peer=%s limit_bytes=%d", c.Remote(), maxOutgoing)
		c.outgoing, c.closing = c.outgoing[:0], true
		return
	}
	c.outgoing = append(c.outgoing, data...)
}

// Close implements Conn.
func (c *Connection) Close() {
	if c.closed || c.closing {
		return
	}
	c.scheduleFlush()
	c.closing = true
}

// scheduleFlush registers the connection to be flushed at the end of the turn.
func (c *Connection) scheduleFlush() {
	if len(c.outgoing) == 0 && !c.closing {
		c.loop.toFlush = append(c.loop.toFlush, c)
		c.loop.beginTurn()
	}
}

// flush sends the written bytes, and then shuts the connection down if it is closing.
func (c *Connection) flush() {
	if c.closed {
		return
	}
	if len(c.outgoing) > 0 && !c.send() {
		return
	}
	if c.closing {
		c.linger()
	}
}

// send passes the written bytes to the driver. It returns false if that has ended the connection.
func (c *Connection) send() bool {
	out := c.outgoing
	c.outgoing = c.outgoing[:0]
	if err := c.raw.Write(out); err != nil || c.closed {
		return false // the driver has closed the connection
	}
	if cap(c.outgoing) > retainedCapacity {
		c.outgoing = nil
	}
	// A peer may send requests without reading the responses.
	if n := c.raw.Unsent(); n > maxOutgoing {
		c.loop.logf("transport: connection closed, too many unread bytes: peer=%s bytes=%d", c.Remote(), n)
		c.raw.Close()
		return false
	}
	c.accountBuffers()
	return true
}

// Ended is called by the driver when it has closed the connection. It notifies the session, unless that has been done
// already. Calls after the first do nothing.
func (c *Connection) Ended() {
	if c.ended {
		return
	}
	c.loop.beginTurn()
	c.ended = true
	if c.group != nil {
		c.group.remove(c)
	}
	c.endSession()
}

// endSession releases the buffers, and notifies the session on the first call.
func (c *Connection) endSession() {
	notified := c.closed
	c.closed, c.closing = true, true
	c.received, c.outgoing = nil, nil
	c.accountBuffers()
	if !notified {
		c.session.Closed()
	}
}
