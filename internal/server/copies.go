package server

import (
	"errors"

	"pewterline/internal/decide/execution"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/replication"
	"pewterline/internal/transport"
)

const (
	// ReplicationListener is the index of the listener for the other servers of a group that holds copies.
	ReplicationListener = 5
	// leaveLead is how long before it is due a try hears what is known by then.
	leaveLead = 150 * microtime.Millisecond
)

// UseReplication has intakes put on record with a group of servers. It comes before Attach.
func (s *Server) UseReplication(h *replication.Replica) {
	s.held = h
	s.operators.UseReplication(h)
	s.core.UseExecutionStore(&copier{s, h})
}

// LongestRetention is the longest that any key is kept.
func (s *Server) LongestRetention() (most microtime.Time) {
	for _, c := range s.cfg.Settings.Classes {
		most = max(most, microtime.FromDuration(c.RetentionWindow))
	}
	return most
}

func (s *Server) acceptCopies(c transport.Conn) transport.Session { return s.held.Accept(c) }

// copier is the core's way to the group.
type copier struct {
	s *Server
	h *replication.Replica
}

// key names an intake for all servers: places of tenants may differ among them.
func (c *copier) key(in dispatch.KeyedRequest) string {
	tenant := ""
	if in.Tenant < len(c.s.cfg.Settings.Tenants) {
		tenant = c.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	return tenant + "\x00" + in.IdempotencyKey
}

func (c *copier) at(in dispatch.KeyedRequest) int64 {
	if in.ArrivedAtUnixMilli != 0 {
		return in.ArrivedAtUnixMilli
	}
	return c.s.wall.UnixMilli(in.ArrivedAt)
}

func (c *copier) window(in dispatch.KeyedRequest) int64 {
	return int64(microtime.FromDuration(c.s.cfg.Settings.Classes[in.Class].RetentionWindow) / microtime.Millisecond)
}

func (c *copier) due(in dispatch.KeyedRequest) microtime.Time {
	return in.ArrivedAt + microtime.FromDuration(c.s.cfg.Settings.Classes[in.Class].Deadline) - leaveLead
}

func (c *copier) attempt(in dispatch.KeyedRequest) replication.Attempt {
	return replication.Attempt{
		Key:            c.key(in),
		ArrivedAtMilli: c.at(in),
		RetentionMilli: c.window(in),
		Deadline:       c.due(in),
	}
}

// leave is what an outcome means for the core.
func (c *copier) leave(in dispatch.KeyedRequest, o replication.Outcome) dispatch.LeaseResult {
	switch o.Action {
	case execution.ActionStart:
		return dispatch.LeaseResult{Verdict: dispatch.VerdictGranted}
	case execution.ActionServe:
		return dispatch.LeaseResult{Verdict: dispatch.VerdictSucceeded, ArrivedAt: c.s.wall.FromUnixMilli(o.Value.AttemptedAt), Result: []byte(o.Value.Result)}
	case execution.ActionReportFailed:
		return dispatch.LeaseResult{Verdict: dispatch.VerdictFailed}
	case execution.ActionReject, execution.ActionReportCancelled:
		if in.Retry {
			// A try before this one may have run on a server that can't be asked: it is not told that it was turned away.
			return dispatch.LeaseResult{Verdict: dispatch.VerdictIndeterminate}
		}
		return dispatch.LeaseResult{Verdict: dispatch.VerdictUnavailable, Err: errors.New("no majority of its holders has answered in time")}
	}
	c.s.logf("copies: %q: not known whether it ran, until %d", in.IdempotencyKey, o.RetryAtMilli)
	return dispatch.LeaseResult{Verdict: dispatch.VerdictIndeterminate}
}

// Lookup is part of routing.Recorder. Callers mark further tries; what this server holds itself it need not be told.
func (c *copier) Lookup(in dispatch.KeyedRequest, done func(dispatch.LeaseResult)) bool {
	attempt := c.attempt(in)
	if !in.Retry && !c.h.HasRecord(attempt) {
		return false
	}
	c.h.Lookup(attempt, func(o replication.Outcome) { done(c.leave(in, o)) })
	return true
}

// Acquire is part of routing.Recorder. A leave that comes when the try is past its deadline is none: guards the window against a
// server that was stalled, and whose leave another has waited out since.
func (c *copier) Acquire(in dispatch.KeyedRequest, done func(dispatch.LeaseResult)) {
	attempt := c.attempt(in)
	c.h.AcquireLease(attempt, func(o replication.Outcome) {
		l := c.leave(in, o)
		if now := c.s.loop.Now(); l.Verdict == dispatch.VerdictGranted && now >= c.due(in)+leaveLead {
			c.h.ReleaseLease(attempt.Key)
			l = dispatch.LeaseResult{Verdict: dispatch.VerdictIndeterminate}
		}
		done(l)
	})
}

// Release is part of routing.Recorder.
func (c *copier) Release(in dispatch.KeyedRequest) { c.h.ReleaseLease(c.key(in)) }

// RecordFailure is part of routing.Recorder.
func (c *copier) RecordFailure(in dispatch.KeyedRequest) {
	c.h.Complete(c.key(in), false, nil, func(replication.Outcome) {})
}

// RecordResult is part of routing.Recorder.
func (c *copier) RecordResult(in dispatch.KeyedRequest, done func(error)) {
	c.h.Complete(c.key(in), true, in.Result, func(o replication.Outcome) {
		if o.Action != execution.ActionServe {
			done(errors.New("copies: no majority of its holders has taken the result in time"))
			return
		}
		done(nil)
	})
}
