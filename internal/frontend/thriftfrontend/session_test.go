package thriftfrontend

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/frontend/frontendtest"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
)

// proxy is a fake proxy with one connection to a frontend.
type proxy struct {
	t        *testing.T
	server   *frontendtest.Server
	frontend *Frontend
	conn     *frontendtest.Conn
	session  transport.Session
}

func newProxy(t *testing.T, server *frontendtest.Server) *proxy {
	t.Helper()
	server.Time = microtime.Second
	p := &proxy{t: t, server: server, frontend: New(server), conn: &frontendtest.Conn{}}
	p.session = p.frontend.Accept(p.conn)
	return p
}

// send passes a whole message to the session and requires that it consumes all of it.
func (p *proxy) send(message []byte) {
	p.t.Helper()
	consumed, err := p.session.Receive(message)
	require.NoError(p.t, err)
	require.Equal(p.t, len(message), consumed)
}

// replies returns what the server has sent since the last call.
func (p *proxy) replies() (out []thrift.Reply) {
	p.t.Helper()
	for in := p.conn.Take(); len(in) > 0; {
		payload, size, err := thrift.SplitFrame(in)
		require.NoError(p.t, err)
		require.NotNil(p.t, payload, "incomplete message")
		reply, err := thrift.DecodeReply(payload)
		require.NoError(p.t, err)
		out = append(out, reply)
		in = in[size:]
	}
	return out
}

// call returns a call of process with valid fields, followed by the given changed ones.
func call(sequenceID int32, changed ...thrift.Field) []byte {
	fields := []thrift.Field{
		{Name: frontend.FieldClass, Value: frontendtest.ClassName},
		{Name: frontend.FieldAttemptID, Value: fmt.Sprintf("%016x", sequenceID)},
		{Name: frontend.FieldSentAt, Value: "1000"},
		{Name: frontend.FieldCallerID, Value: "4"},
		{Name: frontend.FieldQueuedKB, Value: "24"},
		{Name: frontend.FieldRank, Value: "0.5"},
	}
	return thrift.AppendCall(nil, sequenceID, append(fields, changed...), []byte("body"))
}

func TestResponses(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response dispatch.Response
		want     thrift.Reply
	}{
		{"succeeded", dispatch.Response{Status: dispatch.StatusSucceeded, Result: []byte("result")},
			thrift.Reply{Kind: thrift.ReplyAnswer, Body: []byte("result"), Good: true,
				Fields: map[string]string{"say": "0.2500"}}},
		{"rejected, with advice", dispatch.Response{Status: dispatch.StatusRejected, RetryAfter: 1, NoRetry: true},
			thrift.Reply{Kind: thrift.ReplyThrottled,
				Fields: map[string]string{"say": "0.2500", "after": "1", "last": "1"}}},
		{"rejected, without advice", dispatch.Response{Status: dispatch.StatusRejected},
			thrift.Reply{Kind: thrift.ReplyThrottled, Fields: map[string]string{"say": "0.2500"}}},
		{"failed", dispatch.Response{Status: dispatch.StatusFailed},
			thrift.Reply{Kind: thrift.ReplyBroken, Fields: map[string]string{"say": "0.2500"}}},
		{"expired", dispatch.Response{Status: dispatch.StatusExpired},
			thrift.Reply{Kind: thrift.ReplyBroken, Fields: map[string]string{"say": "0.2500"}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(t, &frontendtest.Server{Level: 0.25})
			p.send(call(7))
			require.Len(t, p.server.Submitted, 1)
			require.Equal(t, []byte("body"), p.server.Submitted[0].Body)
			require.True(t, p.conn.Identified)
			require.False(t, p.session.Idle())
			p.server.Submitted[0].Responder.Respond(tc.response)
			tc.want.MethodName, tc.want.SequenceID = thrift.ProcessName, 7
			require.Equal(t, []thrift.Reply{tc.want}, p.replies())
			require.True(t, p.session.Idle())
		})
	}
}

// A failed call is answered with an exception, and the connection stays open.
func TestRejectedCalls(t *testing.T) {
	for _, tc := range []struct {
		name    string
		message []byte
		text    string
	}{
		{"invalid field", call(1, thrift.Field{Name: frontend.FieldRank, Value: "high"}), "rank: "},
		{"unknown class", call(1, thrift.Field{Name: frontend.FieldClass, Value: "other"}), `class: unknown "other"`},
		{"body too long", thrift.AppendCall(nil, 1, nil, make([]byte, maxBody+1)), "over 2048"},
		{"rejected by the core", call(1), "the core is full"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(t, &frontendtest.Server{SubmitErr: errors.New("the core is full")})
			p.send(tc.message)
			replies := p.replies()
			require.Len(t, replies, 1)
			require.Equal(t, thrift.ReplyException, replies[0].Kind)
			require.Contains(t, replies[0].Text, tc.text)
			require.True(t, p.session.Idle())
			require.Len(t, p.server.Log, 1)
		})
	}
}

func TestConsecutiveErrorsCloseTheConnection(t *testing.T) {
	p := newProxy(t, &frontendtest.Server{})
	invalid := func(id int32) []byte { return call(id, thrift.Field{Name: frontend.FieldRank, Value: "high"}) }
	for i := range MaxConsecutiveErrors {
		p.send(invalid(int32(i + 1)))
	}
	_, err := p.session.Receive(invalid(MaxConsecutiveErrors + 1))
	require.ErrorIs(t, err, thrift.ErrInvalidFrame)
}

