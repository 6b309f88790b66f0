package control

import "time"

// drainState is the state of a graceful shutdown.
type drainState struct {
	grace       time.Duration // a request that is read later than this after requestedAt is not run
	requested   bool
	requestedAt time.Duration
	stopAt      time.Duration // when the process is stopped
}

// start starts the graceful shutdown.
func (d *drainState) start(requestedAt, stopAt time.Duration) {
	d.requested = true
	d.requestedAt = requestedAt
	d.stopAt = stopAt
}

// forbids reports whether the drain forbids starting a request that was read at readAt and would end at endsAt.
func (d *drainState) forbids(readAt, endsAt time.Duration) bool {
	return d.requested && (readAt > d.requestedAt+d.grace || endsAt > d.stopAt)
}

// mustAnswerAll reports whether the process is about to be stopped, so that every open request must be answered now.
func (d *drainState) mustAnswerAll(now time.Duration) bool {
	return d.requested && now >= d.stopAt-2*tickInterval
}
