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

// testServer is one log server, of which several processes may live at once.
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
	dir, err := os.MkdirTemp("", "pw") // short: a socket's path has to fit
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

func (s *testServer) ask(c *processtest.Conn, class, once, body string) processtest.PendingRequest {
	a, err := c.Send(processtest.Request{Class: class, Key: once, Body: body, ArrivedAt: time.Now()})
	require.NoError(s.t, err)
	return a
}

func (s *testServer) served(a processtest.PendingRequest, body string) {
	s.t.Helper()
	p, err := a.Await()
	require.NoError(s.t, err)
	require.Equal(s.t, thrift.ReplyAnswer, p.Kind, body)
	require.Equal(s.t, "did "+body, string(p.Body))
}

func (s *testServer) failed(a processtest.PendingRequest) {
	s.t.Helper()
	p, err := a.Await()
	require.NoError(s.t, err)
	require.Equal(s.t, thrift.ReplyBroken, p.Kind, "neither served nor refused: whether it ran is not known")
}

func (s *testServer) once() { require.Empty(s.t, s.RunLog.DuplicateRuns()) }

// Guards the once-only rule across an upgrade: an intake read by the old process, and its repeat by the new one while
// it runs there, once it has run, and while it is held and has not run yet.
func TestRepeatAtTheSuccessor(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	c := srv.dial()
	srv.served(srv.ask(c, "lot-intake", "k1", "one"), "one")
	old.Pool.Hold()
	running := srv.ask(c, "lot-intake", "k2", "two")
	require.NoError(t, old.Pool.AwaitRunStart("two"))
	var fill []processtest.PendingRequest
	for i := range 10 { // more than may run at once: the last are held
		fill = append(fill, srv.ask(c, "lot-intake", fmt.Sprintf("f%d", i), fmt.Sprintf("fill%d", i)))
	}
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	awaitLog(t, next, "has handed over")
	d := srv.dial()
	srv.served(srv.ask(d, "lot-intake", "k1", "one"), "one")
	again := srv.ask(d, "lot-intake", "k2", "two")
	var repeats []processtest.PendingRequest
	for i := range 10 {
		repeats = append(repeats, srv.ask(d, "lot-intake", fmt.Sprintf("f%d", i), fmt.Sprintf("fill%d", i)))
	}
	srv.served(srv.ask(d, "lot-intake", "k3", "three"), "three") // a key that nobody knows is the new one's
	old.Pool.Release()
	srv.served(running, "two")
	srv.served(again, "two")
	for i := range fill {
		srv.served(repeats[i], fmt.Sprintf("fill%d", i))
	}
	require.NoError(t, old.Wait(), old.Log())
	srv.once()
}

// Guards the once-only rule against the death of the old process while it runs an intake, or holds one: the repeats
// fail, as it may have run, and none is refused or run; what it had ended is served.
func TestOldOneKilled(t *testing.T) {
	t.Parallel()
	for _, handed := range []bool{false, true} {
		t.Run(fmt.Sprintf("handed over %v", handed), func(t *testing.T) {
			srv := newTestServer(t)
			old := srv.start()
			c := srv.dial()
			srv.served(srv.ask(c, "lot-intake", "k1", "one"), "one")
			old.Pool.Hold()
			for _, k := range []string{"two", "three", "four"} { // the last is held: two may run at once
				srv.ask(c, "lot-intake", k, k)
			}
			require.NoError(t, old.Pool.AwaitRunStart("two"))
			next := srv.start()
			if handed {
				require.NoError(t, old.Signal(syscall.SIGTERM))
				awaitLog(t, next, "has handed over")
				d := srv.dial()
				waits, held := srv.ask(d, "lot-intake", "two", "two"), srv.ask(d, "lot-intake", "four", "four")
				require.NoError(t, old.Signal(syscall.SIGKILL))
				srv.failed(waits)
				srv.failed(held) // it may have been run since it was handed over as held
			} else {
				require.NoError(t, old.Signal(syscall.SIGKILL))
			}
			require.Error(t, old.Wait())
			awaitLog(t, next, "predecessor is gone")
			conn := srv.dial()
			srv.served(srv.ask(conn, "lot-intake", "k1", "one"), "one")
			srv.failed(srv.ask(conn, "lot-intake", "two", "two"))
			if handed {
				srv.failed(srv.ask(conn, "lot-intake", "four", "four"))
			} else { // the successor knows whether the old one had begun it by then; either way it runs once
				p, err := srv.ask(conn, "lot-intake", "four", "four").Await()
				require.NoError(t, err)
				require.Contains(t, []thrift.ReplyKind{thrift.ReplyAnswer, thrift.ReplyBroken}, p.Kind)
				require.Len(t, srv.RunLog.Runs("four"), 1)
			}
			srv.served(srv.ask(conn, "lot-intake", "new", "new"), "new")
			srv.served(srv.ask(conn, "block-view", "", "view"), "view")
			srv.once()
		})
	}
}

