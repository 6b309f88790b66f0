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

// container is the server that does the work, the core and the event loop in one: it sees all that the backend does.
type container struct {
	t        *testing.T
	backend  *Backend
	now      microtime.Time
	dialled  []func(transport.Conn) transport.Session // attempts that have not succeeded yet
	finished map[string]dispatch.RunOutcome
	results  map[string]string
	log      []string
}

func newContainer(t *testing.T, connections int) *container {
	t.Helper()
	c := &container{t: t, finished: map[string]dispatch.RunOutcome{}, results: map[string]string{}}
	cfg := config.AJP{BackendAddress: "there", BackendSecret: "vine", BackendPath: "/run", BackendConnections: connections}
	c.backend = New(Config{AJP: cfg, RunTimeout: microtime.Second}, func(format string, _ ...any) {
		c.log = append(c.log, format)
	})
	c.backend.Attach(c, c)
	return c
}

// Now is part of Loop.
func (c *container) Now() microtime.Time { return c.now }

// Dial is part of Loop.
func (c *container) Dial(addr string, open func(transport.Conn) transport.Session) (drop func()) {
	require.Equal(c.t, "there", addr)
	c.dialled = append(c.dialled, open)
	return func() {}
}

// RunFinished is part of Core.
func (c *container) RunFinished(id string, outcome dispatch.RunOutcome, result []byte) {
	c.finished[id] = outcome
	c.results[id] = string(result)
}

// accept lets the oldest attempt to dial succeed.
func (c *container) accept() (*frontendtest.Conn, transport.Session) {
	c.t.Helper()
	require.NotEmpty(c.t, c.dialled)
	open := c.dialled[0]
	c.dialled = c.dialled[1:]
	conn := &frontendtest.Conn{}
	return conn, open(conn)
}

// respond sends a whole response.
func (c *container) respond(session transport.Session, status int, body string, reuse bool) {
	c.t.Helper()
	out := ajp.AppendSendHeaders(nil, status, "", nil)
	out = ajp.AppendResponseBody(out, []byte(body))
	out = ajp.AppendEndResponse(out, reuse)
	consumed, err := session.Receive(out)
	require.NoError(c.t, err)
	require.Equal(c.t, len(out), consumed)
}

func runOf(id string) dispatch.Run {
	return dispatch.Run{ID: id, Class: "lot-intake", Body: []byte("body")}
}

// request reads the request that a connection was sent.
func request(t *testing.T, conn *frontendtest.Conn) ajp.Request {
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

func TestRunOnANewConnection(t *testing.T) {
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
			c := newContainer(t, 1)
			c.backend.Start(runOf("a"))
			conn, session := c.accept()
			head := request(t, conn)
			require.Equal(t, "/run/lot-intake", head.URI)
			require.Equal(t, "vine", head.Secret)
			require.Equal(t, "a", head.Header("X-Relay-Id"))
			require.False(t, session.Idle())
			c.respond(session, tc.status, "result", true)
			require.Equal(t, map[string]dispatch.RunOutcome{"a": tc.want}, c.finished)
			require.Equal(t, tc.result, c.results["a"])
			require.True(t, session.Idle())
			require.False(t, conn.Closed)
		})
	}
}

// A connection that was kept is asked whether it still lives before a run is sent on it. Where it does not, the run
// goes to another one.
func TestKeptConnectionIsAskedFirst(t *testing.T) {
	server := newContainer(t, 1)
	server.backend.Start(runOf("a"))
	conn, session := server.accept()
	conn.Take()
	server.respond(session, 200, "", true)
	server.backend.Start(runOf("b"))
	require.Equal(t, ajp.AppendCPing(nil), conn.Take())
	_, err := session.Receive(ajp.AppendCPong(nil))
	require.NoError(t, err)
	request(t, conn)
	server.respond(session, 200, "", true)

	server.backend.Start(runOf("c"))
	require.Equal(t, ajp.AppendCPing(nil), conn.Take())
	session.Closed()
	require.NotContains(t, server.finished, "c")
	second, _ := server.accept()
	head := request(t, second)
	require.Equal(t, "c", head.Header("X-Relay-Id"))
}

// A run that was sent on a connection that is lost is never sent again.
func TestLostConnectionFailsTheRun(t *testing.T) {
	c := newContainer(t, 1)
	c.backend.Start(runOf("a"))
	_, session := c.accept()
	session.Closed()
	require.Equal(t, map[string]dispatch.RunOutcome{"a": dispatch.RunFailed}, c.finished)
	require.Empty(t, c.dialled)
}

func TestConnectionsAreBounded(t *testing.T) {
	server := newContainer(t, 2)
	for _, id := range []string{"a", "b", "c"} {
		server.backend.Start(runOf(id))
	}
	require.Len(t, server.dialled, 2)
	_, first := server.accept()
	server.accept()
	require.Len(t, server.backend.queue, 1)
	server.respond(first, 200, "", false)
	require.Len(t, server.backend.queue, 1, "a connection that is not offered again takes no run")
	first.Closed()
	require.Len(t, server.dialled, 1)
}

func TestCancel(t *testing.T) {
	server := newContainer(t, 1)
	server.backend.Start(runOf("sent"))
	server.backend.Start(runOf("queued"))
	conn, _ := server.accept()
	server.backend.Cancel("queued")
	require.False(t, conn.Closed)
	server.backend.Cancel("sent")
	require.True(t, conn.Closed)
	server.backend.Cancel("unknown")
	want := map[string]dispatch.RunOutcome{"sent": dispatch.RunCancelled, "queued": dispatch.RunCancelled}
	require.Equal(t, want, server.finished)
}

func TestExpireTimeouts(t *testing.T) {
	c := newContainer(t, 1)
	require.Equal(t, microtime.Never, c.backend.ExpireTimeouts(c.now))
	c.backend.Start(runOf("a"))
	conn, _ := c.accept()
	require.Equal(t, microtime.Second, c.backend.ExpireTimeouts(c.now))
	require.Equal(t, microtime.Never, c.backend.ExpireTimeouts(microtime.Second))
	require.True(t, conn.Closed)
	require.Equal(t, map[string]dispatch.RunOutcome{"a": dispatch.RunFailed}, c.finished)
	require.Len(t, c.log, 1)
}

func TestInvalidResponses(t *testing.T) {
	for _, tc := range []struct {
		name string
		in   []byte
	}{
		{"with no run", ajp.AppendEndResponse(nil, true)},
		{"result over the bound", ajp.AppendResponseBody(nil, make([]byte, maxResult+1))},
		{"another side's", ajp.AppendCPing(nil)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newContainer(t, 1)
			c.backend.Start(runOf("a"))
			_, session := c.accept()
			if tc.name == "with no run" {
				c.respond(session, 200, "", true)
			}
			_, err := session.Receive(tc.in)
			require.ErrorIs(t, err, ajp.ErrInvalidPacket)
		})
	}
}
