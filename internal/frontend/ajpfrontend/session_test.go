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

// webServer is one web server's connection to a frontend.
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

// send hands packets to the session, which has to take them.
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
		require.NotNil(w.t, payload, "half a packet")
		packet, err := ajp.ParseResponse(payload)
		require.NoError(w.t, err)
		out = append(out, packet)
		in = in[size:]
	}
	return out
}

// answer returns the one response that the server has sent: its status, its body, and whether the connection is kept.
func (w *webServer) answer() (status int, body string, keep bool) {
	w.t.Helper()
	packets := w.packets()
	require.Len(w.t, packets, 3)
	require.Equal(w.t, ajp.CodeSendHeaders, packets[0].Code)
	require.Equal(w.t, ajp.CodeEndResponse, packets[2].Code)
	return packets[0].Status, string(packets[1].BodyChunk), packets[2].Reuse
}

// request returns the head of a request for the path.
func request(path string, headers ...ajp.Header) ajp.Request {
	return ajp.Request{Method: "POST", URI: path, Secret: "vine", Headers: headers}
}

func head(r ajp.Request) []byte { return ajp.AppendForwardRequest(nil, r) }

func withLength(length string) ajp.Header { return ajp.Header{Name: "content-length", Value: length} }

const path = "/relay/" + frontendtest.ClassName

// What a web server leaves out has a value: the class is the path's last part, the time is now.
func TestRequestWithoutFields(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	w.send(head(request(path)))
	require.Len(t, w.server.Submitted, 1)
	got := w.server.Submitted[0]
	require.Zero(t, got.Class)
	require.Equal(t, "00000000000000a1", got.RunID)
	require.Equal(t, w.server.Time, got.ArrivedAt)
	require.InDelta(t, defaultQueuedKB, got.QueuedKB, 0)
	require.InDelta(t, 0.5, got.Rank, 0, "the middle of the only class's band")
	require.True(t, w.conn.Identified)
	require.False(t, w.session.Idle())
}

// Fields come as headers; a time before the deadline's span counts as its beginning.
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
		body   string // submitted; "": none is
		status int    // answered; 0: none is
	}{
		{"of a known length", request(path, withLength("4")), []string{"ab", "cd"}, "abcd", 0},
		{"chunked", request(path, ajp.Header{Name: "Transfer-Encoding", Value: "chunked"}),
			[]string{"ab", "c", ""}, "abc", 0},
		{"longer than announced", request(path, withLength("1")), []string{"ab"}, "", statusBadRequest},
		{"shorter than announced", request(path, withLength("4")), []string{"ab", ""}, "", statusBadRequest},
		{"over the bound", request(path, withLength("101")), nil, "", statusPayloadTooLarge},
		{"over the bound when chunked", request(path, ajp.Header{Name: "Transfer-Encoding", Value: "chunked"}),
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
			t.Error("no answer")
		})
	}
}

// What the core never sees is answered at once; where a body may be on its way, the connection is not kept.
func TestRejectedRequests(t *testing.T) {
	for _, tc := range []struct {
		name   string
		head   ajp.Request
		status int
		keep   bool
	}{
		{"another secret", ajp.Request{Method: "POST", URI: path, Secret: "wine"}, statusForbidden, false},
		{"another method", ajp.Request{Method: "DELETE", URI: path, Secret: "vine"}, statusMethodNotAllowed, false},
		{"unknown class", request("/relay/other"), statusBadRequest, true},
		{"malformed length", request(path, withLength("many")), statusBadRequest, false},
		{"health check with a body", request(healthPath, withLength("3")), statusBadRequest, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWebServer(t, &frontendtest.Server{})
			w.send(head(tc.head))
			status, _, keep := w.answer()
			require.Equal(t, tc.status, status)
			require.Equal(t, tc.keep, keep)
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
			status, body, keep := w.answer()
			require.Equal(t, tc.status, status)
			require.NotEmpty(t, statusText(status))
			require.Equal(t, tc.body, body)
			require.True(t, keep)
			require.Equal(t, 1, w.conn.Resumed)
			require.True(t, w.session.Idle())
		})
	}
}

// Advice always names a time, and never one that is cut to none.
func TestAdviceHeaders(t *testing.T) {
	for _, tc := range []struct {
		name     string
		response dispatch.Response
		want     []ajp.Header
	}{
		{"none", dispatch.Response{},
			[]ajp.Header{{Name: "Retry-After", Value: "1"}, {Name: "X-Relay-After-Ms", Value: "1"}}},
		{"last", dispatch.Response{RetryAfter: 1500 * microtime.Millisecond, NoRetry: true},
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
		status, _, keep := w.answer()
		require.Equal(t, want, status)
		require.True(t, keep)
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

// What comes behind a request in flight waits, up to a bound.
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
	status, _, keep := peer.answer()
	require.Equal(t, statusRequestTimeout, status)
	require.False(t, keep)
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
	_, _, keep := busy.answer()
	require.False(t, keep)
}

func TestClosedCancels(t *testing.T) {
	w := newWebServer(t, &frontendtest.Server{})
	w.send(head(request(path)))
	w.session.Closed()
	require.Equal(t, []control.RequestID{1}, w.server.Cancelled)
	w.server.Submitted[0].Responder.Respond(dispatch.Response{})
	require.Empty(t, w.conn.Written)
}

// Each class has a band of ranks of the same width, by weight and then by index.
func TestMiddleRank(t *testing.T) {
	classes := []control.Class{{Weight: 2}, {Weight: 1}, {Weight: 1}, {Weight: 3}}
	for class, want := range []float64{2.5 / 4, 0.5 / 4, 1.5 / 4, 3.5 / 4} {
		classes[class].Deadline = time.Second
		require.InDelta(t, want, middleRank(classes, class), 0, "%d", class)
	}
}
