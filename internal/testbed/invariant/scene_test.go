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
	keyedClass = "lot-intake" // its requests have an idempotency key
	safeClass  = "block-view" // its requests are idempotent
	firstID    = "00000000000000a1"
	secondID   = "00000000000000b2"
)

// The connections of a scene.
const (
	callerConn = iota + 1
	workerConn
	webConn
	firstVaultConn
	secondVaultConn
	laterWorkerConn // of a later incarnation of the server
)

// scene is a world in which a test plays the server: what the observer sees are bytes that the test makes up.
type scene struct {
	t          *testing.T
	world      *simnet.World
	observer   *Observer
	sequenceID int32
	notices    uint64
}

// newScene has one server with its worker pool, a caller by Thrift and one by AJP, and two connections to the vault.
func newScene(t *testing.T, memoryKB float64) *scene {
	t.Helper()
	world := simnet.NewWorld(1)
	created := &scene{t: t, world: world, observer: New(world, Limits{
		Settings: control.Settings{Classes: []control.Class{
			{Name: safeClass, Deadline: 4 * time.Second},
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
	world.After = created.observer.Check
	created.observer.ServerStarted("s0", 1)
	created.open(callerConn, "s0/thrift", "p0")
	created.open(workerConn, "w0/a", "s0")
	created.open(webConn, "s0/ajp", "o0")
	return created
}

// event has the observer see what happens on a connection.
func (s *scene) event(conn uint64, kind simnet.EventKind, node, peer string, dialer bool, p []byte) {
	s.observer.Tap(simnet.Event{
		At:     s.world.Now(),
		Kind:   kind,
		Conn:   conn,
		Node:   node,
		Peer:   peer,
		Dialer: dialer,
		Bytes:  p,
	})
}

// open has the observer see a new connection.
func (s *scene) open(conn uint64, addr, from string) {
	s.observer.Tap(simnet.Event{
		At:     s.world.Now(),
		Kind:   simnet.Opened,
		Conn:   conn,
		Node:   from,
		Addr:   addr,
		Dialer: true,
	})
}

// fields are those of a request asked some time ago.
func (s *scene) fields(id, class, once string, ago microtime.Time) []thrift.Field {
	at := strconv.FormatInt((&simnet.WallClock{}).UnixMilli(s.world.Now()-ago), 10)
	return []thrift.Field{
		{Name: "class", Value: class},
		{Name: "id", Value: id},
		{Name: "at", Value: at},
		{Name: "kb", Value: "20"},
		{Name: "tenant", Value: "t"},
		{Name: "once", Value: once},
	}
}

// ask has a request reach the server; it returns its number.
func (s *scene) ask(id, class, once string) int32 { return s.askAgo(id, class, once, 0) }

// askAgo is ask for a request that its caller sent some time ago.
func (s *scene) askAgo(id, class, once string, ago microtime.Time) int32 {
	s.sequenceID++
	message := thrift.AppendCall(nil, s.sequenceID, s.fields(id, class, once, ago), []byte("body"))
	s.event(callerConn, simnet.Arrived, "s0", "p0", false, message)
	return s.sequenceID
}

// giveUp has the caller cancel a request.
func (s *scene) giveUp(sequenceID int32) {
	s.event(callerConn, simnet.Arrived, "s0", "p0", false, thrift.AppendGiveUp(nil, sequenceID))
}

// answer has the server write bytes to the caller.
func (s *scene) answer(p []byte) { s.event(callerConn, simnet.Written, "s0", "p0", false, p) }

// served has the server answer a request with a result.
func (s *scene) served(sequenceID int32, result []byte) {
	s.answer(thrift.AppendAnswer(nil, thrift.Answer{
		MethodName: thrift.ProcessName,
		SequenceID: sequenceID,
		Body:       result,
		Good:       true,
	}))
}

// spawn has the command to start a run reach the worker pool.
func (s *scene) spawn(id, class, body string) {
	s.event(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendSpawn(nil, id, class, []byte(body)))
}

// finish has the run of id end, and its notice reach the server; it returns the result.
func (s *scene) finish(id string, end pool.Outcome) []byte {
	s.notices++
	var result []byte
	if end == pool.Pass {
		result = Result([]byte("body"), s.notices)
	}
	s.notify(pool.AppendFinished(nil, s.notices, id, end, 5, result))
	return result
}

// notify has a notice of the worker pool be sent and reach the server.
func (s *scene) notify(notice []byte) {
	s.event(workerConn, simnet.Written, "w0", "s0", false, notice)
	s.event(workerConn, simnet.Arrived, "s0", "w0", true, notice)
}

// run has the run of id start and end; it returns the result.
func (s *scene) run(id, class string) []byte {
	s.spawn(id, class, "body")
	return s.finish(id, pool.Pass)
}

// advance has time pass in small steps.
func (s *scene) advance(by microtime.Time) {
	for end := s.world.Now() + by; s.world.Now() < end; {
		s.world.At(min(s.world.Now()+20*microtime.Millisecond, end), func() {})
		s.world.Step(end)
	}
}

// block has the run of id wait for a call.
func (s *scene) block(id string) {
	s.notices++
	s.notify(pool.AppendBlocked(nil, s.notices, id, []byte("call")))
}

// runToCall has a request come and run to its call.
func (s *scene) runToCall(id, class string) int32 {
	n := s.ask(id, class, id)
	s.spawn(id, class, "body")
	s.block(id)
	return n
}

// call has the server write the call of id.
func (s *scene) call(conn uint64, id string) {
	s.event(conn, simnet.Written, "s0", "v0", true, vault.AppendAsk(nil, id, 1000, []byte("call")))
}

// cancelCall has the server give the first call up.
func (s *scene) cancelCall(conn uint64) {
	s.event(conn, simnet.Written, "s0", "v0", true, vault.AppendUnask(nil, firstID))
}

// reply has the vault reply to the first call, on the first connection.
func (s *scene) reply(status vault.Status) {
	reply := vault.AppendReply(nil, firstID, status, []byte("reply "+firstID))
	s.event(firstVaultConn, simnet.Arrived, "s0", "v0", true, reply)
}

// supply has a reply reach the worker pool.
func (s *scene) supply(id, body string) {
	s.event(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendSupply(nil, id, []byte(body)))
}

// ends has the run of id end and be answered.
func (s *scene) ends(seq int32, id string) { s.served(seq, s.finish(id, pool.Pass)) }

// askByAJP sends a request with an idempotency key by AJP and has it answered: by its run, or by a result.
func (s *scene) askByAJP(id string, status int, result []byte) []byte {
	request := ajp.Request{
		Method:     "POST",
		URI:        "/" + keyedClass,
		RemoteAddr: "127.0.0.1",
		Headers:    []ajp.Header{{Name: "content-length", Value: "4"}},
	}
	for _, field := range s.fields(id, keyedClass, "k", 0) {
		request.Headers = append(request.Headers, ajp.Header{Name: headerPrefix + field.Name, Value: field.Value})
	}
	packets, _ := ajp.AppendBodyChunk(ajp.AppendForwardRequest(nil, request), []byte("body"))
	for i := range packets { // byte by byte
		s.event(webConn, simnet.Arrived, "s0", "o0", false, packets[i:i+1])
	}
	if result == nil && status == http.StatusOK {
		result = s.run(id, keyedClass)
	}
	head := ajp.AppendSendHeaders(nil, status, "x", nil)
	s.event(webConn, simnet.Written, "s0", "o0", false, ajp.AppendEndResponse(ajp.AppendResponseBody(head, result), true))
	return result
}

// ruleCase is what a server and its callers do, and the violation that it is.
type ruleCase struct {
	name string
	want string // the violation's key; empty: none
	play func(s *scene)
}

// playEach plays each case in a scene of its own, and requires that its violation is the first one, or that there is
// none.
func playEach(t *testing.T, memoryKB float64, cases []ruleCase) {
	t.Helper()
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			played := newScene(t, memoryKB)
			played.open(firstVaultConn, "v0/a", "s0")
			played.open(secondVaultConn, "v0/b", "s0")
			tc.play(played)
			played.advance(5 * microtime.Second)
			violations := played.observer.Violations
			if tc.want == "" {
				require.Empty(t, violations)
				return
			}
			require.NotEmpty(t, violations)
			require.Equal(t, tc.want, violations[0].Key(), violations[0].String())
		})
	}
}
