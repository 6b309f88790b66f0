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

// manualClock stands still until the test moves it; its Unix time is its own.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() microtime.Time { return microtime.Time(c.now.Load()) }
func (c *manualClock) FromUnixMilli(ms int64) microtime.Time {
	return microtime.Time(ms) * microtime.Millisecond
}
func (c *manualClock) UnixMilli(t microtime.Time) int64 { return int64(t / microtime.Millisecond) }

// overloadFixture is the whole program on loopback sockets and a clock of the test's, with stand-ins for its peers. Every
// step waits for what it has sent to be taken, so that a run is the same each time, however fast the machine.
type overloadFixture struct {
	t              *testing.T
	clock          manualClock
	srv            *Server
	loop           *sockets.Loop
	pool           net.Conn
	poolIn         *bufio.Reader
	queuedRuns     []string                  // at the pool, waiting for a core
	runningUntil   map[string]microtime.Time // running there
	runsByBody     map[string]int            // by body: how often each request was run
	noticeCount    uint64
	pendingNotices []byte // notices of this step
	polls          int
	submitted      int
	thriftClient   *clientConn
	idleAJP        chan *clientConn // AJP connections without a request
	responses      chan clientResponse
}

// clientResponse is one answer that a client got.
type clientResponse struct {
	protocol string
	id       int
	status   int
}

const (
	poolCores = 2
	poolWork  = 200 * microtime.Millisecond
)

func newOverloadFixture(t *testing.T) *overloadFixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c := &overloadFixture{t: t, runningUntil: map[string]microtime.Time{}, runsByBody: map[string]int{}, idleAJP: make(chan *clientConn, 1000), responses: make(chan clientResponse, 10000)}
	c.clock.now.Store(int64(microtime.Second))
	logf := func(string, ...any) {}
	c.srv, err = New(testConfig(t, ln.Addr().String()), &c.clock, logf)
	require.NoError(t, err)
	c.loop, err = sockets.Start(sockets.Options{Options: transport.Options{MaxConns: 950, Logf: logf}, Listen: []string{"127.0.0.1:0", "127.0.0.2:0"}, Clock: &c.clock},
		c.srv, func(l *transport.Loop) { c.srv.Attach(l) })
	require.NoError(t, err)
	t.Cleanup(func() {
		c.loop.Stop()
		require.NoError(t, c.loop.Wait())
	})
	c.pool, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.pool.Close() })
	c.poolIn = bufio.NewReader(c.pool)
	c.readCommand() // bind
	c.await(func() bool { return c.srv.backends.pool.Status().Bound || c.answerFirstPoll() })
	c.thriftClient = dial(t, c.loop.Addr(0).String(), thrift.SplitFrame)
	go c.readThrift()
	return c
}

// onLoop runs f in a turn of the loop and waits for it.
func (c *overloadFixture) onLoop(f func()) {
	done := make(chan struct{})
	require.NoError(c.t, c.loop.Execute(func() {
		f()
		close(done)
	}))
	<-done
}

// await returns when a condition holds on the loop.
func (c *overloadFixture) await(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		c.onLoop(func() { ok = holds() })
	}
}

// answerFirstPoll answers the poll that follows bound; it is always false, so that await looks again.
func (c *overloadFixture) answerFirstPoll() bool {
	if c.srv.backends.pool.Status().Links == 1 && c.polls == 0 {
		c.polls = 1
		_, err := c.pool.Write([]byte("polled sync1 0 0 0 0\r\n"))
		require.NoError(c.t, err)
	}
	return false
}

// readCommand reads and does one command at the pool; it returns the tag of a poll.
func (c *overloadFixture) readCommand() string {
	line, err := c.poolIn.ReadString('\n')
	require.NoError(c.t, err)
	var id, class, tag string
	var n int
	if k, _ := fmt.Sscanf(line, "spawn %s %s %d", &id, &class, &n); k == 3 {
		body := make([]byte, n+2)
		_, err := io.ReadFull(c.poolIn, body)
		require.NoError(c.t, err)
		c.runsByBody[string(body[:n])]++
		c.queuedRuns = append(c.queuedRuns, id)
	} else if k, _ := fmt.Sscanf(line, "suspend %s", &id); k == 1 {
		if _, runs := c.runningUntil[id]; runs {
			delete(c.runningUntil, id)
			c.finish(id, "KILLED")
		}
	} else if k, _ := fmt.Sscanf(line, "bind %d", &n); k == 1 {
		_, err := c.pool.Write([]byte("bound LOADED 0\r\n"))
		require.NoError(c.t, err)
	} else if k, _ := fmt.Sscanf(line, "poll %s", &tag); k == 1 {
		return tag
	}
	return ""
}

func (c *overloadFixture) finish(id, end string) {
	c.noticeCount++
	c.pendingNotices = fmt.Appendf(c.pendingNotices, "finished %d %s %s 100 2\r\nok\r\n", c.noticeCount, id, end)
}

// runPool lets the pool do what has been asked of it by now, and waits until the program has read its notices.
func (c *overloadFixture) runPool() {
	c.polls++
	mark := fmt.Sprintf("mark%d", c.polls)
	c.onLoop(func() { c.srv.backends.pool.PollTagged(mark) })
	for c.readCommand() != mark {
	}
	for _, id := range slices.Sorted(maps.Keys(c.runningUntil)) {
		if c.clock.Now() >= c.runningUntil[id] {
			delete(c.runningUntil, id)
			c.finish(id, "PASS")
		}
	}
	for len(c.queuedRuns) > 0 && len(c.runningUntil) < poolCores {
		c.runningUntil[c.queuedRuns[0]] = c.clock.Now() + poolWork
		c.queuedRuns = c.queuedRuns[1:]
	}
	busy := len(c.runningUntil) + len(c.queuedRuns)
	c.pendingNotices = fmt.Appendf(c.pendingNotices, "polled %s %.2f %d 0.1 4\r\n", mark, float64(len(c.runningUntil))/poolCores, busy)
	c.finish("mark", "PASS")                 // of no run: shows that all before it has been read
	_, err := c.pool.Write(c.pendingNotices) // at once, so that they are read in one turn
	require.NoError(c.t, err)
	c.pendingNotices = c.pendingNotices[:0]
	c.await(func() bool { return c.srv.backends.pool.Status().Notice == c.noticeCount })
}

