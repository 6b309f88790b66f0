package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// A keyed request must not run twice across an upgrade: the old process reads it, and the new one reads its retry while
// the first attempt runs in the old process, after it has run, and while it is queued there.
func TestRetryAtSuccessor(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	oldConn := srv.dial()
	srv.requireServed(srv.sendRequest(oldConn, "lot-intake", "k1", "one"), "one")
	old.Pool.Hold()
	running := srv.sendRequest(oldConn, "lot-intake", "k2", "two")
	require.NoError(t, old.Pool.AwaitRunStart("two"))
	var queued []processtest.PendingRequest
	for i := range 10 { // more than the maximum concurrency: the last are queued
		queued = append(queued, srv.sendRequest(oldConn, "lot-intake", fmt.Sprintf("f%d", i), fmt.Sprintf("fill%d", i)))
	}
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	awaitLog(t, next, "has handed over")
	newConn := srv.dial()
	srv.requireServed(srv.sendRequest(newConn, "lot-intake", "k1", "one"), "one")
	retry := srv.sendRequest(newConn, "lot-intake", "k2", "two")
	var retries []processtest.PendingRequest
	for i := range 10 {
		retries = append(retries, srv.sendRequest(newConn, "lot-intake", fmt.Sprintf("f%d", i), fmt.Sprintf("fill%d", i)))
	}
	// The successor runs a key that the old process does not know.
	srv.requireServed(srv.sendRequest(newConn, "lot-intake", "k3", "three"), "three")
	old.Pool.Release()
	srv.requireServed(running, "two")
	srv.requireServed(retry, "two")
	for i := range queued {
		srv.requireServed(retries[i], fmt.Sprintf("fill%d", i))
	}
	require.NoError(t, old.Wait(), old.Log())
	srv.requireNoDuplicateRuns()
}

// Requests must not be lost in a handoff: 32 open requests on each of many connections all get their replies, and so
// does the first request of a connection that was opened to the old process and was silent until the handoff.
func TestOpenRequestsDuringUpgrade(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	var open []processtest.PendingRequest
	var bodies []string
	for i := range 12 {
		conn := srv.dial()
		for j := range 32 {
			bodies = append(bodies, fmt.Sprintf("lot %d/%d", i, j))
			open = append(open, srv.sendRequest(conn, "lot-intake", bodies[len(bodies)-1], bodies[len(bodies)-1]))
		}
	}
	silent := srv.dial()
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	// The request crosses the farewell if the client has not read the farewell yet.
	first, err := silent.Send(processtest.NewKeyedRequest("first"))
	if err != nil {
		first = srv.sendRequest(srv.dial(), "lot-intake", "first", "first")
	}
	old.Pool.Release()
	for i, pending := range open {
		reply, err := pending.Await()
		require.NoError(t, err, bodies[i])
		if reply.Kind == thrift.ReplyAnswer {
			require.Equal(t, "did "+bodies[i], string(reply.Body))
		} else { // a request that never ran may be rejected, and retried at the successor
			require.Equal(t, thrift.ReplyThrottled, reply.Kind, "%s: %v", bodies[i], reply)
			require.Empty(t, srv.RunLog.Runs(bodies[i]), "rejected although it ran")
		}
	}
	if _, err := first.Await(); err != nil {
		srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "first", "first"), "first")
	}
	require.NoError(t, old.Wait(), old.Log())
	require.False(t, next.Ended())
	srv.requireNoDuplicateRuns()
}

