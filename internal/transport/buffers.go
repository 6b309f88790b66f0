package transport

// bufferBudget limits the bytes in the buffers of all connections together. Without it, many connections with few bytes
// each could exhaust the memory of a small machine.
type bufferBudget struct {
	limit int // 0: no limit
	used  int
}

// exceeded reports whether the buffers hold more than the limit.
func (b *bufferBudget) exceeded() bool { return b.limit > 0 && b.used > b.limit }

// accountBuffers updates this connection's share of the buffered bytes. If the limit is exceeded, it closes the
// connection with the most buffered bytes.
func (c *Connection) accountBuffers() {
	loop := c.loop
	size := cap(c.received) + cap(c.outgoing)
	if !c.ended {
		size += c.raw.Unsent()
	}
	loop.buffers.used += size - c.buffered
	c.buffered = size
	if !loop.buffers.exceeded() || c.closed {
		return
	}
	loop.lingering.closeBuffered() // their peers may never read the rest
	if loop.buffers.exceeded() {
		loop.closeMostBuffered(c)
	}
}

// closeMostBuffered closes the connection under the shared limit that has the most buffered bytes, or c if none has
// more. Connections under dedicated limits are few, and their sessions buffer little.
func (l *Loop) closeMostBuffered(c *Connection) {
	largest := c
	for _, other := range l.accepted.shared.conns {
		if !other.closing && other.buffered > largest.buffered {
			largest = other
		}
	}
	if largest.group == nil || largest.closing {
		return
	}
	l.logf("transport: connection closed, it has the most buffered bytes: peer=%s bytes=%d total_bytes=%d",
		largest.Remote(), largest.buffered, l.buffers.used)
	largest.outgoing = nil
	largest.Close()
}
