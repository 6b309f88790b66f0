package edge

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"pewterline/internal/decide/copies"
	"pewterline/internal/decide/ledger"
	"pewterline/internal/holdings"
	"pewterline/internal/micro"
	"pewterline/internal/protocol/admin"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

const (
	// CopiesListener is the index of the listener for the other servers of a group that holds copies.
	CopiesListener = 5
	// leaveLead is how long before it is due a try hears what is known by then.
	leaveLead  = 150 * micro.Millisecond
	exportMost = 100 // keys of one answer
)

// UseCopies has intakes put on record with a group of servers. It comes before Attach.
func (s *Server) UseCopies(h *holdings.Holdings) {
	s.held = h
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

// The operators' calls about copies.
type copiesState struct {
	ID       uint32            `json:"id"`
	Life     string            `json:"life"`
	Group    string            `json:"group"`
	Epoch    uint64            `json:"epoch"`
	Copies   int               `json:"copies"`
	Changing bool              `json:"changing"`
	Marked   int               `json:"changing_marked"` // members that have brought on what they hold
	Why      string            `json:"why"`
	Lost     int64             `json:"lost_ms"`
	Voting   bool              `json:"voting"`
	Members  []holdings.Member `json:"members"`
	Counters holdings.Counters `json:"counters"`
}

func (s *Server) copiesState(url.Values) (any, error) {
	g, v := s.held.Group(), s.held.View()
	return copiesState{ID: v.Self.ID, Life: fmt.Sprintf("%x", v.Self.Life), Group: fmt.Sprintf("%x", g.Name), Epoch: g.Epoch, Copies: g.Copies, Changing: len(g.Next) > 0,
		Marked: v.Marked, Why: g.Why, Lost: g.Lost, Voting: v.Voting, Members: v.Members, Counters: s.held.Count()}, nil
}

func number(q url.Values, name string) (uint32, error) {
	n, err := strconv.ParseUint(q.Get(name), 10, 32)
	if err != nil || n == 0 {
		return 0, &admin.Error{Status: http.StatusBadRequest, Text: fmt.Sprintf("%s: %q is not the number of a server", name, q.Get(name))}
	}
	return uint32(n), nil
}

// changed tells what a change of members has come to.
func (s *Server) changed(err error) (any, error) {
	switch {
	case err == nil:
		return s.copiesState(nil)
	case errors.Is(err, copies.ErrChanging), errors.Is(err, copies.ErrMember), errors.Is(err, copies.ErrNoGroup):
		return nil, &admin.Error{Status: http.StatusConflict, Text: err.Error()}
	}
	return nil, &admin.Error{Status: http.StatusBadRequest, Text: err.Error()}
}

var copiesCalls = map[string]struct {
	method string
	obey   func(*Server, url.Values) (any, error)
}{
	"/control/copies":         {http.MethodGet, (*Server).copiesState},
	"/control/copies/found":   {http.MethodPut, func(s *Server, _ url.Values) (any, error) { return s.changed(s.held.Found()) }},
	"/control/copies/give-up": {http.MethodPut, func(s *Server, _ url.Values) (any, error) { return s.changed(s.held.GiveUp()) }},
	"/control/copies/repair": {http.MethodPut, func(s *Server, _ url.Values) (any, error) {
		s.held.Repair()
		return s.copiesState(nil)
	}},
	"/control/copies/add": {http.MethodPut, func(s *Server, q url.Values) (any, error) {
		id, err := number(q, "id")
		if err != nil {
			return nil, err
		}
		return s.changed(s.held.Add(id, q.Get("address"), q.Get("why")))
	}},
	"/control/copies/remove": {http.MethodPut, func(s *Server, q url.Values) (any, error) {
		id, err := number(q, "id")
		if err != nil {
			return nil, err
		}
		return s.changed(s.held.Remove(id, q.Get("why")))
	}},
	"/control/copies/force": {http.MethodPut, func(s *Server, q url.Values) (any, error) {
		var keep []uint32
		for _, text := range strings.Split(q.Get("keep"), ",") {
			id, err := number(url.Values{"keep": {text}}, "keep")
			if err != nil {
				return nil, err
			}
			keep = append(keep, id)
		}
		return s.changed(s.held.Force(slices.Compact(keep), q.Get("why")))
	}},
	"/control/copies/export": {http.MethodGet, func(s *Server, q url.Values) (any, error) {
		return s.held.Export(q.Get("after"), exportMost), nil
	}},
}

// obeyCopies carries out an operator's call about copies; false where it is none.
func (s *Server) obeyCopies(c admin.Call) (body any, known bool, err error) {
	call, ok := copiesCalls[c.Path]
	switch {
	case !ok || s.held == nil:
		return nil, false, nil
	case c.Method != call.method:
		return nil, true, &admin.Error{Status: http.StatusMethodNotAllowed, Text: fmt.Sprintf("%s takes %s, not %s", c.Path, call.method, c.Method), Allow: call.method}
	}
	body, err = call.obey(s, c.Query)
	return body, true, err
}
