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

// crowd is the whole program on loopback sockets and a clock of the test's, with stand-ins for its peers. Every
// step waits for what it has sent to be taken, so that a run is the same each time, however fast the machine.
type crowd struct {
	t       *testing.T
	clock   manualClock
	srv     *Server
	loop    *sockets.Loop
	pool    net.Conn
	poolIn  *bufio.Reader
	queue   []string                  // at the pool, waiting for a core
	ends    map[string]microtime.Time // running there
	runs    map[string]int            // by body: how often each request was run
	notices uint64
	out     []byte // notices of this step
	marks   int
	asked   int
	desk    *peer
	idle    chan *peer // AJP connections without a request
	answers chan answered
}

// answered is one answer that a client got.
type answered struct {
	front  string
	id     int
	status int
}

const (
	poolCores = 2
	poolWork  = 200 * microtime.Millisecond
)

func newCrowd(t *testing.T) *crowd {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	c := &crowd{t: t, ends: map[string]microtime.Time{}, runs: map[string]int{}, idle: make(chan *peer, 1000), answers: make(chan answered, 10000)}
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
	c.command() // bind
	c.await(func() bool { return c.srv.backends.pool.Status().Bound || c.poolMark() })
	c.desk = dial(t, c.loop.Addr(0).String(), thrift.SplitFrame)
	go c.readDesk()
	return c
}

// onLoop runs f in a turn of the loop and waits for it.
func (c *crowd) onLoop(f func()) {
	done := make(chan struct{})
	require.NoError(c.t, c.loop.Execute(func() {
		f()
		close(done)
	}))
	<-done
}

// await returns when a condition holds on the loop.
func (c *crowd) await(holds func() bool) {
	for ok := false; !ok; runtime.Gosched() {
		c.onLoop(func() { ok = holds() })
	}
}

// poolMark answers the poll that follows bound; it is always false, so that await looks again.
func (c *crowd) poolMark() bool {
	if c.srv.backends.pool.Status().Connections == 1 && c.marks == 0 {
		c.marks = 1
		_, err := c.pool.Write([]byte("polled sync1 0 0 0 0\r\n"))
		require.NoError(c.t, err)
	}
	return false
}

// command reads and does one command at the pool; it returns the tag of a poll.
func (c *crowd) command() string {
	line, err := c.poolIn.ReadString('\n')
	require.NoError(c.t, err)
	var id, class, tag string
	var n int
	if k, _ := fmt.Sscanf(line, "spawn %s %s %d", &id, &class, &n); k == 3 {
		body := make([]byte, n+2)
		_, err := io.ReadFull(c.poolIn, body)
		require.NoError(c.t, err)
		c.runs[string(body[:n])]++
		c.queue = append(c.queue, id)
	} else if k, _ := fmt.Sscanf(line, "suspend %s", &id); k == 1 {
		if _, runs := c.ends[id]; runs {
			delete(c.ends, id)
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

func (c *crowd) finish(id, end string) {
	c.notices++
	c.out = fmt.Appendf(c.out, "finished %d %s %s 100 2\r\nok\r\n", c.notices, id, end)
}

// work lets the pool do what has been asked of it by now, and waits until the program has read its notices.
func (c *crowd) work() {
	c.marks++
	mark := fmt.Sprintf("mark%d", c.marks)
	c.onLoop(func() { c.srv.backends.pool.PollTagged(mark) })
	for c.command() != mark {
	}
	for _, id := range slices.Sorted(maps.Keys(c.ends)) {
		if c.clock.Now() >= c.ends[id] {
			delete(c.ends, id)
			c.finish(id, "PASS")
		}
	}
	for len(c.queue) > 0 && len(c.ends) < poolCores {
		c.ends[c.queue[0]] = c.clock.Now() + poolWork
		c.queue = c.queue[1:]
	}
	busy := len(c.ends) + len(c.queue)
	c.out = fmt.Appendf(c.out, "polled %s %.2f %d 0.1 4\r\n", mark, float64(len(c.ends))/poolCores, busy)
	c.finish("mark", "PASS")      // of no run: shows that all before it has been read
	_, err := c.pool.Write(c.out) // at once, so that they are read in one turn
	require.NoError(c.t, err)
	c.out = c.out[:0]
	c.await(func() bool { return c.srv.backends.pool.Status().Notice == c.notices })
}

func (c *crowd) readDesk() {
	for {
		payload, err := c.desk.next()
		if err != nil {
			return
		}
		if name := string(payload[8:min(15, len(payload))]); name == "process" {
			status := map[byte]int{0: 200, 1: 503, 2: 502}[payload[21]]
			c.answers <- answered{"thrift", int(binary.BigEndian.Uint32(payload[15:])), status}
		}
	}
}

// readOffice reads the answer to request id.
func (c *crowd) readOffice(p *peer, id int) {
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
			c.idle <- p
			c.answers <- answered{"ajp", id, status}
			return
		}
	}
}

// ask sends a request by one of the protocols and waits until the core has it.
func (c *crowd) ask(front, class, once, body string) {
	c.asked++
	id := fmt.Sprintf("%016x", c.asked)
	if front == "thrift" {
		c.desk.write(thrift.AppendCall(nil, int32(c.asked), []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: id},
			{Name: "at", Value: strconv.FormatInt(c.clock.UnixMilli(c.clock.Now()), 10)}, {Name: "from", Value: "1"},
			{Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "32"}, {Name: "rank", Value: "0.5"}, {Name: "once", Value: once}}, []byte(body)))
	} else {
		var p *peer
		select {
		case p = <-c.idle:
		default:
			p = dial(c.t, c.loop.Addr(1).String(), splitContainer)
		}
		out := ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/" + class, Headers: []ajp.Header{
			{Name: "content-length", Value: strconv.Itoa(len(body))}, {Name: "X-Relay-Id", Value: id}, {Name: "X-Relay-From", Value: "1"},
			{Name: "X-Relay-Tenant", Value: "hill-estate"}, {Name: "X-Relay-Rank", Value: "0.5"}, {Name: "X-Relay-Once", Value: once}}})
		out, _ = ajp.AppendBodyChunk(out, []byte(body))
		p.write(out)
		go c.readOffice(p, c.asked)
	}
	c.await(func() bool { return c.srv.clients.submitted == c.asked })
}

