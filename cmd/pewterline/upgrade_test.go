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

type twin struct {
	*processtest.Server
	t *testing.T
}

func newTwin(t *testing.T) *twin {
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
	s := &processtest.Server{Program: path, Dir: dir, Listen: listen, Settings: file.Settings, StopMS: 3200, MemoryMB: *memoryMB, RunLog: processtest.NewRunLog()}
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		_ = os.RemoveAll(dir)
	})
	return &twin{s, t}
}

func (w *twin) start() *processtest.Process {
	p, err := w.Start(nil)
	require.NoError(w.t, err)
	require.NoError(w.t, p.Ready())
	return p
}

func (w *twin) dial() *processtest.Conn {
	c, err := processtest.Dial(w.Listen)
	require.NoError(w.t, err)
	w.t.Cleanup(c.Close)
	return c
}

func (w *twin) ask(c *processtest.Conn, class, once, body string) processtest.PendingRequest {
	a, err := c.Send(class, once, body, time.Now())
	require.NoError(w.t, err)
	return a
}

func (w *twin) served(a processtest.PendingRequest, body string) {
	w.t.Helper()
	p, err := a.Await()
	require.NoError(w.t, err)
	require.Equal(w.t, thrift.ReplyAnswer, p.Kind, body)
	require.Equal(w.t, "did "+body, string(p.Body))
}

func (w *twin) failed(a processtest.PendingRequest) {
	w.t.Helper()
	p, err := a.Await()
	require.NoError(w.t, err)
	require.Equal(w.t, thrift.ReplyBroken, p.Kind, "neither served nor refused: whether it ran is not known")
}

func (w *twin) once() { require.Empty(w.t, w.RunLog.DuplicateRuns()) }

// Guards the once-only rule across an upgrade: an intake read by the old process, and its repeat by the new one while it runs
// there, once it has run, and while it is held and has not run yet.
func TestRepeatAtTheSuccessor(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	c := w.dial()
	w.served(w.ask(c, "lot-intake", "k1", "one"), "one")
	old.Pool.Hold()
	running := w.ask(c, "lot-intake", "k2", "two")
	require.NoError(t, old.Pool.AwaitStart("two"))
	var fill []processtest.PendingRequest
	for i := range 10 { // more than may run at once: the last are held
		fill = append(fill, w.ask(c, "lot-intake", fmt.Sprintf("f%d", i), fmt.Sprintf("fill%d", i)))
	}
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return strings.Contains(next.Log(), "has handed over") }, processtest.Patience, time.Millisecond)
	d := w.dial()
	w.served(w.ask(d, "lot-intake", "k1", "one"), "one")
	again := w.ask(d, "lot-intake", "k2", "two")
	var repeats []processtest.PendingRequest
	for i := range 10 {
		repeats = append(repeats, w.ask(d, "lot-intake", fmt.Sprintf("f%d", i), fmt.Sprintf("fill%d", i)))
	}
	w.served(w.ask(d, "lot-intake", "k3", "three"), "three") // a key that nobody knows is the new one's
	old.Pool.Release()
	w.served(running, "two")
	w.served(again, "two")
	for i := range fill {
		w.served(repeats[i], fmt.Sprintf("fill%d", i))
	}
	require.NoError(t, old.Wait(), old.Log())
	w.once()
}

