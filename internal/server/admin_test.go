package server

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/admin"
	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// operatorCall sends a request line on a new admin connection. It returns the status line and the body.
func (f *loopFixture) operatorCall(line string) (status, body string) {
	f.t.Helper()
	f.opened++
	conn := f.connect(fmt.Sprintf("op%d", f.opened), AdminListener)
	f.deliver(conn, []byte(line+" HTTP/1.1\r\nHost: n0\r\n\r\n"))
	require.True(f.t, conn.closed, "the server closes an admin connection after one request")
	head, body, _ := strings.Cut(string(conn.out), "\r\n\r\n")
	status, _, _ = strings.Cut(head, "\r\n")
	if strings.Contains(status, "405") {
		require.Contains(f.t, head, "Allow: ")
	}
	f.turn()
	return status, body
}

// probeBytes is the frame of a Thrift health check.
const probeBytes = "\x00\x00\x00\x16\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x01\x02\x00\x01\x00\x00"

// healthCheck sends a Thrift health check and returns its answer.
func (f *loopFixture) healthCheck() (healthy bool) {
	f.t.Helper()
	f.opened++
	conn := f.connect(fmt.Sprintf("check%d", f.opened), ThriftListener)
	f.deliver(conn, []byte(probeBytes))
	conn.closed = true
	f.turn()
	unhealthy := strings.Contains(string(conn.out), "\x02\x00\x03\x00") // Field 3, a bool, false.
	require.NotEqual(f.t, unhealthy, strings.Contains(string(conn.out), "\x02\x00\x03\x01"))
	return !unhealthy
}

// counters returns the counters that the admin interface reports.
func (f *loopFixture) counters() (counters admin.Counters) {
	f.t.Helper()
	_, body := f.operatorCall("GET /control/counters")
	require.NoError(f.t, json.Unmarshal([]byte(body), &counters))
	return counters
}

// A server that an operator takes out of service is unhealthy until it is put back into service. Both commands are
// idempotent. After the shutdown notice, the server cannot be put back into service.
func TestOutOfServiceAndBack(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.reportAddress = "control"
	for _, tc := range []struct {
		call    string
		healthy bool
		report  string
	}{
		{"PUT /control/in-service", true, "lease n0 Ready"},
		{"PUT /control/out-of-service", false, "lease n0 NotReady"},
		{"PUT /control/out-of-service", false, "lease n0 NotReady"},
		{"GET /control/ready", false, "lease n0 NotReady"},
		{"PUT /control/in-service", true, "lease n0 Ready"},
		{"PUT /control/out-of-service", false, "lease n0 NotReady"},
	} {
		status, _ := fixture.operatorCall(tc.call)
		require.Equal(t, "HTTP/1.1 200 OK", status, tc.call)
		require.Equal(t, tc.healthy, fixture.healthCheck(), tc.call)
		require.Equal(t, tc.report, strings.TrimSpace(fixture.lastReport), tc.call)
	}
	// Requests are still answered while the server is out of service.
	require.Contains(t, fixture.submit("00000000000000a1", "block-view", ""), "spawn 00000000000000a1")
	fixture.poolSends(finishedNotice(1, "00000000000000a1", "ok"))
	require.Contains(t, string(fixture.client.out), "ok")
	fixture.srv.Drain(fixture.now)
	fixture.turn()
	status, body := fixture.operatorCall("PUT /control/in-service")
	require.Equal(t, "HTTP/1.1 409 Conflict", status)
	require.Contains(t, body, "leaving")
	status, _ = fixture.operatorCall("GET /control/ready")
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", status)
	require.False(t, fixture.healthCheck())
}

func TestInvalidAdminRequests(t *testing.T) {
	fixture := newLoopFixture(t, config.AJP{})
	for line, want := range map[string]string{
		"GET /control/rdy":        "404 Not Found",
		"POST /control/ready":     "405 Method Not Allowed",
		"GET /control/in-service": "405 Method Not Allowed",
		"HEAD /control/ready":     "200 OK",
	} {
		status, _ := fixture.operatorCall(line)
		require.Equal(t, "HTTP/1.1 "+want, status, line)
	}
}

// Each request is counted once, when it ends, in its class. A request whose client has disconnected is not counted.
func TestCounters(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.submit("00000000000000a1", "block-view", "")
	fixture.submit("00000000000000a2", "lot-intake", "k1")
	require.Equal(t, 2, fixture.counters().InProgress)
	fixture.poolSends(finishedNotice(1, "00000000000000a1", "ok") + "finished 2 00000000000000a2 FAIL 5 0\r\n\r\n")
	fixture.submit("00000000000000a3", "lot-intake", "k1") // Gets the failure of the previous run.
	fixture.submit("00000000000000a4", "block-view", "")
	fixture.client.closed = true
	fixture.turn()
	fixture.poolSends(finishedNotice(3, "00000000000000a4", "ok"))
	require.NoError(t, fixture.srv.Reload(fixture.srv.cfg))
	fixture.srv.ReloadRejected()
	require.Equal(t, admin.Counters{
		Succeeded:    map[string]int{"block-view": 1, "lot-update": 0, "lot-intake": 0},
		Rejected:     map[string]int{"block-view": 0, "lot-update": 0, "lot-intake": 0},
		Failed:       map[string]int{"block-view": 0, "lot-update": 0, "lot-intake": 2},
		Attempts:     3,
		Reloads:      1,
		ReloadErrors: 1,
	}, fixture.counters())
}

// Admin connections have their own limit: incomplete admin requests take no connections from clients, the oldest admin
// connection is closed to admit a new one, and admin requests are answered while clients are at their limit.
func TestAdminConnsHaveOwnLimit(t *testing.T) {
	clock := microtime.NewClock()
	srv, err := New(testConfig(t, "127.0.0.1:1"), clock, t.Logf)
	require.NoError(t, err)
	loop := startLoop(t, srv, sockets.Options{
		Options: transport.Options{MaxConns: 2, Logf: t.Logf, DedicatedLimits: map[int]int{AdminListener: 3}},
		Listen:  []string{"127.0.0.1:0", "", "", "127.0.0.2:0"},
		Clock:   clock,
	})
	t.Cleanup(func() { stopLoop(t, loop) })
	dialAndSend := func(listener int, text string) net.Conn {
		conn, err := net.Dial("tcp", loop.Addr(listener).String())
		require.NoError(t, err)
		closeAtEnd(t, conn)
		_, err = conn.Write([]byte(text))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		return conn
	}
	answered := func(conn net.Conn) bool {
		n, _ := conn.Read(make([]byte, 100))
		return n > 0
	}
	client1, client2 := dialAndSend(ThriftListener, probeBytes), dialAndSend(ThriftListener, probeBytes)
	require.True(t, answered(client1) && answered(client2))
	for range 9 {
		dialAndSend(AdminListener, "GET /control/re")
	}
	require.True(t, answered(dialAndSend(AdminListener, "GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")))
	for _, conn := range []net.Conn{client1, client2} {
		_, err := conn.Write([]byte(probeBytes))
		require.NoError(t, err)
		require.True(t, answered(conn), "a client lost its connection")
	}
}
