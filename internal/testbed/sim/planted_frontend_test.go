package sim

import (
	"maps"
	"slices"
	"testing"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/server"
	"pewterline/internal/transport"
)

// plantedFrontendBug turns the cancellation of a request that is not in flight into that of another request.
var plantedFrontendBug = plantedBug{
	name: "give-up-other", wantViolation: "lost/unanswered", interpose: func() interposer { return cancelsOthers{} },
}

type cancelsOthers struct{ passThrough }

func (cancelsOthers) handler(handler transport.Handler) transport.Handler {
	return cancelMisdirector{handler}
}

type cancelMisdirector struct{ transport.Handler }

func (h cancelMisdirector) Accept(listener int, conn transport.Conn) transport.Session {
	if listener != server.ThriftListener {
		return h.Handler.Accept(listener, conn)
	}
	tracked := &trackedConn{Conn: conn, inFlight: map[int32]bool{}}
	return &misdirectedSession{Session: h.Handler.Accept(listener, tracked), conn: tracked}
}

// trackedConn tracks which requests of a proxy are in flight.
type trackedConn struct {
	transport.Conn
	inFlight map[int32]bool // by sequence ID
}

func (c *trackedConn) Write(out []byte) {
	for rest := out; len(rest) > 0; {
		payload, size, err := thrift.SplitFrame(rest)
		if err != nil || payload == nil {
			panic("sim: the server wrote an incomplete message")
		}
		if reply, err := thrift.DecodeReply(payload); err == nil && reply.Kind != thrift.ReplyFarewell {
			delete(c.inFlight, reply.SequenceID)
		}
		rest = rest[size:]
	}
	c.Conn.Write(out)
}

// misdirectedSession passes messages to the server's session one at a time, and changes some cancellations.
type misdirectedSession struct {
	transport.Session
	conn *trackedConn
}

func (s *misdirectedSession) Receive(in []byte) (int, error) {
	consumed := 0
	for {
		payload, size, err := thrift.SplitFrame(in[consumed:])
		if err != nil || payload == nil {
			return consumed, err
		}
		if _, err := s.Session.Receive(s.misdirect(in[consumed:consumed+size], payload)); err != nil {
			return consumed, err
		}
		consumed += size
	}
}

// misdirect returns the message unchanged, unless it cancels a request that is not in flight while others are: then it
// returns the cancellation of one of those.
func (s *misdirectedSession) misdirect(message, payload []byte) []byte {
	call, _, err := thrift.DecodeCall(payload)
	switch {
	case err != nil:
	case call.Method == thrift.MethodProcess && !call.Oneway:
		s.conn.inFlight[call.SequenceID] = true
	case call.Method == thrift.MethodGiveUp && s.conn.inFlight[call.CancelledID]:
		delete(s.conn.inFlight, call.CancelledID)
	case call.Method == thrift.MethodGiveUp && len(s.conn.inFlight) > 0:
		other := slices.Min(slices.Collect(maps.Keys(s.conn.inFlight)))
		delete(s.conn.inFlight, other)
		return thrift.AppendGiveUp(nil, other)
	}
	return message
}

// The invariants detect the planted bug on its kept script, where the server without the bug violates none.
func TestPlantedFrontendBugIsDetected(t *testing.T) { plantedFrontendBug.requireDetected(t) }

// The search finds the planted bug.
func TestSearchFindsPlantedFrontendBug(t *testing.T) {
	t.Parallel()
	plantedFrontendBug.requireFound(t, wideSearch)
}
