package invariant

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/simnet"
)

// TestEachRule shows that each broken rule is seen, and that its like that breaks none is not.
func TestEachRule(t *testing.T) {
	playEach(t, 2000, []ruleCase{
		{"served by its run", "", func(s *scene) {
			n := s.ask("a", safeClass, "")
			s.served(n, s.run("a", safeClass))
		}},
		{"never answered", "lost/unanswered", func(s *scene) { s.ask("a", safeClass, "") }},
		{"given up and not answered", "", func(s *scene) { s.giveUp(s.ask("a", safeClass, "")) }},
		{"given up and answered once", "", func(s *scene) {
			n := s.ask("a", safeClass, "")
			s.giveUp(n)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"answered late", "lost/answered late", func(s *scene) {
			n := s.askAgo("a", safeClass, "", 4*microtime.Second)
			s.advance(140 * microtime.Millisecond)
			s.world.Run(s.world.Now() + 100*microtime.Millisecond) // no step, so that nothing is judged meanwhile
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"stood still meanwhile", "", func(s *scene) {
			n := s.ask("a", safeClass, "")
			s.observer.ServerPaused("s0", s.world.Now()+6*microtime.Second)
			s.advance(6100 * microtime.Millisecond)
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"answered twice", "duplicate/answered twice", func(s *scene) {
			n := s.ask("a", safeClass, "")
			s.served(n, s.run("a", safeClass))
			s.answer(thrift.AppendBroken(nil, n, nil))
		}},
		{"answer to nothing", "duplicate/answer to nothing", func(s *scene) { s.served(9, nil) }},
		{"unreadable", "lost/an answer that cannot be read", func(s *scene) { s.answer([]byte{0, 0, 0, 2, 1, 2}) }},
		{"another's result", "result/served what no run made for it", func(s *scene) {
			s.ask("a", safeClass, "")
			n := s.ask("b", safeClass, "")
			s.spawn("b", safeClass, "body")
			s.served(n, s.run("a", safeClass))
		}},
		{"result before its run has ended", "result/served what no run made for it", func(s *scene) {
			n := s.ask("a", safeClass, "")
			s.spawn("a", safeClass, "body")
			s.served(n, Result([]byte("body"), 1))
		}},
		{"another body", "result/body changed", func(s *scene) {
			s.giveUp(s.ask("a", safeClass, ""))
			s.spawn("a", safeClass, "bodi")
		}},
		{"another class", "result/class changed", func(s *scene) {
			s.giveUp(s.ask("a", safeClass, ""))
			s.spawn("a", keyedClass, "body")
		}},
		{"a repeat gets the result", "", func(s *scene) {
			n, r := s.ask("a", keyedClass, "k"), s.run("a", keyedClass)
			s.served(n, r)
			s.served(s.ask("b", keyedClass, "k"), r)
		}},
		{"run twice", "duplicate/run twice within its window", func(s *scene) {
			s.served(s.ask("a", keyedClass, "k"), s.run("a", keyedClass))
			s.advance(9 * microtime.Second)
			s.served(s.ask("b", keyedClass, "k"), s.run("b", keyedClass))
		}},
		{"run again after its window", "", func(s *scene) {
			s.served(s.ask("a", keyedClass, "k"), s.run("a", keyedClass))
			s.advance(11 * microtime.Second)
			s.served(s.ask("b", keyedClass, "k"), s.run("b", keyedClass))
		}},
		{"the window counts from the try that ran", "duplicate/run twice within its window", func(s *scene) {
			s.giveUp(s.ask("a", keyedClass, "k"))
			s.advance(8 * microtime.Second)
			s.served(s.ask("b", keyedClass, "k"), s.run("b", keyedClass))
			s.advance(8 * microtime.Second)
			s.served(s.ask("c", keyedClass, "k"), s.run("c", keyedClass))
		}},
		{"not started, so it may run", "", func(s *scene) {
			s.giveUp(s.ask("a", keyedClass, "k"))
			s.spawn("a", keyedClass, "body")
			s.finish("a", pool.Noop)
			s.served(s.ask("b", keyedClass, "k"), s.run("b", keyedClass))
		}},
		{"sent again after its end", "duplicate/run twice", func(s *scene) {
			s.served(s.ask("a", keyedClass, "k"), s.run("a", keyedClass))
			s.spawn("a", keyedClass, "body")
		}},
		{"sent again while it runs", "", func(s *scene) {
			n := s.ask("a", keyedClass, "k")
			s.spawn("a", keyedClass, "body")
			s.served(n, s.run("a", keyedClass))
		}},
		{"on record, and run in a later life", "duplicate/run again though it is on record", func(s *scene) {
			s.served(s.ask("a", keyedClass, "k"), s.run("a", keyedClass))
			s.observer.ServerStopped("s0", false)
			s.observer.ServerStarted("s0", 2)
			s.open(laterWorkerConn, "w0/a", "s0")
			s.open(callerConn, "s0/thrift", "p0")
			s.sequenceID = 0
			s.ask("b", keyedClass, "k")
			s.event(laterWorkerConn, simnet.Arrived, "w0", "s0", false, pool.AppendSpawn(nil, "b", keyedClass, []byte("body")))
		}},
		{"refused after a run", "duplicate/refused after a run", func(s *scene) {
			n := s.ask("a", safeClass, "")
			s.run("a", safeClass)
			s.answer(thrift.AppendThrottled(nil, n, nil))
		}},
		{"a repeat refused", "duplicate/refused though the intake ran", func(s *scene) {
			s.served(s.ask("a", keyedClass, "k"), s.run("a", keyedClass))
			s.answer(thrift.AppendThrottled(nil, s.ask("b", keyedClass, "k"), nil))
		}},
		{"refused", "", func(s *scene) { s.answer(thrift.AppendThrottled(nil, s.ask("a", keyedClass, "k"), nil)) }},
		{"run past the drain's limit", "drain/run past the limit", func(s *scene) {
			s.observer.DrainSent("s0")
			s.advance(2600 * microtime.Millisecond)
			s.served(s.ask("a", safeClass, ""), s.run("a", safeClass))
		}},
		{"run within the drain's limit", "", func(s *scene) {
			s.observer.DrainSent("s0")
			s.advance(2400 * microtime.Millisecond)
			s.served(s.ask("a", safeClass, ""), s.run("a", safeClass))
		}},
		{"ended with a request open", "drain/unanswered at the end", func(s *scene) {
			s.ask("a", safeClass, "")
			s.advance(60 * microtime.Millisecond)
			s.observer.ServerStopped("s0", true)
		}},
		{"killed with a request open", "", func(s *scene) {
			s.ask("a", safeClass, "")
			s.advance(60 * microtime.Millisecond)
			s.observer.ServerStopped("s0", false)
		}},
		{"closed with a request open", "lost/closed by the server", func(s *scene) {
			s.ask("a", safeClass, "")
			s.advance(60 * microtime.Millisecond)
			s.event(callerConn, simnet.Closed, "s0", "p0", false, nil)
		}},
		{"shut with a request open", "lost/closed by the server", func(s *scene) {
			s.ask("a", safeClass, "")
			s.advance(60 * microtime.Millisecond)
			s.event(callerConn, simnet.HalfClosed, "s0", "p0", false, nil)
		}},
		{"cut by the network with a request open", "", func(s *scene) {
			s.ask("a", safeClass, "")
			s.advance(60 * microtime.Millisecond)
			s.observer.Tap(simnet.Event{
				At:    s.world.Now(),
				Kind:  simnet.HalfClosed,
				Cause: simnet.CauseCut,
				Conn:  callerConn,
				Node:  "s0",
				Peer:  "p0",
			})
		}},
		{"shut as a request comes", "", func(s *scene) {
			s.ask("a", safeClass, "")
			s.event(callerConn, simnet.HalfClosed, "s0", "p0", false, nil)
			s.ask("b", safeClass, "")
			s.advance(60 * microtime.Millisecond)
			s.event(callerConn, simnet.Closed, "s0", "p0", false, nil)
			s.observer.ServerStopped("s0", true)
		}},
		{"the caller left", "", func(s *scene) {
			s.ask("a", safeClass, "")
			s.event(callerConn, simnet.Closed, "p0", "s0", true, nil)
		}},
		{"notices passed over", "result/notices passed over", func(s *scene) {
			s.served(s.ask("a", safeClass, ""), s.run("a", safeClass))
			s.event(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendBind(nil, 2))
		}},
		{"bound with the last notice", "", func(s *scene) {
			s.served(s.ask("a", safeClass, ""), s.run("a", safeClass))
			s.event(workerConn, simnet.Arrived, "w0", "s0", false, pool.AppendBind(nil, 1))
		}},
		{"no try to reach the pool", "recovery/no try to reach the worker pool", func(s *scene) {
			s.event(workerConn, simnet.Closed, "s0", "w0", true, nil)
		}},
		{"too many run", "fall-over/crowd", func(s *scene) {
			for i := range 9 {
				s.giveUp(s.ask(fmt.Sprint(i), safeClass, ""))
				s.spawn(fmt.Sprint(i), safeClass, "body")
			}
		}},
		{"as many as may run", "", func(s *scene) {
			for i := range 6 {
				s.giveUp(s.ask(fmt.Sprint(i), safeClass, ""))
				s.spawn(fmt.Sprint(i), safeClass, "body")
			}
		}},
		{"too much memory", "fall-over/memory", func(s *scene) {
			for i := range 13 { // 160 kB each
				s.ask(fmt.Sprint(i), safeClass, "")
				s.spawn(fmt.Sprint(i), safeClass, "body")
			}
			s.advance(200 * microtime.Millisecond)
			for i := range 13 {
				s.served(int32(i+1), s.finish(fmt.Sprint(i), pool.Pass))
			}
		}},
		{"AJP", "", func(s *scene) { s.askByAJP("b", http.StatusOK, s.askByAJP("a", http.StatusOK, nil)) }},
		{"AJP, refused though it ran", "duplicate/refused though the intake ran", func(s *scene) {
			s.askByAJP("a", http.StatusOK, nil)
			s.askByAJP("b", http.StatusServiceUnavailable, nil)
		}},
	})
}

// TestHistoryHasAllTries shows that a violation tells the history of the request with all attempts under its key.
func TestHistoryHasAllTries(t *testing.T) {
	played := newScene(t, 2000)
	played.served(played.ask("a", keyedClass, "k"), played.run("a", keyedClass))
	played.advance(microtime.Second)
	played.ask("b", keyedClass, "k")
	played.spawn("b", keyedClass, "body")
	require.Len(t, played.observer.Violations, 1)
	require.Equal(t, []string{
		"0s a lot-intake read, asked at 0s, due at 4s",
		"0s a run",
		"0s a run ended: 1",
		"0s a served",
		"1s b lot-intake read, asked at 1s, due at 5s",
		"1s b run",
	}, played.observer.Violations[0].History)
}
