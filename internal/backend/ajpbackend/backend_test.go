package ajpbackend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/frontend/frontendtest"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/transport"
)

// harness is a backend under test. It implements Core and EventLoop, and the test uses it as the AJP server.
type harness struct {
	t            *testing.T
	backend      *Backend
	now          microtime.Time
	pendingDials []func(transport.Conn) transport.Session // the open functions of pending dials, oldest first
	finished     map[string]dispatch.RunOutcome
	results      map[string]string
	log          []string
}

func newHarness(t *testing.T, connections int) *harness {
	t.Helper()
	h := &harness{t: t, finished: map[string]dispatch.RunOutcome{}, results: map[string]string{}}
	cfg := config.AJP{BackendAddress: "there", BackendSecret: "vine", BackendPath: "/run", BackendConnections: connections}
	h.backend = New(Config{AJP: cfg, RunTimeout: microtime.Second}, func(format string, _ ...any) {
		h.log = append(h.log, format)
	})
	h.backend.Attach(h, h)
	return h
}

// Now implements Loop.
func (h *harness) Now() microtime.Time { return h.now }

// Dial implements Loop.
func (h *harness) Dial(addr string, open func(transport.Conn) transport.Session) (cancel func()) {
	require.Equal(h.t, "there", addr)
	h.pendingDials = append(h.pendingDials, open)
	return func() {}
}

// RunFinished implements Core.
func (h *harness) RunFinished(id string, outcome dispatch.RunOutcome, result []byte) {
	h.finished[id] = outcome
	h.results[id] = string(result)
}

// accept completes the oldest pending dial, and returns the connection and its session.
func (h *harness) accept() (*frontendtest.Conn, transport.Session) {
	h.t.Helper()
	require.NotEmpty(h.t, h.pendingDials)
	open := h.pendingDials[0]
	h.pendingDials = h.pendingDials[1:]
	conn := &frontendtest.Conn{}
	return conn, open(conn)
}

// respond passes a whole response from the server to the session.
func (h *harness) respond(session transport.Session, status int, body string, reuse bool) {
	h.t.Helper()
	out := ajp.AppendSendHeaders(nil, status, "", nil)
	out = ajp.AppendResponseBody(out, []byte(body))
	out = ajp.AppendEndResponse(out, reuse)
	consumed, err := session.Receive(out)
	require.NoError(h.t, err)
	require.Equal(h.t, len(out), consumed)
}

func newRun(id string) dispatch.Run {
	return dispatch.Run{ID: id, Class: "lot-intake", Body: []byte("body")}
}

// readRequest takes the request that was written to a connection, and checks its body.
func readRequest(t *testing.T, conn *frontendtest.Conn) ajp.Request {
	t.Helper()
	in := conn.Take()
	payload, size, err := ajp.SplitPacket(in, ajp.FromServer)
	require.NoError(t, err)
	head, err := ajp.ParseForwardRequest(payload)
	require.NoError(t, err)
	payload, _, err = ajp.SplitPacket(in[size:], ajp.FromServer)
	require.NoError(t, err)
	body, err := ajp.ParseBodyChunk(payload)
	require.NoError(t, err)
	require.Equal(t, "body", string(body))
	return head
}

func TestRunOnNewConnection(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		want   dispatch.RunOutcome
		result string
	}{
		{"succeeds", 200, dispatch.RunSucceeded, "result"},
		{"fails", 500, dispatch.RunFailed, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newHarness(t, 1)
			fixture.backend.Start(newRun("a"))
			conn, session := fixture.accept()
			head := readRequest(t, conn)
			require.Equal(t, "/run/lot-intake", head.URI)
			require.Equal(t, "vine", head.Secret)
			require.Equal(t, "a", head.Header("X-Relay-Id"))
			require.False(t, session.Idle())
			fixture.respond(session, tc.status, "result", true)
			require.Equal(t, map[string]dispatch.RunOutcome{"a": tc.want}, fixture.finished)
			require.Equal(t, tc.result, fixture.results["a"])
			require.True(t, session.Idle())
			require.False(t, conn.Closed)
		})
	}
}