// Guards the once-only rule against the death of the old process while it runs an intake, or holds one: the repeats fail, as
// it may have run, and none is refused or run; what it had ended is served.
func TestOldOneKilled(t *testing.T) {
	t.Parallel()
	for _, handed := range []bool{false, true} {
		t.Run(fmt.Sprintf("handed over %v", handed), func(t *testing.T) {
			w := newTwin(t)
			old := w.start()
			c := w.dial()
			w.served(w.ask(c, "lot-intake", "k1", "one"), "one")
			old.Pool.Hold()
			for _, k := range []string{"two", "three", "four"} { // the last is held: two may run at once
				w.ask(c, "lot-intake", k, k)
			}
			require.NoError(t, old.Pool.AwaitStart("two"))
			next := w.start()
			if handed {
				require.NoError(t, old.Signal(syscall.SIGTERM))
				require.Eventually(t, func() bool { return strings.Contains(next.Log(), "has handed over") }, processtest.Patience, time.Millisecond)
				d := w.dial()
				waits, held := w.ask(d, "lot-intake", "two", "two"), w.ask(d, "lot-intake", "four", "four")
				require.NoError(t, old.Signal(syscall.SIGKILL))
				w.failed(waits)
				w.failed(held) // it may have been run since it was handed over as held
			} else {
				require.NoError(t, old.Signal(syscall.SIGKILL))
			}
			require.Error(t, old.Wait())
			require.Eventually(t, func() bool { return strings.Contains(next.Log(), "predecessor is gone") }, processtest.Patience, time.Millisecond)
			d := w.dial()
			w.served(w.ask(d, "lot-intake", "k1", "one"), "one")
			w.failed(w.ask(d, "lot-intake", "two", "two"))
			if handed {
				w.failed(w.ask(d, "lot-intake", "four", "four"))
			} else { // the successor knows whether the old one had begun it by then; either way it runs once
				p, err := w.ask(d, "lot-intake", "four", "four").Await()
				require.NoError(t, err)
				require.Contains(t, []thrift.ReplyKind{thrift.ReplyAnswer, thrift.ReplyBroken}, p.Kind)
				require.Len(t, w.RunLog.Runs("four"), 1)
			}
			w.served(w.ask(d, "lot-intake", "new", "new"), "new")
			w.served(w.ask(d, "block-view", "", "view"), "view")
			w.once()
		})
	}
}

// Guards the server at work against a successor that comes to nothing: one that does not start, one that hangs before it is
// ready, and one that is killed once it is. The next upgrade goes through all the same.
func TestSuccessorComesToNothing(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	c := w.dial()
	works := func(once string) {
		w.served(w.ask(c, "lot-intake", once, once), once)
		w.served(w.ask(w.dial(), "lot-intake", once, once), once)
		good, err := processtest.CheckHealth(w.Listen)
		require.NoError(t, err)
		require.True(t, good)
	}
	faulty, err := w.Start(func(cfg map[string]any) { cfg["listen"] = "nowhere" })
	require.NoError(t, err)
	require.Error(t, faulty.Wait())
	works("k1")
	hung, err := net.Dial("unix", waitsAt(t, w.Dir)) // says nothing
	require.NoError(t, err)
	defer hung.Close()
	works("k2")
	killed := w.start()
	require.NoError(t, killed.Signal(syscall.SIGKILL))
	require.Error(t, killed.Wait())
	require.Eventually(t, func() bool { return strings.Contains(old.Log(), "successor is gone") }, processtest.Patience, time.Millisecond)
	works("k3")
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	require.NoError(t, old.Wait())
	c = w.dial()
	works("k4")
	works("k1")
	require.NoError(t, next.Signal(syscall.SIGTERM))
	w.once()
}

// Guards what the old process has read, and who comes in the moment of the change: 32 open requests on each of many connections
// all get their answers, and a connection that was opened to the old one, with its first request still to come, is served.
func TestManyOpenAtTheChange(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	old.Pool.Hold()
	var open []processtest.PendingRequest
	var bodies []string
	for i := range 12 {
		c := w.dial()
		for j := range 32 {
			bodies = append(bodies, fmt.Sprintf("lot %d/%d", i, j))
			open = append(open, w.ask(c, "lot-intake", bodies[len(bodies)-1], bodies[len(bodies)-1]))
		}
	}
	silent := w.dial()
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	first, err := silent.Send("lot-intake", "first", "first", time.Now()) // crosses the farewell, if it has not read it yet
	if err != nil {
		first = w.ask(w.dial(), "lot-intake", "first", "first")
	}
	old.Pool.Release()
	for i, a := range open {
		p, err := a.Await()
		require.NoError(t, err, bodies[i])
		if p.Kind == thrift.ReplyAnswer {
			require.Equal(t, "did "+bodies[i], string(p.Body))
		} else { // what never ran may be refused, and may come again at the successor
			require.Equal(t, thrift.ReplyThrottled, p.Kind, "%s: %v", bodies[i], p)
			require.Empty(t, w.RunLog.Runs(bodies[i]), "refused though it ran")
		}
	}
	if _, err := first.Await(); err != nil {
		w.served(w.ask(w.dial(), "lot-intake", "first", "first"), "first")
	}
	require.NoError(t, old.Wait(), old.Log())
	require.False(t, next.Ended())
	w.once()
}

