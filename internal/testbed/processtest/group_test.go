package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
)

func settings(t *testing.T) json.RawMessage {
	text, err := os.ReadFile("../../config/testdata/config.json")
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(text, &file))
	return LongRetention(file.Settings)
}

var faulty = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pwbin")
	if err != nil {
		return "", err
	}
	return Build("../../..", dir, "faults")
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := faulty(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// group starts servers and founds a group of the first ones.
func group(t *testing.T, n, copies int, lines ...string) *Cluster {
	program, err := faulty()
	require.NoError(t, err)
	g, err := NewCluster(ClusterConfig{
		Program:    program,
		Settings:   settings(t),
		Servers:    n,
		Replicas:   copies,
		ExtraLines: lines,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(g.Log())
		}
		require.NoError(t, g.Close())
	})
	require.NoError(t, g.StartAll())
	return g
}

func (g *Cluster) intake(t *testing.T, id int, key string, retry bool) RequestOutcome {
	told, err := g.Send(id, Request{Class: intakeClass, Key: key, Body: key, ArrivedAt: time.Now(), Retry: retry})
	require.NoError(t, err)
	return told
}

var served = func(key string) RequestOutcome { return RequestOutcome{thrift.ReplyAnswer, "did " + key} }

// What one server has served is found at any other, by a repeat, also once that server is lost with its disk; and it ran once.
func TestLostAfterAnswer(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	require.Equal(t, served("lot"), g.intake(t, 1, "lot", false))
	require.NoError(t, g.Kill(1))
	require.NoError(t, g.Wipe(1))
	require.Equal(t, served("lot"), g.intake(t, 2, "lot", true))
	require.Equal(t, served("lot"), g.intake(t, 3, "lot", true))
	require.NoError(t, g.Start(1))
	require.NoError(t, g.AwaitStable())
	s, err := g.State(1)
	require.NoError(t, err)
	require.Equal(t, 1, s.Counters.Held, "its copy is there again")
	require.Equal(t, served("lot"), g.intake(t, 1, "lot", true))
	require.Empty(t, g.RunLog.DuplicateRuns())
}

// unknown is what a caller hears where nobody knows whether its intake ran: it failed, with no promise.
func (g *Cluster) unknown(t *testing.T, id int, key string) {
	t.Helper()
	told := g.intake(t, id, key, true)
	require.Equal(t, thrift.ReplyBroken, told.Kind, "%s at server %d", key, id)
}

// lose has a machine lost with its disk.
func (g *Cluster) lose(t *testing.T, id int) {
	t.Helper()
	require.NoError(t, g.Kill(id))
	require.NoError(t, g.Wipe(id))
}

// back has a lost server come back, and waits until the group is whole.
func (g *Cluster) back(t *testing.T, ids ...int) {
	t.Helper()
	for _, id := range ids {
		require.NoError(t, g.Start(id))
	}
	require.NoError(t, g.AwaitStable())
}

// send sends an intake whose answer is waited for later, or never.
func (g *Cluster) send(t *testing.T, id int, key string) (*Conn, PendingRequest) {
	t.Helper()
	c, err := Dial(g.Servers[id-1].Listen)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	a, err := c.Send(NewIntake(key))
	require.NoError(t, err)
	return c, a
}

// change gives an operator's word, and waits until the group has changed by it.
func (g *Cluster) change(t *testing.T, id int, call string) {
	t.Helper()
	before, err := g.State(id)
	require.NoError(t, err)
	require.NoError(t, g.AdminCall(id, call))
	g.changed(t, id, before.Epoch)
}

// changed waits until a change of members that began at an epoch has ended.
func (g *Cluster) changed(t *testing.T, id int, epoch uint64) {
	t.Helper()
	require.NoError(t, g.Eventually(func() error {
		s, err := g.State(id)
		if err == nil && s.Epoch < epoch+2 {
			err = fmt.Errorf("%+v", s)
		}
		return err
	}))
	require.NoError(t, g.AwaitStable())
}

// holds waits until a server holds a key, of a kind.
func (g *Cluster) holds(t *testing.T, id int, key, kind string) {
	t.Helper()
	require.NoError(t, g.Eventually(func() error {
		kept, err := g.Export(id)
		if err == nil && !slices.ContainsFunc(kept, func(k ExportedKey) bool { return strings.HasSuffix(k.Key, "\x00"+key) && k.Kind == kind }) {
			err = fmt.Errorf("%v", kept)
		}
		return err
	}))
}

