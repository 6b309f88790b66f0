package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/procs"
	"pewterline/internal/protocol/thrift"
)

var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pewterline-test")
	if err != nil {
		return "", err
	}
	return procs.Build("../..", dir)
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

type twin struct {
	*procs.Server
	t *testing.T
}

func newTwin(t *testing.T) *twin {
	path, err := program()
	require.NoError(t, err)
	listen, err := procs.FreeAddress()
	require.NoError(t, err)
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(text, &file))
	dir, err := os.MkdirTemp("", "pw") // short: a socket's path has to fit
	require.NoError(t, err)
	s := &procs.Server{Program: path, Dir: dir, Listen: listen, Settings: file.Settings, StopMS: 3200, Ledger: procs.NewLedger()}
	t.Cleanup(func() {
		require.NoError(t, s.Close())
		_ = os.RemoveAll(dir)
	})
	return &twin{s, t}
}

func (w *twin) start() *procs.Process {
	p, err := w.Start(nil)
	require.NoError(w.t, err)
	require.NoError(w.t, p.Ready())
	return p
}

func (w *twin) dial() *procs.Conn {
	c, err := procs.Dial(w.Listen)
	require.NoError(w.t, err)
	w.t.Cleanup(c.Close)
	return c
}

func (w *twin) ask(c *procs.Conn, class, once, body string) procs.Asked {
	a, err := c.Ask(class, once, body, time.Now())
	require.NoError(w.t, err)
	return a
}

func (w *twin) served(a procs.Asked, body string) {
	w.t.Helper()
	p, err := a.Answer()
	require.NoError(w.t, err)
	require.Equal(w.t, thrift.Answered, p.Kind, body)
	require.Equal(w.t, "did "+body, string(p.Body))
}

func (w *twin) failed(a procs.Asked) {
	w.t.Helper()
	p, err := a.Answer()
	require.NoError(w.t, err)
	require.Equal(w.t, thrift.Broken, p.Kind, "neither served nor refused: whether it ran is not known")
}

func (w *twin) once() { require.Empty(w.t, w.Ledger.Twice()) }

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
	require.NoError(t, old.Pool.Started("two"))
	var fill []procs.Asked
	for i := range 10 { // more than may run at once: the last are held
		fill = append(fill, w.ask(c, "lot-intake", fmt.Sprintf("f%d", i), fmt.Sprintf("fill%d", i)))
	}
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return strings.Contains(next.Log(), "has handed over") }, procs.Patience, time.Millisecond)
	d := w.dial()
	w.served(w.ask(d, "lot-intake", "k1", "one"), "one")
	again := w.ask(d, "lot-intake", "k2", "two")
	var repeats []procs.Asked
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

