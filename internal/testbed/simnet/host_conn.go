package simnet

import (
	"fmt"

	"pewterline/internal/transport"
)

// hostConn is a transport.RawConn for one connection of a host's program.
type hostConn struct {
	host   *Host
	stream *Stream
	conn   *transport.Connection // nil: not yet accepted or connected, or refused by the loop
	queued bool                  // in host.ready
}

// markReady schedules a turn that processes the connection.
func (c *hostConn) markReady() {
	if c.queued || c.host.Ended || c.conn == nil {
		return
	}
	c.queued = true
	c.host.ready = append(c.host.ready, c)
	c.host.scheduleTurn()
}

const maxRead = 64 << 10 // bytes read from a connection in one turn

// process passes a reset, or the bytes that have arrived and then the end of the stream, to the program.
func (c *hostConn) process() {
	host, stream := c.host, c.stream
	if !stream.open || !host.countCall() {
		return
	}
	if stream.wasReset {
		c.Close()
		return
	}
	if n := min(len(stream.unread), maxRead); n > 0 {
		received := stream.unread[:n:n]
		stream.unread = stream.unread[n:]
		host.bytes += n
		ok := c.conn.Received(received)
		if len(stream.unread) == 0 {
			stream.unread = nil
		}
		if !stream.open {
			return
		}
		stream.consumed(n)
		if !ok {
			c.Close()
			return
		}
		if len(stream.unread) > 0 {
			c.markReady()
			return
		}
	}
	if stream.eofArrived { // like gnet, which closes a connection that its peer has half closed
		c.Close()
	}
}

// opened closes a connection that the loop refused, and processes what arrived before it was accepted.
func (c *hostConn) opened() {
	if c.conn == nil {
		c.stream.Close()
		return
	}
	if len(c.stream.unread) > 0 || c.stream.eofArrived || c.stream.wasReset {
		c.markReady()
	}
}

// Write is part of transport.RawConn.
func (c *hostConn) Write(p []byte) error {
	if !c.host.countCall() || !c.stream.open || c.stream.wasReset {
		if !c.host.Ended {
			c.Close()
		}
		return errEnded
	}
	c.host.bytes += len(p)
	c.stream.Write(p)
	return nil
}

// Unsent is part of transport.RawConn.
func (c *hostConn) Unsent() int { return c.stream.Unsent() }

// CloseWrite is part of transport.RawConn.
func (c *hostConn) CloseWrite() {
	if !c.host.Ended && c.stream.Unsent() == 0 {
		c.stream.CloseWrite()
	}
}

// Close is part of transport.RawConn.
func (c *hostConn) Close() {
	if c.host.Ended {
		return
	}
	c.stream.Close()
	c.conn.Ended()
}

// Remote is part of transport.RawConn.
func (c *hostConn) Remote() string { return fmt.Sprintf("%s#%d", c.stream.Peer(), c.stream.connID) }
