package invariant

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

const (
	keyedClass      = "lot-intake" // its requests have an idempotency key
	idempotentClass = "block-view" // its requests are idempotent
	firstID         = "00000000000000a1"
	secondID        = "00000000000000b2"
)

// Connection IDs.
const (
	callerConn = iota + 1
	workerConn
	webConn
	firstVaultConn
	secondVaultConn
	laterWorkerConn // of the server's second incarnation
)

// fixture is an observer of a simulation in which no server runs. Instead, the test passes the observer the events and
// bytes of the connections between a server, its callers, its worker pool and the vault.
type fixture struct {
	t          *testing.T
	clock      *simnet.Clock
	observer   *Observer
	sequenceID int32
	notices    uint64
}

// newFixture returns a fixture with one server, which is connected to its worker pool, a Thrift caller and an AJP
// caller.
func newFixture(t *testing.T, memoryKB float64) *fixture {
	t.Helper()
	clock := simnet.NewClock(1)
	created := &fixture{t: t, clock: clock, observer: New(clock, Limits{
		Settings: control.Settings{Classes: []control.Class{
			{Name: idempotentClass, Deadline: 4 * time.Second},
			{
				Name:            keyedClass,
				Deadline:        4 * time.Second,
				Idempotency:     control.IdempotentByKey,
				RetentionWindow: 10 * time.Second,
			},
		}},
		AnswerGrace:           100 * microtime.Millisecond,
		DrainGrace:            2500 * microtime.Millisecond,
		Cores:                 2,
		MaxConcurrencyPerCore: 4,
		MaxConcurrencyWindow:  microtime.Second,
		MemoryKB:              memoryKB,
		RunningMemoryFactor:   8,
		WarmUpMinSpeed:        0.25,
		WarmUpTime:            10 * microtime.Second,
		Store:                 true,
	})}
	clock.After = created.observer.Check
	created.observer.ServerStarted("s0", 1)
	created.openConn(callerConn, "s0/thrift", "p0")
	created.openConn(workerConn, "w0/a", "s0")
	created.openConn(webConn, "s0/ajp", "o0")
	return created
}

// observe passes an event on a connection to the observer.
func (f *fixture) observe(conn uint64, kind simnet.EventKind, node, peer string, dialer bool, payload []byte) {
	f.observer.Tap(simnet.Event{
		At:     f.clock.Now(),
		Kind:   kind,
		Conn:   conn,
		Node:   node,
		Peer:   peer,
		Dialer: dialer,
		Bytes:  payload,
	})
}

// openConn passes the opening of a connection to the observer.
func (f *fixture) openConn(conn uint64, addr, from string) {
	f.observer.Tap(simnet.Event{
		At:     f.clock.Now(),
		Kind:   simnet.Opened,
		Conn:   conn,
		Node:   from,
		Addr:   addr,
		Dialer: true,
	})
}

// fields returns the envelope fields of a request that its caller sent the given time ago.
func (f *fixture) fields(id, class, idempotencyKey string, age microtime.Time) []thrift.Field {
	at := strconv.FormatInt((&simnet.WallClock{}).UnixMilli(f.clock.Now()-age), 10)
	return []thrift.Field{
		{Name: "class", Value: class},
		{Name: "id", Value: id},
		{Name: "at", Value: at},
		{Name: "kb", Value: "20"},
		{Name: "tenant", Value: "t"},
		{Name: "once", Value: idempotencyKey},
	}
}

// sendRequest makes a request reach the server, and returns its sequence ID.
func (f *fixture) sendRequest(id, class, idempotencyKey string) int32 {
	return f.sendAgedRequest(id, class, idempotencyKey, 0)
}

// sendAgedRequest is sendRequest for a request that its caller sent the given time ago.
func (f *fixture) sendAgedRequest(id, class, idempotencyKey string, age microtime.Time) int32 {
	f.sequenceID++
	message := thrift.AppendCall(nil, f.sequenceID, f.fields(id, class, idempotencyKey, age), []byte("body"))
	f.observe(callerConn, simnet.Arrived, "s0", "p0", false, message)
	return f.sequenceID
}

// cancelRequest makes the cancellation of a request reach the server.
func (f *fixture) cancelRequest(sequenceID int32) {
	f.observe(callerConn, simnet.Arrived, "s0", "p0", false, thrift.AppendGiveUp(nil, sequenceID))
}

// writeReply makes the server write bytes to the Thrift caller.
func (f *fixture) writeReply(payload []byte) {
	f.observe(callerConn, simnet.Written, "s0", "p0", false, payload)
}

// writeResult makes the server answer a request with a result.
func (f *fixture) writeResult(sequenceID int32, result []byte) {
	f.writeReply(thrift.AppendAnswer(nil, thrift.Answer{
		MethodName: thrift.ProcessName,
		SequenceID: sequenceID,
		Body:       result,
		Good:       true,
	}))
}

// spawnRun makes the command to start a run reach the worker pool.
func (f *fixture) spawnRun(id, class, body string) {
	f.observe(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendSpawn(nil, id, class, []byte(body)))
}