// Guards the server at work against a successor that comes to nothing: one that does not start, one that hangs before
// it is ready, and one that is killed once it is. The next upgrade goes through all the same.
func TestSuccessorComesToNothing(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	conn := srv.dial()
	works := func(once string) {
		srv.served(srv.ask(conn, "lot-intake", once, once), once)
		srv.served(srv.ask(srv.dial(), "lot-intake", once, once), once)
		good, err := processtest.CheckHealth(srv.Listen)
		require.NoError(t, err)
		require.True(t, good)
	}
	faulty, err := srv.Start(func(cfg map[string]any) { cfg["listen"] = "nowhere" })
	require.NoError(t, err)
	require.Error(t, faulty.Wait())
	works("k1")
	hung, err := net.Dial("unix", waitsAt(t, srv.Dir)) // says nothing
	require.NoError(t, err)
	t.Cleanup(func() { _ = hung.Close() })
	works("k2")
	killed := srv.start()
	require.NoError(t, killed.Signal(syscall.SIGKILL))
	require.Error(t, killed.Wait())
	awaitLog(t, old, "successor is gone")
	works("k3")
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait())
	conn = srv.dial()
	works("k4")
	works("k1")
	require.NoError(t, next.Signal(syscall.SIGTERM))
	srv.once()
}

// Guards what the old process has read, and who comes in the moment of the change: 32 open requests on each of many
// connections all get their answers, and a connection that was opened to the old one, with its first request still to
// come, is served.
func TestManyOpenAtTheChange(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	var open []processtest.PendingRequest
	var bodies []string
	for i := range 12 {
		c := srv.dial()
		for j := range 32 {
			bodies = append(bodies, fmt.Sprintf("lot %d/%d", i, j))
			open = append(open, srv.ask(c, "lot-intake", bodies[len(bodies)-1], bodies[len(bodies)-1]))
		}
	}
	silent := srv.dial()
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	// It crosses the farewell, if it has not read that yet.
	first, err := silent.Send(processtest.NewKeyedRequest("first"))
	if err != nil {
		first = srv.ask(srv.dial(), "lot-intake", "first", "first")
	}
	old.Pool.Release()
	for i, a := range open {
		p, err := a.Await()
		require.NoError(t, err, bodies[i])
		if p.Kind == thrift.ReplyAnswer {
			require.Equal(t, "did "+bodies[i], string(p.Body))
		} else { // what never ran may be refused, and may come again at the successor
			require.Equal(t, thrift.ReplyThrottled, p.Kind, "%s: %v", bodies[i], p)
			require.Empty(t, srv.RunLog.Runs(bodies[i]), "refused though it ran")
		}
	}
	if _, err := first.Await(); err != nil {
		srv.served(srv.ask(srv.dial(), "lot-intake", "first", "first"), "first")
	}
	require.NoError(t, old.Wait(), old.Log())
	require.False(t, next.Ended())
	srv.once()
}

