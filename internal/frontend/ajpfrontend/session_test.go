package ajpfrontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/frontend/frontendtest"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/transport"
)

// webServer is a fake web server with one connection to a frontend.
type webServer struct {
	t        *testing.T
	server   *frontendtest.Server
	frontend *Frontend
	conn     *frontendtest.Conn
	session  transport.Session
}

func newWebServer(t *testing.T, server *frontendtest.Server) *webServer {
	t.Helper()
	server.Time = 100 * microtime.Second
	cfg := config.AJP{Secret: "vine", BodyTimeout: microtime.Second, MaxBody: 100, MaxConnections: 1}
	w := &webServer{t: t, server: server, frontend: New(server, cfg), conn: &frontendtest.Conn{}}
	w.session = w.frontend.Accept(w.conn)
	return w
}

// send passes packets to the session and requires that it consumes all of them.
func (w *webServer) send(packets []byte) {
	w.t.Helper()
	consumed, err := w.session.Receive(packets)
	require.NoError(w.t, err)
	require.Equal(w.t, len(packets), consumed)
}

// packets returns what the server has sent since the last call.
func (w *webServer) packets() (out []ajp.Response) {
	w.t.Helper()
	for in := w.conn.Take(); len(in) > 0; {
		payload, size, err := ajp.SplitPacket(in, ajp.FromContainer)
		require.NoError(w.t, err)
		require.NotNil(w.t, payload, "incomplete packet")
		packet, err := ajp.ParseResponse(payload)
		require.NoError(w.t, err)
		out = append(out, packet)
		in = in[size:]
	}
	return out
}

// response returns the status and body of the only response that the server has sent, and whether the connection is
// kept alive.
func (w *webServer) response() (status int, body string, keepAlive bool) {
	w.t.Helper()
	packets := w.packets()
	require.Len(w.t, packets, 3)
	require.Equal(w.t, ajp.CodeSendHeaders, packets[0].Code)
	require.Equal(w.t, ajp.CodeEndResponse, packets[2].Code)
	return packets[0].Status, string(packets[1].BodyChunk), packets[2].Reuse
}

// request returns a POST request for the path, without a body.
func request(path string, headers ...ajp.Header) ajp.Request {
	return ajp.Request{Method: "POST", URI: path, Secret: "vine", Headers: headers}
}

func head(r ajp.Request) []byte { return ajp.AppendForwardRequest(nil, r) }

func withLength(length string) ajp.Header { return ajp.Header{Name: "content-length", Value: length} }

const path = "/relay/" + frontendtest.ClassName

// Absent fields have defaults: the class is the last segment of the path, the timestamp is the current time.
func TestRequestWithoutFields(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	w.send(head(request(path)))
	require.Len(t, w.server.Submitted, 1)
	got := w.server.Submitted[0]
	require.Zero(t, got.Class)
	require.Equal(t, "00000000000000a1", got.RunID)
	require.Equal(t, w.server.Time, got.ArrivedAt)
	require.InDelta(t, defaultQueuedKB, got.QueuedKB, 0)
	require.InDelta(t, 0.5, got.Rank, 0, "the middle of the band of the only class")
	require.True(t, w.conn.Identified)
	require.False(t, w.session.Idle())
}

// Fields are read from headers. The arrival time is at most the class's deadline before the current time.
func TestRequestWithFields(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	w.send(head(request("/any", ajp.Header{Name: "X-Relay-Class", Value: frontendtest.ClassName},
		ajp.Header{Name: "X-Relay-At", Value: "1000"}, ajp.Header{Name: "X-Relay-Rank", Value: "0.25"},
		ajp.Header{Name: "X-Relay-Once", Value: "k"})))
	require.Len(t, w.server.Submitted, 1)
	got := w.server.Submitted[0]
	require.Equal(t, w.server.Time-4*microtime.Second, got.ArrivedAt)
	require.InDelta(t, 0.25, got.Rank, 0)
	require.Equal(t, "k", got.IdempotencyKey)
}

