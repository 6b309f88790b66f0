package vaultclient

import (
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/transport"
)

// connection is the transport.Session of one connection to the vault.
type connection struct {
	client  *Client
	conn    transport.Conn
	id      calls.ConnID
	scratch []byte
}

// callOutcome converts the status of the vault's reply to the outcome of a call.
func callOutcome(status vault.Status) calls.Outcome {
	switch status {
	case vault.Yes:
		return calls.Answered
	case vault.NotNow:
		return calls.Rejected
	case vault.Overdue:
		return calls.DeadlineExceeded
	case vault.Pointless:
		return calls.Unwanted
	case vault.Failed:
	}
	return calls.Failed
}

// write sends a command that was appended to c.scratch[:0], and keeps its buffer for reuse.
func (c *connection) write(command []byte) {
	c.scratch = command[:0]
	c.conn.Write(command)
}

// call sends a call. The protocol states the timeout in whole milliseconds, at least 1, so it is rounded up.
func (c *connection) call(send calls.Send) {
	timeout := (send.Timeout + microtime.Millisecond - 1) / microtime.Millisecond
	timeoutMillis := min(max(timeout, 1), vault.MaxWaitMS)
	c.write(vault.AppendAsk(c.scratch[:0], send.ID, int(timeoutMillis), send.Body))
}

// abandon notifies the vault that the reply to a call is no longer needed.
func (c *connection) abandon(id string) { c.write(vault.AppendUnask(c.scratch[:0], id)) }

// Receive implements transport.Session.
func (c *connection) Receive(in []byte) (int, error) {
	client := c.client
	now := client.loop.Now()
	client.pool.Received(now, c.id)
	defer client.carryOut()
	consumed := 0
	for {
		reply, size, err := vault.ParseReply(in[consumed:])
		if err != nil || size == 0 {
			return consumed, err
		}
		consumed += size
		var body []byte
		if reply.Status == vault.Yes {
			body = append([]byte{}, reply.Body...)
		}
		client.pool.Replied(now, c.id, reply.ID, callOutcome(reply.Status), body)
	}
}

// Idle implements transport.Session. The connection is never evicted.
func (c *connection) Idle() bool { return false }

// Closed implements transport.Session.
func (c *connection) Closed() {
	client := c.client
	delete(client.conns, c.id)
	if lost := client.pool.ConnClosed(c.id); lost > 0 {
		client.logf("vault: connection lost: calls_in_flight=%d", lost)
	}
	client.carryOut()
}