// Guards the time to leave: an old process whose runs never end answers what it has read, and is gone before it would
// be killed. What it held is not known to have run, and is not run by the successor.
func TestOldOneLeavesInTime(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	a := srv.ask(srv.dial(), "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitRunStart("one"))
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	srv.failed(a)
	require.NoError(t, old.Wait(), "it ends by itself")
	awaitLog(t, next, "predecessor is gone")
	srv.failed(srv.ask(srv.dial(), "lot-intake", "k1", "one"))
	srv.once()
}

// Guards the keys where the link breaks between two processes that both live, as the new one stood still for too long:
// it ends with an error when it wakes, and the old one serves on.
func TestLinkBreaksBetweenTheLiving(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	next := srv.start()
	require.NoError(t, next.Stall())
	c := srv.dial()
	long := strings.Repeat("x", 1900)
	for i := 0; !strings.Contains(old.Log(), "the successor is gone"); i++ {
		require.Less(t, i, 5000, "what the successor does not read is bounded")
		body := fmt.Sprintf("%d%s", i, long)
		a := srv.ask(c, "lot-intake", fmt.Sprintf("k%d", i), body)
		_, err := a.Await()
		require.NoError(t, err)
	}
	require.NoError(t, next.Signal(syscall.SIGCONT))
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errNotOurs.Error())
	srv.served(srv.ask(srv.dial(), "lot-intake", "k0", "0"+long), "0"+long)
	srv.once()
}

// Guards one limit for two processes: their sockets together stay within it, however many connections stay open in
// silence.
func TestBothWithinOneLimit(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	small := func(cfg map[string]any) {
		cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 160}
	}
	start := func() *processtest.Process {
		p, err := srv.Start(small)
		require.NoError(t, err)
		require.NoError(t, p.AwaitReady())
		return p
	}
	old := start()
	var crowd []*processtest.Conn
	idle := func() {
		c := srv.dial()
		crowd = append(crowd, c)
		// The connection is known, then silent; or it is closed to make room.
		a, err := c.Send(processtest.Request{Class: "block-view", Body: "v", ArrivedAt: time.Now()})
		if err == nil {
			_, _ = a.Await()
		}
	}
	for range 140 {
		idle()
	}
	next := start()
	sum := func() int { return len(openSockets(old.PID())) + len(openSockets(next.PID())) }
	require.LessOrEqual(t, sum(), 160)
	require.NoError(t, old.Signal(syscall.SIGTERM))
	for range 140 {
		idle()
		require.LessOrEqual(t, sum(), 160)
	}
	require.NoError(t, old.Wait())
}