// An old process whose runs never end must reply to all requests that it has read, and exit before the platform would
// kill it. Its unfinished requests have an unknown outcome, so the successor must not run them.
func TestPredecessorExitsInTime(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	unfinished := srv.sendRequest(srv.dial(), "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitRunStart("one"))
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	srv.requireFailed(unfinished)
	require.NoError(t, old.Wait(), "the process exits by itself")
	awaitLog(t, next, "predecessor is gone")
	srv.requireFailed(srv.sendRequest(srv.dial(), "lot-intake", "k1", "one"))
	srv.requireNoDuplicateRuns()
}

// Two processes share one limit on sockets: together they stay within it, even if many idle connections stay open.
func TestSocketLimitDuringUpgrade(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	withSocketLimit := func(cfg map[string]any) {
		cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 160}
	}
	start := func() *processtest.Process {
		p, err := srv.Start(withSocketLimit)
		require.NoError(t, err)
		require.NoError(t, p.AwaitReady())
		return p
	}
	old := start()
	var conns []*processtest.Conn
	openIdle := func() {
		conn := srv.dial()
		conns = append(conns, conn)
		// The server either replies and keeps the idle connection, or closes it to stay within the limit.
		pending, err := conn.Send(processtest.Request{Class: "block-view", Body: "v", ArrivedAt: time.Now()})
		if err == nil {
			_, _ = pending.Await()
		}
	}
	for range 140 {
		openIdle()
	}
	next := start()
	socketsInUse := func() int { return len(openSockets(old.PID())) + len(openSockets(next.PID())) }
	require.LessOrEqual(t, socketsInUse(), 160)
	require.NoError(t, old.Signal(syscall.SIGTERM))
	for range 140 {
		openIdle()
		require.LessOrEqual(t, socketsInUse(), 160)
	}
	require.NoError(t, old.Wait())
}

// A reload during an upgrade must work in both processes: each applies the new settings, and a keyed request is still
// the same request to both, although the reload adds a class and drops another.
func TestReloadDuringUpgrade(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	running := srv.sendRequest(srv.dial(), "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitRunStart("one"))
	next := srv.start()
	reload := func(process *processtest.Process, pool string) {
		var settings map[string]any
		require.NoError(t, json.Unmarshal(srv.Settings, &settings))
		classes := settings["classes"].([]any)
		added := map[string]any{
			"name": "grape-count", "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free",
		}
		settings["classes"] = append([]any{added}, classes[0], classes[2])
		require.NoError(t, process.WriteConfig(map[string]any{
			"name":     "n0",
			"listen":   srv.Listen,
			"pool":     pool,
			"admin":    process.Admin,
			"stop_ms":  3200,
			"seed":     "8c1f30d27a5be964",
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512},
			"settings": settings,
		}))
		require.NoError(t, process.Signal(syscall.SIGHUP))
		awaitLog(t, process, `"classes": "grape-count block-view lot-intake"`)
	}
	reload(next, next.Pool.Addr())
	require.NoError(t, old.Signal(syscall.SIGTERM))
	reload(old, old.Pool.Addr())
	awaitLog(t, next, "has handed over")
	newConn := srv.dial()
	retry := srv.sendRequest(newConn, "lot-intake", "k1", "one")
	srv.requireServed(srv.sendRequest(newConn, "grape-count", "", "grapes"), "grapes")
	old.Pool.Release()
	srv.requireServed(running, "one")
	srv.requireServed(retry, "one")
	require.NoError(t, old.Wait())
	srv.requireNoDuplicateRuns()
}

// Three processes must not take part in upgrades at once: a second upgrade waits until the predecessor of the first has
// exited.
func TestSecondUpgradeWaits(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	conn := srv.dial()
	running := srv.sendRequest(conn, "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitRunStart("one"))
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	third, err := srv.Start(nil)
	require.NoError(t, err)
	awaitLog(t, next, `a successor is rejected {"reason": "an upgrade is under way"}`)
	old.Pool.Release()
	srv.requireServed(running, "one")
	require.NoError(t, old.Wait())
	require.NoError(t, third.AwaitReady())
	require.NoError(t, next.Signal(syscall.SIGTERM))
	require.NoError(t, next.Wait())
	srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "k1", "one"), "one") // the key has passed two handoffs
	srv.requireNoDuplicateRuns()
}

// A server that operators took out of service must stay out of service across an upgrade, until they put it back in
// service.
func TestOutOfServiceSurvivesUpgrade(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	call := func(p *processtest.Process, name string) {
		status, body, err := p.AdminCall(http.MethodPut, "/control/"+name)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
	awaitHealth := func(want bool) {
		require.Eventually(t, func() bool {
			healthy, err := processtest.CheckHealth(srv.Listen)
			return err == nil && healthy == want
		}, processtest.WaitTimeout, time.Millisecond)
	}
	call(old, "out-of-service")
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	awaitHealth(false)
	require.NoError(t, old.Wait())
	awaitHealth(false)
	call(next, "in-service")
	awaitHealth(true)
}
