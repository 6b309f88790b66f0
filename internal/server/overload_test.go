package server

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
	"pewterline/internal/transport/sockets"
)

// overloadClock advances only when the test advances it. Its time 0 is the Unix epoch.
type overloadClock struct {
	zeroBasedClock
	now atomic.Int64
}

func (c *overloadClock) Now() microtime.Time { return microtime.Time(c.now.Load()) }

// The capacity of the fixture's worker pool.
const (
	poolCores   = 2
	poolRunTime = 200 * microtime.Millisecond
)

// clientResponse is one response that a client got.
type clientResponse struct {
	protocol string
	id       int
	status   int // The HTTP status, or its equivalent in Thrift.
}

// overloadFixture is a whole server on loopback sockets, with fake peers and a clock that the test advances. Every step
// waits until the server has received what the step has sent, so that the test is deterministic on machines of any
// speed.
type overloadFixture struct {
	t     *testing.T
	clock overloadClock
	srv   *Server
	loop  *sockets.Loop

	pool           net.Conn
	poolIn         *bufio.Reader
	queuedRuns     []string                  // At the pool, waiting for a core, by attempt ID.
	runningUntil   map[string]microtime.Time // At the pool, on a core, by attempt ID.
	runsByBody     map[string]int            // The number of runs of each request.
	noticeCount    uint64
	pendingNotices []byte // The pool's notices in this step.
	polls          int

	submitted    int
	thriftClient *clientConn
	idleAJP      chan *clientConn // AJP connections without a request.
	responses    chan clientResponse
}

func newOverloadFixture(t *testing.T) *overloadFixture {
	t.Helper()
	listener := listen(t)
	fixture := &overloadFixture{
		t:            t,
		runningUntil: map[string]microtime.Time{},
		runsByBody:   map[string]int{},
		idleAJP:      make(chan *clientConn, 1000),
		responses:    make(chan clientResponse, 10000),
	}
	fixture.clock.now.Store(int64(microtime.Second))
	logf := func(string, ...any) {}
	var err error
	fixture.srv, err = New(testConfig(t, listener.Addr().String()), &fixture.clock, logf)
	require.NoError(t, err)
	fixture.loop = startLoop(t, fixture.srv, sockets.Options{
		Options: transport.Options{MaxConns: 950, Logf: logf},
		Listen:  []string{"127.0.0.1:0", "127.0.0.2:0"},
		Clock:   &fixture.clock,
	})
	t.Cleanup(func() { stopLoop(t, fixture.loop) })
	fixture.pool, err = listener.Accept()
	require.NoError(t, err)
	closeAtEnd(t, fixture.pool)
	fixture.poolIn = bufio.NewReader(fixture.pool)
	fixture.readCommand() // The bind command.
	fixture.await(func() bool { return fixture.srv.backends.pool.Status().Bound || fixture.answerFirstPoll() })
	fixture.thriftClient = dial(t, fixture.loop.Addr(ThriftListener).String(), thrift.SplitFrame)
	go fixture.readThrift()
	return fixture
}

// onLoop runs a task in a turn of the loop, and returns when the task has ended.
func (f *overloadFixture) onLoop(task func()) {
	f.t.Helper()
	runOnLoop(f.t, f.loop, task)
}

// await waits until a condition holds, which it evaluates on the loop.
func (f *overloadFixture) await(condition func() bool) {
	f.t.Helper()
	for holds := false; !holds; runtime.Gosched() {
		f.onLoop(func() { holds = condition() })
	}
}

// answerFirstPoll answers the poll that follows bound, once the link is open. It always returns false, so that await
// evaluates its condition again.
func (f *overloadFixture) answerFirstPoll() bool {
	if f.srv.backends.pool.Status().Connections == 1 && f.polls == 0 {
		f.polls = 1
		_, err := f.pool.Write([]byte("polled sync1 0 0 0 0\r\n"))
		require.NoError(f.t, err)
	}
	return false
}

// readCommand reads and executes one command at the pool. For a poll, it returns the tag.
func (f *overloadFixture) readCommand() (pollTag string) {
	f.t.Helper()
	line, err := f.poolIn.ReadString('\n')
	require.NoError(f.t, err)
	var id, class, tag string
	var size int
	switch {
	case scanned(line, "spawn %s %s %d", &id, &class, &size):
		body := make([]byte, size+len("\r\n"))
		_, err := io.ReadFull(f.poolIn, body)
		require.NoError(f.t, err)
		f.runsByBody[string(body[:size])]++
		f.queuedRuns = append(f.queuedRuns, id)
	case scanned(line, "suspend %s", &id):
		if _, running := f.runningUntil[id]; running {
			delete(f.runningUntil, id)
			f.finish(id, "KILLED")
		}
	case scanned(line, "bind %d", &size):
		_, err := f.pool.Write([]byte("bound LOADED 0\r\n"))
		require.NoError(f.t, err)
	case scanned(line, "poll %s", &tag):
		return tag
	}
	return ""
}

