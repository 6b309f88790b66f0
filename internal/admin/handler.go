// Package admin answers the requests of operators: HTTP on a listener of its own, one request on a connection. Package
// server passes connections to it and implements its Server interface. Package adminhttp parses and encodes the
// messages. The package owns only the routes; it takes no part in requests of clients.
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

// Server is the part of the log server that operators see and control. All its methods are called on the event loop.
type Server interface {
	State() State
	// SetInService takes the log server out of service, or into service again. This changes only its reported health:
	// requests are answered as before. The error is ErrDraining.
	SetInService(inService bool) error
	Counters() Counters
}

// ErrDraining means that a draining server cannot be taken into service again.
var ErrDraining = errors.New("leaving: the notice to leave has come, and there is no way back from it")

// State is the state of a server in a response.
type State struct {
	Ready     bool `json:"ready"`
	InService bool `json:"in_service"`
	Draining  bool `json:"leaving"`
}

// Counters are the counts since the start of the process. The maps are by class and include the classes that a reload
// has removed.
type Counters struct {
	Succeeded    map[string]int `json:"passed"`
	Rejected     map[string]int `json:"dropped"`
	Failed       map[string]int `json:"bad_gateway"`
	Attempts     int            `json:"upstream_tries"` // runs that were handed to the backend
	InProgress   int            `json:"in_progress"`
	Reloads      int            `json:"loads"`
	ReloadErrors int            `json:"load_errors"`
}

// Handler handles the requests of operators. Its methods are called on the event loop.
type Handler struct {
	server  Server
	replica *replication.Replica // nil unless the server belongs to a replication group
	logf    func(format string, args ...any)
}

// New returns a handler without the routes about a replication group.
func New(server Server, logf func(format string, args ...any)) *Handler {
	return &Handler{server: server, logf: logf}
}

// UseReplication enables the routes about the replication group.
func (h *Handler) UseReplication(replica *replication.Replica) { h.replica = replica }

// Accept returns the session of an operator's connection.
func (h *Handler) Accept(conn transport.Conn) transport.Session {
	return &session{handler: h, conn: conn}
}

// route is the method and the handler of a path. An error of the handler is of type *adminhttp.Error.
type route struct {
	method string
	handle func(h *Handler, query url.Values) (body any, err error)
}

// serverRoutes maps paths to the routes about the server.
var serverRoutes = map[string]route{
	"/control/ready":          {http.MethodGet, (*Handler).ready},
	"/control/counters":       {http.MethodGet, (*Handler).counters},
	"/control/out-of-service": {http.MethodPut, (*Handler).takeOutOfService},
	"/control/in-service":     {http.MethodPut, (*Handler).takeInService},
}

// serve handles a request and returns the encoded response. An error is of type *adminhttp.Error.
func (h *Handler) serve(request adminhttp.Request) ([]byte, error) {
	if groupRoute, ok := groupRoutes[request.Path]; ok && h.replica != nil {
		return h.respond(groupRoute, request)
	}
	serverRoute, ok := serverRoutes[request.Path]
	if !ok {
		text := fmt.Sprintf("%q: no such call", request.Path)
		return nil, &adminhttp.Error{Status: http.StatusNotFound, Text: text}
	}
	if request.Method != http.MethodHead || serverRoute.method != http.MethodGet {
		return h.respond(serverRoute, request)
	}
	request.Method = http.MethodGet
	response, err := h.respond(serverRoute, request)
	if err != nil {
		return nil, err
	}
	return adminhttp.WithoutBody(response), nil
}

// respond handles a request whose route is known.
func (h *Handler) respond(matched route, request adminhttp.Request) ([]byte, error) {
	if request.Method != matched.method {
		text := fmt.Sprintf("%s takes %s, not %s", request.Path, matched.method, request.Method)
		return nil, &adminhttp.Error{Status: http.StatusMethodNotAllowed, Text: text, Allow: matched.method}
	}
	body, err := matched.handle(h, request.Query)
	if err != nil {
		return nil, err
	}
	return adminhttp.AppendResponse(nil, http.StatusOK, "", body), nil
}

// ready reports whether this process accepts clients. It does so even when out of service, but not while draining.
func (h *Handler) ready(url.Values) (any, error) {
	state := h.server.State()
	if state.Draining {
		text := "leaving: the notice to leave has come"
		return nil, &adminhttp.Error{Status: http.StatusServiceUnavailable, Text: text}
	}
	return state, nil
}

func (h *Handler) counters(url.Values) (any, error) { return h.server.Counters(), nil }

func (h *Handler) takeOutOfService(url.Values) (any, error) { return h.setInService(false) }

func (h *Handler) takeInService(url.Values) (any, error) { return h.setInService(true) }

func (h *Handler) setInService(inService bool) (any, error) {
	if err := h.server.SetInService(inService); err != nil {
		return nil, &adminhttp.Error{Status: http.StatusConflict, Text: err.Error()}
	}
	return h.server.State(), nil
}
