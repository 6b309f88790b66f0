package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// link is one connection to the vault. Replies come in any order and name a request alone: an id that was given up on a link is not
// asked for on it again, so that a reply that crosses the giving up is never taken for that of a later call.
type link struct {
	id        ConnID
	calls     map[string]*call // in hand on it
	givenUp   map[string]bool
	idleSince microtime.Time // of the last thing that happened to a call on it
	heard     microtime.Time // when something came last, or it was opened
	suspect   bool           // it has been silent for longer than usual
	retired   bool           // it takes no new calls, and is closed with the last one
}

func (l *link) load() int { return len(l.calls) }

// betterThan prefers a link that is not silent, then the one with fewer calls.
func (l *link) betterThan(o *link) bool {
	if l.suspect != o.suspect {
		return o.suspect
	}
	return l.load() < o.load()
}

func (d *Pool) link(id ConnID) *link {
	at := slices.IndexFunc(d.links, func(l *link) bool { return l.id == id })
	if at < 0 {
		return nil
	}
	return d.links[at]
}

// retire has a link finish what it has in hand.
func (d *Pool) retire(l *link) {
	if l.retired {
		return
	}
	l.retired = true
	if l.load() == 0 {
		d.do(Close{l.id})
		return
	}
	if d.retiredLinks() > maxRetired { // the oldest of them ends, with the calls in hand on it
		oldest := slices.IndexFunc(d.links, func(o *link) bool { return o.retired })
		d.do(Close{d.links[oldest].id})
	}
}

// retireOldest retires the oldest link that takes calls, unless too many are retired already.
func (d *Pool) retireOldest() bool {
	serves := slices.IndexFunc(d.links, func(l *link) bool { return !l.retired })
	if serves < 0 || d.retiredLinks() >= maxRetired {
		return false
	}
	d.retire(d.links[serves])
	return true
}

func (d *Pool) retiredLinks() (count int) {
	for _, l := range d.links {
		if l.retired {
			count++
		}
	}
	return count
}

// checkLink looks whether a link has been silent or idle for long; it returns when to look again.
func (d *Pool) checkLink(now microtime.Time, l *link) microtime.Time {
	if l.load() > 0 {
		return d.checkSilence(now, l)
	}
	if due := l.idleSince + IdleTimeout; due > now {
		return due
	}
	d.retire(l)
	return microtime.Never
}

// A connection whose other end is gone without a word looks like one on which every call is slow. Nothing on the link tells the
// two apart, so that silence alone only has new calls go elsewhere. Once the vault has answered a later call on another link, the
// link itself is at fault: its repeatable calls are made again, and the others wait for their time.
const (
	// A link with n calls in hand is silent after the usual reply time and this many n-th parts of it: the more calls, the
	// sooner one of them should have been answered.
	suspectParts = 4
	suspectMin   = 50 * microtime.Millisecond
	suspectMax   = microtime.Second
	suspectFirst = 500 * microtime.Millisecond // before any reply has come
	// retireSilent is the silence after which a link takes no calls at all, even where all links are silent.
	retireSilent = microtime.Second
	// replyWeight is the part of the latest reply in the mean.
	replyWeight = 8
)

// replyTime is a moving mean of the time that replies take; 0: none has come.
type replyTime struct{ mean microtime.Time }

func (r *replyTime) add(took microtime.Time) {
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += (took - r.mean) / replyWeight
}

// suspectAfter is how long a link with so many calls in hand may be silent.
func (r *replyTime) suspectAfter(inHand int) microtime.Time {
	if r.mean == 0 {
		return suspectFirst
	}
	usual := r.mean + suspectParts*r.mean/microtime.Time(max(inHand, 1))
	return min(max(usual, suspectMin), suspectMax)
}

// Received says that something has come on a link: it is not silent.
func (d *Pool) Received(now microtime.Time, id ConnID) {
	if l := d.link(id); l != nil {
		l.heard, l.suspect = now, false
	}
}

// silentSince is when the silence of a link began that has a call in hand: nothing has come since that was sent.
func (l *link) silentSince() (since microtime.Time, silent bool) {
	oldest := microtime.Never
	for _, q := range l.calls {
		oldest = min(oldest, q.sent)
	}
	return max(oldest, l.heard), oldest != microtime.Never
}

// checkSilence judges a link; it returns when to do so again.
func (d *Pool) checkSilence(now microtime.Time, l *link) microtime.Time {
	since, silent := l.silentSince()
	if !silent {
		return microtime.Never
	}
	if due := since + d.replyTime.suspectAfter(l.load()); now < due {
		return due
	}
	if !l.suspect {
		l.suspect = true
		d.do(ReportSilence{Calls: l.load(), Duration: now - since})
	}
	if l.retired {
		return microtime.Never // its calls end by their time
	}
	if due := since + retireSilent; now < due {
		return due
	}
	if d.retiredLinks() < maxRetired { // else it serves on: a vault that is slow on all links breaks no call
		d.retire(l)
	}
	return now + retireSilent
}

// outlived says that the vault has answered a call on another link that was sent at a time. Where this link has been silent since
// before then, its repeatable calls end.
func (d *Pool) outlived(now microtime.Time, l *link, sent microtime.Time) {
	since, silent := l.silentSince()
	if !l.suspect || !silent || sent < since {
		return
	}
	for _, q := range slices.Clone(d.order) {
		if !q.over && q.link == l && q.Idempotent {
			d.finish(q, Abandoned, nil)
			d.unask(now, q)
		}
	}
	d.retire(l)
}