func TestBody(t *testing.T) {
	chunk := func(text string) []byte {
		out, rest := ajp.AppendBodyChunk(nil, []byte(text))
		require.Empty(t, rest)
		return out
	}
	for _, tc := range []struct {
		name   string
		head   ajp.Request
		chunks []string
		body   string // of the submitted request; "" if none is submitted
		status int    // of the response; 0 if there is none
	}{
		{"known length", request(path, withLength("4")), []string{"ab", "cd"}, "abcd", 0},
		{"chunked", request(path, ajp.Header{Name: "Transfer-Encoding", Value: "chunked"}),
			[]string{"ab", "c", ""}, "abc", 0},
		{"longer than announced", request(path, withLength("1")), []string{"ab"}, "", statusBadRequest},
		{"shorter than announced", request(path, withLength("4")), []string{"ab", ""}, "", statusBadRequest},
		{"over the limit", request(path, withLength("101")), nil, "", statusPayloadTooLarge},
		{"chunked, over the limit", request(path, ajp.Header{Name: "Transfer-Encoding", Value: "chunked"}),
			[]string{string(make([]byte, 101))}, "", statusPayloadTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			peer := newWebServer(t, &frontendtest.Server{})
			peer.send(head(tc.head))
			for _, text := range tc.chunks {
				peer.send(chunk(text))
			}
			if tc.body != "" {
				require.Len(t, peer.server.Submitted, 1)
				require.Equal(t, tc.body, string(peer.server.Submitted[0].Body))
				return
			}
			require.Empty(t, peer.server.Submitted)
			for _, packet := range peer.packets() {
				if packet.Code == ajp.CodeSendHeaders {
					require.Equal(t, tc.status, packet.Status)
					return
				}
			}
			t.Error("no response")
		})
	}
}

// A request that is not submitted to the core gets its response at once. The connection is closed if a body may still
// be in flight.
func TestRejectedRequests(t *testing.T) {
	for _, tc := range []struct {
		name      string
		head      ajp.Request
		status    int
		keepAlive bool
	}{
		{"wrong secret", ajp.Request{Method: "POST", URI: path, Secret: "wine"}, statusForbidden, false},
		{"unsupported method", ajp.Request{Method: "DELETE", URI: path, Secret: "vine"}, statusMethodNotAllowed, false},
		{"unknown class", request("/relay/other"), statusBadRequest, true},
		{"malformed length", request(path, withLength("many")), statusBadRequest, false},
		{"health check with a body", request(healthPath, withLength("3")), statusBadRequest, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWebServer(t, &frontendtest.Server{})
			w.send(head(tc.head))
			status, _, keepAlive := w.response()
			require.Equal(t, tc.status, status)
			require.Equal(t, tc.keepAlive, keepAlive)
			require.Empty(t, w.server.Submitted)
		})
	}
}

func TestResponses(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response dispatch.Response
		status   int
		body     string
	}{
		{"succeeded", dispatch.Response{Status: dispatch.StatusSucceeded, Result: []byte("result")}, statusOK, "result"},
		{"rejected", dispatch.Response{Status: dispatch.StatusRejected}, statusServiceUnavailable,
			"turned away; it never ran\n"},
		{"expired", dispatch.Response{Status: dispatch.StatusExpired, Reason: "late"}, statusGatewayTimeout, "late\n"},
		{"failed", dispatch.Response{Status: dispatch.StatusFailed, Reason: "broken"}, statusBadGateway, "broken\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWebServer(t, &frontendtest.Server{})
			w.send(head(request(path)))
			w.server.Submitted[0].Responder.Respond(tc.response)
			status, body, keepAlive := w.response()
			require.Equal(t, tc.status, status)
			require.NotEmpty(t, statusText(status))
			require.Equal(t, tc.body, body)
			require.True(t, keepAlive)
			require.Equal(t, 1, w.conn.Resumed)
			require.True(t, w.session.Idle())
		})
	}
}

// The headers always state a time after which to retry, rounded up so that it never becomes 0.
func TestAdviceHeaders(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response dispatch.Response
		want     []ajp.Header
	}{
		{"no advice", dispatch.Response{},
			[]ajp.Header{{Name: "Retry-After", Value: "1"}, {Name: "X-Relay-After-Ms", Value: "1"}}},
		{"no retry", dispatch.Response{RetryAfter: 1500 * microtime.Millisecond, NoRetry: true},
			[]ajp.Header{{Name: "Retry-After", Value: "2"}, {Name: "X-Relay-After-Ms", Value: "1500"},
				{Name: "X-Relay-Last", Value: "1"}}},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, adviceHeaders(tc.response)) })
	}
}

