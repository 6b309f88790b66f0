package edge

import (
	"errors"
	"fmt"
	"net/http"

	"pewterline/internal/protocol/admin"
	"pewterline/internal/protocol/upgrade"
	"pewterline/internal/transport"
)

const (
	// AdminListener is the index of the operators' listener.
	AdminListener = 3
	// AdminConns are the connections that operators may have open at once. They come out of the descriptors that are left
	// beside those of proxies.
	AdminConns = 16
)

// adminSession is an operator's connection, with one call on it.
type adminSession struct {
	s    *Server
	conn transport.Link
	done bool
}

// Receive is part of transport.Session. A caller that never gets to the end of its call is a stranger, and goes as one.
func (a *adminSession) Receive(in []byte) (int, error) {
	if a.done {
		return len(in), nil
	}
	call, size, err := admin.Parse(in)
	if err == nil && size == 0 {
		return 0, nil
	}
	var out []byte
	if err == nil {
		out, err = a.s.obey(call)
	}
	if wrong := (*admin.Error)(nil); errors.As(err, &wrong) {
		a.s.logf("admin: %s: %s %s: %v", a.conn.Remote(), call.Method, call.Path, wrong)
		out = admin.AppendError(nil, wrong)
	}
	a.done = true
	a.conn.Write(out)
	a.conn.Close()
	return len(in), nil
}

// Idle is part of transport.Session.
func (a *adminSession) Idle() bool { return true }

// Closed is part of transport.Session.
func (a *adminSession) Closed() {}

type adminCall struct {
	method string
	obey   func(*Server) (any, error)
}

var adminCalls = map[string]adminCall{
	"/control/ready":          {http.MethodGet, (*Server).sayReady},
	"/control/counters":       {http.MethodGet, (*Server).counters},
	"/control/out-of-service": {http.MethodPut, func(s *Server) (any, error) { return s.serve(false) }},
	"/control/in-service":     {http.MethodPut, func(s *Server) (any, error) { return s.serve(true) }},
}

// obey carries out an operator's call. An error is of type *admin.Error.
func (s *Server) obey(c admin.Call) ([]byte, error) {
	if body, known, err := s.obeyCopies(c); known {
		if err != nil {
			return nil, err
		}
		return admin.Append(nil, http.StatusOK, "", body), nil
	}
	call, ok := adminCalls[c.Path]
	if !ok {
		return nil, &admin.Error{Status: http.StatusNotFound, Text: fmt.Sprintf("%q: no such call", c.Path)}
	}
	if c.Method != call.method && !(c.Method == http.MethodHead && call.method == http.MethodGet) {
		return nil, &admin.Error{Status: http.StatusMethodNotAllowed, Text: fmt.Sprintf("%s takes %s, not %s", c.Path, call.method, c.Method), Allow: call.method}
	}
	body, err := call.obey(s)
	if err != nil {
		return nil, err
	}
	out := admin.Append(nil, http.StatusOK, "", body)
	if c.Method == http.MethodHead {
		out = admin.Headless(out)
	}
	return out, nil
}

type adminState struct {
	Ready     bool `json:"ready"`
	InService bool `json:"in_service"`
	Leaving   bool `json:"leaving"`
}

func (s *Server) state() adminState {
	return adminState{true, !s.out && !s.draining, s.draining || s.handed}
}

// sayReady says whether this process takes clients, in service or out: out of service, it takes whoever comes still.
func (s *Server) sayReady() (any, error) {
	if s.draining || s.handed {
		return nil, &admin.Error{Status: http.StatusServiceUnavailable, Text: "leaving: the notice to leave has come"}
	}
	return s.state(), nil
}

// serve takes the log server out of service, or in again. That is a word about health alone: what arrives is answered as
// before.
func (s *Server) serve(in bool) (any, error) {
	if in && s.draining {
		return nil, &admin.Error{Status: http.StatusConflict, Text: "leaving: the notice to leave has come, and there is no way back from it"}
	}
	if s.out == in {
		s.out = !in
		s.logf("admin: in service: %v, %d requests are open", in, s.core.Open())
		if s.peer != nil { // the word is about the log server, not about this process
			s.peer.send(upgrade.Message{Kind: upgrade.Service, Out: s.out})
		}
	}
	return s.state(), nil
}

// healthy is the answer to health checks.
func (s *Server) healthy() bool { return !s.out && s.core.Health() }

// listed is what reports say. Where the platform's list tells only whether a server runs or drains, a doubt of its health is no
// reason to have it taken off: callers hear of it by refusals and by what the answers say.
func (s *Server) listed() bool {
	if s.cfg.Settings.ListIgnoresHealth && !s.draining {
		return !s.out
	}
	return s.healthy()
}

// Counters are the figures, from the start of the process. A class that is gone keeps its own.
type Counters struct {
	Passed     map[string]int `json:"passed"`
	Dropped    map[string]int `json:"dropped"`
	BadGateway map[string]int `json:"bad_gateway"`
	Tries      int            `json:"upstream_tries"` // runs handed to the worker pool
	InProgress int            `json:"in_progress"`
	Loads      int            `json:"loads"`
	LoadErrors int            `json:"load_errors"`
}

// Counters returns the figures as they are now.
func (s *Server) Counters() Counters {
	c := Counters{Passed: map[string]int{}, Dropped: map[string]int{}, BadGateway: map[string]int{}, InProgress: s.core.Open(),
		Loads: s.files.taken, LoadErrors: s.files.refused}
	for _, name := range s.core.Counted() {
		f := s.core.Figures(name)
		c.Passed[name], c.Dropped[name], c.BadGateway[name] = f.Passed, f.Dropped, f.Failed
		c.Tries += f.Tries
	}
	return c
}

func (s *Server) counters() (any, error) { return s.Counters(), nil }

// FileRefused notes a configuration that was read anew and turned down.
func (s *Server) FileRefused() { s.files.refused++ }
