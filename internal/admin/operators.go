// Package admin answers the operators' calls: HTTP requests on a listener of their own, one on a connection.
package admin

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"pewterline/internal/protocol/adminhttp"
	"pewterline/internal/replication"
	"pewterline/internal/transport"
)

// Server is what operators may ask of the log server. All its methods are called on the loop.
type Server interface {
	State() State
	// SetInService takes the log server out of service, or in again. That is a word about health alone: what arrives is answered as
	// before. The error is ErrLeaving.
	SetInService(in bool) error
	Counters() Counters
}

// ErrDraining says that a server that has been told to leave cannot be taken in service again.
var ErrDraining = errors.New("leaving: the notice to leave has come, and there is no way back from it")

// State is what a server tells of itself.
type State struct {
	Ready     bool `json:"ready"`
	InService bool `json:"in_service"`
	Draining  bool `json:"leaving"`
}

// Counters are the figures, from the start of the process. A class that is gone keeps its own.
type Counters struct {
	Succeeded    map[string]int `json:"passed"`
	Rejected     map[string]int `json:"dropped"`
	Failed       map[string]int `json:"bad_gateway"`
	Attempts     int            `json:"upstream_tries"` // runs handed to the worker pool
	InProgress   int            `json:"in_progress"`
	Reloads      int            `json:"loads"`
	ReloadErrors int            `json:"load_errors"`
}

// Handler carries out calls.
type Handler struct {
	server Server
	held   *replication.Replica // copies, with a group of servers; nil: none
	logf   func(format string, args ...any)
}

// New returns a handler that knows of no copies.
func New(server Server, logf func(format string, args ...any)) *Handler {
	return &Handler{server: server, logf: logf}
}

// UseReplication has the handler take calls about the group that holds copies.
func (h *Handler) UseReplication(held *replication.Replica) { h.held = held }

// Accept gives an operator's connection its session.
func (h *Handler) Accept(conn transport.Conn) transport.Session {
	return &session{handler: h, conn: conn}
}

// call is one that operators may make.
type call struct {
	method string
	obey   func(h *Handler, query url.Values) (body any, err error)
}

var serverCalls = map[string]call{
	"/control/ready":          {http.MethodGet, (*Handler).ready},
	"/control/counters":       {http.MethodGet, (*Handler).counters},
	"/control/out-of-service": {http.MethodPut, (*Handler).takeOut},
	"/control/in-service":     {http.MethodPut, (*Handler).takeIn},
}

// obey carries out a call; it returns the whole answer. An error is of type *admin.Error.
func (h *Handler) obey(asked adminhttp.Request) ([]byte, error) {
	if c, ok := groupCalls[asked.Path]; ok && h.held != nil {
		return h.answer(c, asked)
	}
	c, ok := serverCalls[asked.Path]
	if !ok {
		return nil, &adminhttp.Error{Status: http.StatusNotFound, Text: fmt.Sprintf("%q: no such call", asked.Path)}
	}
	if asked.Method != http.MethodHead || c.method != http.MethodGet {
		return h.answer(c, asked)
	}
	asked.Method = http.MethodGet
	out, err := h.answer(c, asked)
	if err != nil {
		return nil, err
	}
	return adminhttp.WithoutBody(out), nil
}

func (h *Handler) answer(c call, asked adminhttp.Request) ([]byte, error) {
	if asked.Method != c.method {
		text := fmt.Sprintf("%s takes %s, not %s", asked.Path, c.method, asked.Method)
		return nil, &adminhttp.Error{Status: http.StatusMethodNotAllowed, Text: text, Allow: c.method}
	}
	body, err := c.obey(h, asked.Query)
	if err != nil {
		return nil, err
	}
	return adminhttp.AppendResponse(nil, http.StatusOK, "", body), nil
}

// ready says whether this process takes clients, in service or out: out of service, it takes whoever comes still.
func (h *Handler) ready(url.Values) (any, error) {
	state := h.server.State()
	if state.Draining {
		return nil, &adminhttp.Error{Status: http.StatusServiceUnavailable, Text: "leaving: the notice to leave has come"}
	}
	return state, nil
}

func (h *Handler) counters(url.Values) (any, error) { return h.server.Counters(), nil }

func (h *Handler) takeOut(url.Values) (any, error) { return h.setInService(false) }

func (h *Handler) takeIn(url.Values) (any, error) { return h.setInService(true) }

func (h *Handler) setInService(in bool) (any, error) {
	if err := h.server.SetInService(in); err != nil {
		return nil, &adminhttp.Error{Status: http.StatusConflict, Text: err.Error()}
	}
	return h.server.State(), nil
}

// session is an operator's connection, with one call on it.
type session struct {
	handler *Handler
	conn    transport.Conn
	done    bool
}

// Receive is part of transport.Session. A caller that never gets to the end of its call is a stranger, and goes as one.
func (s *session) Receive(in []byte) (int, error) {
	if s.done {
		return len(in), nil
	}
	asked, size, err := adminhttp.Parse(in)
	if err == nil && size == 0 {
		return 0, nil
	}
	var out []byte
	if err == nil {
		out, err = s.handler.obey(asked)
	}
	if wrong := (*adminhttp.Error)(nil); errors.As(err, &wrong) {
		s.handler.logf("admin: %s: %s %s: %v", s.conn.Remote(), asked.Method, asked.Path, wrong)
		out = adminhttp.AppendError(nil, wrong)
	}
	s.done = true
	s.conn.Write(out)
	s.conn.Close()
	return len(in), nil
}

// Idle is part of transport.Session.
func (s *session) Idle() bool { return true }

// Closed is part of transport.Session.
func (s *session) Closed() {}
