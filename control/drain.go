package control

import "time"

// drainState is how far a graceful shutdown has come.
type drainState struct {
	grace       time.Duration // requests that reach the machine later than this after the notice are not run
	requested   bool
	requestedAt time.Duration
	stopAt      time.Duration // the process is stopped
}

// request starts the graceful shutdown.
func (d *drainState) request(requestedAt, stopAt time.Duration) {
	d.requested = true
	d.requestedAt = requestedAt
	d.stopAt = stopAt
}

// forbids reports whether a request that was read at readAt and would end at endsAt must not be started.
func (d *drainState) forbids(readAt, endsAt time.Duration) bool {
	return d.requested && (readAt > d.requestedAt+d.grace || endsAt > d.stopAt)
}

// answersAreDue reports whether the process is about to be stopped, so that every open request must be answered.
func (d *drainState) answersAreDue(now time.Duration) bool {
	return d.requested && now >= d.stopAt-2*tickInterval
}
