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
	// CopiesListener is the index of the listener for the other servers of a group that holds copies.
	CopiesListener = 5
	// leaveLead is how long before it is due a try hears what is known by then.
	leaveLead = 150 * micro.Millisecond
)

// UseCopies has intakes put on record with a group of servers. It comes before Attach.
func (s *Server) UseCopies(h *holdings.Holdings) {
	s.held = h
	s.operators.UseCopies(h)
	s.core.UseRecorder(&copier{s, h})
}

// Window is the longest that any key is kept.
func (s *Server) Window() (most micro.Time) {
	for _, c := range s.cfg.Settings.Classes {
		most = max(most, micro.Of(c.Window))
	}
	return most
}

func (s *Server) acceptCopies(c transport.Link) transport.Session { return s.held.Accept(c) }

// copier is the core's way to the group.
type copier struct {
	s *Server
	h *holdings.Holdings
}

// key names an intake for all servers: places of tenants may differ among them.
func (c *copier) key(in routing.Intake) string {
	tenant := ""
	if in.Tenant < len(c.s.cfg.Settings.Tenants) {
		tenant = c.s.cfg.Settings.Tenants[in.Tenant].Name
	}
	return tenant + "\x00" + in.Once
}

func (c *copier) at(in routing.Intake) int64 {
	if in.AtMilli != 0 {
		return in.AtMilli
	}
	return c.s.wall.UnixMilli(in.At)
}

func (c *copier) window(in routing.Intake) int64 {
	return int64(micro.Of(c.s.cfg.Settings.Classes[in.Class].Window) / micro.Millisecond)
}

func (c *copier) due(in routing.Intake) micro.Time {
	return in.At + micro.Of(c.s.cfg.Settings.Classes[in.Class].Deadline) - leaveLead
}

// leave is what an outcome means for the core.
func (c *copier) leave(in routing.Intake, o holdings.Outcome) routing.Leave {
	switch o.Do {
	case ledger.Start:
		return routing.Leave{Word: routing.MayRun}
	case ledger.Serve:
		return routing.Leave{Word: routing.HasRun, At: c.s.wall.FromUnixMilli(o.Value.At), Result: []byte(o.Value.Result)}
	case ledger.SayFailed:
		return routing.Leave{Word: routing.HasFailed}
	case ledger.Refuse, ledger.SayUnneeded:
		if in.Retry {
			// A try before this one may have run on a server that can't be asked: it is not told that it was turned away.
			return routing.Leave{Word: routing.NotKnown}
		}
		return routing.Leave{Word: routing.NoRecord, Err: errors.New("no majority of its holders has answered in time")}
	}
	c.s.logf("copies: %q: not known whether it ran, until %d", in.Once, o.Until)
	return routing.Leave{Word: routing.NotKnown}
}

// Find is part of routing.Recorder. Callers mark further tries; what this server holds itself it need not be told.
func (c *copier) Find(in routing.Intake, done func(routing.Leave)) bool {
	key, at, window := c.key(in), c.at(in), c.window(in)
	if !in.Retry && !c.h.Holds(key, at, window) {
		return false
	}
	c.h.Look(key, at, window, c.due(in), func(o holdings.Outcome) { done(c.leave(in, o)) })
	return true
}

// Intend is part of routing.Recorder. A leave that comes when the try is past its deadline is none: guards the window against a
// server that was stalled, and whose leave another has waited out since.
func (c *copier) Intend(in routing.Intake, done func(routing.Leave)) {
	key := c.key(in)
	c.h.Leave(key, c.at(in), c.window(in), c.due(in), func(o holdings.Outcome) {
		l := c.leave(in, o)
		if now := c.s.loop.Now(); l.Word == routing.MayRun && now >= c.due(in)+leaveLead {
			c.h.Taken(key, false)
			l = routing.Leave{Word: routing.NotKnown}
		}
		done(l)
	})
}

// Void is part of routing.Recorder.
func (c *copier) Void(in routing.Intake) { c.h.Taken(c.key(in), false) }

// Fail is part of routing.Recorder.
func (c *copier) Fail(in routing.Intake) {
	c.h.End(c.key(in), false, nil, func(holdings.Outcome) {})
}

// Record is part of routing.Recorder.
func (c *copier) Record(in routing.Intake, done func(error)) {
	c.h.End(c.key(in), true, in.Result, func(o holdings.Outcome) {
		if o.Do != ledger.Serve {
			done(errors.New("copies: no majority of its holders has taken the result in time"))
			return
		}
		done(nil)
	})
}
