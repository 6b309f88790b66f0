package edge

import (
	"errors"

	"pewterline/internal/decide/ledger"
	"pewterline/internal/holdings"
	"pewterline/internal/micro"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

const (
	// ReplicationListener is the index of the listener for the other servers of a group that holds copies.
	ReplicationListener = 5
	// leaveLead is how long before it is due a try hears what is known by then.
	leaveLead = 150 * micro.Millisecond
)

// UseReplication has intakes put on record with a group of servers. It comes before Attach.
func (s *Server) UseReplication(h *holdings.Replica) {
	s.held = h
	s.operators.UseReplication(h)
	s.core.UseExecutionStore(&copier{s, h})
}

// LongestRetention is the longest that any key is kept.
func (s *Server) LongestRetention() (most micro.Time) {
	for _, c := range s.cfg.Settings.Classes {
		most = max(most, micro.FromDuration(c.RetentionWindow))
	}
	return most
}

func (s *Server) acceptCopies(c transport.Conn) transport.Session { return s.held.Accept(c) }

// copier is the core's way to the group.
type copier struct {
	s *Server
	h *holdings.Replica
}

// key names an intake for all servers: places of tenants may differ among them.
func (c *copier) key(in routing.KeyedRequest) string {
	tenant := ""
	if in.Tenant < len(c.s.cfg.Settings.Tenants) {
		tenant = c.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	return tenant + "\x00" + in.IdempotencyKey
}

func (c *copier) at(in routing.KeyedRequest) int64 {
	if in.ArrivedAtUnixMilli != 0 {
		return in.ArrivedAtUnixMilli
	}
	return c.s.wall.UnixMilli(in.ArrivedAt)
}

func (c *copier) window(in routing.KeyedRequest) int64 {
	return int64(micro.FromDuration(c.s.cfg.Settings.Classes[in.Class].RetentionWindow) / micro.Millisecond)
}

func (c *copier) due(in routing.KeyedRequest) micro.Time {
	return in.ArrivedAt + micro.FromDuration(c.s.cfg.Settings.Classes[in.Class].Deadline) - leaveLead
}

// leave is what an outcome means for the core.
func (c *copier) leave(in routing.KeyedRequest, o holdings.Outcome) routing.LeaseResult {
	switch o.Action {
	case ledger.ActionStart:
		return routing.LeaseResult{Verdict: routing.VerdictGranted}
	case ledger.ActionServe:
		return routing.LeaseResult{Verdict: routing.VerdictSucceeded, ArrivedAt: c.s.wall.FromUnixMilli(o.Value.AttemptedAt), Result: []byte(o.Value.Result)}
	case ledger.ActionReportFailed:
		return routing.LeaseResult{Verdict: routing.VerdictFailed}
	case ledger.ActionReject, ledger.ActionReportCancelled:
		if in.Retry {
			// A try before this one may have run on a server that can't be asked: it is not told that it was turned away.
			return routing.LeaseResult{Verdict: routing.VerdictIndeterminate}
		}
		return routing.LeaseResult{Verdict: routing.VerdictUnavailable, Err: errors.New("no majority of its holders has answered in time")}
	}
	c.s.logf("copies: %q: not known whether it ran, until %d", in.IdempotencyKey, o.RetryAtMilli)
	return routing.LeaseResult{Verdict: routing.VerdictIndeterminate}
}

// Lookup is part of routing.Recorder. Callers mark further tries; what this server holds itself it need not be told.
func (c *copier) Lookup(in routing.KeyedRequest, done func(routing.LeaseResult)) bool {
	key, at, window := c.key(in), c.at(in), c.window(in)
	if !in.Retry && !c.h.HasRecord(key, at, window) {
		return false
	}
	c.h.Lookup(key, at, window, c.due(in), func(o holdings.Outcome) { done(c.leave(in, o)) })
	return true
}

// Acquire is part of routing.Recorder. A leave that comes when the try is past its deadline is none: guards the window against a
// server that was stalled, and whose leave another has waited out since.
func (c *copier) Acquire(in routing.KeyedRequest, done func(routing.LeaseResult)) {
	key := c.key(in)
	c.h.AcquireLease(key, c.at(in), c.window(in), c.due(in), func(o holdings.Outcome) {
		l := c.leave(in, o)
		if now := c.s.loop.Now(); l.Verdict == routing.VerdictGranted && now >= c.due(in)+leaveLead {
			c.h.ReleaseLease(key, false)
			l = routing.LeaseResult{Verdict: routing.VerdictIndeterminate}
		}
		done(l)
	})
}

// Release is part of routing.Recorder.
func (c *copier) Release(in routing.KeyedRequest) { c.h.ReleaseLease(c.key(in), false) }

// RecordFailure is part of routing.Recorder.
func (c *copier) RecordFailure(in routing.KeyedRequest) {
	c.h.Complete(c.key(in), false, nil, func(holdings.Outcome) {})
}

// RecordResult is part of routing.Recorder.
func (c *copier) RecordResult(in routing.KeyedRequest, done func(error)) {
	c.h.Complete(c.key(in), true, in.Result, func(o holdings.Outcome) {
		if o.Action != ledger.ActionServe {
			done(errors.New("copies: no majority of its holders has taken the result in time"))
			return
		}
		done(nil)
	})
}
