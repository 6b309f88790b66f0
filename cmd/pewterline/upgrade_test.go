package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"pewterline/internal/config"
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

// A keyed request must not run twice if the old process is killed while the request runs or is queued there. The retry
// of a request that may have run fails; it is neither rejected nor run. The retry of a request that had ended succeeds.
func TestPredecessorKilled(t *testing.T) {
	t.Parallel()
	for _, handedOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("handed over %v", handedOver), func(t *testing.T) {
			srv := newTestServer(t)
			old := srv.start()
			oldConn := srv.dial()
			srv.requireServed(srv.sendRequest(oldConn, "lot-intake", "k1", "one"), "one")
			old.Pool.Hold()
			for _, key := range []string{"two", "three", "four"} { // the last is queued: two may run at once
				srv.sendRequest(oldConn, "lot-intake", key, key)
			}
			require.NoError(t, old.Pool.AwaitRunStart("two"))
			next := srv.start()
			if handedOver {
				require.NoError(t, old.Signal(syscall.SIGTERM))
				awaitLog(t, next, "has handed over")
				newConn := srv.dial()
				running, queued := srv.sendRequest(newConn, "lot-intake", "two", "two"),
					srv.sendRequest(newConn, "lot-intake", "four", "four")
				require.NoError(t, old.Signal(syscall.SIGKILL))
				srv.requireFailed(running)
				srv.requireFailed(queued) // it may have started to run since the handoff
			} else {
				require.NoError(t, old.Signal(syscall.SIGKILL))
			}
			require.Error(t, old.Wait())
			awaitLog(t, next, "predecessor is gone")
			conn := srv.dial()
			srv.requireServed(srv.sendRequest(conn, "lot-intake", "k1", "one"), "one")
			srv.requireFailed(srv.sendRequest(conn, "lot-intake", "two", "two"))
			if handedOver {
				srv.requireFailed(srv.sendRequest(conn, "lot-intake", "four", "four"))
			} else { // the successor knows whether the old process had started it; in both cases it runs once
				reply, err := srv.sendRequest(conn, "lot-intake", "four", "four").Await()
				require.NoError(t, err)
				require.Contains(t, []thrift.ReplyKind{thrift.ReplyAnswer, thrift.ReplyBroken}, reply.Kind)
				require.Len(t, srv.RunLog.Runs("four"), 1)
			}
			srv.requireServed(srv.sendRequest(conn, "lot-intake", "new", "new"), "new")
			srv.requireServed(srv.sendRequest(conn, "block-view", "", "view"), "view")
			srv.requireNoDuplicateRuns()
		})
	}
}

// A serving process must not be affected by a successor that fails: one that does not start, one that hangs before it
// is ready, and one that is killed once it is ready. The next upgrade must succeed.
func TestFailedSuccessor(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	conn := srv.dialIdle()
	requireWorking := func(key string) {
		srv.requireServedAfterIdle(&conn, key)
		require.NotContains(t, old.Log(), "server: draining", "a drain sends farewells, too")
		srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", key, key), key)
		healthy, err := processtest.CheckHealth(srv.Listen)
		require.NoError(t, err)
		require.True(t, healthy)
	}
	faulty, err := srv.Start(func(cfg map[string]any) { cfg["listen"] = "nowhere" })
	require.NoError(t, err)
	require.Error(t, faulty.Wait())
	requireWorking("k1")
	hung, err := net.Dial("unix", successorSocket(t, srv.Dir)) // a successor that sends nothing
	require.NoError(t, err)
	t.Cleanup(func() { _ = hung.Close() })
	requireWorking("k2")
	killed := srv.start()
	require.NoError(t, killed.Signal(syscall.SIGKILL))
	require.Error(t, killed.Wait())
	awaitLog(t, old, "successor is gone")
	requireWorking("k3")
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait())
	old = next
	conn = srv.dialIdle()
	requireWorking("k4")
	requireWorking("k1")
	require.NoError(t, next.Signal(syscall.SIGTERM))
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

// Only one process may own the keys if the connection between two running processes breaks, here because the new
// process was stalled for too long: when it resumes it exits with an error, and the old process keeps serving.
func TestConnectionBetweenProcessesLost(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	next := srv.start()
	require.NoError(t, next.Stall())
	conn := srv.dial()
	padding := strings.Repeat("x", 1900)
	for i := 0; !strings.Contains(old.Log(), "the successor is gone"); i++ {
		require.Less(t, i, 5000, "the data that the successor has not read is bounded")
		body := fmt.Sprintf("%d%s", i, padding)
		pending := srv.sendRequest(conn, "lot-intake", fmt.Sprintf("k%d", i), body)
		_, err := pending.Await()
		require.NoError(t, err)
	}
	require.NoError(t, next.Signal(syscall.SIGCONT))
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errCannotTakeOver.Error())
	srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "k0", "0"+padding), "0"+padding)
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