func TestHealth(t *testing.T) {
	for want, unhealthy := range map[int]bool{statusOK: false, statusServiceUnavailable: true} {
		w := newWebServer(t, &frontendtest.Server{Unhealthy: unhealthy})
		w.send(head(ajp.Request{Method: "GET", URI: healthPath, Secret: "vine"}))
		status, _, keepAlive := w.response()
		require.Equal(t, want, status)
		require.True(t, keepAlive)
	}
}

func TestPackets(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	w.send(ajp.AppendCPing(nil))
	require.Equal(t, []ajp.Response{{Code: ajp.CodeCPong}}, w.packets())
	w.send([]byte{0x12, 0x34, 0, 1, byte(ajp.CodeShutdown)})
	require.False(t, w.conn.Closed)
	require.Len(t, w.server.Log, 1)
	w.send([]byte{0x12, 0x34, 0, 1, byte(ajp.CodePing)})
	for name, packet := range map[string][]byte{"empty": {0x12, 0x34, 0, 0}, "unknown": {0x12, 0x34, 0, 1, 99}} {
		_, err := w.session.Receive(packet)
		require.ErrorIs(t, err, ajp.ErrInvalidPacket, name)
	}
}

// Bytes received behind a request in flight stay buffered, up to a limit.
func TestPipelinedBytesAreBounded(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	w.send(head(request(path)))
	consumed, err := w.session.Receive(make([]byte, maxPipelined))
	require.NoError(t, err)
	require.Zero(t, consumed)
	_, err = w.session.Receive(make([]byte, maxPipelined+1))
	require.ErrorIs(t, err, ajp.ErrInvalidPacket)
}

func TestTimeouts(t *testing.T) {
	peer := newWebServer(t, &frontendtest.Server{})
	start := peer.server.Time
	require.Equal(t, start+idleTimeout, peer.frontend.ExpireTimeouts(start))
	peer.send(head(request(path, withLength("4"))))
	require.Equal(t, start+microtime.Second, peer.frontend.ExpireTimeouts(start))
	require.Equal(t, start+frontend.LingerTimeout, peer.frontend.ExpireTimeouts(start+microtime.Second))
	status, _, keepAlive := peer.response()
	require.Equal(t, statusRequestTimeout, status)
	require.False(t, keepAlive)
	require.False(t, peer.conn.Closed)
	require.Equal(t, microtime.Never, peer.frontend.ExpireTimeouts(start+frontend.LingerTimeout))
	require.True(t, peer.conn.Closed)
}

func TestConnectionsAreBounded(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	second := &frontendtest.Conn{}
	session := w.frontend.Accept(second)
	require.True(t, second.Closed)
	require.False(t, w.conn.Closed)
	session.Closed()
	require.Equal(t, 1, w.frontend.Len())
}

func TestDrain(t *testing.T) {
	idle := newWebServer(t, &frontendtest.Server{})
	idle.frontend.Drain()
	require.True(t, idle.conn.Closed)

	busy := newWebServer(t, &frontendtest.Server{})
	busy.send(head(request(path)))
	busy.server.Drains = true
	busy.frontend.Drain()
	require.False(t, busy.conn.Closed)
	busy.server.Submitted[0].Responder.Respond(dispatch.Response{Status: dispatch.StatusSucceeded, Result: []byte("r")})
	_, _, keepAlive := busy.response()
	require.False(t, keepAlive)
}

func TestClosedCancels(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	w.send(head(request(path)))
	w.session.Closed()
	require.Equal(t, []control.RequestID{1}, w.server.Cancelled)
	w.server.Submitted[0].Responder.Respond(dispatch.Response{})
	require.Empty(t, w.conn.Written)
}

// Each class has a band of ranks of equal width. The bands are ordered by weight, then by index.
func TestMiddleRank(t *testing.T) {
	classes := []control.Class{{Weight: 2}, {Weight: 1}, {Weight: 1}, {Weight: 3}}
	for class, want := range []float64{2.5 / 4, 0.5 / 4, 1.5 / 4, 3.5 / 4} {
		classes[class].Deadline = time.Second
		require.InDelta(t, want, middleRank(classes, class), 0, "%d", class)
	}
}
