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

// The classes of the harness's settings.
const (
	readClass  = iota // idempotent
	keyedClass        // idempotent by key
	writeClass        // not idempotent
)

// harness is a backend on an event loop that the test plays. It implements Core, EventLoop and WallClock.
type harness struct {
	t        *testing.T
	backend  *Backend
	now      microtime.Time
	dials    []*fakeDial
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

// fakeDial is an attempt to open a connection, which the test lets succeed or fail.
type fakeDial struct {
	address string
	open    func(transport.Conn) transport.Session
	failed  func()
}

// fakeConn is the endpoint's end of a connection. It implements transport.Conn.
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

// newHarness returns a backend in front of endpoints that are named and addressed alike.
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

// start starts a run of a class. The key is empty for classes without keys.
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

// nextDial returns the oldest attempt to open a connection.
func (h *harness) nextDial() *fakeDial {
	h.t.Helper()
	require.NotEmpty(h.t, h.dials, "a connection is being opened")
	dial := h.dials[0]
	h.dials = h.dials[1:]
	return dial
}

// accept lets the oldest attempt to open a connection succeed.
func (h *harness) accept() (conn *fakeConn, address string) {
	h.t.Helper()
	dial := h.nextDial()
	conn = &fakeConn{t: h.t}
	conn.session = dial.open(conn)
	return conn, dial.address
}

// refuse lets the oldest attempt to open a connection fail.
func (h *harness) refuse() (address string) {
	h.t.Helper()
	dial := h.nextDial()
	dial.failed()
	return dial.address
}

// warmUp has many reads served, so that the latency of their class is known. It returns a connection.
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

// calls takes the messages that were written to the endpoint.
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

// oneCall takes the only message that was written to the endpoint.
func (c *fakeConn) oneCall() thrift.Call {
	c.t.Helper()
	calls := c.calls()
	require.Len(c.t, calls, 1)
	return calls[0]
}

// receive has the backend receive the endpoint's bytes.
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

// answerFrame is a reply of the method process with a body alone, in the strict binary protocol of Thrift.
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

// requireFinished checks the runs that have finished since the last look.
func (h *harness) requireFinished(want ...finishedRun) {
	h.t.Helper()
	require.Equal(h.t, want, h.finished)
	h.finished = nil
}

// attemptsIn counts the attempts in flight that the balancer knows of.
func (h *harness) attemptsInFlight() int {
	count := 0
	for _, endpoint := range h.backend.balancer.Endpoints(h.now) {
		count += endpoint.InFlight
	}
	return count
}

// requireAtRest checks that nothing is left of runs that have ended.
func (h *harness) requireAtRest() {
	h.t.Helper()
	require.Empty(h.t, h.backend.runs)
	require.Zero(h.t, h.backend.ordered.Len())
	require.Zero(h.t, h.attemptsInFlight())
}

// stateOf returns an endpoint's state as the balancer sees it.
func (h *harness) stateOf(name string) loadbalancer.State {
	for _, endpoint := range h.backend.balancer.Endpoints(h.now) {
		if endpoint.Name == name {
			return endpoint.State
		}
	}
	return loadbalancer.Unobserved
}
