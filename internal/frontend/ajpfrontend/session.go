package ajpfrontend

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/transport"
)

const (
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 60 * microtime.Second
	// maxPipelined is the most bytes that may be buffered behind a request in flight.
	maxPipelined = 64 << 10
)

// phase is what a connection waits for.
type phase uint8

const (
	awaitRequest phase = iota
	awaitBody
	awaitResponse
	awaitClose // the last response is written; further input is discarded
)

// String names the phase.
func (p phase) String() string {
	return [...]string{"await request", "await body", "await response", "await close"}[p]
}

// session is one connection. It has one request at a time.
type session struct {
	orderedset.Position
	frontend  *Frontend
	conn      transport.Conn
	phase     phase
	request   ajp.Request // the latest request
	body      []byte      // the part of the request's body received so far
	arrivedAt microtime.Time
	deadline  microtime.Time // for the body, for the peer's close or for the next request
	requestID control.RequestID
	closed    bool
	scratch   []byte // buffer reused by each write
}

// write sends packets that were appended to s.scratch[:0].
func (s *session) write(packets []byte) {
	s.scratch = packets[:0]
	s.conn.Write(packets)
}

// Closed implements transport.Session. A request with an incomplete body is dropped; a request in flight is cancelled.
func (s *session) Closed() {
	s.closed = true
	s.frontend.sessions.Remove(s)
	if s.phase == awaitResponse {
		s.frontend.server.Cancel(s.requestID)
	}
	s.body = nil
}

// Idle implements transport.Session.
func (s *session) Idle() bool { return s.phase == awaitRequest }

// Receive implements transport.Session.
func (s *session) Receive(in []byte) (int, error) {
	consumed := 0
	for {
		switch s.phase {
		case awaitClose:
			return len(in), nil
		case awaitResponse:
			if waiting := len(in) - consumed; waiting > maxPipelined {
				return consumed, fmt.Errorf("%w: %d bytes received behind a request in flight", ajp.ErrInvalidPacket, waiting)
			}
			return consumed, nil
		default: // the session accepts packets
		}
		payload, size, err := ajp.SplitPacket(in[consumed:], ajp.FromServer)
		if err != nil || payload == nil {
			return consumed, err
		}
		consumed += size
		if s.phase == awaitBody {
			err = s.receiveBody(payload)
		} else {
			err = s.receivePacket(payload)
		}
		if err != nil {
			return consumed, err
		}
	}
}

// receivePacket handles a packet that is not part of a body. An error closes the connection.
func (s *session) receivePacket(payload []byte) error {
	if len(payload) == 0 {
		return fmt.Errorf("%w: empty payload, expected a request", ajp.ErrInvalidPacket)
	}
	s.deadline = s.frontend.server.Now() + idleTimeout
	switch code := ajp.Code(payload[0]); code {
	case ajp.CodeCPing:
		s.conn.MarkIdentified()
		s.write(ajp.AppendCPong(s.scratch[:0]))
	case ajp.CodeShutdown: // ignored: anyone who reaches the port could stop the server
		s.frontend.server.Logf("ajp: shutdown ignored: peer=%s", s.conn.Remote())
	case ajp.CodePing: // needs no response
	case ajp.CodeForwardRequest:
		s.receiveRequest(payload)
	default:
		return fmt.Errorf("%w: unknown code %d", ajp.ErrInvalidPacket, code)
	}
	return nil
}

// expire handles the session's deadline if it has passed. It returns the next deadline.
func (s *session) expire(now microtime.Time) microtime.Time {
	switch {
	case s.phase == awaitResponse:
		return microtime.Never
	case now < s.deadline:
	case s.phase == awaitBody:
		s.reject(statusRequestTimeout, "the body did not come in time")
	default:
		s.conn.Close()
		return microtime.Never
	}
	return s.deadline
}

// drain closes the connection if it has no request in flight.
func (s *session) drain() {
	if s.phase == awaitRequest {
		s.conn.Close()
	}
}