// Guards a reload in the middle of an upgrade: both processes take the new settings, and an intake of a class that one
// of them has dropped is still the same intake to both.
func TestReloadDuringAnUpgrade(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	running := srv.ask(srv.dial(), "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitRunStart("one"))
	next := srv.start()
	reload := func(process *processtest.Process, pool string) {
		var set map[string]any
		require.NoError(t, json.Unmarshal(srv.Settings, &set))
		classes := set["classes"].([]any)
		more := map[string]any{
			"name": "grape-count", "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free",
		}
		set["classes"] = append([]any{more}, classes[0], classes[2])
		require.NoError(t, process.WriteConfig(map[string]any{
			"name":     "n0",
			"listen":   srv.Listen,
			"pool":     pool,
			"admin":    process.Admin,
			"stop_ms":  3200,
			"seed":     "8c1f30d27a5be964",
			"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512},
			"settings": set,
		}))
		require.NoError(t, process.Signal(syscall.SIGHUP))
		awaitLog(t, process, `"classes": "grape-count block-view lot-intake"`)
	}
	reload(next, next.Pool.Addr())
	require.NoError(t, old.Signal(syscall.SIGTERM))
	reload(old, old.Pool.Addr())
	awaitLog(t, next, "has handed over")
	d := srv.dial()
	again := srv.ask(d, "lot-intake", "k1", "one")
	srv.served(srv.ask(d, "grape-count", "", "grapes"), "grapes")
	old.Pool.Release()
	srv.served(running, "one")
	srv.served(again, "one")
	require.NoError(t, old.Wait())
	srv.once()
}

// awaitLog waits until a process has logged a text.
func awaitLog(t *testing.T, p *processtest.Process, text string) {
	t.Helper()
	logged := func() bool { return strings.Contains(p.Log(), text) }
	require.Eventually(t, logged, processtest.WaitTimeout, time.Millisecond, "%q in %s", text, processLog{p})
}

// processLog is printed as what a process has logged by then.
type processLog struct{ p *processtest.Process }

// String is part of fmt.Stringer.
func (l processLog) String() string { return l.p.Log() }

// waitsAt is the path where a process waits for a successor.
func waitsAt(t *testing.T, dir string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "pewterline-*"))
	require.NoError(t, err)
	require.Len(t, paths, 1)
	return paths[0]
}

// Guards callers against being turned back unheard: under load, on kept connections and on new ones, upgrade after
// upgrade, each request gets an answer, and no intake runs twice.
func TestUpgradesUnderLoad(t *testing.T) {
	t.Parallel()
	upgrades(t, *upgradesMost)
}

var (
	upgradesMost = flag.Int("upgrades", 6, "how many upgrades TestUpgradesUnderLoad makes")
	memoryMB     = flag.Int("memory-mb", 64, "the limit on memory of the servers under test")
	measureFor   = flag.Duration("measure", time.Second, "for how long TestOperatorsUnderLoad puts load on the server")
)

func upgrades(t *testing.T, n int) {
	t.Helper()
	srv := newTestServer(t)
	current := srv.start()
	load := &upgradeLoad{t: t, listen: srv.Listen}
	load.start()
	var took, memory []float64 // from ready to the old one's end, ms; of both together, MB
	for range n {
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
	t.Logf("%d upgrades, %d requests answered, %d turned back unheard; from ready to the old one's end %.0f ms at the "+
		"median, %.0f at most; both together held %.1f MB at most",
		n, load.answered.Load(), load.unheard.Load(), took[len(took)/2], took[len(took)-1], slices.Max(memory))
	require.Zero(t, load.unheard.Load())
	srv.once()
}

// upgradeLoad are callers that send one request after another, half of them each on a new connection.
type upgradeLoad struct {
	t        *testing.T
	listen   string
	stop     atomic.Bool
	callers  sync.WaitGroup
	answered atomic.Int64
	unheard  atomic.Int64
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

// call sends requests until the end.
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
				l.unheard.Add(1)
				l.t.Errorf("refused: %v", err)
				conn = nil
				continue
			}
		}
		body := fmt.Sprintf("lot %d/%d", caller, n)
		err := sendIntake(conn, body)
		if err != nil && conn.FarewellReceived() { // it crossed the farewell: a proxy sends it once more
			if conn, err = processtest.Dial(l.listen); err == nil {
				err = sendIntake(conn, body)
			}
		}
		if err != nil {
			l.unheard.Add(1)
			l.t.Errorf("%s: %v", body, err)
			conn = nil
			continue
		}
		l.answered.Add(1)
	}
}

// sendIntake sends an intake and waits for its answer.
func sendIntake(conn *processtest.Conn, body string) error {
	pending, err := conn.Send(processtest.NewKeyedRequest(body))
	if err == nil {
		_, err = pending.Await()
	}
	return err
}

