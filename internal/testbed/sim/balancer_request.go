package sim

import (
	"slices"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

// balancedRequest is one request over all its attempts.
type balancedRequest struct {
	work      microtime.Time
	arrivedAt microtime.Time
	attempts  int
	tried     []string // servers
	isOver    bool
}

func (q *balancedRequest) isEarly() bool { return q.arrivedAt < simnet.Start+balancerEarlyTime }

func (q *balancedRequest) deadline() microtime.Time { return q.arrivedAt + balancerDeadline }

// balancedAttempt is one attempt at a server.
type balancedAttempt struct {
	run     *balancerRun
	request *balancedRequest
	server  *balancedServer
	choice  loadbalancer.Choice
	sentAt  microtime.Time
	isOver  bool
}

// end records the result of the attempt. Only the first one counts.
func (a *balancedAttempt) end(result loadbalancer.Result) {
	if a.isOver {
		return
	}
	a.isOver = true
	now := a.run.clock.Now()
	a.run.inFlight[a.server.name]--
	result.Latency = now - a.sentAt
	a.run.balancer.AttemptEnded(now, a.choice, result)
	a.run.attemptEnded(a.request, result)
}

// arrive takes a request.
func (r *balancerRun) arrive(work microtime.Time) {
	request := &balancedRequest{work: work, arrivedAt: r.clock.Now()}
	r.requests++
	if request.isEarly() {
		r.earlyRequests++
	}
	r.retryPolicy.RecordFirstAttempt(r.clock.Now(), balancerCaller)
	r.send(request)
}

// send sends an attempt of a request. A request for which there is no server is over.
func (r *balancerRun) send(request *balancedRequest) {
	choice, ok := r.pick(request)
	if !ok {
		return
	}
	server := r.serverNamed(choice.Endpoint)
	request.attempts++
	r.attempts++
	request.tried = append(request.tried, server.name)
	r.inFlight[server.name]++
	r.balancer.AttemptStarted(r.clock.Now(), choice)
	attempt := &balancedAttempt{run: r, request: request, server: server, choice: choice, sentAt: r.clock.Now()}
	if server.isDown() {
		r.wasted++
	}
	if server.isRefused {
		r.clock.In(rejectionTime, func() { attempt.end(loadbalancer.Result{Outcome: loadbalancer.ConnectFailed}) })
		return
	}
	r.scheduleTimeout(attempt)
	if !server.isSilent {
		server.receive(attempt)
	}
}

// scheduleTimeout has the attempt time out where the server has not answered its connect, or at the deadline.
func (r *balancerRun) scheduleTimeout(attempt *balancedAttempt) {
	deadline := attempt.request.deadline()
	at := max(min(deadline, attempt.sentAt+balancerConnectTimeout), attempt.sentAt)
	r.clock.At(at, func() {
		if attempt.server.isSilent || r.clock.Now() >= deadline {
			attempt.end(loadbalancer.Result{Outcome: loadbalancer.TimedOut})
		}
	})
}

func (r *balancerRun) serverNamed(name string) *balancedServer {
	index := slices.IndexFunc(r.servers, func(server *balancedServer) bool { return server.name == name })
	return r.servers[index]
}

// pick chooses a server by the policy; false: there is none.
func (r *balancerRun) pick(request *balancedRequest) (loadbalancer.Choice, bool) {
	count := len(r.servers)
	switch r.policy {
	case policyBalancer:
		return r.balancer.Pick(r.clock.Now(), loadbalancer.Request{
			Idempotent: true, Cheap: true, Exclude: request.tried,
		})
	case policyRoundRobin:
		r.turn++
		return loadbalancer.Choice{Endpoint: r.servers[r.turn%count].name}, true
	case policyRandom:
		return loadbalancer.Choice{Endpoint: r.servers[r.clock.Rand().IntN(count)].name}, true
	default:
		return loadbalancer.Choice{Endpoint: r.leastOpen()}, true
	}
}

// leastOpen returns the server with the fewest requests in flight; of equals, the first one from the turn on.
func (r *balancerRun) leastOpen() string {
	best := ""
	for offset := range r.servers {
		name := r.servers[(r.turn+offset)%len(r.servers)].name
		if best == "" || r.inFlight[name] < r.inFlight[best] {
			best = name
		}
	}
	r.turn++
	return best
}

// attemptEnded records a success, or retries a failed request where the retry policy lets it.
func (r *balancerRun) attemptEnded(request *balancedRequest, result loadbalancer.Result) {
	if request.isOver {
		return
	}
	now := r.clock.Now()
	if result.Outcome == loadbalancer.Succeeded {
		r.succeeded(request)
		return
	}
	decision := r.retryPolicy.Decide(now, loadbalancer.FailedAttempt{
		Caller:         balancerCaller,
		Idempotent:     true,
		Attempts:       request.attempts,
		Outcome:        result.Outcome,
		EarliestFinish: now + meanWork,
		Deadline:       request.deadline(),
	})
	if decision == loadbalancer.RetryElsewhere {
		r.send(request)
	} else {
		request.isOver = true
	}
}

// succeeded records that a request was served now.
func (r *balancerRun) succeeded(request *balancedRequest) {
	now := r.clock.Now()
	request.isOver = true
	r.retryPolicy.RecordSuccess(now, balancerCaller)
	// It does not fail: the run ends before a latency is beyond the histogram's range.
	_ = r.latencies.RecordValue(int64(now - request.arrivedAt))
	if now > request.arrivedAt+balancerObjective {
		return
	}
	r.onTime++
	if request.isEarly() {
		r.earlyOnTime++
	}
}
