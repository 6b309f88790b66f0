package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// program builds the server once for all tests and returns the path of its executable.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pewterline-test")
	if err != nil {
		return "", err
	}
	return processtest.Build("../..", dir)
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// testServer is one log server. Several of its processes may run at once.
type testServer struct {
	*processtest.Server
	t *testing.T
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	path, err := program()
	require.NoError(t, err)
	listen, err := processtest.FreeAddress()
	require.NoError(t, err)
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(text, &file))
	dir, err := os.MkdirTemp("", "pw") // short, because the length of a socket's path is limited
	require.NoError(t, err)
	server := &processtest.Server{
		Program:  path,
		Dir:      dir,
		Listen:   listen,
		Settings: file.Settings,
		StopMS:   3200,
		MemoryMB: *memoryMB,
		RunLog:   processtest.NewRunLog(),
	}
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		_ = os.RemoveAll(dir)
	})
	return &testServer{server, t}
}

func (s *testServer) start() *processtest.Process {
	p, err := s.Start(nil)
	require.NoError(s.t, err)
	require.NoError(s.t, p.AwaitReady())
	return p
}

func (s *testServer) dial() *processtest.Conn {
	c, err := processtest.Dial(s.Listen)
	require.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	return c
}

// sendRequest sends a request; an empty key means that the request has none.
func (s *testServer) sendRequest(conn *processtest.Conn, class, key, body string) processtest.PendingRequest {
	pending, err := conn.Send(processtest.Request{Class: class, Key: key, Body: body, ArrivedAt: time.Now()})
	require.NoError(s.t, err)
	return pending
}

// requireServed requires that a request succeeded with the result of its body.
func (s *testServer) requireServed(pending processtest.PendingRequest, body string) {
	s.t.Helper()
	reply, err := pending.Await()
	require.NoError(s.t, err)
	require.Equal(s.t, thrift.ReplyAnswer, reply.Kind, body)
	require.Equal(s.t, "did "+body, string(reply.Body))
}

// minIdleTimeout is the shortest idle timeout of a server, control.minKeepAlive.
const minIdleTimeout = 100 * time.Millisecond

// idleConn is a connection that a test keeps idle, so that the server may ask its client to close it.
type idleConn struct {
	*processtest.Conn
	lastUsedAt time.Time // just before the connection was opened or its last answered request was sent
}

// dialIdle opens a connection for requireServedAfterIdle.
func (s *testServer) dialIdle() idleConn {
	openedAt := time.Now()
	return idleConn{Conn: s.dial(), lastUsedAt: openedAt}
}

// requireServedAfterIdle requires that a keyed request succeeds on an idle connection. If the server has sent its
// farewell on the connection, conn becomes a new one; a request that crosses the farewell is sent once more. A
// connection that ended without a farewell, or got one before it can have been idle for the shortest idle timeout,
// fails the test.
func (s *testServer) requireServedAfterIdle(conn *idleConn, key string) {
	s.t.Helper()
	reopen := func() {
		require.GreaterOrEqual(s.t, time.Since(conn.lastUsedAt), minIdleTimeout, "farewell on a connection that was not idle")
		*conn = s.dialIdle()
	}
	if conn.FarewellReceived() {
		reopen()
	}
	sentAt := time.Now()
	reply, err := exchangeKeyed(conn.Conn, key)
	if err != nil && conn.FarewellReceived() {
		reopen()
		sentAt = time.Now()
		reply, err = exchangeKeyed(conn.Conn, key)
	}
	require.NoError(s.t, err)
	require.Equal(s.t, thrift.ReplyAnswer, reply.Kind, key)
	require.Equal(s.t, "did "+key, string(reply.Body))
	conn.lastUsedAt = sentAt
}

// requireFailed requires that a request failed with an unknown outcome: it may have run.
func (s *testServer) requireFailed(pending processtest.PendingRequest) {
	s.t.Helper()
	reply, err := pending.Await()
	require.NoError(s.t, err)
	require.Equal(s.t, thrift.ReplyBroken, reply.Kind, "neither succeeded nor rejected: whether it ran is not known")
}

func (s *testServer) requireNoDuplicateRuns() { require.Empty(s.t, s.RunLog.DuplicateRuns()) }

// awaitLog waits until a process has logged a text.
func awaitLog(t *testing.T, p *processtest.Process, text string) {
	t.Helper()
	logged := func() bool { return strings.Contains(p.Log(), text) }
	require.Eventually(t, logged, processtest.WaitTimeout, time.Millisecond, "%q in %s", text, processLog{p})
}

// processLog formats as the log of a process at the time of formatting.
type processLog struct{ p *processtest.Process }

// String is part of fmt.Stringer.
func (l processLog) String() string { return l.p.Log() }

// successorSocket returns the path of the only socket in dir on which a process waits for a successor.
func successorSocket(t *testing.T, dir string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "pewterline-*"))
	require.NoError(t, err)
	require.Len(t, paths, 1)
	return paths[0]
}

// sendKeyed sends a keyed request and waits for its reply.
func sendKeyed(conn *processtest.Conn, body string) error {
	_, err := exchangeKeyed(conn, body)
	return err
}

// exchangeKeyed sends a keyed request and returns its reply.
func exchangeKeyed(conn *processtest.Conn, body string) (thrift.Reply, error) {
	pending, err := conn.Send(processtest.NewKeyedRequest(body))
	if err != nil {
		return thrift.Reply{}, err
	}
	return pending.Await()
}