// Guards the operators' calls against load: with half as much again as the worker pool can do, and a thousand
// connections that say nothing, each call gets its answer. How soon is measured, and no verdict.
func TestOperatorsUnderLoad(t *testing.T) {
	srv := newTestServer(t)
	process, err := srv.Start(func(cfg map[string]any) {
		cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 1200}
	})
	require.NoError(t, err)
	require.NoError(t, process.AwaitReady())
	const slots, runTook = 2, 4 * time.Millisecond
	process.Pool.SetRunDuration(slots, runTook)
	const every = runTook / slots * 2 / 3 // one and a half times what the slots can do
	for i := range 1000 {
		addr := srv.Listen
		if i%10 == 0 {
			addr = process.Admin
		}
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
	}
	until := time.Now().Add(*measureFor)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { // open loop
		defer wg.Done()
		c, n := srv.dial(), 0
		tick := time.NewTicker(every)
		defer tick.Stop()
		for time.Now().Before(until) {
			<-tick.C
			if n++; n%16 == 0 || !c.Usable() {
				c = srv.dial()
			}
			_, _ = c.Send(processtest.Request{Class: "block-view", Body: "v", ArrivedAt: time.Now()})
		}
	}()
	var took []float64
	for time.Now().Before(until) {
		began := time.Now()
		status, body, err := process.AdminCall(http.MethodGet, "/control/counters")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		took = append(took, float64(time.Since(began).Microseconds())/1000)
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	slices.Sort(took)
	_, body, err := process.AdminCall(http.MethodGet, "/control/counters")
	require.NoError(t, err)
	t.Logf("%d calls: %.2f ms at the median, %.2f at 99%%, %.2f at most; %s",
		len(took), took[len(took)/2], took[len(took)*99/100], took[len(took)-1], body)
}

// Guards against three processes at once: a second upgrade while the first is not over waits until the old one is gone.
func TestSecondUpgradeWaits(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	old.Pool.Hold()
	c := srv.dial()
	running := srv.ask(c, "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitRunStart("one"))
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	third, err := srv.Start(nil)
	require.NoError(t, err)
	awaitLog(t, next, `a successor is rejected {"reason": "an upgrade is under way"}`)
	old.Pool.Release()
	srv.served(running, "one")
	require.NoError(t, old.Wait())
	require.NoError(t, third.AwaitReady())
	require.NoError(t, next.Signal(syscall.SIGTERM))
	require.NoError(t, next.Wait())
	srv.served(srv.ask(srv.dial(), "lot-intake", "k1", "one"), "one") // known through two hand-overs
	srv.once()
}

// Out of service is a word about the log server: its next process is out as well, until it is told otherwise.
func TestOutOfServiceOutlivesAnUpgrade(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	call := func(p *processtest.Process, word string) {
		status, body, err := p.AdminCall(http.MethodPut, "/control/"+word)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
	good := func(want bool) {
		require.Eventually(t, func() bool {
			good, err := processtest.CheckHealth(srv.Listen)
			return err == nil && good == want
		}, processtest.WaitTimeout, time.Millisecond)
	}
	call(old, "out-of-service")
	next := srv.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	good(false)
	require.NoError(t, old.Wait())
	good(false)
	call(next, "in-service")
	good(true)
}

// Guards the keys against a predecessor that lives but does not answer: the new process ends with an error, and the old
// one serves on once it wakes.
func TestStalledPredecessor(t *testing.T) {
	t.Parallel()
	srv := newTestServer(t)
	old := srv.start()
	srv.served(srv.ask(srv.dial(), "lot-intake", "k1", "one"), "one")
	require.NoError(t, old.Stall())
	next, err := srv.Start(nil)
	require.NoError(t, err)
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errNotOurs.Error())
	require.NoError(t, old.Signal(syscall.SIGCONT))
	srv.served(srv.ask(srv.dial(), "lot-intake", "k1", "one"), "one")
	srv.once()
}

// Guards the reason that an operator reads: where a process that is none of ours answers once and is silent then, the
// timeout of the last attempt does not hide what the first one has shown.
func TestTimeoutDoesNotHideTheReason(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pw")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	cfg := config.Config{Name: "n0", Listen: "127.0.0.1:2", AdminAddress: "127.0.0.1:1"}
	listener, err := net.Listen("unix", filepath.Join(dir, socketPrefix(cfg)+"1"))
	require.NoError(t, err)
	var held []net.Conn // an unreferenced connection would be closed by the garbage collector
	accepting := make(chan struct{})
	go func() { // ends with the listener
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if held = append(held, conn); len(held) == 1 {
				_, _ = conn.Write([]byte("HTTP/1.1")) // later connections wait in vain
			}
		}
	}()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		<-accepting
		for _, conn := range held {
			require.NoError(t, conn.Close())
		}
	})
	search := predecessorSearch{dir: dir, cfg: cfg, patience: 10 * predecessorRetryInterval, logger: zap.NewNop()}
	_, err = search.run()
	require.ErrorIs(t, err, errNotOurs)
	require.ErrorContains(t, err, "no preamble")
}

