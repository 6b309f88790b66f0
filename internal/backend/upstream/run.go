package upstream

import (
	"pewterline/control"
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
)

// run is a run that has not ended.
type run struct {
	orderedset.Position
	dispatch.Run
	request  *dispatch.Request
	class    control.Class
	deadline microtime.Time
	keyed    bool // its class is idempotent by key: the request must run at most once in the retention window
	key      loadbalancer.IdempotencyKey

	attempts     []*attempt // in flight
	attemptCount int        // so far
	unproven     int        // attempts that were written and ended without proof that they were not executed
	tried        []string   // the names of the endpoints of all attempts

	hedgeAt    microtime.Time // when a hedged request may be sent; Never: no hedged request is sent
	retryAt    microtime.Time // when the next attempt is due; Never: an attempt is in flight
	retryAfter microtime.Time // of the last rejection
	noRetry    bool           // of the last rejection
	declined   bool           // no endpoint is available
}

func newRun(started dispatch.Run, class control.Class) *run {
	request := started.Request
	return &run{
		Run:      started,
		request:  request,
		class:    class,
		deadline: request.ArrivedAt + microtime.FromDuration(class.Deadline),
		keyed:    class.Idempotency == control.IdempotentByKey,
		key:      loadbalancer.IdempotencyKey{Tenant: request.Tenant, Value: request.IdempotencyKey},
		hedgeAt:  microtime.Never,
		retryAt:  microtime.Never,
	}
}

func (r *run) idempotent() bool { return r.class.Idempotency == control.Idempotent }

// outcomeWithoutResult returns the outcome of a run that ends without a result: the given outcome, or RunIndeterminate
// if the run is keyed and may have been executed.
func (r *run) outcomeWithoutResult(outcome dispatch.RunOutcome) dispatch.RunOutcome {
	if r.keyed && r.unproven > 0 {
		return dispatch.RunIndeterminate
	}
	return outcome
}

// balancerRequest returns the properties of the run that the choice of an endpoint depends on.
func (r *run) balancerRequest() loadbalancer.Request {
	return loadbalancer.Request{
		Class:      r.request.Class,
		Idempotent: r.idempotent(),
		Cheap:      r.idempotent(),
		Exclude:    r.tried,
	}
}

// isRetry reports whether an endpoint may have seen the request before.
func (r *run) isRetry() bool { return r.attemptCount > 1 || r.request.Retry }