// Requests with an unknown class are not the peer's fault and never close the connection.
func TestUnknownClassesKeepTheConnectionOpen(t *testing.T) {
	p := newProxy(t, &frontendtest.Server{})
	for i := range 2 * MaxConsecutiveErrors {
		p.send(call(int32(i+1), thrift.Field{Name: frontend.FieldClass, Value: "other"}))
	}
}

func TestInFlightIsBounded(t *testing.T) {
	p := newProxy(t, &frontendtest.Server{})
	for i := range MaxInFlight {
		p.send(call(int32(i + 1)))
	}
	require.Empty(t, p.replies())
	p.send(call(MaxInFlight + 1))
	require.Equal(t, thrift.ReplyException, p.replies()[0].Kind)
	require.Len(t, p.server.Submitted, MaxInFlight)
}

// Receive handles a limited number of calls per turn and asks to be called again for the rest.
func TestCallsPerTurnAreBounded(t *testing.T) {
	p := newProxy(t, &frontendtest.Server{})
	message := thrift.AppendGiveUp(nil, 9)
	consumed, err := p.session.Receive(slices.Repeat(message, MaxMessagesPerTurn+1))
	require.NoError(t, err)
	require.Equal(t, MaxMessagesPerTurn*len(message), consumed)
	require.Equal(t, 1, p.conn.Resumed)
}

// A reused sequence ID closes the connection, and neither request is served.
func TestReusedSequenceID(t *testing.T) {
	p := newProxy(t, &frontendtest.Server{})
	p.send(call(5))
	_, err := p.session.Receive(call(5))
	require.ErrorIs(t, err, errReusedSequenceID)
	require.Equal(t, []control.RequestID{1}, p.server.Cancelled)
	require.Len(t, p.server.Submitted, 1)
	require.Len(t, p.replies(), 1)
}

func TestCancel(t *testing.T) {
	peer := newProxy(t, &frontendtest.Server{})
	peer.send(call(1))
	peer.send(call(2))
	peer.send(thrift.AppendGiveUp(nil, 3))
	require.Empty(t, peer.server.Cancelled, "a request that is not in flight")
	peer.send(thrift.AppendGiveUp(nil, 2))
	require.Equal(t, []control.RequestID{2}, peer.server.Cancelled)
	peer.session.Closed()
	require.Equal(t, []control.RequestID{2, 1}, peer.server.Cancelled)
	require.Zero(t, peer.frontend.Len())
	peer.server.Submitted[0].Responder.Respond(dispatch.Response{Status: dispatch.StatusFailed})
	require.Empty(t, peer.replies(), "the connection is closed")
}

func TestHealthChecks(t *testing.T) {
	for _, tc := range []struct {
		name      string
		deep      bool
		unhealthy bool
		backend   bool
		want      bool
	}{
		{"shallow, healthy", false, false, false, true},
		{"shallow, unhealthy", false, true, false, false},
		{"deep, the backend works", true, false, true, true},
		{"deep, the backend does not work", true, false, false, false},
		{"deep, unhealthy", true, true, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newProxy(t, &frontendtest.Server{Unhealthy: tc.unhealthy})
			p.send(thrift.AppendProbe(nil, 3, tc.deep))
			for _, done := range p.server.HealthChecks {
				require.False(t, p.session.Idle())
				done(tc.backend)
			}
			replies := p.replies()
			require.Len(t, replies, 1)
			require.Equal(t, tc.want, replies[0].Good)
			require.True(t, p.session.Idle())
		})
	}
}

func TestDrain(t *testing.T) {
	p := newProxy(t, &frontendtest.Server{})
	p.frontend.Drain(p.server.Time)
	p.frontend.Drain(p.server.Time)
	replies := p.replies()
	require.Len(t, replies, 1, "the farewell is sent once")
	require.Equal(t, thrift.ReplyFarewell, replies[0].Kind)
	p.frontend.CloseIdle(p.server.Time+frontend.LingerTimeout, 0)
	require.False(t, p.conn.Closed)
	p.frontend.CloseIdle(p.server.Time+frontend.LingerTimeout+1, 0)
	require.True(t, p.conn.Closed, "the peer did not close")

	late := newProxy(t, &frontendtest.Server{Drains: true})
	require.Len(t, late.replies(), 1, "a connection accepted during a drain gets the farewell at once")
}

func TestCloseIdle(t *testing.T) {
	p := newProxy(t, &frontendtest.Server{})
	const idleTimeout = 10 * microtime.Second
	start := p.server.Time
	p.frontend.CloseIdle(start+idleTimeout-1, idleTimeout)
	require.Empty(t, p.replies())
	p.send(call(1))
	p.frontend.CloseIdle(start+idleTimeout, idleTimeout)
	require.Empty(t, p.replies(), "a request is in flight")
	p.send(thrift.AppendGiveUp(nil, 1))
	p.frontend.CloseIdle(start+idleTimeout, idleTimeout)
	require.Len(t, p.replies(), 1)
}
