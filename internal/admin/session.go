package admin

import (
	"errors"

	"pewterline/internal/protocol/adminhttp"
	"pewterline/internal/transport"
)

// session is an operator's connection, which carries one request.
type session struct {
	handler *Handler
	conn    transport.Conn
	done    bool
}

// Receive implements transport.Session. A client that never completes its request stays unidentified: the transport
// closes its connection.
func (s *session) Receive(in []byte) (int, error) {
	if s.done {
		return len(in), nil
	}
	request, size, err := adminhttp.Parse(in)
	if err == nil && size == 0 {
		return 0, nil
	}
	var response []byte
	if err == nil {
		response, err = s.handler.serve(request)
	}
	var failure *adminhttp.Error
	if errors.As(err, &failure) {
		s.handler.logf("admin: call rejected: peer=%s method=%s path=%s error=%v",
			s.conn.Remote(), request.Method, request.Path, failure)
		response = adminhttp.AppendError(nil, failure)
	}
	s.done = true
	s.conn.Write(response)
	s.conn.Close()
	return len(in), nil
}

// Idle implements transport.Session.
func (s *session) Idle() bool { return true }

// Closed implements transport.Session.
func (s *session) Closed() {}
