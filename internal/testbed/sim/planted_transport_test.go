package sim

import (
	"strings"
	"testing"

	"pewterline/internal/protocol/pool"
	"pewterline/internal/server"
	"pewterline/internal/transport"
)

// plantedTransportBugs are bugs of the event loop and of the worker pool's client, reproduced at their interfaces to
// the server and its peers.
var plantedTransportBugs = []plantedBug{
	{
		name: "room-open", wantViolation: "lost/closed by the server",
		interpose: func() interposer { return evictsBusyConnections{} },
	},
	{
		name: "stranger-vouched", wantViolation: "lost/closed by the server",
		interpose: func() interposer { return neverIdentifies{} },
	},
	{
		name: "no-redial", wantViolation: "recovery/no try to reach the worker pool",
		interpose: func() interposer { return redialsOnce{} },
	},
	{
		name: "notices-past", wantViolation: "result/notices passed over",
		interpose: func() interposer { return poolBug(skipNotice) },
	},
	{
		name: "sent-before", wantViolation: "duplicate/run twice",
		interpose: func() interposer { return poolBug(spawnBeforeNotices) },
	},
	{
		name: "wrong-try", wantViolation: "result/served what no run made for it",
		interpose: func() interposer { return poolBug(overwriteResults) },
	},
}

// evictsBusyConnections lets the event loop evict connections that have open requests.
type evictsBusyConnections struct{ passThrough }

func (evictsBusyConnections) handler(handler transport.Handler) transport.Handler {
	return alwaysIdleHandler{handler}
}

type alwaysIdleHandler struct{ transport.Handler }

func (h alwaysIdleHandler) Accept(listener int, conn transport.Conn) transport.Session {
	return alwaysIdleSession{h.Handler.Accept(listener, conn)}
}

type alwaysIdleSession struct{ transport.Session }

func (alwaysIdleSession) Idle() bool { return true }

// neverIdentifies lets the event loop close connections as unidentified although they have sent valid input.
type neverIdentifies struct{ passThrough }

func (neverIdentifies) handler(handler transport.Handler) transport.Handler {
	return unidentifiedHandler{handler}
}

type unidentifiedHandler struct{ transport.Handler }

func (h unidentifiedHandler) Accept(listener int, conn transport.Conn) transport.Session {
	return h.Handler.Accept(listener, unidentifiedConn{conn})
}

type unidentifiedConn struct{ transport.Conn }

func (unidentifiedConn) MarkIdentified() {}

// redialsOnce stops dialing after an address has refused a connection twice.
type redialsOnce struct{ passThrough }

func (redialsOnce) eventLoop(loop server.EventLoop) server.EventLoop { return singleRedialLoop{loop} }

type singleRedialLoop struct{ server.EventLoop }

func (l singleRedialLoop) Dial(addr string, open func(transport.Conn) transport.Session) (drop func()) {
	dropped := false
	dropAttempt := l.DialOnce(addr, open, func() {
		if !dropped {
			dropAttempt := l.DialOnce(addr, open, func() {})
			drop = dropAttempt
		}
	})
	drop = dropAttempt
	return func() {
		dropped = true
		drop()
	}
}

// poolBug is a bug of the worker pool's client. It opens a session that misbehaves, or whose connection does.
type poolBug func(
	sent *unfinishedRuns, conn transport.Conn, open func(transport.Conn) transport.Session,
) transport.Session

func (poolBug) handler(handler transport.Handler) transport.Handler { return handler }

func (b poolBug) eventLoop(loop server.EventLoop) server.EventLoop {
	return &poolDialer{EventLoop: loop, bug: b, sent: &unfinishedRuns{commands: map[string][]byte{}}}
}

// poolDialer plants a bug in the connections to the worker pool.
type poolDialer struct {
	server.EventLoop
	bug  poolBug
	sent *unfinishedRuns
}

func (d *poolDialer) Dial(addr string, open func(transport.Conn) transport.Session) (drop func()) {
	if !strings.HasPrefix(addr, "w") {
		return d.EventLoop.Dial(addr, open)
	}
	return d.EventLoop.Dial(addr, func(conn transport.Conn) transport.Session { return d.bug(d.sent, conn, open) })
}

