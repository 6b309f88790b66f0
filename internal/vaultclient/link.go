package vaultclient

import (
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/transport"
)

// link is the session of one connection to the vault.
type link struct {
	client *Client
	conn   transport.Conn
	id     calls.ConnID
	out    []byte // scratch
}

var outcomes = map[vault.Status]calls.Outcome{
	vault.Yes: calls.Answered, vault.NotNow: calls.Rejected, vault.Failed: calls.Failed, vault.Overdue: calls.DeadlineExceeded,
	vault.Pointless: calls.Unwanted,
}

func (l *link) write(p []byte) {
	l.out = p[:0]
	l.conn.Write(p)
}

// ask writes a call. Its wait is told in whole milliseconds, and is at least one.
func (l *link) ask(a calls.Send) {
	wait := (a.Timeout + microtime.Millisecond - 1) / microtime.Millisecond
	l.write(vault.AppendAsk(l.out[:0], a.ID, int(min(max(wait, 1), vault.MaxWaitMS)), a.Body))
}

func (l *link) unask(id string) { l.write(vault.AppendUnask(l.out[:0], id)) }

// Receive is part of transport.Session.
func (l *link) Receive(in []byte) (int, error) {
	c, now := l.client, l.client.loop.Now()
	c.dispatch.Received(now, l.id)
	defer c.carryOut()
	n := 0
	for {
		reply, size, err := vault.ParseReply(in[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		var body []byte
		if reply.Status == vault.Yes {
			body = append([]byte{}, reply.Body...)
		}
		c.dispatch.Replied(now, l.id, reply.ID, outcomes[reply.Status], body)
	}
}

// Idle is part of transport.Session. The link is never closed to make room.
func (l *link) Idle() bool { return false }

// Closed is part of transport.Session.
func (l *link) Closed() {
	c := l.client
	delete(c.links, l.id)
	if lost := c.dispatch.ConnClosed(l.id); lost > 0 {
		c.logf("vault: link lost with %d calls in hand", lost)
	}
	c.carryOut()
}