// finishRun ends the run of a request, makes the worker pool's notice of the end reach the server, and returns the
// result of the run.
func (f *fixture) finishRun(id string, outcome pool.Outcome) []byte {
	f.notices++
	var result []byte
	if outcome == pool.Pass {
		result = Result([]byte("body"), f.notices)
	}
	f.sendNotice(pool.AppendFinished(nil, f.notices, id, outcome, 5, result))
	return result
}

// sendNotice makes the worker pool send a notice, which reaches the server.
func (f *fixture) sendNotice(notice []byte) {
	f.observe(workerConn, simnet.Written, "w0", "s0", false, notice)
	f.observe(workerConn, simnet.Arrived, "s0", "w0", true, notice)
}

// completeRun starts and ends the run of a request, and returns the result.
func (f *fixture) completeRun(id, class string) []byte {
	f.spawnRun(id, class, "body")
	return f.finishRun(id, pool.Pass)
}

// advance advances the simulated time in steps of 20 ms. The observer checks its rules after each step.
func (f *fixture) advance(by microtime.Time) {
	for end := f.clock.Now() + by; f.clock.Now() < end; {
		f.clock.At(min(f.clock.Now()+20*microtime.Millisecond, end), func() {})
		f.clock.Step(end)
	}
}

// blockRun makes the run of a request wait for a call.
func (f *fixture) blockRun(id string) {
	f.notices++
	f.sendNotice(pool.AppendBlocked(nil, f.notices, id, []byte("call")))
}

// runToCall makes a request reach the server and run until it waits for a call; it returns the sequence ID.
func (f *fixture) runToCall(id, class string) int32 {
	n := f.sendRequest(id, class, id)
	f.spawnRun(id, class, "body")
	f.blockRun(id)
	return n
}

// writeCall makes the server write the call of a request to the vault.
func (f *fixture) writeCall(conn uint64, id string) {
	f.observe(conn, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, id, 1000, []byte("call")))
}

// cancelCall makes the server cancel the call of the request firstID.
func (f *fixture) cancelCall(conn uint64) {
	f.observe(conn, simnet.Written, "s0", "v0", true, vault.AppendUnask(nil, firstID))
}

// replyToFirstCall makes the vault's reply to the call of the request firstID reach the server, on firstVaultConn.
func (f *fixture) replyToFirstCall(status vault.Status) {
	reply := vault.AppendReply(nil, firstID, status, []byte("reply "+firstID))
	f.observe(firstVaultConn, simnet.Arrived, "s0", "v0", true, reply)
}

// supplyReply makes the reply to a call reach the worker pool.
func (f *fixture) supplyReply(id, body string) {
	f.observe(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendSupply(nil, id, []byte(body)))
}

// finishAndAnswer ends the run of a request and makes the server answer with its result.
func (f *fixture) finishAndAnswer(sequenceID int32, id string) {
	f.writeResult(sequenceID, f.finishRun(id, pool.Pass))
}

// exchangeByAJP makes a keyed request reach the server by AJP, and makes the server answer it with the given status and
// result. If the result is nil and the status is OK, it completes a run of the request and uses the result of that run.
// It returns the result that the server sent.
func (f *fixture) exchangeByAJP(id string, status int, result []byte) []byte {
	request := ajp.Request{
		Method:     "POST",
		URI:        "/" + keyedClass,
		RemoteAddr: "127.0.0.1",
		Headers:    []ajp.Header{{Name: "content-length", Value: "4"}},
	}
	for _, field := range f.fields(id, keyedClass, "k", 0) {
		request.Headers = append(request.Headers, ajp.Header{Name: headerPrefix + field.Name, Value: field.Value})
	}
	packets, _ := ajp.AppendBodyChunk(ajp.AppendForwardRequest(nil, request), []byte("body"))
	for i := range packets { // byte by byte
		f.observe(webConn, simnet.Arrived, "s0", "o0", false, packets[i:i+1])
	}
	if result == nil && status == http.StatusOK {
		result = f.completeRun(id, keyedClass)
	}
	head := ajp.AppendSendHeaders(nil, status, "x", nil)
	f.observe(webConn, simnet.Written, "s0", "o0", false,
		ajp.AppendEndResponse(ajp.AppendResponseBody(head, result), true))
	return result
}

// ruleCase is a sequence of events, and the violation that it must cause.
type ruleCase struct {
	name string
	want string // key of the expected violation; empty if there must be none
	run  func(f *fixture)
}

// runCases runs each case in a fixture of its own. It requires that the first violation is the expected one, or that
// there is no violation if the case expects none.
func runCases(t *testing.T, memoryKB float64, cases []ruleCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, memoryKB)
			f.openConn(firstVaultConn, "v0/a", "s0")
			f.openConn(secondVaultConn, "v0/b", "s0")
			tc.run(f)
			f.advance(5 * microtime.Second)
			violations := f.observer.Violations
			if tc.want == "" {
				require.Empty(t, violations)
				return
			}
			require.NotEmpty(t, violations)
			require.Equal(t, tc.want, violations[0].Key(), violations[0].String())
		})
	}
}
