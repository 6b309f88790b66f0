package upstream

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/transport"
)

// The indexes of the classes in the harness's settings.
const (
	readClass  = iota // idempotent
	keyedClass        // idempotent by key
	writeClass        // not idempotent
)

// harness is a backend under test. It implements the Core, EventLoop and WallClock of the backend.
type harness struct {
	t        *testing.T
	backend  *Backend
	now      microtime.Time
	dials    []*fakeDial // pending, oldest first
	random   uint64
	finished []finishedRun
	declined []declinedRun
	logged   []string
}

type finishedRun struct {
	id      string
	outcome dispatch.RunOutcome
	result  string
}

type declinedRun struct {
	id         string
	retryAfter microtime.Time
	noRetry    bool
}

// fakeDial is a pending dial, which the test completes or fails.
type fakeDial struct {
	address string
	open    func(transport.Conn) transport.Session
	failed  func()
}

// fakeConn is a connection to an endpoint. It implements transport.Conn, and records what the backend writes.
type fakeConn struct {
	t       *testing.T
	session transport.Session
	written []byte
	closed  bool
}

func (c *fakeConn) Write(p []byte)  { c.written = append(c.written, p...) }
func (c *fakeConn) Close()          { c.closed = true }
func (c *fakeConn) Resume()         {}
func (c *fakeConn) MarkIdentified() {}
func (c *fakeConn) Remote() string  { return "endpoint" }

// newHarness returns a harness with the given endpoints, whose addresses equal their names.
func newHarness(t *testing.T, change func(*Config), endpoints ...string) *harness {
	t.Helper()
	cfg := Config{
		Name: "edge",
		Fleet: config.Fleet{
			CallerID: 7,
			Members:  members(endpoints...),
		},
		Settings: control.Settings{
			Seed:    1,
			Classes: classes(),
			Tenants: []control.Tenant{{Name: "first"}, {Name: "second"}},
		},
	}
	if change != nil {
		change(&cfg)
	}
	h := &harness{t: t, now: 10 * microtime.Second}
	logf := func(format string, args ...any) { h.logged = append(h.logged, fmt.Sprintf(format, args...)) }
	backend, err := New(cfg, h, logf)
	require.NoError(t, err)
	h.backend = backend
	backend.Attach(h, h)
	return h
}

func classes() []control.Class {
	class := func(name string, idempotency control.Idempotency) control.Class {
		return control.Class{
			Name:            name,
			Idempotency:     idempotency,
			Deadline:        4 * time.Second,
			RetentionWindow: 13 * time.Second,
		}
	}
	return []control.Class{
		readClass:  class("read", control.Idempotent),
		keyedClass: class("keyed", control.IdempotentByKey),
		writeClass: class("write", control.NonIdempotent),
	}
}

func members(names ...string) []config.Member {
	var list []config.Member
	for _, name := range names {
		list = append(list, config.Member{Name: name, Address: name})
	}
	return list
}

func (h *harness) RunFinished(id string, outcome dispatch.RunOutcome, result []byte) {
	h.finished = append(h.finished, finishedRun{id, outcome, string(result)})
}

func (h *harness) RunDeclined(id string, retryAfter microtime.Time, noRetry bool) {
	h.declined = append(h.declined, declinedRun{id, retryAfter, noRetry})
}

func (h *harness) Now() microtime.Time { return h.now }

func (h *harness) DialOnce(address string, open func(transport.Conn) transport.Session, failed func()) func() {
	h.dials = append(h.dials, &fakeDial{address, open, failed})
	return func() {}
}

func (h *harness) Rand() uint64 {
	h.random++
	return h.random
}

func (h *harness) UnixMilli(t microtime.Time) int64 { return int64(t / microtime.Millisecond) }

// start starts a run of the given class. The key is empty if the class does not use keys.
func (h *harness) start(id string, class int, key string) {
	h.backend.Start(dispatch.Run{
		ID:   id,
		Body: []byte("body of " + id),
		Request: &dispatch.Request{
			Class:          class,
			Tenant:         1,
			IdempotencyKey: key,
			ArrivedAt:      h.now,
			CallerID:       3,
			QueuedKB:       20,
			Rank:           0.25,
		},
	})
}