// Guards the start against what lies in $TMPDIR: the socket of a dead process is taken away, what is no socket is
// passed over, and a living process that speaks another version, or nonsense, is never believed.
func TestLeftovers(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pw")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, os.RemoveAll(dir)) })
	cfg := config.Config{Name: "n0", Listen: "127.0.0.1:2", AdminAddress: "127.0.0.1:1"}
	at := func(n int) string { return filepath.Join(dir, socketPrefix(cfg)+strconv.Itoa(n)) }
	search := predecessorSearch{dir: dir, cfg: cfg, patience: 10 * predecessorRetryInterval, logger: zap.NewNop()}
	require.NoError(t, os.WriteFile(at(1), []byte("spoilt"), 0o600))
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: at(2), Net: "unix"})
	require.NoError(t, err)
	ln.SetUnlinkOnClose(false)
	require.NoError(t, ln.Close()) // as a killed process leaves it
	found, err := search.run()
	require.NoError(t, err)
	require.Nil(t, found)
	require.FileExists(t, at(1))
	require.NoFileExists(t, at(2))
	// A socket of another user's, and that of a server at another address, are none of ours.
	other, err := net.Listen("unix", at(4))
	require.NoError(t, err)
	if os.Geteuid() == 0 { // who else could give it away
		require.NoError(t, os.Chown(at(4), 12345, -1))
		found, err = search.run()
		require.NoError(t, err)
		require.Nil(t, found)
	}
	require.NoError(t, other.Close())
	elsewhere := cfg
	elsewhere.Listen = "127.0.0.1:3"
	ours := listenForSuccessor(dir, elsewhere, zap.NewNop())
	require.NotNil(t, ours)
	info, err := os.Stat(ours.Addr().String())
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "whoever may connect may take over")
	found, err = search.run()
	require.NoError(t, err)
	require.Nil(t, found)
	require.NoError(t, ours.Close())
	require.Nil(t, listenForSuccessor(filepath.Join(dir, "none"), cfg, zap.NewNop()), "it serves without")
	search.dir = filepath.Join(dir, "none")
	found, err = search.run()
	search.dir = dir
	require.NoError(t, err, "a folder that is not there is no reason not to start")
	require.Nil(t, found)
	for says, want := range map[string]string{
		"pwtu\x00\x02":                     "another version",
		"pwtu\x00\x01\xff\xff\xff\xff":     "broken frame",
		"pwtu\x00\x01\x00\x00\x00\x01\xa0": "broken frame",
		"HTTP/1.1":                         "no preamble",
	} {
		ln, err := net.Listen("unix", at(3))
		require.NoError(t, err)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte(says))
				defer func() { _ = c.Close() }()
			}
		}()
		_, err = search.run()
		require.ErrorIs(t, err, errNotOurs)
		require.ErrorContains(t, err, want)
		require.NoError(t, ln.Close())
	}
}
