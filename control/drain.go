package control

import "time"

// drainState is the state of a graceful shutdown.
type drainState struct {
	grace       time.Duration // requests that are read later than this after requestedAt are not run
	requested   bool
	requestedAt time.Duration
	stopAt      time.Duration // when the process is stopped
}

// request starts the graceful shutdown.
func (d *drainState) request(requestedAt, stopAt time.Duration) {
	d.requested = true
	d.requestedAt = requestedAt
	d.stopAt = stopAt
}

// forbids reports whether the drain forbids to start a request that was read at readAt and would end at endsAt.
func (d *drainState) forbids(readAt, endsAt time.Duration) bool {
	return d.requested && (readAt > d.requestedAt+d.grace || endsAt > d.stopAt)
}

// answersAreDue reports whether the process is about to be stopped, so that every open request must be answered.
func (d *drainState) answersAreDue(now time.Duration) bool {
	return d.requested && now >= d.stopAt-2*tickInterval
}
