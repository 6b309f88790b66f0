package invariant

import (
	"slices"

	"pewterline/internal/microtime"
)

// runningChanged records a change of the number of runs on a server's cores.
func (o *Observer) runningChanged(server *serverState, by int) {
	server.running += by
	server.runningSamples = append(server.runningSamples, runningSample{o.clock.Now(), server.running})
}

// checkMemory checks that reserved memory stays within its bound. It also removes the requests that hold no memory.
func (o *Observer) checkMemory(server *serverState, now microtime.Time) {
	server.open = slices.DeleteFunc(server.open, func(request *requestState) bool {
		return !request.awaitsAnswer() && !request.running
	})
	reserved := 0.0
	for _, request := range server.open {
		if request.running {
			reserved += request.sizeKB * o.Limits.RunningMemoryFactor
		} else if now > request.arrivedAt+reservationDelay && request.awaitsAnswer() {
			reserved += request.sizeKB
		}
	}
	if reserved > o.Limits.MemoryKB {
		o.report(ruleFallOver, server, nil, "memory: %.0f kB are reserved of %.0f", reserved, o.Limits.MemoryKB)
		server.stopped = true
	}
}

// checkConcurrency checks that the average number of runs on the cores stays within its bound.
func (o *Observer) checkConcurrency(server *serverState, now microtime.Time) {
	from := now - o.Limits.MaxConcurrencyWindow
	if server.startedAt > from {
		return
	}
	mean := server.runningSince(from, now) / float64(o.Limits.MaxConcurrencyWindow)
	limit := float64(o.Limits.Cores) * (1 + (o.Limits.MaxConcurrencyPerCore-1)*o.warmUpShare(server, now))
	if mean > limit {
		o.report(ruleFallOver, server, nil, "concurrency: %.1f runs on average, over the limit of %.1f", mean, limit)
		server.stopped = true
	}
}

// runningSince returns the integral of the number of runs on the cores from a time until now, and discards the samples
// that are no longer needed.
func (s *serverState) runningSince(from, now microtime.Time) float64 {
	sum := 0.0
	running := 0
	changedAt := from
	oldest := 0
	for i, sample := range s.runningSamples {
		if sample.at <= from {
			running = sample.running
			oldest = i
			continue
		}
		sum += float64(running) * float64(sample.at-changedAt)
		running = sample.running
		changedAt = sample.at
	}
	sum += float64(running) * float64(now-changedAt)
	s.runningSamples = s.runningSamples[oldest:]
	return sum
}

// warmUpShare returns the fraction of the concurrency above one run per core that a server may use: all of it in its
// first incarnation, which starts warm, and a fraction that grows during the warm-up of a later one.
func (o *Observer) warmUpShare(server *serverState, now microtime.Time) float64 {
	if server.incarnation == 1 {
		return 1
	}
	slowest := o.Limits.WarmUpMinSpeed
	return min(1, slowest+(1-slowest)*float64(now-server.startedAt)/float64(o.Limits.WarmUpTime))
}