// The machine is lost with its disk between the agreed leave and the run: the worker pool never hears of it. Nobody can know that,
// and it is not run by anybody else.
func TestLostBetweenIntentAndRun(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	pool := g.Servers[0].Process.Pool
	pool.Freeze() // it reads nothing more: the command stays on its way
	g.send(t, 1, "lot")
	g.holds(t, 2, "lot", "intent")
	g.lose(t, 1)
	g.unknown(t, 2, "lot")
	g.unknown(t, 3, "lot")
	g.back(t, 1)
	g.unknown(t, 1, "lot")
	require.Empty(t, g.RunLog.Runs("lot"))
}

// It is lost between the run and the copy of its result: it ran, and nobody else runs it.
func TestLostBetweenRunAndCopy(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	pool := g.Servers[0].Process.Pool
	pool.Hold()
	g.send(t, 1, "lot")
	require.NoError(t, pool.AwaitStart("lot"))
	g.lose(t, 1)
	pool.Release()
	g.unknown(t, 2, "lot")
	g.back(t, 1)
	for id := 1; id <= 3; id++ {
		g.unknown(t, id, "lot")
	}
	require.Len(t, g.RunLog.Runs("lot"), 1)
}

// It is lost between the copy and the answer: the caller has heard nothing, and a repeat elsewhere gets the result.
func TestLostBetweenCopyAndAnswer(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	front, err := NewRelay(g.Servers[0].Listen)
	require.NoError(t, err)
	t.Cleanup(front.Close)
	front.Drop(Backward)
	c, err := Dial(front.Addr())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	_, err = c.Send(NewIntake("lot"))
	require.NoError(t, err)
	g.holds(t, 3, "lot", "passed")
	g.lose(t, 1)
	require.Equal(t, served("lot"), g.intake(t, 2, "lot", true))
	g.back(t, 1)
	require.Equal(t, served("lot"), g.intake(t, 1, "lot", true))
	require.Len(t, g.RunLog.Runs("lot"), 1)
}

// fill has intakes served, each at one server in turn.
func (g *Cluster) fill(t *testing.T, n int, ids ...int) (keys []string) {
	t.Helper()
	for i := range n {
		key := fmt.Sprint("lot ", i)
		require.Equal(t, served(key), g.intake(t, ids[i%len(ids)], key, false))
		keys = append(keys, key)
	}
	return keys
}

// found has all of them found at a server, and none run twice.
func (g *Cluster) found(t *testing.T, id int, keys []string) {
	t.Helper()
	for _, key := range keys {
		require.Equal(t, served(key), g.intake(t, id, key, true), "%s at server %d", key, id)
	}
	require.Empty(t, g.RunLog.DuplicateRuns())
}

// With five copies a second machine is lost before the first one's place is filled: nothing that was promised is lost. The repair is
// slow, so that the second loss falls into it.
func TestSecondLostDuringRepair(t *testing.T) {
	t.Parallel()
	g := group(t, 5, 5, "repair_keys_per_s = 20", "repair_at_once = 2")
	keys := g.fill(t, 40, 1, 2, 3, 4, 5)
	g.lose(t, 5)
	require.NoError(t, g.Start(5))
	require.NoError(t, g.Eventually(func() error {
		s, err := g.State(1)
		if err == nil && (!s.Changing || s.Counters.Repaired == 0) {
			err = errors.New("the repair has not begun")
		}
		return err
	}))
	g.lose(t, 1)
	g.found(t, 2, keys)
	g.back(t, 1)
	g.lose(t, 2) // and after it the next
	g.found(t, 5, keys)
	g.found(t, 1, keys)
}

// The owner is stalled in the middle of a run while another server answers for it; it wakes with the result in hand, which is the
// one that all find from then on.
func TestOwnerStalledInItsRun(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	pool := g.Servers[0].Process.Pool
	pool.Hold()
	_, a := g.send(t, 1, "lot")
	require.NoError(t, pool.AwaitStart("lot"))
	require.NoError(t, g.Stall(1))
	pool.Release()
	g.unknown(t, 2, "lot") // once its own time is over: over 4 s
	time.Sleep(time.Second)
	require.NoError(t, g.Resume(1))
	_, err := a.Await()
	require.NoError(t, err, "the caller of the stalled one gets an answer, if a late one")
	require.NoError(t, g.Eventually(func() error {
		if told := g.intake(t, 3, "lot", true); told != served("lot") {
			return fmt.Errorf("%v", told)
		}
		return nil
	}))
	require.Equal(t, served("lot"), g.intake(t, 2, "lot", true))
	require.Len(t, g.RunLog.Runs("lot"), 1)
}