func (c *overloadFixture) readThrift() {
	for {
		payload, err := c.thriftClient.next()
		if err != nil {
			return
		}
		if name := string(payload[8:min(15, len(payload))]); name == "process" {
			status := map[byte]int{0: 200, 1: 503, 2: 502}[payload[21]]
			c.responses <- clientResponse{"thrift", int(binary.BigEndian.Uint32(payload[15:])), status}
		}
	}
}

// readAJP reads the answer to request id.
func (c *overloadFixture) readAJP(p *clientConn, id int) {
	status := 0
	for {
		payload, err := p.next()
		if err != nil {
			return
		}
		switch r, err := ajp.ParseResponse(payload); {
		case err != nil:
			c.t.Errorf("AJP: %v", err)
			return
		case r.Code == ajp.CodeSendHeaders:
			status = r.Status
			if wait := slices.ContainsFunc(r.Headers, func(h ajp.Header) bool { return h.Name == "Retry-After" }); wait != (status == 503) {
				c.t.Errorf("AJP: status %d with Retry-After %v", status, wait)
			}
		case r.Code == ajp.CodeEndResponse:
			c.idleAJP <- p
			c.responses <- clientResponse{"ajp", id, status}
			return
		}
	}
}

// submit sends a request by one of the protocols and waits until the core has it.
func (c *overloadFixture) submit(front, class, once, body string) {
	c.submitted++
	id := fmt.Sprintf("%016x", c.submitted)
	if front == "thrift" {
		c.thriftClient.write(thrift.AppendCall(nil, int32(c.submitted), []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: id},
			{Name: "at", Value: strconv.FormatInt(c.clock.UnixMilli(c.clock.Now()), 10)}, {Name: "from", Value: "1"},
			{Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "32"}, {Name: "rank", Value: "0.5"}, {Name: "once", Value: once}}, []byte(body)))
	} else {
		var p *clientConn
		select {
		case p = <-c.idleAJP:
		default:
			p = dial(c.t, c.loop.Addr(1).String(), splitAJP)
		}
		out := ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/" + class, Headers: []ajp.Header{
			{Name: "content-length", Value: strconv.Itoa(len(body))}, {Name: "X-Relay-Id", Value: id}, {Name: "X-Relay-From", Value: "1"},
			{Name: "X-Relay-Tenant", Value: "hill-estate"}, {Name: "X-Relay-Rank", Value: "0.5"}, {Name: "X-Relay-Once", Value: once}}})
		out, _ = ajp.AppendBodyChunk(out, []byte(body))
		p.write(out)
		go c.readAJP(p, c.submitted)
	}
	c.await(func() bool { return c.srv.clients.submitted == c.submitted })
}

// playOverload plays half a minute of four times what the pool can do, both protocols mixed; it returns how many
// answers each got, by status. Intakes come once or twice, the second time at once and by the other protocol.
func playOverload(t *testing.T, exchanged bool) map[string]map[int]int {
	c := newOverloadFixture(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := 0; i < 1250 || c.openRequests() > 0; i++ {
		c.clock.now.Add(int64(20 * microtime.Millisecond))
		c.onLoop(func() {})
		c.runPool()
		if i%5 == 0 && i < 1000 {
			fronts, one, two := []string{"thrift", "ajp"}, fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
			if exchanged != (rng.IntN(2) == 1) {
				slices.Reverse(fronts)
			}
			c.submit(fronts[0], "block-view", "", one)
			c.submit(fronts[1], "block-view", "", two)
			if rng.IntN(2) == 0 {
				c.submit(fronts[0], "lot-intake", one, "intake"+one)
				if rng.IntN(2) == 0 {
					c.submit(fronts[1], "lot-intake", one, "intake"+one)
				}
			}
		}
		c.runPool()
	}
	count, seen := map[string]map[int]int{"thrift": {}, "ajp": {}}, map[int]bool{}
	for range c.submitted { // one that never comes hangs here
		a := <-c.responses
		require.False(t, seen[a.id], "two answers to request %d", a.id)
		seen[a.id] = true
		count[a.protocol][a.status]++
	}
	for body, n := range c.runsByBody {
		require.Equal(t, 1, n, "%s ran more than once", body)
	}
	return count
}

func (c *overloadFixture) openRequests() (n int) {
	c.onLoop(func() { n = c.srv.core.OpenRequests() })
	return n
}

// Guards what both fronts promise, the same treatment: under overload, requests by both protocols are mixed,
// and then once more with the protocols exchanged. What befell the one must then befall the other, to the last
// answer; each request is answered once, and no intake runs twice.
func TestOverloadTreatsFrontendsAlike(t *testing.T) {
	one, other := playOverload(t, false), playOverload(t, true)
	t.Logf("thrift %v, ajp %v; exchanged: thrift %v, ajp %v", one["thrift"], one["ajp"], other["thrift"], other["ajp"])
	require.Equal(t, one["thrift"], other["ajp"])
	require.Equal(t, one["ajp"], other["thrift"])
	for front, c := range one {
		require.Positive(t, c[200], front)
		require.Positive(t, c[503], "%s: no overload", front)
	}
}
