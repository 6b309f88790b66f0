package vaultlink

import (
	"pewterline/internal/decide/calls"
	"pewterline/internal/micro"
)

// A connection whose other end is gone without a word looks like one on which every call is slow. Nothing on the link tells the
// two apart, so that silence alone only has new calls go elsewhere. Once the vault has answered a later call on another link, the
// link itself is at fault: its repeatable calls are made again, and the others wait for their time.
const (
	// A link with n calls in hand is silent after the usual reply time and this many n-th parts of it: the more calls, the
	// sooner one of them should have been answered.
	suspectParts = 4
	suspectMin   = 50 * micro.Millisecond
	suspectMax   = micro.Second
	suspectFirst = 500 * micro.Millisecond // before any reply has come
	// retireSilent is the silence after which a link takes no calls at all, even where all links are silent.
	retireSilent = micro.Second
	// replyWeight is the part of the latest reply in the mean.
	replyWeight = 8
)

// replyTime is a moving mean of the time that replies take; 0: none has come.
type replyTime struct{ mean micro.Time }

func (r *replyTime) add(took micro.Time) {
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += (took - r.mean) / replyWeight
}

// suspectAfter is how long a link with so many calls in hand may be silent.
func (r *replyTime) suspectAfter(inHand int) micro.Time {
	if r.mean == 0 {
		return suspectFirst
	}
	usual := r.mean + suspectParts*r.mean/micro.Time(max(inHand, 1))
	return min(max(usual, suspectMin), suspectMax)
}

// silentSince is when the silence of a link began that has a call in hand: nothing has come since that was sent.
func (l *link) silentSince() (since micro.Time, silent bool) {
	oldest := micro.Never
	for _, q := range l.calls {
		oldest = min(oldest, q.sent)
	}
	return max(oldest, l.heard), oldest != micro.Never
}

// checkSilence judges the link; it returns when to do so again.
func (l *link) checkSilence(now micro.Time) micro.Time {
	since, silent := l.silentSince()
	if !silent {
		return micro.Never
	}
	if due := since + l.client.replyTime.suspectAfter(len(l.calls)); now < due {
		return due
	}
	if !l.suspect {
		l.suspect = true
		l.client.logf("vault: a link with %d calls has been silent for %v", len(l.calls), (now - since).Duration())
	}
	if l.retired {
		return micro.Never // its calls end by their time
	}
	if due := since + retireSilent; now < due {
		return due
	}
	if l.client.retiredLinks() < maxRetired { // else it serves on: a vault that is slow on all links breaks no call
		l.retire()
	}
	return now + retireSilent
}

// outlived is told that the vault has answered a call on another link that was sent at a time. Where this link has been silent
// since before then, its repeatable calls end.
func (l *link) outlived(sent, now micro.Time) {
	since, silent := l.silentSince()
	if !l.suspect || !silent || sent < since {
		return
	}
	for _, q := range l.client.order {
		if q.over || q.link != l || !q.repeatable {
			continue
		}
		l.client.finish(q, calls.GivenUp, nil)
		l.giveUp(q, now)
	}
	l.retire()
}
