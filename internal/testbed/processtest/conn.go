package processtest

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"

	"pewterline/internal/protocol/thrift"
)

// connReadSize is the size of a read on a proxy's connection.
const connReadSize = 16 << 10

// Conn is a connection of a proxy to a server. Close, or the end of the connection, ends its reading goroutine.
type Conn struct {
	conn net.Conn

	mu       sync.Mutex
	sequence int32
	waiting  map[int32]chan thrift.Reply // by sequence ID
	farewell bool                        // the server wants no new request on this connection
	ended    bool
}

// Dial opens a connection.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, Patience)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: conn, waiting: map[int32]chan thrift.Reply{}}
	// The connection owns this goroutine, which ends with it.
	go c.read()
	return c, nil
}

// Close ends the connection.
func (c *Conn) Close() {
	// A caller that leaves has nobody to tell of a failure; read sees the end either way.
	_ = c.conn.Close()
}

// read hands replies to those that wait for them, until the connection ends or the server wants to be left.
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

// deliver hands a reply to whoever waits for it, and reports whether the connection is to be closed: a proxy leaves
// after a farewell once everything is answered.
func (c *Conn) deliver(reply thrift.Reply) (leave bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiter := c.waiting[reply.SequenceID]
	switch {
	case reply.Kind == thrift.ReplyFarewell:
		c.farewell = true
	case waiter != nil:
		delete(c.waiting, reply.SequenceID)
		waiter <- reply
	}
	return c.farewell && len(c.waiting) == 0
}

// end closes the connection, and tells all that wait on it.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, waiter := range c.waiting {
		close(waiter)
	}
	c.waiting = nil
	// The connection is over; nobody sends on it any more.
	_ = c.conn.Close()
}

// Usable reports whether a new request may be sent on the connection.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.farewell && !c.ended
}

// SaidFarewell reports whether the server has announced that it answers no further request on the connection. A request
// that crosses the farewell is to be sent once more, on a new connection.
func (c *Conn) SaidFarewell() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.farewell
}

// PendingRequest is a request that was sent.
type PendingRequest struct {
	ID    string
	reply chan thrift.Reply
}

// Await waits for the reply.
func (p PendingRequest) Await() (thrift.Reply, error) {
	select {
	case reply, ok := <-p.reply:
		if !ok {
			return reply, ErrConnectionEnded
		}
		return reply, nil
	case <-time.After(Patience):
		return thrift.Reply{}, fmt.Errorf("processtest: await the reply to request %s: %w", p.ID, ErrTimeout)
	}
}

// Send sends a request.
func (c *Conn) Send(request Request) (PendingRequest, error) {
	id := nextRequestID()
	fields := request.fields(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return PendingRequest{}, ErrConnectionEnded
	}
	c.sequence++
	reply := make(chan thrift.Reply, 1)
	c.waiting[c.sequence] = reply
	if _, err := c.conn.Write(thrift.AppendCall(nil, c.sequence, fields, []byte(request.Body))); err != nil {
		delete(c.waiting, c.sequence)
		return PendingRequest{}, ErrConnectionEnded
	}
	return PendingRequest{ID: id, reply: reply}, nil
}

// CheckHealth sends a health check on a connection of its own, and reports whether the server is healthy.
func CheckHealth(address string) (healthy bool, err error) {
	c, err := Dial(address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	pending, err := c.sendProbe()
	if err != nil {
		return false, err
	}
	reply, err := pending.Await()
	return reply.Good, err
}

// sendProbe sends a health check as the first message of the connection.
func (c *Conn) sendProbe() (PendingRequest, error) {
	const sequence = 1
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return PendingRequest{}, ErrConnectionEnded
	}
	reply := make(chan thrift.Reply, 1)
	c.waiting[sequence] = reply
	_, err := c.conn.Write(thrift.AppendProbe(nil, sequence, false))
	return PendingRequest{ID: "health check", reply: reply}, err
}
