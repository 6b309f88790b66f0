package invariant

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/simnet"
)

// scene is a world in which a test plays the server: what the observer sees are bytes that the test makes up.
type scene struct {
	t          *testing.T
	world      *simnet.World
	observer   *Observer
	sequenceID int32
	conns      uint64
	notices    uint64
}

func newScene(t *testing.T) *scene {
	s := &scene{t: t, world: simnet.NewWorld(1)}
	s.observer = New(s.world, Limits{Settings: control.Settings{Classes: []control.Class{
		{Name: "block-view", Deadline: 4 * time.Second}, {Name: "lot-intake", Deadline: 4 * time.Second, Idempotency: control.IdempotentByKey, RetentionWindow: 10 * time.Second}}},
		AnswerGrace: 100 * microtime.Millisecond, DrainGrace: 2500 * microtime.Millisecond, Cores: 2, MaxConcurrencyPerCore: 4, MaxConcurrencyWindow: microtime.Second, MemoryKB: 2000,
		RunningMemoryFactor: 8, WarmUpMinSpeed: 0.25, WarmUpTime: 10 * microtime.Second, Store: true})
	s.world.After = s.observer.Check
	s.observer.ServerStarted("s0", 1)
	s.open(1, "s0/thrift", "p0")
	s.open(2, "w0/a", "s0")
	s.open(3, "s0/ajp", "o0")
	s.conns = 3
	return s
}

func (s *scene) event(conn uint64, kind simnet.EventKind, node, peer string, dialer bool, p []byte) {
	s.observer.Tap(simnet.Event{At: s.world.Now(), Kind: kind, Conn: conn, Node: node, Peer: peer, Dialer: dialer, Bytes: p})
}

func (s *scene) open(conn uint64, addr, from string) {
	s.observer.Tap(simnet.Event{At: s.world.Now(), Kind: simnet.Opened, Conn: conn, Node: from, Addr: addr, Dialer: true})
}

// fields are those of a request asked some time ago.
func (s *scene) fields(id, class, once string, ago microtime.Time) []thrift.Field {
	at := strconv.FormatInt((&simnet.WallClock{}).UnixMilli(s.world.Now()-ago), 10)
	return []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: id}, {Name: "at", Value: at}, {Name: "kb", Value: "20"},
		{Name: "tenant", Value: "t"}, {Name: "once", Value: once}}
}

// ask has a request reach the server; it returns its number.
func (s *scene) ask(id, class, once string) int32 { return s.askAgo(id, class, once, 0) }

func (s *scene) askAgo(id, class, once string, ago microtime.Time) int32 {
	s.sequenceID++
	s.event(1, simnet.Arrived, "s0", "p0", false, thrift.AppendCall(nil, s.sequenceID, s.fields(id, class, once, ago), []byte("body")))
	return s.sequenceID
}

func (s *scene) giveUp(seq int32) {
	s.event(1, simnet.Arrived, "s0", "p0", false, thrift.AppendGiveUp(nil, seq))
}

func (s *scene) answer(p []byte) { s.event(1, simnet.Written, "s0", "p0", false, p) }
func (s *scene) served(seq int32, result []byte) {
	s.answer(thrift.AppendAnswer(nil, thrift.Answer{MethodName: thrift.ProcessName, SequenceID: seq, Body: result, Good: true}))
}
func (s *scene) spawn(id, class, body string) {
	s.event(2, simnet.Arrived, "w0", "s0", false, pool.AppendSpawn(nil, id, class, []byte(body)))
}

// finish has the run of id end, and its notice reach the server; it returns the result.
func (s *scene) finish(id string, end pool.Outcome) []byte {
	s.notices++
	var result []byte
	if end == pool.Pass {
		result = Result([]byte("body"), s.notices)
	}
	p := pool.AppendFinished(nil, s.notices, id, end, 5, result)
	s.event(2, simnet.Written, "w0", "s0", false, p)
	s.event(2, simnet.Arrived, "s0", "w0", true, p)
	return result
}

func (s *scene) run(id, class string) []byte {
	s.spawn(id, class, "body")
	return s.finish(id, pool.Pass)
}