// Upgrades must not lose requests: during many upgrades under load, on kept and on new connections, each request gets a
// reply, and no keyed request runs twice.
func TestUpgradesUnderLoad(t *testing.T) {
	t.Parallel()
	upgradeUnderLoad(t, *upgradeCount)
}

var (
	upgradeCount = flag.Int("upgrades", 6, "number of upgrades in TestUpgradesUnderLoad")
	memoryMB     = flag.Int("memory-mb", 64, "memory limit of the servers under test, in MB")
	measureFor   = flag.Duration("measure", time.Second, "duration of the load in TestOperatorsUnderLoad")
)

// upgradeUnderLoad upgrades a server several times while callers send requests, and logs durations and memory use.
func upgradeUnderLoad(t *testing.T, upgrades int) {
	t.Helper()
	srv := newTestServer(t)
	current := srv.start()
	load := &upgradeLoad{t: t, listen: srv.Listen}
	load.start()
	var took, memory []float64 // ms from the successor's readiness to the old process's end; MB of both processes
	for range upgrades {
		before := load.answered.Load()
		next := srv.start()
		ready := time.Now()
		require.NoError(t, current.Signal(syscall.SIGTERM))
		memory = append(memory, float64(current.Memory()+next.Memory())/(1<<20))
		require.NoError(t, current.Wait(), current.Log())
		took = append(took, float64(time.Since(ready).Microseconds())/1000)
		answered := func() bool { return load.answered.Load() > before }
		require.Eventually(t, answered, processtest.WaitTimeout, time.Millisecond)
		current = next
	}
	load.end()
	slices.Sort(took)
	t.Logf("%d upgrades, %d requests answered, %d without a reply; from readiness to the old process's end %.0f ms at "+
		"the median, %.0f at most; both processes together used %.1f MB at most",
		upgrades, load.answered.Load(), load.unanswered.Load(), took[len(took)/2], took[len(took)-1], slices.Max(memory))
	require.Zero(t, load.unanswered.Load())
	srv.requireNoDuplicateRuns()
}

// upgradeLoad is a set of callers that each send one request after another. Half of the callers open a new connection
// for each request.
type upgradeLoad struct {
	t          *testing.T
	listen     string
	stop       atomic.Bool
	callers    sync.WaitGroup
	answered   atomic.Int64
	unanswered atomic.Int64
}

func (l *upgradeLoad) start() {
	for i := range 8 {
		l.callers.Go(func() { l.call(i, i%2 == 1) })
	}
}

func (l *upgradeLoad) end() {
	l.stop.Store(true)
	l.callers.Wait()
}

// call sends the requests of one caller until end is called.
func (l *upgradeLoad) call(caller int, keepsConn bool) {
	var conn *processtest.Conn
	for n := 0; !l.stop.Load(); n++ {
		if conn != nil && (!keepsConn || !conn.Usable()) {
			conn.Close()
			conn = nil
		}
		if conn == nil {
			var err error
			if conn, err = processtest.Dial(l.listen); err != nil {
				l.unanswered.Add(1)
				l.t.Errorf("connection refused: %v", err)
				conn = nil
				continue
			}
		}
		body := fmt.Sprintf("lot %d/%d", caller, n)
		err := sendKeyed(conn, body)
		if err != nil && conn.FarewellReceived() { // the request crossed the farewell: a proxy sends it once more
			if conn, err = processtest.Dial(l.listen); err == nil {
				err = sendKeyed(conn, body)
			}
		}
		if err != nil {
			l.unanswered.Add(1)
			l.t.Errorf("%s: %v", body, err)
			conn = nil
			continue
		}
		l.answered.Add(1)
	}
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

// Operators' calls must succeed under load: at 150% of the worker pool's capacity, and with 1000 silent connections.
// The test logs their latency and does not check it.
func TestOperatorsUnderLoad(t *testing.T) {
	srv := newTestServer(t)
	process, err := srv.Start(func(cfg map[string]any) {
		cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 1200}
	})
	require.NoError(t, err)
	require.NoError(t, process.AwaitReady())
	const slots, runTook = 2, 4 * time.Millisecond
	process.Pool.SetRunDuration(slots, runTook)
	const interval = runTook / slots * 2 / 3 // 150% of the capacity of the slots
	for i := range 1000 {
		addr := srv.Listen
		if i%10 == 0 {
			addr = process.Admin
		}
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	until := time.Now().Add(*measureFor)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { // open loop: it does not wait for replies
		defer wg.Done()
		conn, sent := srv.dial(), 0
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for time.Now().Before(until) {
			<-tick.C
			if sent++; sent%16 == 0 || !conn.Usable() {
				conn = srv.dial()
			}
			_, _ = conn.Send(processtest.Request{Class: "block-view", Body: "v", ArrivedAt: time.Now()})
		}
	}()
	var took []float64
	for time.Now().Before(until) {
		startedAt := time.Now()
		status, body, err := process.AdminCall(http.MethodGet, "/control/counters")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		took = append(took, float64(time.Since(startedAt).Microseconds())/1000)
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	slices.Sort(took)
	_, body, err := process.AdminCall(http.MethodGet, "/control/counters")
	require.NoError(t, err)
	t.Logf("%d calls: %.2f ms at the median, %.2f at 99%%, %.2f at most; %s",
		len(took), took[len(took)/2], took[len(took)*99/100], took[len(took)-1], body)
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

// Only one process may own the keys if the predecessor runs but does not answer: the new process exits with an error,
// and the old one keeps serving once it resumes.
func TestStalledPredecessor(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "k1", "one"), "one")
	require.NoError(t, old.Stall())
	next, err := srv.Start(nil)
	require.NoError(t, err)
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errCannotTakeOver.Error())
	require.NoError(t, old.Signal(syscall.SIGCONT))
	srv.requireServed(srv.sendRequest(srv.dial(), "lot-intake", "k1", "one"), "one")
	srv.requireNoDuplicateRuns()
}