// finish queues the pool's notice of the end of a run.
func (f *overloadFixture) finish(id, outcome string) {
	f.noticeCount++
	f.pendingNotices = fmt.Appendf(f.pendingNotices, "finished %d %s %s 100 2\r\nok\r\n", f.noticeCount, id, outcome)
}

// runPool lets the pool execute the commands that it has received, and waits until the server has read its notices.
func (f *overloadFixture) runPool() {
	f.t.Helper()
	f.polls++
	tag := fmt.Sprintf("mark%d", f.polls)
	f.onLoop(func() { f.srv.backends.pool.PollTagged(tag) })
	for f.readCommand() != tag {
	}
	for _, id := range slices.Sorted(maps.Keys(f.runningUntil)) {
		if f.clock.Now() >= f.runningUntil[id] {
			delete(f.runningUntil, id)
			f.finish(id, "PASS")
		}
	}
	for len(f.queuedRuns) > 0 && len(f.runningUntil) < poolCores {
		f.runningUntil[f.queuedRuns[0]] = f.clock.Now() + poolRunTime
		f.queuedRuns = f.queuedRuns[1:]
	}
	busy := float64(len(f.runningUntil)) / poolCores
	runnable := len(f.runningUntil) + len(f.queuedRuns)
	f.pendingNotices = fmt.Appendf(f.pendingNotices, "polled %s %.2f %d 0.1 4\r\n", tag, busy, runnable)
	f.finish("mark", "PASS")                 // A notice of no run: once it is read, all notices before it have been read.
	_, err := f.pool.Write(f.pendingNotices) // In one write, so that they are read in one turn.
	require.NoError(f.t, err)
	f.pendingNotices = f.pendingNotices[:0]
	f.await(func() bool { return f.srv.backends.pool.Status().LastNotice == f.noticeCount })
}

// readThrift reads the replies to the Thrift client until its connection ends.
func (f *overloadFixture) readThrift() {
	for {
		payload, err := f.thriftClient.next()
		if err != nil {
			return
		}
		if name := string(payload[8:min(15, len(payload))]); name == "process" {
			status := map[byte]int{0: 200, 1: 503, 2: 502}[payload[21]]
			f.responses <- clientResponse{"thrift", int(binary.BigEndian.Uint32(payload[15:])), status}
		}
	}
}

// readAJP reads the response to a request.
func (f *overloadFixture) readAJP(client *clientConn, id int) {
	isRetryAfter := func(header ajp.Header) bool { return header.Name == "Retry-After" }
	status := 0
	for {
		payload, err := client.next()
		if err != nil {
			return
		}
		response, err := ajp.ParseResponse(payload)
		switch {
		case err != nil:
			f.t.Errorf("AJP: %v", err)
			return
		case response.Code == ajp.CodeSendHeaders:
			status = response.Status
			if retryAfter := slices.ContainsFunc(response.Headers, isRetryAfter); retryAfter != (status == 503) {
				f.t.Errorf("AJP: status %d with Retry-After %v", status, retryAfter)
			}
		case response.Code == ajp.CodeEndResponse:
			f.idleAJP <- client
			f.responses <- clientResponse{"ajp", id, status}
			return
		}
	}
}

// submit sends a request by one of the protocols, and waits until the core has accepted it.
func (f *overloadFixture) submit(protocol, class, idempotencyKey, body string) {
	f.t.Helper()
	f.submitted++
	id := fmt.Sprintf("%016x", f.submitted)
	if protocol == "thrift" {
		f.submitThrift(class, id, idempotencyKey, body)
	} else {
		f.submitAJP(class, id, idempotencyKey, body)
	}
	f.await(func() bool { return f.srv.clients.submitted == f.submitted })
}