func (s *scene) advance(d microtime.Time) {
	for end := s.world.Now() + d; s.world.Now() < end; {
		s.world.At(min(s.world.Now()+20*microtime.Millisecond, end), func() {})
		s.world.Step(end)
	}
}

// Each broken rule is seen, and its like that breaks none is not.
func TestEachRule(t *testing.T) {
	for _, c := range []struct {
		name, want string // the violation's key; "" for none
		play       func(s *scene)
	}{
		{"served by its run", "", func(s *scene) { n := s.ask("a", "block-view", ""); s.served(n, s.run("a", "block-view")) }},
		{"never answered", "lost/unanswered", func(s *scene) { s.ask("a", "block-view", "") }},
		{"given up and not answered", "", func(s *scene) { s.giveUp(s.ask("a", "block-view", "")) }},
		{"given up and answered once", "", func(s *scene) {
			n := s.ask("a", "block-view", "")
			s.giveUp(n)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"answered late", "lost/answered late", func(s *scene) {
			n := s.askAgo("a", "block-view", "", 4*microtime.Second)
			s.advance(140 * microtime.Millisecond)
			s.world.Run(s.world.Now() + 100*microtime.Millisecond) // no step, so that nothing is judged meanwhile
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"stood still meanwhile", "", func(s *scene) {
			n := s.ask("a", "block-view", "")
			s.observer.ServerPaused("s0", s.world.Now()+6*microtime.Second)
			s.advance(6100 * microtime.Millisecond)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"answered twice", "duplicate/answered twice", func(s *scene) {
			n := s.ask("a", "block-view", "")
			s.served(n, s.run("a", "block-view"))
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"answer to nothing", "duplicate/answer to nothing", func(s *scene) { s.served(9, nil) }},
		{"unreadable", "lost/an answer that cannot be read", func(s *scene) { s.answer([]byte{0, 0, 0, 2, 1, 2}) }},
		{"another's result", "result/served what no run made for it", func(s *scene) {
			s.ask("a", "block-view", "")
			n := s.ask("b", "block-view", "")
			s.spawn("b", "block-view", "body")
			s.served(n, s.run("a", "block-view"))
		}},
		{"result before its run has ended", "result/served what no run made for it", func(s *scene) {
			n := s.ask("a", "block-view", "")
			s.spawn("a", "block-view", "body")
			s.served(n, Result([]byte("body"), 1))
		}},
		{"another body", "result/body changed", func(s *scene) { s.giveUp(s.ask("a", "block-view", "")); s.spawn("a", "block-view", "bodi") }},
		{"another class", "result/class changed", func(s *scene) { s.giveUp(s.ask("a", "block-view", "")); s.spawn("a", "lot-intake", "body") }},
		{"a repeat gets the result", "", func(s *scene) {
			n, r := s.ask("a", "lot-intake", "k"), s.run("a", "lot-intake")
			s.served(n, r)
			s.served(s.ask("b", "lot-intake", "k"), r)
		}},
		{"run twice", "duplicate/run twice within its window", func(s *scene) {
			s.served(s.ask("a", "lot-intake", "k"), s.run("a", "lot-intake"))
			s.advance(9 * microtime.Second)
			s.served(s.ask("b", "lot-intake", "k"), s.run("b", "lot-intake"))
		}},
		{"run again after its window", "", func(s *scene) {
			s.served(s.ask("a", "lot-intake", "k"), s.run("a", "lot-intake"))
			s.advance(11 * microtime.Second)
			s.served(s.ask("b", "lot-intake", "k"), s.run("b", "lot-intake"))
		}},
		{"the window counts from the try that ran", "duplicate/run twice within its window", func(s *scene) {
			s.giveUp(s.ask("a", "lot-intake", "k"))
			s.advance(8 * microtime.Second)
			s.served(s.ask("b", "lot-intake", "k"), s.run("b", "lot-intake"))
			s.advance(8 * microtime.Second)
			s.served(s.ask("c", "lot-intake", "k"), s.run("c", "lot-intake"))
		}},
		{"not started, so it may run", "", func(s *scene) {
			s.giveUp(s.ask("a", "lot-intake", "k"))
			s.spawn("a", "lot-intake", "body")
			s.finish("a", pool.Noop)
			s.served(s.ask("b", "lot-intake", "k"), s.run("b", "lot-intake"))
		}},
		{"sent again after its end", "duplicate/run twice", func(s *scene) {
			s.served(s.ask("a", "lot-intake", "k"), s.run("a", "lot-intake"))
			s.spawn("a", "lot-intake", "body")
		}},
		{"sent again while it runs", "", func(s *scene) {
			n := s.ask("a", "lot-intake", "k")
			s.spawn("a", "lot-intake", "body")
			s.served(n, s.run("a", "lot-intake"))
		}},
		{"on record, and run in a later life", "duplicate/run again though it is on record", func(s *scene) {
			s.served(s.ask("a", "lot-intake", "k"), s.run("a", "lot-intake"))
			s.observer.ServerStopped("s0", false)
			s.observer.ServerStarted("s0", 2)
			s.open(4, "w0/a", "s0")
			s.open(1, "s0/thrift", "p0")
			s.sequenceID = 0
			s.ask("b", "lot-intake", "k")
			s.event(4, simnet.Arrived, "w0", "s0", false, pool.AppendSpawn(nil, "b", "lot-intake", []byte("body")))
		}},
		{"refused after a run", "duplicate/refused after a run", func(s *scene) {
			n := s.ask("a", "block-view", "")
			s.run("a", "block-view")
			s.answer(thrift.AppendThrottled(nil, n, nil))
		}},
		{"a repeat refused", "duplicate/refused though the intake ran", func(s *scene) {
			s.served(s.ask("a", "lot-intake", "k"), s.run("a", "lot-intake"))
			s.answer(thrift.AppendThrottled(nil, s.ask("b", "lot-intake", "k"), nil))
		}},
		{"refused", "", func(s *scene) { s.answer(thrift.AppendThrottled(nil, s.ask("a", "lot-intake", "k"), nil)) }},
		{"run past the drain's limit", "drain/run past the limit", func(s *scene) {
			s.observer.DrainSent("s0")
			s.advance(2600 * microtime.Millisecond)
			s.served(s.ask("a", "block-view", ""), s.run("a", "block-view"))
		}},
		{"run within the drain's limit", "", func(s *scene) {
			s.observer.DrainSent("s0")
			s.advance(2400 * microtime.Millisecond)
			s.served(s.ask("a", "block-view", ""), s.run("a", "block-view"))
		}},
		{"ended with a request open", "drain/unanswered at the end", func(s *scene) {
			s.ask("a", "block-view", "")
			s.advance(60 * microtime.Millisecond)
			s.observer.ServerStopped("s0", true)
		}},
		{"killed with a request open", "", func(s *scene) {
			s.ask("a", "block-view", "")
			s.advance(60 * microtime.Millisecond)
			s.observer.ServerStopped("s0", false)
		}},
		{"closed with a request open", "lost/closed by the server", func(s *scene) {
			s.ask("a", "block-view", "")
			s.advance(60 * microtime.Millisecond)
			s.event(1, simnet.Closed, "s0", "p0", false, nil)
		}},
		{"shut with a request open", "lost/closed by the server", func(s *scene) {
			s.ask("a", "block-view", "")
			s.advance(60 * microtime.Millisecond)
			s.event(1, simnet.HalfClosed, "s0", "p0", false, nil)
		}},
		{"cut by the network with a request open", "", func(s *scene) {
			s.ask("a", "block-view", "")
			s.advance(60 * microtime.Millisecond)
			s.observer.Tap(simnet.Event{At: s.world.Now(), Kind: simnet.HalfClosed, Cause: simnet.CauseCut, Conn: 1, Node: "s0", Peer: "p0"})
		}},
		{"shut as a request comes", "", func(s *scene) {
			s.ask("a", "block-view", "")
			s.event(1, simnet.HalfClosed, "s0", "p0", false, nil)
			s.ask("b", "block-view", "")
			s.advance(60 * microtime.Millisecond)
			s.event(1, simnet.Closed, "s0", "p0", false, nil)
			s.observer.ServerStopped("s0", true)
		}},
		{"the caller left", "", func(s *scene) {
			s.ask("a", "block-view", "")
			s.event(1, simnet.Closed, "p0", "s0", true, nil)
		}},
		{"notices passed over", "result/notices passed over", func(s *scene) {
			s.served(s.ask("a", "block-view", ""), s.run("a", "block-view"))
			s.event(2, simnet.Arrived, "w0", "s0", false, pool.AppendBind(nil, 2))
		}},
		{"bound with the last notice", "", func(s *scene) {
			s.served(s.ask("a", "block-view", ""), s.run("a", "block-view"))
			s.event(2, simnet.Arrived, "w0", "s0", false, pool.AppendBind(nil, 1))
		}},
		{"no try to reach the pool", "recovery/no try to reach the worker pool", func(s *scene) {
			s.event(2, simnet.Closed, "s0", "w0", true, nil)
		}},
		{"too many run", "fall-over/crowd", func(s *scene) {
			for i := range 9 {
				s.giveUp(s.ask(fmt.Sprint(i), "block-view", ""))
				s.spawn(fmt.Sprint(i), "block-view", "body")
			}
		}},
		{"as many as may run", "", func(s *scene) {
			for i := range 6 {
				s.giveUp(s.ask(fmt.Sprint(i), "block-view", ""))
				s.spawn(fmt.Sprint(i), "block-view", "body")
			}
		}},
		{"too much memory", "fall-over/memory", func(s *scene) {
			for i := range 13 { // 160 kB each
				s.ask(fmt.Sprint(i), "block-view", "")
				s.spawn(fmt.Sprint(i), "block-view", "body")
			}
			s.advance(200 * microtime.Millisecond)
			for i := range 13 {
				s.served(int32(i+1), s.finish(fmt.Sprint(i), pool.Pass))
			}
		}},
		{"AJP", "", func(s *scene) { s.askByAJP("b", "200", s.askByAJP("a", "200", nil)) }},
		{"AJP, refused though it ran", "duplicate/refused though the intake ran", func(s *scene) {
			s.askByAJP("a", "200", nil)
			s.askByAJP("b", "503", nil)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(t)
			c.play(s)
			s.advance(5 * microtime.Second)
			if c.want == "" {
				require.Empty(t, s.observer.Violations)
				return
			}
			require.NotEmpty(t, s.observer.Violations)
			require.Equal(t, c.want, s.observer.Violations[0].Key(), s.observer.Violations[0].String())
		})
	}
}

// askByAJP asks for an intake by AJP and has it answered: by its run, or by a result.
func (s *scene) askByAJP(id, status string, result []byte) []byte {
	req := ajp.Request{Method: "POST", URI: "/lot-intake", RemoteAddr: "127.0.0.1", Headers: []ajp.Header{{Name: "content-length", Value: "4"}}}
	for _, f := range s.fields(id, "lot-intake", "k", 0) {
		req.Headers = append(req.Headers, ajp.Header{Name: "X-Relay-" + f.Name, Value: f.Value})
	}
	p, _ := ajp.AppendBodyChunk(ajp.AppendForwardRequest(nil, req), []byte("body"))
	for i := range p { // in pieces
		s.event(3, simnet.Arrived, "s0", "o0", false, p[i:i+1])
	}
	if result == nil && status == "200" {
		result = s.run(id, "lot-intake")
	}
	n, err := strconv.Atoi(status)
	require.NoError(s.t, err)
	out := ajp.AppendEndResponse(ajp.AppendResponseBody(ajp.AppendSendHeaders(nil, n, "x", nil), result), true)
	s.event(3, simnet.Written, "s0", "o0", false, out)
	return result
}

// A violation tells the history of the request with all tries of its intake.
func TestHistoryHasAllTries(t *testing.T) {
	s := newScene(t)
	s.served(s.ask("a", "lot-intake", "k"), s.run("a", "lot-intake"))
	s.advance(microtime.Second)
	s.ask("b", "lot-intake", "k")
	s.spawn("b", "lot-intake", "body")
	require.Len(t, s.observer.Violations, 1)
	require.Equal(t, []string{"0s a lot-intake read, asked at 0s, due at 4s", "0s a run", "0s a run ended: 1", "0s a served",
		"1s b lot-intake read, asked at 1s, due at 5s", "1s b run"}, s.observer.Violations[0].History)
}