// One way is lost: a server hears the others, and they do not hear it. It refuses, before they run, what it can't put on record; the
// others go on. Once the way is back, so is it.
func TestOneWayLoss(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	g.Isolate(1)
	told := g.intake(t, 1, "lot", false)
	require.Equal(t, thrift.ReplyThrottled, told.Kind, "before it runs")
	require.Empty(t, g.RunLog.Runs("lot"))
	keys := g.fill(t, 10, 2, 3)
	g.RelaysOf(1, (*Relay).Heal)
	g.RelaysOf(1, (*Relay).Break)
	require.NoError(t, g.AwaitStable())
	g.found(t, 1, keys)
	require.Equal(t, served("lot"), g.intake(t, 1, "lot", false))
}

// A link hangs and then delivers all at once: what comes late changes nothing that was agreed on since.
func TestHangThenBurst(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	g.RelaysOf(1, func(r *Relay) { r.Hold(Forward, Backward) })
	var late []PendingRequest
	for i := range 5 {
		_, a := g.send(t, 1, fmt.Sprint("lot ", i))
		late = append(late, a)
	}
	keys := g.fill(t, 10, 2, 3) // the same keys at others, and more
	time.Sleep(20 * time.Second)
	g.RelaysOf(1, (*Relay).Heal)
	for _, a := range late {
		_, err := a.Await()
		require.NoError(t, err)
	}
	require.NoError(t, g.AwaitStable())
	g.found(t, 1, keys)
}

// All processes are killed at once, and started again; then the same with one disk lost.
func TestAllKilled(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	keys := g.fill(t, 20, 1, 2, 3)
	for _, wiped := range []int{0, 2} {
		for id := 1; id <= 3; id++ {
			require.NoError(t, g.Kill(id))
		}
		if wiped > 0 {
			require.NoError(t, g.Wipe(wiped))
		}
		g.back(t, 1, 2, 3)
		g.found(t, 1, keys)
		g.found(t, 2, keys)
		g.found(t, 3, keys)
	}
}

// A majority is lost for good: what is known of is still answered by nobody, as no majority vouches for it; nothing runs, reads go
// on. An operator's word has the rest go on: what it holds is found, what it knows nothing of does not run before a window has
// passed, and the record names the loss.
func TestMajorityLost(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	keys := g.fill(t, 10, 1, 2, 3)
	g.lose(t, 2)
	g.lose(t, 3)
	told := g.intake(t, 1, "new", false)
	require.Equal(t, thrift.ReplyThrottled, told.Kind)
	c, err := Dial(g.Servers[0].Listen)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	a, err := c.Send(Request{Class: "block-view", Body: "view", ArrivedAt: time.Now()})
	require.NoError(t, err)
	r, err := a.Await()
	require.NoError(t, err)
	require.Equal(t, thrift.ReplyAnswer, r.Kind, "reads do not suffer")
	require.Error(t, g.AdminCall(1, "force?keep=2"), "only with itself")
	require.NoError(t, g.AdminCall(1, "force?keep=1&why=two+burnt"))
	g.found(t, 1, keys)
	g.unknown(t, 1, "new") // it may have run on one that is lost
	s, err := g.State(1)
	require.NoError(t, err)
	require.Equal(t, "two burnt", s.Reason)
	require.Positive(t, s.LossMS)
	require.Contains(t, g.Log(), "LOSS")
	// Those that come back empty are taken in again, one at a time.
	for _, id := range []int{2, 3} {
		require.NoError(t, g.Start(id))
		require.NoError(t, g.Eventually(func() error {
			h, err := g.State(id)
			if err == nil && h.Epoch == 0 {
				err = errors.New("it has not heard of the group")
			}
			return err
		}))
		g.change(t, 1, fmt.Sprint("add?id=", id))
	}
	g.found(t, 3, keys)
}