// Guards the once-only rule against the death of the old process while it runs an intake: the repeats fail, as it may have
// run, and none is refused or run; what it had ended is served.
func TestOldOneKilled(t *testing.T) {
	t.Parallel()
	for _, handed := range []bool{false, true} {
		t.Run(fmt.Sprintf("handed over %v", handed), func(t *testing.T) {
			w := newTwin(t)
			old := w.start()
			c := w.dial()
			w.served(w.ask(c, "lot-intake", "k1", "one"), "one")
			old.Pool.Hold()
			w.ask(c, "lot-intake", "k2", "two")
			require.NoError(t, old.Pool.Started("two"))
			next := w.start()
			if handed {
				require.NoError(t, old.Signal(syscall.SIGTERM))
				require.Eventually(t, func() bool { return strings.Contains(next.Log(), "has handed over") }, procs.Patience, time.Millisecond)
				waits := w.ask(w.dial(), "lot-intake", "k2", "two")
				require.NoError(t, old.Signal(syscall.SIGKILL))
				w.failed(waits)
			} else {
				require.NoError(t, old.Signal(syscall.SIGKILL))
			}
			require.Error(t, old.Wait())
			require.Eventually(t, func() bool { return strings.Contains(next.Log(), "predecessor is gone") }, procs.Patience, time.Millisecond)
			d := w.dial()
			w.served(w.ask(d, "lot-intake", "k1", "one"), "one")
			w.failed(w.ask(d, "lot-intake", "k2", "two"))
			w.served(w.ask(d, "lot-intake", "k3", "three"), "three")
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
		good, err := procs.Probe(w.Listen)
		require.NoError(t, err)
		require.True(t, good)
	}
	faulty, err := w.Start(func(cfg map[string]any) { cfg["listen"] = "nowhere" })
	require.NoError(t, err)
	require.Error(t, faulty.Wait())
	works("k1")
	hung, err := net.Dial("unix", meeting(w.Dir, "n0")+strconv.Itoa(pid(t, w.Dir))) // says nothing
	require.NoError(t, err)
	defer hung.Close()
	works("k2")
	killed := w.start()
	require.NoError(t, killed.Signal(syscall.SIGKILL))
	require.Error(t, killed.Wait())
	require.Eventually(t, func() bool { return strings.Contains(old.Log(), "successor is gone") }, procs.Patience, time.Millisecond)
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

// pid is the number of the process that waits for a successor.
func pid(t *testing.T, dir string) int {
	paths, err := filepath.Glob(meeting(dir, "n0") + "*")
	require.NoError(t, err)
	require.Len(t, paths, 1)
	n, err := strconv.Atoi(strings.TrimPrefix(paths[0], meeting(dir, "n0")))
	require.NoError(t, err)
	return n
}

// Guards callers against being turned back unheard: under load, on kept connections and on new ones, upgrade after upgrade,
// each request gets an answer, and no intake runs twice.
func TestUpgradesUnderLoad(t *testing.T) {
	t.Parallel()
	upgrades(t, 6)
}

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
			var c *procs.Conn
			for j := 0; !stop.Load(); j++ {
				if c == nil || !c.Usable() || i%2 == 0 { // half of them come on new connections
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = procs.Dial(w.Listen); err != nil {
						unheard.Add(1)
						t.Errorf("refused: %v", err)
						c = nil
						continue
					}
				}
				body := fmt.Sprintf("lot %d/%d", i, j)
				a, err := c.Ask("lot-intake", body, body, time.Now())
				if err == nil {
					_, err = a.Answer()
				}
				if err != nil && !c.Usable() && i%2 == 1 { // it crossed the farewell: a proxy sends it once more
					if c, err = procs.Dial(w.Listen); err == nil {
						if a, err = c.Ask("lot-intake", body, body, time.Now()); err == nil {
							_, err = a.Answer()
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
	for range n {
		before := answered.Load()
		next := w.start()
		require.NoError(t, at.Signal(syscall.SIGTERM))
		require.NoError(t, at.Wait(), at.Log())
		require.Eventually(t, func() bool { return answered.Load() > before }, procs.Patience, time.Millisecond)
		at = next
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("%d upgrades, %d requests answered, %d turned back unheard", n, answered.Load(), unheard.Load())
	require.Zero(t, unheard.Load())
	w.once()
}

// Guards against three processes at once: a second upgrade while the first is not over waits until the old one is gone.
func TestSecondUpgradeWaits(t *testing.T) {
	t.Parallel()
	w := newTwin(t)
	old := w.start()
	old.Pool.Hold()
	c := w.dial()
	running := w.ask(c, "lot-intake", "k1", "one")
	require.NoError(t, old.Pool.Started("one"))
	next := w.start()
	require.NoError(t, old.Signal(syscall.SIGTERM))
	third, err := w.Start(nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return strings.Contains(next.Log(), "a successor is refused: an upgrade is under way") }, procs.Patience, time.Millisecond)
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
	call := func(p *procs.Process, word string) {
		status, body, err := p.Call(http.MethodPut, "/control/"+word)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, body)
	}
	good := func(want bool) {
		require.Eventually(t, func() bool {
			good, err := procs.Probe(w.Listen)
			return err == nil && good == want
		}, procs.Patience, time.Millisecond)
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
	require.NoError(t, old.Signal(syscall.SIGSTOP))
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
	cfg := config.Config{Name: "n0", Admin: "127.0.0.1:1"}
	at := func(n int) string { return meeting(dir, "n0") + strconv.Itoa(n) }
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
