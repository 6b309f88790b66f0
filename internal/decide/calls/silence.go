package calls

import (
	"slices"

	"pewterline/internal/microtime"
)

// A half-open connection, whose peer has vanished without closing it, cannot be distinguished from one on which every
// call is slow. A silent connection therefore only stops getting new calls. Once the service has answered a later call
// on another connection, the silent connection must be broken: its idempotent calls end, so that they can be repeated,
// and the others wait for their deadline.
const (
	// silenceFactor sets when a connection with n calls in flight counts as silent: after mean + silenceFactor*mean/n,
	// where mean is the mean reply time. The more calls, the sooner one of them should have been answered.
	silenceFactor = 4
	// minSilence and maxSilence bound that time.
	minSilence = 50 * microtime.Millisecond
	maxSilence = microtime.Second
	// initialSilence is the limit before the first reply.
	initialSilence = 500 * microtime.Millisecond
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

// silenceLimit returns how long a connection with inFlight calls may be silent.
func (r *replyTime) silenceLimit(inFlight int) microtime.Time {
	if r.mean == 0 {
		return initialSilence
	}
	limit := r.mean + silenceFactor*r.mean/microtime.Time(max(inFlight, 1))
	return min(max(limit, minSilence), maxSilence)
}

// Received reports that data was received on a connection, which ends its silence.
func (p *Pool) Received(now microtime.Time, id ConnID) {
	if open := p.conn(id); open != nil {
		open.lastReceived, open.silent = now, false
	}
}

// checkSilence marks or retires a connection that has been silent for too long. It returns when to check again.
func (p *Pool) checkSilence(now microtime.Time, open *conn) microtime.Time {
	since, waiting := open.silentSince()
	if !waiting {
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

// abandonSilentCalls ends the idempotent calls on a silent connection and retires it, if it has received nothing since
// before sentAt. A call that was sent at sentAt on another connection has been answered, so the service is alive.
func (p *Pool) abandonSilentCalls(now microtime.Time, open *conn, sentAt microtime.Time) {
	since, waiting := open.silentSince()
	if !open.silent || !waiting || sentAt < since {
		return
	}
	for _, pending := range slices.Clone(p.byAge) {
		if !pending.ended && pending.conn == open && pending.Idempotent {
			p.finish(pending, Abandoned, nil)
			p.abandonSent(now, pending)
		}
	}
	p.retire(open)
}