// poolConn changes what the client writes to the worker pool.
type poolConn struct {
	transport.Conn
	write func(conn transport.Conn, p []byte)
}

func (c *poolConn) Write(p []byte) { c.write(c.Conn, p) }

// poolSession changes what the client receives from the worker pool.
type poolSession struct {
	transport.Session
	receive func(session transport.Session, in []byte) (int, error)
}

func (s *poolSession) Receive(in []byte) (int, error) { return s.receive(s.Session, in) }

// skipNotice binds each new connection to the notice after the right one, so that one notice is skipped.
func skipNotice(_ *unfinishedRuns, conn transport.Conn, open func(transport.Conn) transport.Session) transport.Session {
	return open(&poolConn{conn, func(conn transport.Conn, p []byte) {
		for _, m := range commands(p, pool.ParseCommand) {
			if m.command.Verb == pool.Bind && m.command.Notice > 0 {
				conn.Write(pool.AppendBind(nil, m.command.Notice+1))
			} else {
				conn.Write(m.raw)
			}
		}
	}})
}

// unfinishedRuns are the runs that the client has sent and whose end it has not received.
type unfinishedRuns struct {
	ids      []string // in the order in which they were first sent
	commands map[string][]byte
}

func (s *unfinishedRuns) recordSpawns(p []byte) {
	for _, m := range commands(p, pool.ParseCommand) {
		if m.command.Verb != pool.Spawn {
			continue
		}
		if s.commands[m.command.ID] == nil {
			s.ids = append(s.ids, m.command.ID)
		}
		s.commands[m.command.ID] = append([]byte(nil), m.raw...)
	}
}

func (s *unfinishedRuns) remove(id string) { delete(s.commands, id) }

// resendAll sends all unfinished runs again.
func (s *unfinishedRuns) resendAll(conn transport.Conn) {
	unfinished := s.ids[:0]
	for _, id := range s.ids {
		if command := s.commands[id]; command != nil {
			conn.Write(command)
			unfinished = append(unfinished, id)
		}
	}
	s.ids = unfinished
}

// spawnBeforeNotices sends all unfinished runs again when a new connection is bound, before it reads the notices that
// it missed.
func spawnBeforeNotices(
	sent *unfinishedRuns, conn transport.Conn, open func(transport.Conn) transport.Session,
) transport.Session {
	session := open(&poolConn{conn, func(conn transport.Conn, p []byte) {
		sent.recordSpawns(p)
		conn.Write(p)
	}})
	return &poolSession{session, func(session transport.Session, in []byte) (int, error) {
		for _, m := range poolMessages(in) {
			switch m.Kind {
			case pool.Bound:
				sent.resendAll(conn)
			case pool.Finished:
				sent.remove(m.ID)
			default: // Other messages do not end runs.
			}
		}
		return session.Receive(in)
	}}
}

// overwriteResults overwrites each result with the previous one on its connection, as if both shared memory.
func overwriteResults(
	_ *unfinishedRuns, conn transport.Conn, open func(transport.Conn) transport.Session,
) transport.Session {
	var memory []byte
	return &poolSession{open(conn), func(session transport.Session, in []byte) (int, error) {
		changed := append([]byte(nil), in...)
		for _, m := range poolMessages(changed) {
			if m.Kind == pool.Finished && len(m.Result) > 0 {
				result := append([]byte(nil), m.Result...)
				copy(m.Result, memory)
				memory = result
			}
		}
		return session.Receive(changed)
	}}
}

// The invariants detect each planted bug on its kept script, where the server without the bug violates none. This
// guards against invariants that never detect anything.
func TestPlantedTransportBugsAreDetected(t *testing.T) {
	for _, bug := range plantedTransportBugs {
		t.Run(bug.name, bug.requireDetected)
	}
}

// The search finds each planted bug.
func TestSearchFindsPlantedTransportBugs(t *testing.T) {
	t.Parallel()
	for _, bug := range plantedTransportBugs {
		t.Run(bug.name, func(t *testing.T) { bug.requireFound(t, wideSearch) })
	}
}