// nextDial removes and returns the oldest pending dial.
func (h *harness) nextDial() *fakeDial {
	h.t.Helper()
	require.NotEmpty(h.t, h.dials, "no dial is pending")
	dial := h.dials[0]
	h.dials = h.dials[1:]
	return dial
}

// accept completes the oldest pending dial.
func (h *harness) accept() (conn *fakeConn, address string) {
	h.t.Helper()
	dial := h.nextDial()
	conn = &fakeConn{t: h.t}
	conn.session = dial.open(conn)
	return conn, dial.address
}

// refuse fails the oldest pending dial.
func (h *harness) refuse() (address string) {
	h.t.Helper()
	dial := h.nextDial()
	dial.failed()
	return dial.address
}

// warmUp serves enough reads with the given latency that the balancer knows the latency of their class. It returns the
// connection that served them.
func (h *harness) warmUp(latency microtime.Time) *fakeConn {
	h.t.Helper()
	h.start("first", readClass, "")
	conn, _ := h.accept()
	for i := range 60 {
		h.now += latency
		conn.answer(conn.oneCall().SequenceID, "")
		h.start(fmt.Sprintf("warm-up %d", i), readClass, "")
	}
	h.now += latency
	conn.answer(conn.oneCall().SequenceID, "")
	h.finished = nil
	return conn
}

// calls removes and returns the messages that were written to the endpoint.
func (c *fakeConn) calls() []thrift.Call {
	c.t.Helper()
	var calls []thrift.Call
	for len(c.written) > 0 {
		payload, size, err := thrift.SplitFrame(c.written)
		require.NoError(c.t, err)
		call, _, err := thrift.DecodeCall(payload)
		require.NoError(c.t, err)
		calls = append(calls, call)
		c.written = c.written[size:]
	}
	return calls
}

// oneCall removes and returns the only message that was written to the endpoint.
func (c *fakeConn) oneCall() thrift.Call {
	c.t.Helper()
	calls := c.calls()
	require.Len(c.t, calls, 1)
	return calls[0]
}

// receive passes bytes from the endpoint to the backend, which must consume all of them.
func (c *fakeConn) receive(frame []byte) {
	c.t.Helper()
	consumed, err := c.session.Receive(frame)
	require.NoError(c.t, err)
	require.Len(c.t, frame, consumed)
}

func (c *fakeConn) answer(sequenceID int32, body string) {
	c.t.Helper()
	c.receive(answerFrame(sequenceID, body))
}

func (c *fakeConn) reject(sequenceID int32, fields ...thrift.Field) {
	c.t.Helper()
	c.receive(thrift.AppendThrottled(nil, sequenceID, fields))
}

// answerFrame returns a reply of the method process that has only a body, in Thrift's strict binary protocol.
func answerFrame(sequenceID int32, body string) []byte {
	frame := []byte{0, 0, 0, 0, 0x80, 1, 0, 2, 0, 0, 0, 7}
	frame = append(frame, "process"...)
	frame = binary.BigEndian.AppendUint32(frame, uint32(sequenceID))
	frame = append(frame, 12, 0, 0, 11, 0, 1) // the result is a struct whose first field is a string
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	frame = append(frame, 0, 0)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return frame
}

// requireFinished checks the runs that have finished since the last call.
func (h *harness) requireFinished(want ...finishedRun) {
	h.t.Helper()
	require.Equal(h.t, want, h.finished)
	h.finished = nil
}

// attemptsInFlight returns the number of attempts that the balancer counts as in flight.
func (h *harness) attemptsInFlight() int {
	count := 0
	for _, endpoint := range h.backend.balancer.Endpoints(h.now) {
		count += endpoint.InFlight
	}
	return count
}

// requireNoRuns checks that the backend holds no run and the balancer counts no attempt in flight.
func (h *harness) requireNoRuns() {
	h.t.Helper()
	require.Empty(h.t, h.backend.runs)
	require.Zero(h.t, h.backend.ordered.Len())
	require.Zero(h.t, h.attemptsInFlight())
}

// endpointState returns the balancer's state of an endpoint.
func (h *harness) endpointState(name string) loadbalancer.State {
	for _, endpoint := range h.backend.balancer.Endpoints(h.now) {
		if endpoint.Name == name {
			return endpoint.State
		}
	}
	return loadbalancer.Unobserved
}