// Guards the time to leave: an old process whose runs never end answers what it has read, and is gone before it would be
// killed. What it held is not known to have run, and is not run by the successor.
func TestOldOneLeavesInTime(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	old.Pool.Hold()
	a := w.ask(w.dial(), "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitStart("one"))
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	w.failed(a)
	require.NoError(t, old.Wait(), "it ends by itself")
	require.Eventually(t, func() bool { return strings.Contains(next.Log(), "predecessor is gone") }, processtest.Patience, time.Millisecond)
	w.failed(w.ask(w.dial(), "lot-intake", "k1", "one"))
	w.once()
}

// Guards the keys where the link breaks between two processes that both live, as the new one stood still for too long: it
// ends with an error when it wakes, and the old one serves on.
func TestLinkBreaksBetweenTheLiving(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	next := w.start()
	require.NoError(t, next.Stall())
	c := w.dial()
	long := strings.Repeat("x", 1900)
	for i := 0; !strings.Contains(old.Log(), "the successor is gone"); i++ {
		require.Less(t, i, 5000, "what the successor does not read is bounded")
		body := fmt.Sprintf("%d%s", i, long)
		a := w.ask(c, "lot-intake", fmt.Sprintf("k%d", i), body)
		_, err := a.Await()
		require.NoError(t, err)
	}
	require.NoError(t, next.Signal(syscall.SIGCONT))
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errOther.Error())
	w.served(w.ask(w.dial(), "lot-intake", "k0", "0"+long), "0"+long)
	w.once()
}