// The error must tell an operator why a takeover is impossible: if a foreign process answers the first attempt and not
// the later ones, the timeout of the last attempt must not replace the error of the first.
func TestTimeoutDoesNotHideTheReason(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pw")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	cfg := config.Config{Name: "n0", Listen: "127.0.0.1:2", AdminAddress: "127.0.0.1:1"}
	listener, err := net.Listen("unix", filepath.Join(dir, socketPrefix(cfg)+"1"))
	require.NoError(t, err)
	var accepted []net.Conn // an unreferenced connection would be closed by the garbage collector
	accepting := make(chan struct{})
	go func() { // ends with the listener
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if accepted = append(accepted, conn); len(accepted) == 1 {
				_, _ = conn.Write([]byte("HTTP/1.1")) // later connections get no data
			}
		}
	}()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		<-accepting
		for _, conn := range accepted {
			require.NoError(t, conn.Close())
		}
	})
	search := predecessorSearch{dir: dir, cfg: cfg, timeout: 10 * predecessorRetryInterval, logger: zap.NewNop()}
	_, err = search.run()
	require.ErrorIs(t, err, errCannotTakeOver)
	require.ErrorContains(t, err, "no preamble")
}

// A start must cope with any files in $TMPDIR: the socket of a dead process is removed, a file that is not a socket is
// skipped, and a running process that speaks another version, or does not speak the protocol, is an error.
func TestLeftoverSockets(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pw")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	cfg := config.Config{Name: "n0", Listen: "127.0.0.1:2", AdminAddress: "127.0.0.1:1"}
	socketPath := func(n int) string { return filepath.Join(dir, socketPrefix(cfg)+strconv.Itoa(n)) }
	search := predecessorSearch{dir: dir, cfg: cfg, timeout: 10 * predecessorRetryInterval, logger: zap.NewNop()}
	require.NoError(t, os.WriteFile(socketPath(1), []byte("not a socket"), 0o600))
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: socketPath(2), Net: "unix"})
	require.NoError(t, err)
	ln.SetUnlinkOnClose(false)
	require.NoError(t, ln.Close()) // a killed process leaves its socket behind in the same way
	found, err := search.run()
	require.NoError(t, err)
	require.Nil(t, found)
	require.FileExists(t, socketPath(1))
	require.NoFileExists(t, socketPath(2))
	// Sockets of another user, and of a server at another address, are ignored.
	other, err := net.Listen("unix", socketPath(4))
	require.NoError(t, err)
	if os.Geteuid() == 0 { // only root may change the owner
		require.NoError(t, os.Chown(socketPath(4), 12345, -1))
		found, err = search.run()
		require.NoError(t, err)
		require.Nil(t, found)
	}
	require.NoError(t, other.Close())
	elsewhere := cfg
	elsewhere.Listen = "127.0.0.1:3"
	elsewhereListener := listenForSuccessor(dir, elsewhere, zap.NewNop())
	require.NotNil(t, elsewhereListener)
	info, err := os.Stat(elsewhereListener.Addr().String())
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "any process that can connect can take over")
	found, err = search.run()
	require.NoError(t, err)
	require.Nil(t, found)
	require.NoError(t, elsewhereListener.Close())
	require.Nil(t, listenForSuccessor(filepath.Join(dir, "none"), cfg, zap.NewNop()), "no hot restarts without it")
	search.dir = filepath.Join(dir, "none")
	found, err = search.run()
	search.dir = dir
	require.NoError(t, err, "a missing directory does not prevent the start")
	require.Nil(t, found)
	for sent, want := range map[string]string{
		"pwtu\x00\x02":                     "another version",
		"pwtu\x00\x01\xff\xff\xff\xff":     "broken frame",
		"pwtu\x00\x01\x00\x00\x00\x01\xa0": "broken frame",
		"HTTP/1.1":                         "no preamble",
	} {
		ln, err := net.Listen("unix", socketPath(3))
		require.NoError(t, err)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(sent))
				defer func() { _ = conn.Close() }()
			}
		}()
		_, err = search.run()
		require.ErrorIs(t, err, errCannotTakeOver)
		require.ErrorContains(t, err, want)
		require.NoError(t, ln.Close())
	}
}
