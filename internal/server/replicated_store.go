package server

import (
	"errors"

	"pewterline/internal/decide/execution"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/replication"
)

// leaseAnswerLead is how long before its deadline an attempt is answered, even if the group has not reached a quorum.
// It leaves time for the response to reach the caller.
const leaseAnswerLead = 150 * microtime.Millisecond

// The errors of a replication group without a quorum.
var (
	errLeaseNoQuorum  = errors.New("replication: lease: no quorum of the key's replicas answered in time")
	errResultNoQuorum = errors.New("replication: record result: no quorum of the key's replicas accepted it in time")
)

// replicatedStore implements dispatch.ExecutionStore with a replication group.
type replicatedStore struct {
	server  *Server
	replica *replication.Replica
}

// key identifies an execution within the group. It contains the tenant's name rather than its index, because another
// member's settings may list the tenants in another order.
func (r *replicatedStore) key(request dispatch.KeyedRequest) string {
	return r.server.tenantName(request.Tenant) + "\x00" + request.IdempotencyKey
}

// arrivedAtMilli returns when the request arrived, in Unix milliseconds: the time that the caller states, if any, or
// else the time at which this server read the request.
func (r *replicatedStore) arrivedAtMilli(request dispatch.KeyedRequest) int64 {
	if request.ArrivedAtUnixMilli != 0 {
		return request.ArrivedAtUnixMilli
	}
	return r.server.clock.UnixMilli(request.ArrivedAt)
}

func (r *replicatedStore) deadline(request dispatch.KeyedRequest) microtime.Time {
	class := &r.server.cfg.Settings.Classes[request.Class]
	return request.ArrivedAt + microtime.FromDuration(class.Deadline)
}

// attempt converts a request to an attempt of the replication group, which the group answers leaseAnswerLead before the
// request's deadline.
func (r *replicatedStore) attempt(request dispatch.KeyedRequest) replication.Attempt {
	class := &r.server.cfg.Settings.Classes[request.Class]
	return replication.Attempt{
		Key:            r.key(request),
		ArrivedAtMilli: r.arrivedAtMilli(request),
		RetentionMilli: int64(microtime.FromDuration(class.RetentionWindow) / microtime.Millisecond),
		Deadline:       r.deadline(request) - leaseAnswerLead,
	}
}

// leaseResult converts an outcome of the replication group to a lease result of the core.
func (r *replicatedStore) leaseResult(
	request dispatch.KeyedRequest, outcome replication.Outcome,
) dispatch.LeaseResult {
	switch outcome.Action {
	case execution.ActionStart:
		return dispatch.LeaseResult{Verdict: dispatch.VerdictGranted}
	case execution.ActionServe:
		return dispatch.LeaseResult{
			Verdict:   dispatch.VerdictSucceeded,
			ArrivedAt: r.server.clock.FromUnixMilli(outcome.Value.AttemptedAt),
			Result:    []byte(outcome.Value.Result),
		}
	case execution.ActionReportFailed:
		return dispatch.LeaseResult{Verdict: dispatch.VerdictFailed}
	case execution.ActionReject:
		if request.Retry {
			// An earlier attempt may have run on a member that cannot be reached, so this one must not claim that the
			// request was rejected.
			return dispatch.LeaseResult{Verdict: dispatch.VerdictIndeterminate}
		}
		return dispatch.LeaseResult{Verdict: dispatch.VerdictUnavailable, Err: errLeaseNoQuorum}
	default:
		r.server.logf("replication: not known whether the request ran: key=%q until_unix_ms=%d",
			request.IdempotencyKey, outcome.RetryAtMilli)
		return dispatch.LeaseResult{Verdict: dispatch.VerdictIndeterminate}
	}
}

// Lookup implements dispatch.ExecutionStore. The group is asked only about requests that the caller marks as retries,
// and about keys of which this server has a record.
func (r *replicatedStore) Lookup(request dispatch.KeyedRequest, done func(dispatch.LeaseResult)) bool {
	attempt := r.attempt(request)
	if !request.Retry && !r.replica.HasRecord(attempt) {
		return false
	}
	r.replica.Lookup(attempt, func(outcome replication.Outcome) {
		result := r.leaseResult(request, outcome)
		if result.Verdict == dispatch.VerdictGranted { // A lookup acquires no lease.
			result.Verdict = dispatch.VerdictUnknown
		}
		done(result)
	})
	return true
}

// Acquire implements dispatch.ExecutionStore. A lease that is granted after the attempt's deadline is released unused:
// this server may have stalled meanwhile, and another one may have run the request after the lease expired.
func (r *replicatedStore) Acquire(request dispatch.KeyedRequest, done func(dispatch.LeaseResult)) {
	attempt := r.attempt(request)
	r.replica.AcquireLease(attempt, func(outcome replication.Outcome) {
		result := r.leaseResult(request, outcome)
		late := r.server.loop.Now() >= r.deadline(request)
		if result.Verdict == dispatch.VerdictGranted && late {
			r.replica.ReleaseLease(attempt.Key)
			result = dispatch.LeaseResult{Verdict: dispatch.VerdictIndeterminate}
		}
		done(result)
	})
}

// ReleaseLease implements dispatch.ExecutionStore.
func (r *replicatedStore) ReleaseLease(request dispatch.KeyedRequest) {
	r.replica.ReleaseLease(r.key(request))
}

// RecordFailure implements dispatch.ExecutionStore.
func (r *replicatedStore) RecordFailure(request dispatch.KeyedRequest) {
	r.replica.Complete(r.key(request), false, nil, func(replication.Outcome) {})
}

// RecordResult implements dispatch.ExecutionStore.
func (r *replicatedStore) RecordResult(request dispatch.KeyedRequest, done func(error)) {
	r.replica.Complete(r.key(request), true, request.Result, func(outcome replication.Outcome) {
		if outcome.Action != execution.ActionServe {
			done(errResultNoQuorum)
			return
		}
		done(nil)
	})
}
