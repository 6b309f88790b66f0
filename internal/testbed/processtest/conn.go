package processtest

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"

	"pewterline/internal/protocol/thrift"
)

// connReadSize is the buffer size of a read on a proxy's connection, in bytes.
const connReadSize = 16 << 10

// Conn is a connection of a proxy to a server. Its reading goroutine ends when either side closes the connection.
type Conn struct {
	conn net.Conn

	mu       sync.Mutex
	sequence int32
	pending  map[int32]chan thrift.Reply // reply channels by sequence ID
	farewell bool                        // the server has sent a farewell: it accepts no new request on this connection
	ended    bool
}

// Dial connects to a server.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, WaitTimeout)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: conn, pending: map[int32]chan thrift.Reply{}}
	// The connection owns this goroutine, which ends with it.
	go c.read()
	return c, nil
}

// Close ends the connection.
func (c *Conn) Close() {
	// A failure to close needs no handling: read returns in either case.
	_ = c.conn.Close()
}

// read delivers replies to their pending requests until the connection ends, or until all requests are answered after a
// farewell.
func (c *Conn) read() {
	defer c.end()
	var buffer []byte
	chunk := make([]byte, connReadSize)
	for {
		payload, size, err := thrift.SplitFrame(buffer)
		if err != nil {
			return
		}
		if payload == nil {
			n, err := c.conn.Read(chunk)
			if err != nil {
				return
			}
			buffer = append(buffer, chunk[:n]...)
			continue
		}
		reply, err := thrift.DecodeReply(bytes.Clone(payload))
		if err != nil {
			return
		}
		buffer = buffer[size:]
		if c.deliver(reply) {
			return
		}
	}
}

// deliver passes a reply to its pending request, and reports whether to close the connection: a proxy closes it after a
// farewell once all requests are answered.
func (c *Conn) deliver(reply thrift.Reply) (closeConn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiter := c.pending[reply.SequenceID]
	switch {
	case reply.Kind == thrift.ReplyFarewell:
		c.farewell = true
	case waiter != nil:
		delete(c.pending, reply.SequenceID)
		waiter <- reply
	}
	return c.farewell && len(c.pending) == 0
}

// end closes the connection, and ends the wait for all pending replies.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, waiter := range c.pending {
		close(waiter)
	}
	c.pending = nil
	// A failure to close needs no handling: nothing is sent on the connection any more.
	_ = c.conn.Close()
}

// Usable reports whether a new request may be sent on the connection.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.farewell && !c.ended
}

// FarewellReceived reports whether the server has announced that it answers no further request on the connection. A
// request sent before the farewell arrived but read by the server after it has to be sent again on a new connection.
func (c *Conn) FarewellReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.farewell
}

// PendingRequest is a request that was sent and whose reply can be awaited.
type PendingRequest struct {
	ID       string
	reply    chan thrift.Reply
	conn     *Conn
	sequence int32
}

// Cancel tells the server that nobody awaits the reply any more. Await must not be called afterwards.
func (p PendingRequest) Cancel() {
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	if p.conn.pending[p.sequence] == nil {
		return
	}
	delete(p.conn.pending, p.sequence)
	sendTo(p.conn.conn, thrift.AppendGiveUp(nil, p.sequence))
}

// Await waits for the reply.
func (p PendingRequest) Await() (thrift.Reply, error) {
	select {
	case reply, ok := <-p.reply:
		if !ok {
			return reply, ErrConnectionEnded
		}
		return reply, nil
	case <-time.After(WaitTimeout):
		return thrift.Reply{}, fmt.Errorf("processtest: await the reply to request %s: %w", p.ID, ErrTimeout)
	}
}

// Send sends a request.
func (c *Conn) Send(request Request) (PendingRequest, error) {
	sent, err := c.SendTogether(request)
	if err != nil {
		return PendingRequest{}, err
	}
	return sent[0], nil
}

// SendTogether sends requests in one write, so that the server reads them in one turn of its event loop.
func (c *Conn) SendTogether(requests ...Request) ([]PendingRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil, ErrConnectionEnded
	}
	var frames []byte
	sent := make([]PendingRequest, 0, len(requests))
	for _, request := range requests {
		c.sequence++
		pending := PendingRequest{ID: nextRequestID(), reply: make(chan thrift.Reply, 1), conn: c, sequence: c.sequence}
		c.pending[pending.sequence] = pending.reply
		frames = thrift.AppendCall(frames, pending.sequence, request.fields(pending.ID), []byte(request.Body))
		sent = append(sent, pending)
	}
	if _, err := c.conn.Write(frames); err != nil {
		for _, pending := range sent {
			delete(c.pending, pending.sequence)
		}
		return nil, ErrConnectionEnded
	}
	return sent, nil
}

// CheckHealth sends a health check on a new connection, and reports whether the server is healthy.
func CheckHealth(address string) (healthy bool, err error) {
	c, err := Dial(address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	pending, err := c.sendHealthCheck()
	if err != nil {
		return false, err
	}
	reply, err := pending.Await()
	return reply.Good, err
}

// sendHealthCheck sends a health check as the first message of the connection.
func (c *Conn) sendHealthCheck() (PendingRequest, error) {
	const sequence = 1
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return PendingRequest{}, ErrConnectionEnded
	}
	reply := make(chan thrift.Reply, 1)
	c.pending[sequence] = reply
	_, err := c.conn.Write(thrift.AppendProbe(nil, sequence, false))
	return PendingRequest{ID: "health check", reply: reply}, err
}
