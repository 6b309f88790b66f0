package sim

import (
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	balancedServerCores = 2
	balancedServerQueue = 60 // beyond which requests are rejected
	// meanWork is the processor time of a request, on average.
	meanWork = 60 * microtime.Millisecond
	// retryAfter is what a full server sends with a rejection.
	retryAfter = 200 * microtime.Millisecond
	// rejectionTime is how long a rejection or a refused connect takes.
	rejectionTime = microtime.Millisecond
	slowFactor    = 5
)

// The warm-up of a server that has started cold: its speed rises evenly to its full speed.
const (
	warmUpMinSpeed = 0.24
	warmUpTime     = 17 * microtime.Second
)

// balancedServer is a queue before a few cores.
type balancedServer struct {
	clock     *simnet.World
	name      string
	factor    float64 // its work takes so many times as long
	startedAt microtime.Time
	isCold    bool // it warms up from startedAt on
	isSilent  bool // it takes what is sent, and answers nothing
	isRefused bool // connects to it are refused
	busyCores int
	queue     []*balancedAttempt
}

// isDown reports that it answers nothing.
func (s *balancedServer) isDown() bool { return s.isSilent || s.isRefused }

// receive takes an attempt, or rejects it where the queue is full.
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

// startQueued starts attempts while a core is free.
func (s *balancedServer) startQueued() {
	for s.busyCores < balancedServerCores && len(s.queue) > 0 {
		attempt := s.queue[0]
		s.queue = s.queue[1:]
		s.start(attempt)
	}
}

// start has a core work on an attempt until it has succeeded, unless the server goes down before.
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

// slowdown is how many times as long as its processor time a request takes now.
func (s *balancedServer) slowdown() float64 {
	if !s.isCold {
		return s.factor
	}
	age := s.clock.Now() - s.startedAt
	return s.factor / min(1, warmUpMinSpeed+(1-warmUpMinSpeed)*float64(age)/float64(warmUpTime))
}
