package thriftfrontend

import (
	"fmt"
	"maps"
	"slices"

	"pewterline/control"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
)

const (
	// MaxInFlight is the most requests in flight on a connection. The platform's protocol sets it.
	MaxInFlight = 32
	// MaxConsecutiveErrors is the most calls in a row that may fail before a connection is closed.
	MaxConsecutiveErrors = 16
	// MaxMessagesPerTurn is the most calls of a connection that are handled in a turn of the event loop: as many
	// requests as a proxy may have in flight, and as many cancellations.
	MaxMessagesPerTurn = 64
)

// errTooManyErrors closes a connection.
var errTooManyErrors = fmt.Errorf("%w: more than %d consecutive calls failed",
	thrift.ErrInvalidFrame, MaxConsecutiveErrors)

// session is one connection.
type session struct {
	orderedset.Position
	frontend            *Frontend
	conn                transport.Conn
	inFlight            map[int32]control.RequestID // by sequence ID
	pendingHealthChecks int                         // deep health checks that wait for the backend
	highestSequenceID   int32
	consecutiveErrors   int
	lastActive          microtime.Time // time of the last call or response
	farewellSent        bool
	closed              bool
	scratch             []byte // buffer reused by each write
}

// write sends a message that was appended to s.scratch[:0].
func (s *session) write(message []byte) {
	s.scratch = message[:0]
	s.conn.Write(message)
}

// sendFarewell asks the peer, once, to send no new requests and to close the connection.
func (s *session) sendFarewell(now microtime.Time) {
	if s.farewellSent {
		return
	}
	s.farewellSent = true
	s.lastActive = now
	s.write(thrift.AppendFarewell(s.scratch[:0]))
}

// Receive implements transport.Session. It handles at most MaxMessagesPerTurn calls, so that a peer that sends without
// pause cannot starve the others.
func (s *session) Receive(in []byte) (int, error) {
	consumed := 0
	for range MaxMessagesPerTurn {
		payload, size, err := thrift.SplitFrame(in[consumed:])
		if err != nil || payload == nil {
			return consumed, err
		}
		consumed += size
		if err := s.receiveFrame(payload); err != nil {
			return consumed, err
		}
	}
	s.conn.Resume()
	return consumed, nil
}

// receiveFrame handles the call in a frame. An error closes the connection.
func (s *session) receiveFrame(payload []byte) error {
	call, answerable, err := thrift.DecodeCall(payload)
	switch {
	case err == nil:
		err = s.handle(call)
	case answerable:
		s.sendException(call, thrift.ExceptionProtocolError, err)
		err = nil
	}
	if err == nil && s.consecutiveErrors > MaxConsecutiveErrors {
		return errTooManyErrors
	}
	return err
}

// Idle implements transport.Session.
func (s *session) Idle() bool { return len(s.inFlight) == 0 && s.pendingHealthChecks == 0 }

// Closed implements transport.Session. It cancels the requests in flight, in the order of their sequence IDs, so that a
// replay sees the same order.
func (s *session) Closed() {
	s.closed = true
	s.frontend.sessions.Remove(s)
	for _, sequenceID := range slices.Sorted(maps.Keys(s.inFlight)) {
		s.frontend.server.Cancel(s.inFlight[sequenceID])
	}
	clear(s.inFlight)
}

// markIdentified records that the peer has sent a valid call.
func (s *session) markIdentified() {
	s.consecutiveErrors = 0
	s.conn.MarkIdentified()
}

// sendException answers a failed call with an exception. Oneway calls get no reply.
func (s *session) sendException(call thrift.Call, code thrift.ExceptionCode, err error) {
	s.consecutiveErrors++
	s.frontend.server.Logf("thrift: call rejected: peer=%s method=%s sequence_id=%d error=%v",
		s.conn.Remote(), call.MethodName, call.SequenceID, err)
	if !call.Oneway {
		s.write(thrift.AppendException(s.scratch[:0], call.MethodName, call.SequenceID, code, err.Error()))
	}
}

// responseFields returns the fields of every response.
func (s *session) responseFields() (fields []thrift.Field) {
	if text, known := frontend.AdmissionLevelText(s.frontend.server); known {
		fields = append(fields, thrift.Field{Name: fieldAdmissionLevel, Value: text})
	}
	return fields
}
