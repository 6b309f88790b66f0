package replication

import (
	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/execution"
)

// AcquireLease requests the lease to run an attempt. done is called once, on the event loop, by the deadline or shortly
// after it: with ActionStart if the lease is granted, ActionServe or ActionReportFailed if an earlier run has ended,
// ActionReject if the attempt has not run and will not run, and ActionReportIndeterminate otherwise. The caller must
// have at most one attempt of a key in progress.
func (r *Replica) AcquireLease(attempt Attempt, done func(Outcome)) {
	request := r.requests.findOrCreate(attempt.Key)
	request.attempt = attempt
	request.done = done
	request.lastArrival = max(attempt.ArrivedAtMilli, request.lastArrival)
	switch request.lifecycle.State {
	case execution.StateIdle, execution.StateReleasing, execution.StateRecorded:
		r.step(request, execution.EventAttemptArrived, consensus.Value{})
	default:
		r.config.Logf("replication: lease requested in an unexpected state: key=%q state=%v",
			attempt.Key, request.lifecycle.State)
		r.report(request, execution.ActionReportIndeterminate, consensus.Value{})
	}
}

// ReleaseLease releases a lease that was granted but not used for a run.
func (r *Replica) ReleaseLease(key string) {
	if request := r.requests.byKey[key]; request != nil {
		r.step(request, execution.EventRunNotStarted, consensus.Value{})
	}
}

// Complete records the end of a run under a lease. done is called once, on the event loop: with ActionServe,
// ActionReportFailed or ActionReportUnrecorded.
func (r *Replica) Complete(key string, succeeded bool, result []byte, done func(Outcome)) {
	request := r.requests.byKey[key]
	if request == nil || !mayComplete(request.lifecycle.State) {
		r.config.Logf("replication: run ended without a lease: key=%q", key)
		done(Outcome{Action: execution.ActionReportUnrecorded})
		return
	}
	request.succeeded = succeeded
	request.result = string(result)
	request.done = done
	event := execution.EventRunFailed
	switch {
	case request.lifecycle.State == execution.StateUnrecorded:
		event = execution.EventRetryDue
	case succeeded:
		event = execution.EventRunSucceeded
	}
	r.step(request, event, consensus.Value{})
}

// mayComplete reports whether Complete is valid in a state. The states after StateRunning are valid because a caller
// may repeat its report.
func mayComplete(state execution.State) bool {
	switch state {
	case execution.StateRunning, execution.StateRecording, execution.StateUnrecorded, execution.StateRecorded:
		return true
	default:
		return false
	}
}

// Lookup reads the agreed value of a key without requesting the lease. done is called once, on the event loop: with
// ActionStart if no record prevents a run, otherwise with ActionServe, ActionReportFailed or ActionReportIndeterminate.
func (r *Replica) Lookup(attempt Attempt, done func(Outcome)) {
	request := r.requests.create(attempt.Key)
	request.lookupOnly = true
	request.attempt = attempt
	request.done = done
	request.lifecycle.State = execution.StateHeldByOther // in this state a due retry polls the value
	r.step(request, execution.EventRetryDue, consensus.Value{})
}

// HasRecord reports whether this server stores a value of the key whose retention window had not ended when the attempt
// arrived.
func (r *Replica) HasRecord(attempt Attempt) bool {
	value := r.node.Register(attempt.Key).Value
	return value.Kind != consensus.KindNone && attempt.ArrivedAtMilli < value.AttemptedAt+attempt.RetentionMilli
}

// step applies an event to a request and performs the resulting actions. If the event is the end of a proposal, value
// is the value that the group has agreed on.
func (r *Replica) step(request *keyedRequest, event execution.Event, value consensus.Value) {
	previous := request.lifecycle.State
	if value.Kind == consensus.KindLeased {
		request.leasedArrival = value.AttemptedAt
	}
	if request.lookupOnly && previous == execution.StatePolling && event == execution.EventVacant {
		delete(r.requests.waiting, request)
		r.report(request, execution.ActionStart, value)
		return
	}
	actions := request.lifecycle.Step(event)
	r.requests.update(request)
	// The caller is told last: it may request the lease for another attempt at once, which must follow the proposals of
	// this event.
	var reports []execution.Action
	for _, action := range actions {
		if !r.perform(request, action) {
			reports = append(reports, action)
		}
	}
	for _, action := range reports {
		r.countSuccess(action, previous)
		r.report(request, action, value)
	}
}

// perform performs an action. It returns false if the action is a report to the caller.
func (r *Replica) perform(request *keyedRequest, action execution.Action) bool {
	change := consensus.Change{AttemptedAt: request.attempt.ArrivedAtMilli, Retention: request.attempt.RetentionMilli}
	switch action {
	case execution.ActionAcquireLease:
		r.counters.LeasesRequested++
		change.Kind = consensus.AcquireLease
		change.NeverStarted = !request.lifecycle.Started
		r.propose(request, change)
	case execution.ActionPoll:
		change.Kind = consensus.ReadValue
		r.propose(request, change)
	case execution.ActionRecord:
		change.Kind = consensus.RecordResult
		change.Attempt = request.leaseProposal
		change.Succeeded = request.succeeded
		change.Result = request.result
		r.propose(request, change)
	case execution.ActionReleaseLease:
		change.Kind = consensus.ReleaseLease
		change.Attempt = request.leaseProposal
		r.propose(request, change)
	case execution.ActionRetryLater:
		request.scheduleRetry(r.loop.Now())
	default:
		return false
	}
	return true
}

// countSuccess counts granted leases and results. report counts the other outcomes.
func (r *Replica) countSuccess(action execution.Action, previous execution.State) {
	switch {
	case action == execution.ActionStart:
		r.counters.LeasesGranted++
	case action == execution.ActionServe && previous == execution.StateRecording:
		r.counters.ResultsReplicated++
	case action == execution.ActionServe:
		r.counters.ResultsFound++
	}
}

// report passes the outcome to the caller that waits for a request, if there is one.
func (r *Replica) report(request *keyedRequest, action execution.Action, value consensus.Value) {
	outcome := Outcome{Action: action, Value: value}
	switch action {
	case execution.ActionReportIndeterminate:
		r.counters.OutcomesUnknown++
		if request.leasedArrival != 0 {
			outcome.RetryAtMilli = request.leasedArrival + request.attempt.RetentionMilli
		}
	case execution.ActionReportUnrecorded:
		r.counters.ResultsAtRisk++
	case execution.ActionReject:
		r.counters.RejectedUnreplicated++
	default: // counted by countSuccess, or not counted
	}
	done := request.done
	request.done = nil
	if done != nil {
		done(outcome)
	}
}

// propose starts a proposal for a request. If the proposal cannot be started, the request is handled as if no majority
// had replied.
func (r *Replica) propose(request *keyedRequest, change consensus.Change) {
	id, err := r.node.Propose(r.loop.Now(), request.key, change)
	if err != nil {
		r.step(request, execution.EventUnavailable, consensus.Value{})
		return
	}
	if change.Kind == consensus.AcquireLease {
		request.leaseProposal = id
	}
	r.requests.addProposal(id, request)
	r.flush()
}
