package thriftfrontend

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/planted"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
)

const (
	// MaxInFlight bounds the open requests of a connection: what the platform allows.
	MaxInFlight = 32
	// MaxConsecutiveErrors bounds the messages in a row that make no sense before a connection is given up.
	MaxConsecutiveErrors = 16
	// MaxMessagesPerTurn bounds the messages of a connection that a turn takes: all that a proxy may have open, and as many giveUps.
	MaxMessagesPerTurn = 64
	// maxBody is the protocol's bound on a request's body.
	maxBody = 2 << 10
)

var (
	errFaults        = fmt.Errorf("%w: %d messages in a row make no sense", thrift.ErrInvalidFrame, MaxConsecutiveErrors)
	errReusedNumber  = fmt.Errorf("%w: two requests under one number", thrift.ErrInvalidFrame)
	errUnknownMethod = errors.New("no such method")
)

// session is one connection.
type session struct {
	orderedset.Position
	front        *Frontend
	conn         transport.Conn
	open         map[int32]control.RequestID // by sequence number
	checks       int                         // deep health checks that wait for their answer
	highestSeq   int32
	faults       int            // messages that made no sense since the last that did
	lastActive   microtime.Time // of the last request or answer
	farewellSent bool
	closed       bool
	scratch      []byte
}

// write sends what was appended to s.scratch[:0].
func (s *session) write(message []byte) {
	s.scratch = message[:0]
	s.conn.Write(message)
}

func (s *session) sendFarewell(now microtime.Time) {
	if s.farewellSent {
		return
	}
	s.farewellSent, s.lastActive = true, now
	s.write(thrift.AppendFarewell(s.scratch[:0]))
}

// Receive is part of transport.Session.
func (s *session) Receive(in []byte) (int, error) {
	n := 0
	// Guards the others' share of the core against whoever sends without end.
	for range MaxMessagesPerTurn {
		payload, size, err := thrift.SplitFrame(in[n:])
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		if err := s.receiveFrame(payload); err != nil {
			return n, err
		}
	}
	s.conn.Resume()
	return n, nil
}

// receiveFrame carries out the message in a frame. An error means that the connection is past help.
func (s *session) receiveFrame(payload []byte) error {
	m, answerable, err := thrift.DecodeCall(payload)
	if err == nil {
		err = s.handle(m)
	} else if answerable {
		s.sendException(m, thrift.ExceptionProtocolError, err)
		err = nil
	}
	if err == nil && s.faults > MaxConsecutiveErrors {
		return errFaults
	}
	return err
}

// Idle is part of transport.Session.
func (s *session) Idle() bool { return len(s.open) == 0 && s.checks == 0 }

// Closed is part of transport.Session: whoever waits on this connection has left.
func (s *session) Closed() {
	s.closed = true
	s.front.sessions.Remove(s)
	for _, seq := range slices.Sorted(maps.Keys(s.open)) {
		s.front.server.Cancel(s.open[seq])
	}
	clear(s.open)
}

func (s *session) sendException(m thrift.Call, code uint32, err error) {
	s.faults++
	s.front.server.Logf("thrift: %s: %s %d: %v", s.conn.Remote(), m.MethodName, m.SequenceID, err)
	if !m.Oneway {
		s.write(thrift.AppendException(s.scratch[:0], m.MethodName, m.SequenceID, code, err.Error()))
	}
}

// handle carries out a message. An error means that the connection is past help.
func (s *session) handle(m thrift.Call) error {
	s.lastActive = s.front.server.Now()
	switch m.Method {
	case thrift.MethodProcess:
		return s.process(m)
	case thrift.MethodGiveUp:
		s.giveUp(m.CancelledID)
	case thrift.MethodProbe:
		s.vouch()
		s.probe(m)
	default:
		s.sendException(m, thrift.ExceptionUnknownMethod, errUnknownMethod)
	}
	return nil
}

func (s *session) giveUp(seq int32) {
	if id, ok := s.open[seq]; ok {
		delete(s.open, seq)
		s.front.server.Cancel(id)
	} else if planted.Bug(planted.GiveUpOther) {
		for _, other := range slices.Sorted(maps.Keys(s.open)) {
			s.front.server.Cancel(s.open[other])
			delete(s.open, other)
			break
		}
	}
}

