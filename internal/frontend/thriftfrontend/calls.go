package thriftfrontend

import (
	"errors"
	"fmt"

	"pewterline/internal/frontend"
	"pewterline/internal/protocol/thrift"
)

// maxBody is the protocol's limit on the body of a request, in bytes.
const maxBody = 2 << 10

// The errors of calls. Callers receive their texts.
var (
	errReusedSequenceID = fmt.Errorf("%w: two requests under one number", thrift.ErrInvalidFrame)
	errUnknownMethod    = errors.New("no such method")
	errOnewayRequest    = errors.New("a request must be a call")
	errTooManyInFlight  = errors.New("requests are open already")
)

// bodyTooLargeError is the error of a request whose body is over maxBody.
type bodyTooLargeError struct {
	size int // in bytes
}

// Error implements error.
func (e *bodyTooLargeError) Error() string {
	return fmt.Sprintf("body of %d bytes is over %d", e.size, maxBody)
}

// handle handles a call. An error closes the connection.
func (s *session) handle(call thrift.Call) error {
	s.lastActive = s.frontend.server.Now()
	switch call.Method {
	case thrift.MethodProcess:
		return s.process(call)
	case thrift.MethodGiveUp:
		s.cancel(call.CancelledID)
	case thrift.MethodProbe:
		s.markIdentified()
		s.checkHealth(call)
	default:
		s.sendException(call, thrift.ExceptionUnknownMethod, errUnknownMethod)
	}
	return nil
}

// cancel cancels a request in flight. Other sequence IDs are ignored: their requests may have been answered already.
func (s *session) cancel(sequenceID int32) {
	if id, ok := s.inFlight[sequenceID]; ok {
		delete(s.inFlight, sequenceID)
		s.frontend.server.Cancel(id)
	}
}

// checkHealth answers a health check. A deep health check waits for the backend, for a second at most.
func (s *session) checkHealth(call thrift.Call) {
	server := s.frontend.server
	if !call.Deep || !server.Healthy() {
		s.answerHealthCheck(call, server.Healthy())
		return
	}
	s.pendingHealthChecks++
	server.CheckBackend(func(healthy bool) {
		s.pendingHealthChecks--
		if s.closed {
			return
		}
		s.lastActive = server.Now()
		s.answerHealthCheck(call, healthy && server.Healthy())
	})
}

func (s *session) answerHealthCheck(call thrift.Call, healthy bool) {
	s.write(thrift.AppendAnswer(s.scratch[:0], thrift.Answer{
		MethodName: call.MethodName,
		SequenceID: call.SequenceID,
		Fields:     s.responseFields(),
		Good:       healthy,
	}))
}

// process handles a request. An error closes the connection.
func (s *session) process(call thrift.Call) error {
	if call.SequenceID <= s.highestSequenceID && !call.Oneway {
		return s.rejectReusedSequenceID(call)
	}
	s.highestSequenceID = max(s.highestSequenceID, call.SequenceID)
	err := s.submit(call)
	if err == nil {
		s.markIdentified()
		return nil
	}
	s.sendException(call, thrift.ExceptionProtocolError, err)
	// An unknown class is not the peer's fault and must not close a connection with other requests in flight.
	if errors.Is(err, frontend.ErrUnknownClass) {
		s.consecutiveErrors--
	}
	return nil
}

// rejectReusedSequenceID closes a connection on which a sequence ID is reused. A proxy's sequence IDs only increase, so
// the peer is not a proxy, and a response with that ID could be for either request. Neither request is served: the one
// in flight is cancelled, and one error is sent for the ID.
func (s *session) rejectReusedSequenceID(call thrift.Call) error {
	s.cancel(call.SequenceID)
	s.sendException(call, thrift.ExceptionProtocolError, errReusedSequenceID)
	return errReusedSequenceID
}

// submit submits a request to the core.
func (s *session) submit(call thrift.Call) error {
	switch {
	case call.Oneway:
		return errOnewayRequest
	case len(s.inFlight) >= MaxInFlight:
		return fmt.Errorf("%d %w", len(s.inFlight), errTooManyInFlight)
	case len(call.Body) > maxBody:
		return &bodyTooLargeError{size: len(call.Body)}
	}
	request, err := frontend.ReadRequest(s.frontend.server, func(field string) string { return call.Fields[field] })
	if err != nil {
		return err
	}
	request.Body = append([]byte(nil), call.Body...) // call.Body shares the connection's buffer
	request.Responder = &responder{session: s, sequenceID: call.SequenceID}
	id, err := s.frontend.server.Submit(request)
	if err != nil {
		return err
	}
	s.inFlight[call.SequenceID] = id
	return nil
}