// Members change while one is down and another stalls; of two changes at once one wins, and the other hears why it does not.
func TestMembersChange(t *testing.T) {
	t.Parallel()
	program, err := faulty()
	require.NoError(t, err)
	g, err := NewCluster(ClusterConfig{Program: program, Settings: settings(t), Servers: 5, Replicas: 3})
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(g.Log())
		}
		require.NoError(t, g.Close())
	})
	require.NoError(t, g.StartAll())
	keys := g.fill(t, 20, 1, 2, 3, 4, 5)
	require.NoError(t, g.Kill(5))
	require.NoError(t, g.Stall(4))
	was, err := g.State(1)
	require.NoError(t, err)
	require.NoError(t, g.AdminCall(1, "remove?id=5")) // three of five agree
	require.ErrorContains(t, g.AdminCall(1, "remove?id=4"), "409")
	require.NoError(t, g.Resume(4))
	g.changed(t, 1, was.Epoch)
	s, err := g.State(2)
	require.NoError(t, err)
	require.Len(t, s.Members, 4)
	require.NoError(t, g.Start(5)) // it has its disk, and is no member any more
	require.NoError(t, g.AwaitStable())
	g.found(t, 5, keys)
	g.change(t, 5, "add?id=5&why=back")
	s, err = g.State(3)
	require.NoError(t, err)
	require.Len(t, s.Members, 5)
	require.Equal(t, "back", s.Reason)
	for id := 1; id <= 5; id++ {
		g.found(t, id, keys)
	}
}

// A sync that fails once, and a disk that is full for a while: the server does not vote until its log was opened anew, the others
// go on, and nothing that was promised is lost.
func TestDiskFails(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"sync", "full"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			g := group(t, 3, 3)
			keys := g.fill(t, 5, 1, 2, 3)
			require.NoError(t, g.SetDiskFault(1, fault))
			require.NoError(t, g.Eventually(func() error {
				key := fmt.Sprint("lot ", len(keys))
				if told := g.intake(t, 2, key, false); told != served(key) {
					return fmt.Errorf("%v", told)
				}
				keys = append(keys, key)
				s, err := g.State(1)
				if err == nil && s.Counters.Disk == 0 {
					err = errors.New("no failure is noticed")
				}
				return err
			}))
			g.found(t, 1, keys) // by the others' copies
			require.NoError(t, g.SetDiskFault(1, ""))
			require.NoError(t, g.AwaitStable())
			g.lose(t, 3)
			g.found(t, 1, keys)
			g.found(t, 2, keys)
		})
	}
}

// A bit of a snapshot is flipped: the server does not start, and names file and offset; without its folder it is a new member.
func TestFlippedBit(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	keys := g.fill(t, 60, 1, 2, 3)
	var snaps []string
	require.NoError(t, g.Eventually(func() (err error) {
		if snaps, err = filepath.Glob(filepath.Join(g.Servers[0].DataDir, "*.snap")); len(snaps) == 0 {
			err = errors.New("no snapshot yet")
		}
		return err
	}))
	require.NoError(t, g.Kill(1))
	snaps, err := filepath.Glob(filepath.Join(g.Servers[0].DataDir, "*.snap"))
	require.NoError(t, err)
	text, err := os.ReadFile(snaps[0])
	require.NoError(t, err)
	text[len(text)/2] ^= 4
	require.NoError(t, os.WriteFile(snaps[0], text, 0o600))
	require.Error(t, g.Start(1))
	require.Contains(t, g.Servers[0].Process.Log(), filepath.Base(snaps[0]))
	require.Contains(t, g.Servers[0].Process.Log(), "offset")
	require.NoError(t, g.Wipe(1))
	g.back(t, 1)
	g.lose(t, 3)
	g.found(t, 1, keys)
}

// Wall clocks are a second apart, and one is stepped back while intakes are in their window: only the times that callers give count.
func TestWallClocksApart(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	require.NoError(t, g.SetClockOffset(1, 500))
	require.NoError(t, g.SetClockOffset(2, -500))
	keys := g.fill(t, 12, 1, 2, 3)
	require.NoError(t, g.SetClockOffset(1, -500))
	require.NoError(t, g.SetClockOffset(2, 500))
	for id := 1; id <= 3; id++ {
		g.found(t, id, keys)
	}
	g.lose(t, 1)
	g.found(t, 2, keys)
	g.found(t, 3, keys)
}
