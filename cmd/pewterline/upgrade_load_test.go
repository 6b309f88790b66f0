package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/processtest"
)

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