// Guards one limit for two processes: their sockets together stay within it, however many connections stay open in silence.
func TestBothWithinOneLimit(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	small := func(cfg map[string]any) {
		cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 160}
	}
	start := func() *processtest.Process {
		p, err := w.Start(small)
		require.NoError(t, err)
		require.NoError(t, p.Ready())
		return p
	}
	old := start()
	var crowd []*processtest.Conn
	idle := func() {
		c := w.dial()
		crowd = append(crowd, c)
		a, err := c.Send("block-view", "", "v", time.Now()) // known, then silent; or closed to make room
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

// Guards a reload in the middle of an upgrade: both processes take the new settings, and an intake of a class that one of
// them has dropped is still the same intake to both.
func TestReloadDuringAnUpgrade(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	old.Pool.Hold()
	a := w.ask(w.dial(), "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitStart("one"))
	next := w.start()
	reload := func(p *processtest.Process, pool string) {
		var set map[string]any
		require.NoError(t, json.Unmarshal(w.Settings, &set))
		classes := set["classes"].([]any)
		more := map[string]any{"name": "grape-count", "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free"}
		set["classes"] = append([]any{more}, classes[0], classes[2])
		require.NoError(t, p.Rewrite(map[string]any{"name": "n0", "listen": w.Listen, "pool": pool, "admin": p.Admin, "stop_ms": 3200,
			"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512}, "settings": set}))
		require.NoError(t, p.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Contains(p.Log(), "classes grape-count block-view lot-intake") }, processtest.Patience, time.Millisecond, "%s", &logged{p})
	}
	reload(next, next.Pool.Addr())
	require.NoError(t, old.Signal(syscall.SIGTERM))
	reload(old, old.Pool.Addr())
	require.Eventually(t, func() bool { return strings.Contains(next.Log(), "has handed over") }, processtest.Patience, time.Millisecond)
	d := w.dial()
	again := w.ask(d, "lot-intake", "k1", "one")
	w.served(w.ask(d, "grape-count", "", "grapes"), "grapes")
	old.Pool.Release()
	w.served(a, "one")
	w.served(again, "one")
	require.NoError(t, old.Wait())
	w.once()
}

// logged prints what a process has logged by then.
type logged struct{ p *processtest.Process }

func (l *logged) String() string { return l.p.Log() }

// waitsAt is the path where a process waits for a successor.
func waitsAt(t *testing.T, dir string) string {
	paths, err := filepath.Glob(filepath.Join(dir, "pewterline-*"))
	require.NoError(t, err)
	require.Len(t, paths, 1)
	return paths[0]
}

// Guards callers against being turned back unheard: under load, on kept connections and on new ones, upgrade after upgrade,
// each request gets an answer, and no intake runs twice.
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
	w := newTwin(t)
	at := w.start()
	var stop atomic.Bool
	var answered, unheard atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *processtest.Conn
			for j := 0; !stop.Load(); j++ {
				if c == nil || !c.Usable() || i%2 == 0 { // half of them come on new connections
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = processtest.Dial(w.Listen); err != nil {
						unheard.Add(1)
						t.Errorf("refused: %v", err)
						c = nil
						continue
					}
				}
				body := fmt.Sprintf("lot %d/%d", i, j)
				a, err := c.Send("lot-intake", body, body, time.Now())
				if err == nil {
					_, err = a.Await()
				}
				if err != nil && !c.Usable() && i%2 == 1 { // it crossed the farewell: a proxy sends it once more
					if c, err = processtest.Dial(w.Listen); err == nil {
						if a, err = c.Send("lot-intake", body, body, time.Now()); err == nil {
							_, err = a.Await()
						}
					}
				}
				if err != nil {
					unheard.Add(1)
					t.Errorf("%s: %v", body, err)
					c = nil
					continue
				}
				answered.Add(1)
			}
		}()
	}
	var took, memory []float64 // from ready to the old one's end, ms; of both together, MB
	for range n {
		before := answered.Load()
		next := w.start()
		ready := time.Now()
		require.NoError(t, at.Signal(syscall.SIGTERM))
		memory = append(memory, float64(at.Memory()+next.Memory())/(1<<20))
		require.NoError(t, at.Wait(), at.Log())
		took = append(took, float64(time.Since(ready).Microseconds())/1000)
		require.Eventually(t, func() bool { return answered.Load() > before }, processtest.Patience, time.Millisecond)
		at = next
	}
	stop.Store(true)
	wg.Wait()
	slices.Sort(took)
	t.Logf("%d upgrades, %d requests answered, %d turned back unheard; from ready to the old one's end %.0f ms at the median, %.0f at most; both together held %.1f MB at most",
		n, answered.Load(), unheard.Load(), took[len(took)/2], took[len(took)-1], slices.Max(memory))
	require.Zero(t, unheard.Load())
	w.once()
}

// Guards the operators' calls against load: with half as much again as the worker pool can do, and a thousand connections that
// say nothing, each call gets its answer. How soon is measured, and no verdict.
func TestOperatorsUnderLoad(t *testing.T) {
	w := newTwin(t)
	p, err := w.Start(func(cfg map[string]any) {
		cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 1200}
	})
	require.NoError(t, err)
	require.NoError(t, p.Ready())
	const slots, runTook = 2, 4 * time.Millisecond
	p.Pool.Slow(slots, runTook)
	const every = runTook / slots * 2 / 3 // one and a half times what the slots can do
	for i := range 1000 {
		addr := w.Listen
		if i%10 == 0 {
			addr = p.Admin
		}
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
	}
	until := time.Now().Add(*measureFor)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { // open loop
		defer wg.Done()
		c, n := w.dial(), 0
		tick := time.NewTicker(every)
		defer tick.Stop()
		for time.Now().Before(until) {
			<-tick.C
			if n++; n%16 == 0 || !c.Usable() {
				c = w.dial()
			}
			_, _ = c.Send("block-view", "", "v", time.Now())
		}
	}()
	var took []float64
	for time.Now().Before(until) {
		began := time.Now()
		status, body, err := p.Call(http.MethodGet, "/control/counters")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
		took = append(took, float64(time.Since(began).Microseconds())/1000)
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	slices.Sort(took)
	_, body, err := p.Call(http.MethodGet, "/control/counters")
	require.NoError(t, err)
	t.Logf("%d calls: %.2f ms at the median, %.2f at 99%%, %.2f at most; %s", len(took), took[len(took)/2], took[len(took)*99/100], took[len(took)-1], body)
}

// Guards against three processes at once: a second upgrade while the first is not over waits until the old one is gone.
func TestSecondUpgradeWaits(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	old.Pool.Hold()
	c := w.dial()
	running := w.ask(c, "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.AwaitStart("one"))
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	third, err := w.Start(nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return strings.Contains(next.Log(), "a successor is rejected: an upgrade is under way") }, processtest.Patience, time.Millisecond)
	old.Pool.Release()
	w.served(running, "one")
	require.NoError(t, old.Wait())
	require.NoError(t, third.Ready())
	require.NoError(t, next.Signal(syscall.SIGTERM))
	require.NoError(t, next.Wait())
	w.served(w.ask(w.dial(), "lot-intake", "k1", "one"), "one") // known through two hand-overs
	w.once()
}

// Out of service is a word about the log server: its next process is out as well, until it is told otherwise.
func TestOutOfServiceOutlivesAnUpgrade(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	call := func(p *processtest.Process, word string) {
		status, body, err := p.Call(http.MethodPut, "/control/"+word)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
	good := func(want bool) {
		require.Eventually(t, func() bool {
			good, err := processtest.CheckHealth(w.Listen)
			return err == nil && good == want
		}, processtest.Patience, time.Millisecond)
	}
	call(old, "out-of-service")
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	good(false)
	require.NoError(t, old.Wait())
	good(false)
	call(next, "in-service")
	good(true)
}

// Guards the keys against a predecessor that lives but does not answer: the new process ends with an error, and the old one
// serves on once it wakes.
func TestStalledPredecessor(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	w.served(w.ask(w.dial(), "lot-intake", "k1", "one"), "one")
	require.NoError(t, old.Stall())
	next, err := w.Start(nil)
	require.NoError(t, err)
	require.Error(t, next.Wait())
	require.Contains(t, next.Log(), errOther.Error())
	require.NoError(t, old.Signal(syscall.SIGCONT))
	w.served(w.ask(w.dial(), "lot-intake", "k1", "one"), "one")
	w.once()
}

// Guards the start against what lies in $TMPDIR: the socket of a dead process is taken away, what is no socket is passed
// over, and a living process that speaks another version, or nonsense, is never believed.
func TestLeftovers(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pw")
	require.NoError(t, err)
	defer os.RemoveAll(dir)
	cfg := config.Config{Name: "n0", Listen: "127.0.0.1:2", AdminAddress: "127.0.0.1:1"}
	at := func(n int) string { return filepath.Join(dir, meeting(cfg)+strconv.Itoa(n)) }
	try := func() (*predecessor, error) { return approach(dir, cfg, 3*askAgain, t.Logf) }
	require.NoError(t, os.WriteFile(at(1), []byte("spoilt"), 0o600))
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: at(2), Net: "unix"})
	require.NoError(t, err)
	ln.SetUnlinkOnClose(false)
	require.NoError(t, ln.Close()) // as a killed process leaves it
	p, err := try()
	require.NoError(t, err)
	require.Nil(t, p)
	require.FileExists(t, at(1))
	require.NoFileExists(t, at(2))
	// A socket of another user's, and that of a server at another address, are none of ours.
	other, err := net.Listen("unix", at(4))
	require.NoError(t, err)
	if os.Geteuid() == 0 { // who else could give it away
		require.NoError(t, os.Chown(at(4), 12345, -1))
		p, err = try()
		require.NoError(t, err)
		require.Nil(t, p)
	}
	require.NoError(t, other.Close())
	elsewhere := cfg
	elsewhere.Listen = "127.0.0.1:3"
	ours := meetingPoint(dir, elsewhere, t.Logf)
	require.NotNil(t, ours)
	info, err := os.Stat(ours.Addr().String())
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm(), "whoever may connect may take over")
	p, err = try()
	require.NoError(t, err)
	require.Nil(t, p)
	require.NoError(t, ours.Close())
	require.Nil(t, meetingPoint(filepath.Join(dir, "none"), cfg, t.Logf), "it serves without")
	p, err = approach(filepath.Join(dir, "none"), cfg, askAgain, t.Logf)
	require.NoError(t, err, "a folder that is not there is no reason not to start")
	require.Nil(t, p)
	for says, want := range map[string]string{"pwtu\x00\x02": "another version", "pwtu\x00\x01\xff\xff\xff\xff": "broken frame",
		"pwtu\x00\x01\x00\x00\x00\x01\xa0": "broken frame", "HTTP/1.1": "no preamble"} {
		ln, err := net.Listen("unix", at(3))
		require.NoError(t, err)
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte(says))
				defer c.Close()
			}
		}()
		_, err = try()
		require.ErrorIs(t, err, errOther)
		require.ErrorContains(t, err, want)
		require.NoError(t, ln.Close())
	}
}