func (f *overloadFixture) submitThrift(class, id, idempotencyKey, body string) {
	f.t.Helper()
	fields := thriftFields(
		thrift.Field{Name: "class", Value: class},
		thrift.Field{Name: "id", Value: id},
		thrift.Field{Name: "at", Value: strconv.FormatInt(f.clock.UnixMilli(f.clock.Now()), 10)},
		thrift.Field{Name: "from", Value: "1"},
		thrift.Field{Name: "kb", Value: "32"},
		thrift.Field{Name: "rank", Value: "0.5"},
		thrift.Field{Name: "once", Value: idempotencyKey})
	f.thriftClient.write(thrift.AppendCall(nil, int32(f.submitted), fields, []byte(body)))
}

func (f *overloadFixture) submitAJP(class, id, idempotencyKey, body string) {
	f.t.Helper()
	var client *clientConn
	select {
	case client = <-f.idleAJP:
	default:
		client = dial(f.t, f.loop.Addr(AJPListener).String(), splitAJP)
	}
	out := ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/" + class, Headers: []ajp.Header{
		{Name: "content-length", Value: strconv.Itoa(len(body))},
		{Name: "X-Relay-Id", Value: id},
		{Name: "X-Relay-From", Value: "1"},
		{Name: "X-Relay-Tenant", Value: "hill-estate"},
		{Name: "X-Relay-Rank", Value: "0.5"},
		{Name: "X-Relay-Once", Value: idempotencyKey},
	}})
	out, _ = ajp.AppendBodyChunk(out, []byte(body))
	client.write(out)
	go f.readAJP(client, f.submitted)
}

// openRequests counts the requests that the server has not answered.
func (f *overloadFixture) openRequests() (open int) {
	f.t.Helper()
	f.onLoop(func() { open = f.srv.core.OpenRequests() })
	return open
}

// runOverload runs 25 s, of which the first 20 s load the pool with about 2.5 times its capacity by both protocols. It
// returns the number of responses by protocol and status. Keyed requests are sent once or twice, the second time at
// once and by the other protocol.
func runOverload(t *testing.T, swapped bool) map[string]map[int]int {
	t.Helper()
	fixture := newOverloadFixture(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := 0; i < 1250 || fixture.openRequests() > 0; i++ {
		fixture.clock.now.Add(int64(20 * microtime.Millisecond))
		fixture.onLoop(func() {})
		fixture.runPool()
		if i%5 == 0 && i < 1000 {
			fixture.submitMix(i, swapped, rng)
		}
		fixture.runPool()
	}
	counts, seen := map[string]map[int]int{"thrift": {}, "ajp": {}}, map[int]bool{}
	for range fixture.submitted { // Blocks if a response is missing.
		response := <-fixture.responses
		require.False(t, seen[response.id], "two responses to request %d", response.id)
		seen[response.id] = true
		counts[response.protocol][response.status]++
	}
	for body, runs := range fixture.runsByBody {
		require.Equal(t, 1, runs, "%s did not run exactly once", body)
	}
	return counts
}

// submitMix submits the requests of one step. swapped swaps the protocols of all requests.
func (f *overloadFixture) submitMix(step int, swapped bool, rng *rand.Rand) {
	f.t.Helper()
	protocols := []string{"thrift", "ajp"}
	body1, body2 := fmt.Sprintf("a%d", step), fmt.Sprintf("b%d", step)
	if swapped != (rng.IntN(2) == 1) {
		slices.Reverse(protocols)
	}
	f.submit(protocols[0], "block-view", "", body1)
	f.submit(protocols[1], "block-view", "", body2)
	if rng.IntN(2) == 0 {
		f.submit(protocols[0], "lot-intake", body1, "intake"+body1)
		if rng.IntN(2) == 0 {
			f.submit(protocols[1], "lot-intake", body1, "intake"+body1)
		}
	}
}

// Both frontends treat requests alike. The same mix of requests by both protocols is run under overload twice, the
// second time with the protocols swapped: the response counts of the protocols must then be swapped exactly. Each
// request is answered once, and no keyed request runs twice.
func TestOverloadTreatsFrontendsAlike(t *testing.T) {
	original, swapped := runOverload(t, false), runOverload(t, true)
	t.Logf("thrift %v, ajp %v; swapped: thrift %v, ajp %v",
		original["thrift"], original["ajp"], swapped["thrift"], swapped["ajp"])
	require.Equal(t, original["thrift"], swapped["ajp"])
	require.Equal(t, original["ajp"], swapped["thrift"])
	for protocol, counts := range original {
		require.Positive(t, counts[200], protocol)
		require.Positive(t, counts[503], "%s: no request was rejected", protocol)
	}
}
