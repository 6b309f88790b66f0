package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// A connection whose other end has vanished without closing it looks like one on which every call is slow, so a silent
// connection only stops getting new calls. Once the service has answered a later call on another connection, the silent
// connection must be broken: its idempotent calls end, so that they can be made again, and the others wait for their
// deadline.
const (
	// silenceParts sets when a connection with n calls in flight counts as silent: after mean + silenceParts*mean/n,
	// where mean is the mean reply time. The more calls, the sooner one of them should have been answered.
	silenceParts = 4
	// minSilence and maxSilence bound that time.
	minSilence = 50 * microtime.Millisecond
	maxSilence = microtime.Second
	// firstSilence is used before any reply was received.
	firstSilence = 500 * microtime.Millisecond
	// retireSilence is the silence after which a connection is retired, even if all connections are silent.
	retireSilence = microtime.Second
	// replyWeight is the inverse weight of the latest reply in the mean reply time.
	replyWeight = 8
)

// replyTime is an exponentially weighted mean of the time that replies take; 0 before the first reply.
type replyTime struct{ mean microtime.Time }

func (r *replyTime) add(took microtime.Time) {
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += (took - r.mean) / replyWeight
}

// silenceLimit is how long a connection with inFlight calls may be silent.
func (r *replyTime) silenceLimit(inFlight int) microtime.Time {
	if r.mean == 0 {
		return firstSilence
	}
	usual := r.mean + silenceParts*r.mean/microtime.Time(max(inFlight, 1))
	return min(max(usual, minSilence), maxSilence)
}

// Received reports that data was received on a connection, which is therefore not silent.
func (p *Pool) Received(now microtime.Time, id ConnID) {
	if open := p.conn(id); open != nil {
		open.lastReceived, open.silent = now, false
	}
}

// checkSilence marks or retires a connection that has been silent for too long. It returns when to check again.
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
		return microtime.Never // Its calls end at their deadline.
	}
	if due := since + retireSilence; now < due {
		return due
	}
	if p.retiredConns() < maxRetiredConns { // Otherwise retire would close a connection with calls in flight.
		p.retire(open)
	}
	return now + retireSilence
}

// abandonSilentCalls ends the idempotent calls on silent and retires it, if nothing was received since before sentAt.
// The caller has received the reply to a call that was sent at sentAt on another connection, so the service answers.
func (p *Pool) abandonSilentCalls(now microtime.Time, silent *conn, sentAt microtime.Time) {
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
