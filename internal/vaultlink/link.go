package vaultlink

import (
	"slices"

	"pewterline/internal/decide/calls"
	"pewterline/internal/micro"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/transport"
)

// link is the session of one connection to the vault. Replies come in any order and name a request alone: an id that was given up
// on a link is not asked for on it again, so that a reply that crosses the giving up is never taken for that of a later call.
type link struct {
	client    *Client
	conn      transport.Link
	calls     map[string]*call // in hand on it
	givenUp   map[string]bool
	idleSince micro.Time // of the last thing that happened to a call on it
	retired   bool       // it takes no new calls, and is closed with the last one
	closed    bool
	out       []byte // scratch
}

var outcomes = map[vault.Status]calls.Outcome{
	vault.Yes: calls.Answered, vault.NotNow: calls.TurnedAway, vault.Failed: calls.Failed, vault.Overdue: calls.OutOfTime,
	vault.Pointless: calls.Pointless,
}

func (l *link) load() int { return len(l.calls) }

func (l *link) write(p []byte) {
	l.out = p[:0]
	l.conn.Write(p)
}

// send makes a call. Its wait is what is left of it, in whole milliseconds, and at least one.
func (l *link) send(q *call, now micro.Time) {
	q.link = l
	l.calls[q.id] = q
	l.idleSince = now
	wait := (q.due - now + micro.Millisecond - 1) / micro.Millisecond
	l.write(vault.AppendAsk(l.out[:0], q.id, int(min(max(wait, 1), vault.MaxWait)), q.body))
}

// giveUp tells the vault that nobody waits for a call.
func (l *link) giveUp(q *call, now micro.Time) {
	if l.closed || l.calls[q.id] != q {
		return
	}
	l.write(vault.AppendUnask(l.out[:0], q.id))
	l.givenUp[q.id] = true
	l.release(q, now)
	if len(l.givenUp) >= givenUpPerLink {
		l.retire()
	}
}

// release takes a call off the link.
func (l *link) release(q *call, now micro.Time) {
	delete(l.calls, q.id)
	l.idleSince = now
	l.client.nextDue = min(l.client.nextDue, now+idleTimeout)
	if l.retired && len(l.calls) == 0 {
		l.conn.Close()
	}
}

// retire has the link finish what it has in hand.
func (l *link) retire() {
	if l.retired {
		return
	}
	l.retired = true
	if len(l.calls) == 0 {
		l.conn.Close()
		return
	}
	l.client.boundRetired()
}

// closeIdle closes a link that has been without a call for long; it returns when it will have been.
func (l *link) closeIdle(now micro.Time) micro.Time {
	if len(l.calls) > 0 {
		return micro.Never // the end of the last call tells
	}
	if due := l.idleSince + idleTimeout; due > now {
		return due
	}
	l.retired = true
	l.conn.Close()
	return micro.Never
}

// Receive is part of transport.Session.
func (l *link) Receive(in []byte) (int, error) {
	n := 0
	for {
		reply, size, err := vault.ParseReply(in[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		l.take(reply)
	}
}

// take takes up a reply. One for no call in hand is dropped: it has crossed the giving up, or is none of ours.
func (l *link) take(reply vault.Reply) {
	q := l.calls[reply.ID]
	if q == nil {
		return
	}
	l.release(q, l.client.loop.Now())
	var body []byte
	if reply.Status == vault.Yes {
		body = append([]byte{}, reply.Body...)
	}
	l.client.finish(q, outcomes[reply.Status], body)
}

// Idle is part of transport.Session. The link is never closed to make room.
func (l *link) Idle() bool { return false }

// Closed is part of transport.Session: what was in hand on it may have had its effect.
func (l *link) Closed() {
	c := l.client
	l.closed = true
	c.links = slices.DeleteFunc(c.links, func(o *link) bool { return o == l })
	lost := 0
	for _, q := range slices.Clone(c.order) {
		if !q.over && q.link == l {
			lost++
			c.finish(q, calls.Broken, nil)
		}
	}
	if lost > 0 {
		c.logf("vault: link lost with %d calls in hand", lost)
	}
}
