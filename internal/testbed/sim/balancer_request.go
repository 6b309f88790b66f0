package sim

import (
	"slices"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

// balancedRequest is one request with all its attempts.
type balancedRequest struct {
	work      microtime.Time
	arrivedAt microtime.Time
	attempts  int
	tried     []string // servers to which attempts were sent
	isDone    bool
}

func (q *balancedRequest) isEarly() bool { return q.arrivedAt < simnet.Start+balancerEarlyPeriod }

func (q *balancedRequest) deadline() microtime.Time { return q.arrivedAt + balancerDeadline }

// balancedAttempt is one attempt, sent to one server.
type balancedAttempt struct {
	run     *balancerRun
	request *balancedRequest
	server  *balancedServer
	choice  loadbalancer.Choice
	sentAt  microtime.Time
	isDone  bool
}

// end records the result of the attempt. Later calls have no effect.
func (a *balancedAttempt) end(result loadbalancer.Result) {
	if a.isDone {
		return
	}
	a.isDone = true
	now := a.run.clock.Now()
	a.run.inFlight[a.server.name]--
	result.Latency = now - a.sentAt
	a.run.balancer.AttemptEnded(now, a.choice, result)
	a.run.attemptEnded(a.request, result)
}

// arrive sends the first attempt of a new request.
func (r *balancerRun) arrive(work microtime.Time) {
	request := &balancedRequest{work: work, arrivedAt: r.clock.Now()}
	r.requests++
	if request.isEarly() {
		r.earlyRequests++
	}
	r.retryPolicy.RecordFirstAttempt(r.clock.Now(), balancerCaller)
	r.send(request)
}

// send sends an attempt of a request. It does nothing if the policy finds no server: the request has then failed.
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
	if server.isRefusing {
		r.clock.In(rejectionTime, func() { attempt.end(loadbalancer.Result{Outcome: loadbalancer.ConnectFailed}) })
		return
	}
	r.scheduleTimeout(attempt)
	if !server.isSilent {
		server.receive(attempt)
	}
}

// scheduleTimeout schedules the timeout of an attempt: the connect timeout, at which only an attempt at a silent server
// ends, or the deadline if that is earlier.
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

// pick chooses a server by the policy. It returns false if there is none.
func (r *balancerRun) pick(request *balancedRequest) (loadbalancer.Choice, bool) {
	count := len(r.servers)
	switch r.policy {
	case policyBalancer:
		return r.balancer.Pick(r.clock.Now(), loadbalancer.Request{
			Idempotent: true, Cheap: true, Exclude: request.tried,
		})
	case policyRoundRobin:
		r.nextServer++
		return loadbalancer.Choice{Endpoint: r.servers[r.nextServer%count].name}, true
	case policyRandom:
		return loadbalancer.Choice{Endpoint: r.servers[r.clock.Rand().IntN(count)].name}, true
	default:
		return loadbalancer.Choice{Endpoint: r.leastInFlight()}, true
	}
}

// leastInFlight returns the server with the fewest requests in flight. Ties go to the first server from nextServer on,
// which rotates.
func (r *balancerRun) leastInFlight() string {
	best := ""
	for offset := range r.servers {
		name := r.servers[(r.nextServer+offset)%len(r.servers)].name
		if best == "" || r.inFlight[name] < r.inFlight[best] {
			best = name
		}
	}
	r.nextServer++
	return best
}

// attemptEnded records a success, or retries the request if the retry policy allows it.
func (r *balancerRun) attemptEnded(request *balancedRequest, result loadbalancer.Result) {
	if request.isDone {
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
		request.isDone = true
	}
}

// succeeded records that a request succeeded now.
func (r *balancerRun) succeeded(request *balancedRequest) {
	now := r.clock.Now()
	request.isDone = true
	r.retryPolicy.RecordSuccess(now, balancerCaller)
	// RecordValue cannot fail: the run ends before a latency exceeds the range of the histogram.
	_ = r.latencies.RecordValue(int64(now - request.arrivedAt))
	if now > request.arrivedAt+balancerObjective {
		return
	}
	r.onTime++
	if request.isEarly() {
		r.earlyOnTime++
	}
}
