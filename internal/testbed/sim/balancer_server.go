package sim

import (
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	balancedServerCores = 2
	balancedServerQueue = 60 // queue length at which requests are rejected
	// meanWork is the mean processor time of a request.
	meanWork = 60 * microtime.Millisecond
	// retryAfter is the RetryAfter of a rejection.
	retryAfter = 200 * microtime.Millisecond
	// rejectionTime is the time until a rejection or a refused connect reaches the balancer.
	rejectionTime = microtime.Millisecond
	slowFactor    = 5
)

// Warm-up of a cold server: its speed rises linearly from warmUpMinSpeed to full speed.
const (
	warmUpMinSpeed = 0.24
	warmUpTime     = 17 * microtime.Second
)

// balancedServer models a server as a queue and a few cores.
type balancedServer struct {
	clock          *simnet.Clock
	name           string
	slowdownFactor float64 // multiplies the processor time of requests
	startedAt      microtime.Time
	isCold         bool // warms up from startedAt on
	isSilent       bool // accepts requests but never responds
	isRefusing     bool // refuses connections
	busyCores      int
	queue          []*balancedAttempt
}

// isDown reports whether the server is silent or refuses connections.
func (s *balancedServer) isDown() bool { return s.isSilent || s.isRefusing }

// receive queues an attempt, or rejects it if the queue is full.
func (s *balancedServer) receive(attempt *balancedAttempt) {
	if len(s.queue) >= balancedServerQueue {
		s.clock.In(rejectionTime, func() {
			attempt.end(loadbalancer.Result{Outcome: loadbalancer.Rejected, RetryAfter: retryAfter})
		})
		return
	}
	s.queue = append(s.queue, attempt)
	s.startQueued()
}

// startQueued starts queued attempts while a core is free.
func (s *balancedServer) startQueued() {
	for s.busyCores < balancedServerCores && len(s.queue) > 0 {
		attempt := s.queue[0]
		s.queue = s.queue[1:]
		s.start(attempt)
	}
}

// start occupies a core with an attempt until the attempt succeeds. The attempt does not succeed if the server is down
// by then.
func (s *balancedServer) start(attempt *balancedAttempt) {
	s.busyCores++
	workTime := microtime.Time(float64(attempt.request.work) * s.slowdown())
	s.clock.In(workTime, func() {
		if s.isDown() {
			return
		}
		s.busyCores--
		attempt.end(loadbalancer.Result{Outcome: loadbalancer.Succeeded})
		s.startQueued()
	})
}

// slowdown returns the current ratio of the duration of a request to its processor time.
func (s *balancedServer) slowdown() float64 {
	if !s.isCold {
		return s.slowdownFactor
	}
	age := s.clock.Now() - s.startedAt
	return s.slowdownFactor / min(1, warmUpMinSpeed+(1-warmUpMinSpeed)*float64(age)/float64(warmUpTime))
}