// A reused connection is pinged before a run is sent on it. If the connection turns out to be lost, the run is sent on
// another one.
func TestReusedConnectionIsPingedFirst(t *testing.T) {
	fixture := newHarness(t, 1)
	fixture.backend.Start(newRun("a"))
	conn, session := fixture.accept()
	conn.Take()
	fixture.respond(session, 200, "", true)
	fixture.backend.Start(newRun("b"))
	require.Equal(t, ajp.AppendCPing(nil), conn.Take())
	_, err := session.Receive(ajp.AppendCPong(nil))
	require.NoError(t, err)
	readRequest(t, conn)
	fixture.respond(session, 200, "", true)

	fixture.backend.Start(newRun("c"))
	require.Equal(t, ajp.AppendCPing(nil), conn.Take())
	session.Closed()
	require.NotContains(t, fixture.finished, "c")
	second, _ := fixture.accept()
	head := readRequest(t, second)
	require.Equal(t, "c", head.Header("X-Relay-Id"))
}

// A run fails if its connection is lost after the run was sent. It is not sent again.
func TestConnectionLossFailsSentRun(t *testing.T) {
	fixture := newHarness(t, 1)
	fixture.backend.Start(newRun("a"))
	_, session := fixture.accept()
	session.Closed()
	require.Equal(t, map[string]dispatch.RunOutcome{"a": dispatch.RunFailed}, fixture.finished)
	require.Empty(t, fixture.pendingDials)
}

func TestConnectionsAreLimited(t *testing.T) {
	fixture := newHarness(t, 2)
	for _, id := range []string{"a", "b", "c"} {
		fixture.backend.Start(newRun(id))
	}
	require.Len(t, fixture.pendingDials, 2)
	_, first := fixture.accept()
	fixture.accept()
	require.Len(t, fixture.backend.queue, 1)
	fixture.respond(first, 200, "", false)
	require.Len(t, fixture.backend.queue, 1, "a connection that must not be reused gets no further run")
	first.Closed()
	require.Len(t, fixture.pendingDials, 1)
}

func TestCancel(t *testing.T) {
	fixture := newHarness(t, 1)
	fixture.backend.Start(newRun("sent"))
	fixture.backend.Start(newRun("queued"))
	conn, _ := fixture.accept()
	fixture.backend.Cancel("queued")
	require.False(t, conn.Closed)
	fixture.backend.Cancel("sent")
	require.True(t, conn.Closed)
	fixture.backend.Cancel("unknown")
	want := map[string]dispatch.RunOutcome{"sent": dispatch.RunCancelled, "queued": dispatch.RunCancelled}
	require.Equal(t, want, fixture.finished)
}

func TestExpireTimeouts(t *testing.T) {
	fixture := newHarness(t, 1)
	require.Equal(t, microtime.Never, fixture.backend.ExpireTimeouts(fixture.now))
	fixture.backend.Start(newRun("a"))
	conn, _ := fixture.accept()
	require.Equal(t, microtime.Second, fixture.backend.ExpireTimeouts(fixture.now))
	require.Equal(t, microtime.Never, fixture.backend.ExpireTimeouts(microtime.Second))
	require.True(t, conn.Closed)
	require.Equal(t, map[string]dispatch.RunOutcome{"a": dispatch.RunFailed}, fixture.finished)
	require.Len(t, fixture.log, 1)
}

func TestInvalidResponses(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   []byte
	}{
		{"no run in progress", ajp.AppendEndResponse(nil, true)},
		{"result over the limit", ajp.AppendResponseBody(nil, make([]byte, maxResult+1))},
		{"message that only a web server sends", ajp.AppendCPing(nil)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newHarness(t, 1)
			fixture.backend.Start(newRun("a"))
			_, session := fixture.accept()
			if tc.name == "no run in progress" {
				fixture.respond(session, 200, "", true)
			}
			_, err := session.Receive(tc.in)
			require.ErrorIs(t, err, ajp.ErrInvalidPacket)
		})
	}
}
