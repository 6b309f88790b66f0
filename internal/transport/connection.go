package transport

import "pewterline/internal/microtime"

// Connection is one connection, accepted or dialled. It implements Conn for its session; the driver calls Received and
// Ended. It has one buffer for what is read and not yet consumed, and one for what is written in this turn.
type Connection struct {
	loop     *Loop
	raw      RawConn
	session  Session
	received []byte
	outgoing []byte

	// The end of a connection has three steps.
	closing bool // it is to be closed at the end of the turn, after what is unsent
	closed  bool // the session has been notified; the connection may linger
	ended   bool // the driver has no more of it

	lingerDeadline microtime.Time // when it is closed outright
	discarded      int            // bytes that came while it was closing or lingering

	group      *connGroup // nil: it was dialled
	index      int        // in its group
	identified bool
	acceptedAt microtime.Time
	lastActive microtime.Time // when it last received something, or was written to
	buffered   int            // its share of the loop's buffered bytes
}

// Remote is part of Conn.
func (c *Connection) Remote() string { return c.raw.Remote() }

// MarkIdentified is part of Conn.
func (c *Connection) MarkIdentified() { c.identified = true }

// Received hands what was read to the session; in is only lent. It returns false where the driver is to close the
// connection. What comes once the connection is to be closed is discarded: its sender gets no answer on it.
func (c *Connection) Received(in []byte) bool {
	l := c.loop
	l.beginTurn()
	if c.closing {
		c.discarded += len(in)
		return c.discarded <= maxLingeringBytes
	}
	c.lastActive = l.now
	// The limit protects the memory against a peer that sends faster than its session consumes.
	if len(c.received)+len(in) > maxReceived {
		l.logf("transport: %s closed: over %d bytes are unconsumed", c.Remote(), maxReceived)
		c.Close() // what it is owed goes out first
		return true
	}
	c.received = append(c.received, in...)
	if c.deliver() {
		c.accountBuffers()
	}
	return true
}

// deliver hands the session what is received; false: the connection has ended by that.
func (c *Connection) deliver() bool {
	n, err := c.session.Receive(c.received)
	if err != nil {
		c.loop.logf("transport: %s closed: %v", c.Remote(), err)
		c.Close()
		// What is owed already, such as the protocol's own error, is sent now: the session is notified before the turn
		// goes on.
		c.flush()
		return false
	}
	c.consume(n)
	return true
}

// Resume is part of Conn. Where nothing is left, there is nothing to do.
func (c *Connection) Resume() {
	if len(c.received) == 0 {
		return
	}
	_ = c.loop.Execute(func() { // an error says that the loop has ended, and the connection with it
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

// Write is part of Conn.
func (c *Connection) Write(data []byte) {
	if c.closed || c.closing {
		return
	}
	c.lastActive = c.loop.now
	c.scheduleFlush()
	// The limit protects the memory within a turn, as flush does over turns: a peer may ask for a lot at once.
	if len(c.outgoing)+len(data) > maxOutgoing {
		c.loop.logf("transport: %s closed: over %d bytes are unsent", c.Remote(), maxOutgoing)
		c.outgoing, c.closing = c.outgoing[:0], true
		return
	}
	c.outgoing = append(c.outgoing, data...)
}

// Close is part of Conn.
func (c *Connection) Close() {
	if c.closed || c.closing {
		return
	}
	c.scheduleFlush()
	c.closing = true
}

// scheduleFlush has flush called at the end of the turn.
func (c *Connection) scheduleFlush() {
	if len(c.outgoing) == 0 && !c.closing {
		c.loop.toFlush = append(c.loop.toFlush, c)
		c.loop.beginTurn()
	}
}

// flush sends what was written, and then closes the connection where it is to be closed.
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

// send hands the driver what was written; false: the connection has ended by that.
func (c *Connection) send() bool {
	out := c.outgoing
	c.outgoing = c.outgoing[:0]
	if err := c.raw.Write(out); err != nil || c.closed {
		return false // the driver has closed it
	}
	if cap(c.outgoing) > retainedCapacity {
		c.outgoing = nil
	}
	// The limit protects the memory against a peer that asks and does not read.
	if n := c.raw.Unsent(); n > maxOutgoing {
		c.loop.logf("transport: %s closed: %d bytes are unread", c.Remote(), n)
		c.raw.Close()
		return false
	}
	c.accountBuffers()
	return true
}

// Ended reports that the driver has no more of the connection; the session is notified, unless it was. Calls after the
// first do nothing.
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

// endSession releases the buffers and notifies the session, unless that was done.
func (c *Connection) endSession() {
	notified := c.closed
	c.closed, c.closing = true, true
	c.received, c.outgoing = nil, nil
	c.accountBuffers()
	if !notified {
		c.session.Closed()
	}
}
