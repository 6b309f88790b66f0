package upstream

import (
	"fmt"
	"slices"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

const (
	// sameEndpointRetryDelay is the wait before a request with an idempotency key is retried at the endpoint that may
	// have executed it.
	sameEndpointRetryDelay = 50 * microtime.Millisecond
	// hedgeQuantile is the quantile of the latency of a class after which a hedged request may be sent.
	hedgeQuantile = 0.95
)

// attempt is one attempt of a run at an endpoint.
type attempt struct {
	run        *run
	choice     loadbalancer.Choice
	connection *connection
	id         string
	sequenceID int32
	startedAt  microtime.Time
	written    bool // the endpoint may have executed it
}

// route sends a run to the endpoint that may already have executed it, or otherwise to the endpoint that the balancer
// picks. If no endpoint is available, the next Check reports the run as declined.
func (b *Backend) route(routed *run) {
	now := b.now()
	routed.retryAt = microtime.Never
	// After its start, an instance waits a limited time for the first gossip exchange.
	if b.exchange != nil && !b.exchange.Ready(now) {
		b.awaitingGossip = append(b.awaitingGossip, routed)
		return
	}
	choice, ok := b.chooseEndpoint(now, routed)
	if !ok {
		routed.declined = true
		b.declined = append(b.declined, routed)
		return
	}
	b.send(routed, choice)
}

// chooseEndpoint returns false if no endpoint is available, or if the run's key is new and no more keys can be
// retained.
func (b *Backend) chooseEndpoint(now microtime.Time, r *run) (loadbalancer.Choice, bool) {
	if r.keyed {
		sticky, ok := b.retries.StickyEndpoint(now, r.key)
		if !ok || sticky != "" {
			return loadbalancer.Choice{Endpoint: sticky}, ok
		}
	}
	return b.balancer.Pick(now, r.balancerRequest())
}

// send starts an attempt on a connection with capacity, or on a new one.
func (b *Backend) send(r *run, choice loadbalancer.Choice) {
	now := b.now()
	sent := &attempt{run: r, choice: choice, id: r.ID, startedAt: now}
	if r.attemptCount > 0 {
		sent.id = fmt.Sprintf("%016x", b.loop.Rand())
	}
	r.attemptCount++
	r.attempts = append(r.attempts, sent)
	r.tried = append(r.tried, choice.Endpoint)
	b.balancer.AttemptStarted(now, choice)
	r.hedgeAt = b.hedgeTime(now, r)

	e := b.endpoints.byName[choice.Endpoint]
	for _, c := range e.connections {
		if c.hasCapacity(now) {
			c.send(sent)
			return
		}
	}
	b.open(e, sent)
}

// hedgeTime returns when a hedged request may be sent for the attempt that was just started, or Never if none may be
// sent.
func (b *Backend) hedgeTime(now microtime.Time, r *run) microtime.Time {
	if !r.idempotent() || len(r.attempts) != 1 {
		return microtime.Never
	}
	delay := b.balancer.HedgeDelay(r.request.Class, hedgeQuantile)
	if delay == microtime.Never {
		return microtime.Never
	}
	return now + delay
}

// hedge sends a hedged request, if the retry budget allows it and the balancer prefers another endpoint.
func (b *Backend) hedge(r *run) {
	r.hedgeAt = microtime.Never
	choice, ok := b.balancer.Pick(b.now(), r.balancerRequest())
	if !ok || choice.Probe || choice.Endpoint == r.attempts[0].choice.Endpoint {
		return
	}
	if b.retries.SpendToken(b.now(), r.request.CallerID) {
		b.send(r, choice)
	}
}

// abandonAttempts abandons all attempts of a run that are in flight, with the given outcome.
func (b *Backend) abandonAttempts(r *run, outcome loadbalancer.Outcome) {
	for _, a := range r.attempts {
		a.connection.abandon(a)
		b.recordOutcome(a, loadbalancer.Result{
			Class:   r.request.Class,
			Outcome: outcome,
			Latency: b.now() - a.startedAt,
		})
	}
	r.attempts = nil
}

// recordOutcome reports the end of an attempt to the balancer and to the retry policy.
func (b *Backend) recordOutcome(ended *attempt, result loadbalancer.Result) {
	owner := ended.run
	outcome := result.Outcome
	b.balancer.AttemptEnded(b.now(), ended.choice, result)
	switch outcome {
	case loadbalancer.ConnectFailed, loadbalancer.ConnectionLost, loadbalancer.TimedOut:
		b.wastedAttempts++
	default:
	}
	if !ended.written {
		return
	}
	if !outcome.ProvesNotExecuted() && outcome != loadbalancer.Succeeded {
		owner.unproven++
	}
	if !owner.keyed {
		return
	}
	if outcome == loadbalancer.Cancelled {
		outcome = loadbalancer.TimedOut // the endpoint may have executed the attempt, and its reply will not be read
	}
	b.retries.RecordOutcome(owner.key, outcome)
}

// attemptEnded handles the end of an attempt: the run finishes, waits for its other attempt, is retried or is declined.
func (b *Backend) attemptEnded(ended *attempt, result loadbalancer.Result, body []byte) {
	owner := ended.run
	owner.attempts = slices.DeleteFunc(owner.attempts, func(a *attempt) bool { return a == ended })
	now := b.now()
	result.Class = owner.request.Class
	result.Latency = now - ended.startedAt
	b.recordOutcome(ended, result)
	if result.Outcome == loadbalancer.Succeeded {
		b.retries.RecordSuccess(now, owner.request.CallerID)
		b.abandonAttempts(owner, loadbalancer.Cancelled)
		b.finish(owner, dispatch.RunSucceeded, body)
		return
	}
	owner.retryAfter = result.RetryAfter
	owner.noRetry = result.NoRetry
	if len(owner.attempts) > 0 {
		return // the other attempt is still in flight
	}
	b.retryOrReport(ended, result)
}

// retryOrReport applies the retry policy to a run whose last attempt in flight did not succeed.
func (b *Backend) retryOrReport(failed *attempt, result loadbalancer.Result) {
	owner := failed.run
	now := b.now()
	decision := b.retries.Decide(now, loadbalancer.FailedAttempt{
		Caller:         owner.request.CallerID,
		Keyed:          owner.keyed,
		Idempotent:     owner.idempotent(),
		Key:            owner.key,
		Attempts:       owner.attemptCount,
		Outcome:        result.Outcome,
		NoRetry:        result.NoRetry,
		EarliestFinish: b.balancer.EarliestFinish(now, owner.balancerRequest()),
		Deadline:       owner.deadline,
	})
	switch decision {
	case loadbalancer.RetryElsewhere:
		b.route(owner)
	case loadbalancer.RetrySameEndpoint:
		owner.retryAt = now + sameEndpointRetryDelay
	case loadbalancer.ReportRejected:
		b.decline(owner)
	case loadbalancer.ReportIndeterminate:
		b.logf("upstream: not known whether an endpoint executed a run: run=%s endpoint=%s", owner.ID, failed.choice.Endpoint)
		b.finish(owner, dispatch.RunIndeterminate, nil)
	case loadbalancer.ReportFailed:
		b.finish(owner, dispatch.RunFailed, nil)
	}
}