// overload plays half a minute of four times what the pool can do, both protocols mixed; it returns how many
// answers each got, by status. Intakes come once or twice, the second time at once and by the other protocol.
func overload(t *testing.T, exchanged bool) map[string]map[int]int {
	c := newCrowd(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := 0; i < 1250 || c.open() > 0; i++ {
		c.clock.now.Add(int64(20 * microtime.Millisecond))
		c.onLoop(func() {})
		c.work()
		if i%5 == 0 && i < 1000 {
			fronts, one, two := []string{"thrift", "ajp"}, fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
			if exchanged != (rng.IntN(2) == 1) {
				slices.Reverse(fronts)
			}
			c.ask(fronts[0], "block-view", "", one)
			c.ask(fronts[1], "block-view", "", two)
			if rng.IntN(2) == 0 {
				c.ask(fronts[0], "lot-intake", one, "intake"+one)
				if rng.IntN(2) == 0 {
					c.ask(fronts[1], "lot-intake", one, "intake"+one)
				}
			}
		}
		c.work()
	}
	count, seen := map[string]map[int]int{"thrift": {}, "ajp": {}}, map[int]bool{}
	for range c.asked { // one that never comes hangs here
		a := <-c.answers
		require.False(t, seen[a.id], "two answers to request %d", a.id)
		seen[a.id] = true
		count[a.front][a.status]++
	}
	for body, n := range c.runs {
		require.Equal(t, 1, n, "%s ran more than once", body)
	}
	return count
}

func (c *crowd) open() (n int) {
	c.onLoop(func() { n = c.srv.core.OpenRequests() })
	return n
}

// Guards what both fronts promise, the same treatment: under overload, requests by both protocols are mixed,
// and then once more with the protocols exchanged. What befell the one must then befall the other, to the last
// answer; each request is answered once, and no intake runs twice.
func TestOverloadTreatsBothFrontsAlike(t *testing.T) {
	one, other := overload(t, false), overload(t, true)
	t.Logf("thrift %v, ajp %v; exchanged: thrift %v, ajp %v", one["thrift"], one["ajp"], other["thrift"], other["ajp"])
	require.Equal(t, one["thrift"], other["ajp"])
	require.Equal(t, one["ajp"], other["thrift"])
	for front, c := range one {
		require.Positive(t, c[200], front)
		require.Positive(t, c[503], "%s: no overload", front)
	}
}
