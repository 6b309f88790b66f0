package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// conn is one connection to the service. Replies come in any order and name a request alone: an ID that was abandoned
// on a connection is not used on it again, so that a reply that crosses the abandoning is never taken for that of a
// later call.
type conn struct {
	id           ConnID
	calls        map[string]*call // in flight on it
	abandoned    map[string]bool
	idleSince    microtime.Time // the last thing that happened to a call on it
	lastReceived microtime.Time // when something came last, or it was opened
	silent       bool           // nothing has come for longer than usual
	retired      bool           // it takes no new calls, and is closed with the last one
}

func newConn(id ConnID, now microtime.Time) *conn {
	return &conn{
		id: id, calls: map[string]*call{}, abandoned: map[string]bool{}, idleSince: now, lastReceived: now,
	}
}

// load counts the calls in flight.
func (c *conn) load() int { return len(c.calls) }

// betterThan prefers a connection that is not silent, then the one with fewer calls.
func (c *conn) betterThan(other *conn) bool {
	if c.silent != other.silent {
		return other.silent
	}
	return c.load() < other.load()
}

// silentSince is when the silence of a connection began that has a call in flight: nothing has come since that was
// sent.
func (c *conn) silentSince() (since microtime.Time, silent bool) {
	oldest := microtime.Never
	for _, made := range c.calls { // In any order: the smallest is the same.
		oldest = min(oldest, made.sentAt)
	}
	return max(oldest, c.lastReceived), oldest != microtime.Never
}

// conn finds an open connection; nil if there is none of that ID.
func (p *Pool) conn(id ConnID) *conn {
	index := slices.IndexFunc(p.conns, func(open *conn) bool { return open.id == id })
	if index < 0 {
		return nil
	}
	return p.conns[index]
}

// retire has a connection finish what is in flight on it.
func (p *Pool) retire(old *conn) {
	if old.retired {
		return
	}
	old.retired = true
	if old.load() == 0 {
		p.emit(Close{old.id})
		return
	}
	if p.retiredConns() > maxRetiredConns { // The oldest of them ends, with the calls in flight on it.
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

// checkConn looks whether a connection has been silent or idle for long; it returns when to look again.
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