// probe answers a health check. A deep one waits for the runner's word, within a second.
func (s *session) probe(m thrift.Call) {
	server := s.front.server
	if !m.Deep || !server.Healthy() {
		s.answerProbe(m, server.Healthy())
		return
	}
	s.checks++
	server.CheckBackend(func(good bool) {
		s.checks--
		if s.closed {
			return
		}
		s.lastActive = server.Now()
		s.answerProbe(m, good && server.Healthy())
	})
}

func (s *session) answerProbe(m thrift.Call, good bool) {
	s.write(thrift.AppendAnswer(s.scratch[:0], m.MethodName, m.SequenceID, nil, s.answerFields(), good))
}

// vouch notes that the peer has sent something valid.
func (s *session) vouch() {
	s.faults = 0
	s.conn.MarkIdentified()
}

// process takes a request. An error means that the connection is past help.
func (s *session) process(m thrift.Call) error {
	if m.SequenceID <= s.highestSeq && !m.Oneway {
		return s.rejectReused(m)
	}
	s.highestSeq = max(s.highestSeq, m.SequenceID)
	err := s.submit(m)
	if err == nil {
		s.vouch()
		return nil
	}
	s.sendException(m, thrift.ExceptionProtocolError, err)
	// Guards what else is open on the connection: an unknown class is not the peer's fault.
	if errors.Is(err, frontend.ErrUnknownClass) {
		s.faults--
	}
	return nil
}

// rejectReused ends a connection on which a number comes again. Numbers go up, so whoever sends it is no proxy; and an
// answer under that number would be taken for either request's. Neither is served: one that is open is given up,
// and the number gets one error.
func (s *session) rejectReused(m thrift.Call) error {
	if id, ok := s.open[m.SequenceID]; ok {
		delete(s.open, m.SequenceID)
		s.front.server.Cancel(id)
	}
	s.sendException(m, thrift.ExceptionProtocolError, errReusedNumber)
	return errReusedNumber
}

func (s *session) submit(m thrift.Call) error {
	if m.Oneway {
		return fmt.Errorf("a request must be a call")
	} else if len(s.open) >= MaxInFlight {
		return fmt.Errorf("%d requests are open already", len(s.open))
	} else if len(m.Body) > maxBody {
		return fmt.Errorf("body of %d bytes is over %d", len(m.Body), maxBody)
	}
	request, err := frontend.ReadRequest(s.front.server, func(field string) string { return m.Fields[field] })
	if err != nil {
		return err
	}
	request.Body = append([]byte(nil), m.Body...)
	request.Responder = &replier{s, m.SequenceID}
	id, err := s.front.server.Submit(request)
	if err != nil {
		return err
	}
	s.open[m.SequenceID] = id
	return nil
}

// answerFields are the fields that go with every answer.
func (s *session) answerFields() (fields []thrift.Field) {
	if text, known := frontend.AdmissionLevelText(s.front.server); known {
		fields = append(fields, thrift.Field{Name: "say", Value: text})
	}
	return fields
}

// replier sends the answer to one request.
type replier struct {
	session *session
	seq     int32
}

// Respond is part of routing.Replier.
func (r *replier) Respond(answer dispatch.Response) {
	s := r.session
	if s.closed {
		return
	}
	delete(s.open, r.seq)
	s.lastActive = s.front.server.Now()
	fields := s.answerFields()
	switch answer.Status {
	case dispatch.StatusSucceeded:
		s.write(thrift.AppendAnswer(s.scratch[:0], "process", r.seq, answer.Result, fields, true))
	case dispatch.StatusRejected:
		s.write(thrift.AppendThrottled(s.scratch[:0], r.seq, appendAdvice(fields, answer)))
	default:
		s.write(thrift.AppendBroken(s.scratch[:0], r.seq, fields))
	}
}

// appendAdvice adds when to come back, and whether another server should be tried.
func appendAdvice(fields []thrift.Field, answer dispatch.Response) []thrift.Field {
	if answer.RetryAfter > 0 {
		after := strconv.FormatInt(frontend.CeilMilliseconds(answer.RetryAfter), 10)
		fields = append(fields, thrift.Field{Name: "after", Value: after})
	}
	if answer.NoRetry {
		fields = append(fields, thrift.Field{Name: "last", Value: "1"})
	}
	return fields
}
