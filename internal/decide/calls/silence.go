package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// A connection whose other end is gone without a word looks like one on which every call is slow. Nothing on the
// connection tells the two apart, so that silence alone only has new calls go elsewhere. Once the service has
// answered a later call on another connection, this one itself is at fault: its idempotent calls are made again, and
// the others wait for their deadline.
const (
	// silenceParts says when a connection with n calls in flight counts as silent: after the usual reply time and this
	// many n-th parts of it. The more calls, the sooner one of them should have been answered.
	silenceParts = 4
	minSilence   = 50 * microtime.Millisecond
	maxSilence   = microtime.Second
	// firstSilence counts before any reply has come.
	firstSilence = 500 * microtime.Millisecond
	// retireSilence is the silence after which a connection takes no calls at all, even where all connections are silent.
	retireSilence = microtime.Second
	// replyWeight is the part of the latest reply in the mean reply time.
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

// silenceLimit is how long a connection with so many calls in flight may be silent.
func (r *replyTime) silenceLimit(inFlight int) microtime.Time {
	if r.mean == 0 {
		return firstSilence
	}
	usual := r.mean + silenceParts*r.mean/microtime.Time(max(inFlight, 1))
	return min(max(usual, minSilence), maxSilence)
}

// Received says that something has come on a connection: it is not silent.
func (p *Pool) Received(now microtime.Time, id ConnID) {
	if open := p.conn(id); open != nil {
		open.lastReceived, open.silent = now, false
	}
}

// checkSilence judges a connection; it returns when to do so again.
func (p *Pool) checkSilence(now microtime.Time, open *conn) microtime.Time {
	since, waits := open.silentSince()
	if !waits {
		return microtime.Never
	}
	if due := since + p.replyTime.silenceLimit(open.load()); now < due {
		return due
	}
	if !open.silent {
		open.silent = true
		p.emit(ReportSilence{Calls: open.load(), Duration: now - since})
	}
	if open.retired {
		return microtime.Never // Its calls end by their deadline.
	}
	if due := since + retireSilence; now < due {
		return due
	}
	if p.retiredConns() < maxRetiredConns { // Else it serves on: a service that is slow everywhere breaks no call.
		p.retire(open)
	}
	return now + retireSilence
}

// outlive says that the service has answered a call on another connection that was sent at a time. Where this
// connection has been silent since before then, its idempotent calls end.
func (p *Pool) outlive(now microtime.Time, silent *conn, sentAt microtime.Time) {
	since, waits := silent.silentSince()
	if !silent.silent || !waits || sentAt < since {
		return
	}
	for _, made := range slices.Clone(p.byAge) {
		if !made.over && made.conn == silent && made.Idempotent {
			p.finish(made, Abandoned, nil)
			p.abandonSent(now, made)
		}
	}
	p.retire(silent)
}
