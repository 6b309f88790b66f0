package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// conn is one connection to the service. Replies come in any order and identify their call only by the request's ID. An
// ID that was abandoned on a connection is therefore not used on it again: otherwise a late reply to the abandoned call
// could be mistaken for the reply to the later one.
type conn struct {
	id           ConnID
	calls        map[string]*call // in flight on the connection, by request ID
	abandoned    map[string]bool  // request IDs of abandoned calls
	idleSince    microtime.Time   // when a call was last sent on the connection or last ended
	lastReceived microtime.Time   // when data was last received, or when it was opened
	silent       bool             // nothing was received for longer than the silence limit
	retired      bool             // takes no new calls, and is closed after the last call in flight
}

func newConn(id ConnID, now microtime.Time) *conn {
	return &conn{
		id: id, calls: map[string]*call{}, abandoned: map[string]bool{}, idleSince: now, lastReceived: now,
	}
}

// load counts the calls in flight.
func (c *conn) load() int { return len(c.calls) }

// betterThan reports whether c is preferred for new calls: a connection that is not silent, then one with fewer calls.
func (c *conn) betterThan(other *conn) bool {
	if c.silent != other.silent {
		return other.silent
	}
	return c.load() < other.load()
}

// silentSince returns the time since which a connection with calls in flight has received nothing. waiting is false if
// no call is in flight.
func (c *conn) silentSince() (since microtime.Time, waiting bool) {
	oldest := microtime.Never
	for _, pending := range c.calls { // The order does not matter for the minimum.
		oldest = min(oldest, pending.sentAt)
	}
	return max(oldest, c.lastReceived), oldest != microtime.Never
}

// conn returns the open connection with the given ID; nil if there is none.
func (p *Pool) conn(id ConnID) *conn {
	index := slices.IndexFunc(p.conns, func(open *conn) bool { return open.id == id })
	if index < 0 {
		return nil
	}
	return p.conns[index]
}

// retire stops sending calls on a connection, and closes it once the calls in flight on it have ended.
func (p *Pool) retire(old *conn) {
	if old.retired {
		return
	}
	old.retired = true
	if old.load() == 0 {
		p.emit(Close{old.id})
		return
	}
	if p.retiredConns() > maxRetiredConns { // The oldest one is closed, which ends the calls in flight on it.
		oldest := slices.IndexFunc(p.conns, func(open *conn) bool { return open.retired })
		p.emit(Close{p.conns[oldest].id})
	}
}

// retireOldest retires the oldest connection that takes calls, unless too many are retired already.
func (p *Pool) retireOldest() bool {
	serving := slices.IndexFunc(p.conns, func(open *conn) bool { return !open.retired })
	if serving < 0 || p.retiredConns() >= maxRetiredConns {
		return false
	}
	p.retire(p.conns[serving])
	return true
}

func (p *Pool) retiredConns() int {
	count := 0
	for _, open := range p.conns {
		if open.retired {
			count++
		}
	}
	return count
}

// checkConn checks whether a connection has been silent or idle for too long. It returns when to check again.
func (p *Pool) checkConn(now microtime.Time, open *conn) microtime.Time {
	if open.load() > 0 {
		return p.checkSilence(now, open)
	}
	if due := open.idleSince + IdleTimeout; due > now {
		return due
	}
	p.retire(open)
	return microtime.Never
}
