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

var connCount int

// operatorCall has an operator call; it returns the status line and the body.
func (s *loopFixture) operatorCall(line string) (string, string) {
	connCount++
	l := s.connect(fmt.Sprintf("op%d", connCount), AdminListener)
	s.deliver(l, []byte(line+" HTTP/1.1\r\nHost: n0\r\n\r\n"))
	require.True(s.t, l.closed, "one call on a connection")
	head, body, _ := strings.Cut(string(l.out), "\r\n\r\n")
	status, _, _ := strings.Cut(head, "\r\n")
	if strings.Contains(status, "405") {
		require.Contains(s.t, head, "Allow: ")
	}
	s.turn()
	return status, body
}

const probeBytes = "\x00\x00\x00\x16\x80\x01\x00\x01\x00\x00\x00\x05probe\x00\x00\x00\x01\x02\x00\x01\x00\x00"

// healthCheck is the answer to a health check.
func (s *loopFixture) healthCheck() bool {
	connCount++
	l := s.connect(fmt.Sprintf("check%d", connCount), 0)
	s.deliver(l, []byte(probeBytes))
	l.closed = true
	s.turn()
	bad := strings.Contains(string(l.out), "\x02\x00\x03\x00") // field 3, a bool, false
	require.True(s.t, bad != strings.Contains(string(l.out), "\x02\x00\x03\x01"))
	return !bad
}

// Guards the drain by operators: health turns bad at the call, comes back with the other, and neither is hurt by being
// repeated or by the notice to leave, after which there is no way back in.
func TestOutOfServiceAndBack(t *testing.T) {
	l := newPoolFixture(t)
	l.reportAddress = "control"
	for _, c := range []struct {
		call, status string
		good         bool
	}{
		{"PUT /control/in-service", "200 OK", true}, {"PUT /control/out-of-service", "200 OK", false},
		{"PUT /control/out-of-service", "200 OK", false}, {"GET /control/ready", "200 OK", false},
		{"PUT /control/in-service", "200 OK", true}, {"PUT /control/out-of-service", "200 OK", false},
	} {
		status, _ := l.operatorCall(c.call)
		require.Equal(t, "HTTP/1.1 "+c.status, status, c.call)
		require.Equal(t, c.good, l.healthCheck(), c.call)
		require.Equal(t, map[bool]string{true: "lease n0 Ready", false: "lease n0 NotReady"}[c.good], strings.TrimSpace(l.lastReport))
	}
	// What arrives is answered as usual.
	require.Contains(t, l.submit("00000000000000a1", "block-view", ""), "spawn 00000000000000a1")
	l.poolSends("finished 1 00000000000000a1 PASS 5 2\r\nok\r\n")
	require.Contains(t, string(l.caller.out), "ok")
	l.srv.Drain(l.now)
	l.turn()
	status, body := l.operatorCall("PUT /control/in-service")
	require.Equal(t, "HTTP/1.1 409 Conflict", status)
	require.Contains(t, body, "leaving")
	status, _ = l.operatorCall("GET /control/ready")
	require.Equal(t, "HTTP/1.1 503 Service Unavailable", status)
	require.False(t, l.healthCheck())
}

func TestInvalidAdminRequests(t *testing.T) {
	s := newLoopFixture(t, config.AJP{})
	for line, want := range map[string]string{"GET /control/rdy": "404 Not Found", "POST /control/ready": "405 Method Not Allowed",
		"GET /control/in-service": "405 Method Not Allowed", "HEAD /control/ready": "200 OK"} {
		status, _ := s.operatorCall(line)
		require.Equal(t, "HTTP/1.1 "+want, status, line)
	}
}

func (s *loopFixture) counters() (c admin.Counters) {
	_, body := s.operatorCall("GET /control/counters")
	require.NoError(s.t, json.Unmarshal([]byte(body), &c))
	return c
}

// Guards the figures: each request counts once, where it ends, by its class; whoever left counts nowhere.
func TestCounters(t *testing.T) {
	l := newPoolFixture(t)
	l.submit("00000000000000a1", "block-view", "")
	l.submit("00000000000000a2", "lot-intake", "k1")
	require.Equal(t, 2, l.counters().InProgress)
	l.poolSends("finished 1 00000000000000a1 PASS 5 2\r\nok\r\nfinished 2 00000000000000a2 FAIL 5 0\r\n\r\n")
	l.submit("00000000000000a3", "lot-intake", "k1") // joins what failed
	l.submit("00000000000000a4", "block-view", "")
	l.caller.closed = true // it leaves
	l.turn()
	l.poolSends("finished 3 00000000000000a4 PASS 5 2\r\nok\r\n")
	require.NoError(t, l.srv.Reload(l.srv.cfg))
	l.srv.ReloadRejected()
	require.Equal(t, admin.Counters{
		Succeeded: map[string]int{"block-view": 1, "lot-update": 0, "lot-intake": 0}, Rejected: map[string]int{"block-view": 0, "lot-update": 0, "lot-intake": 0},
		Failed: map[string]int{"block-view": 0, "lot-update": 0, "lot-intake": 2}, Attempts: 3, Reloads: 1, ReloadErrors: 1,
	}, l.counters())
}

// Guards both sides of the door: silent and half callers of the operators' listener cost proxies no place, the oldest of
// them makes room for whoever calls, and a hall full of proxies at work does not shut the operators out.
func TestAdminConnsHaveOwnLimit(t *testing.T) {
	clock := microtime.NewClock()
	srv, err := New(testConfig(t, "127.0.0.1:1"), clock, t.Logf)
	require.NoError(t, err)
	loop, err := sockets.Start(sockets.Options{Options: transport.Options{MaxConns: 2, Logf: t.Logf, DedicatedLimits: map[int]int{AdminListener: 3}},
		Listen: []string{"127.0.0.1:0", "", "", "127.0.0.2:0"}, Clock: clock}, srv, func(l *transport.Loop) { srv.Attach(l) })
	require.NoError(t, err)
	defer func() {
		loop.Stop()
		require.NoError(t, loop.Wait())
	}()
	dial := func(i int, text string) net.Conn {
		c, err := net.Dial("tcp", loop.Addr(i).String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = c.Write([]byte(text))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		return c
	}
	answered := func(c net.Conn) bool {
		n, _ := c.Read(make([]byte, 100))
		return n > 0
	}
	one, two := dial(0, probeBytes), dial(0, probeBytes)
	require.True(t, answered(one) && answered(two))
	for range 9 {
		dial(AdminListener, "GET /control/re")
	}
	require.True(t, answered(dial(AdminListener, "GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n")))
	for _, c := range []net.Conn{one, two} {
		_, err := c.Write([]byte(probeBytes))
		require.NoError(t, err)
		require.True(t, answered(c), "a proxy lost its place")
	}
}
