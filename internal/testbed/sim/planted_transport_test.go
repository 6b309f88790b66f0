package sim

import (
	"strings"
	"testing"

	"pewterline/internal/protocol/pool"
	"pewterline/internal/server"
	"pewterline/internal/transport"
)

// plantedTransportBugs are bugs of the event loop and of the worker pool's client, as the server and its peers would
// see them.
var plantedTransportBugs = []plantedBug{
	{
		name: "room-open", want: "lost/closed by the server",
		interpose: func() interposer { return evictsBusyConnections{} },
	},
	{
		name: "stranger-vouched", want: "lost/closed by the server",
		interpose: func() interposer { return neverIdentifies{} },
	},
	{
		name: "no-redial", want: "recovery/no try to reach the worker pool",
		interpose: func() interposer { return redialsOnce{} },
	},
	{
		name: "notices-past", want: "result/notices passed over",
		interpose: func() interposer { return poolBug(skipNotice) },
	},
	{
		name: "sent-before", want: "duplicate/run twice",
		interpose: func() interposer { return poolBug(spawnBeforeNotices) },
	},
	{
		name: "wrong-try", want: "result/served what no run made for it",
		interpose: func() interposer { return poolBug(overwriteResults) },
	},
}

// evictsBusyConnections has connections evicted that have open requests.
type evictsBusyConnections struct{ passThrough }

func (evictsBusyConnections) handler(handler transport.Handler) transport.Handler {
	return busyEvicter{handler}
}

type busyEvicter struct{ transport.Handler }

func (h busyEvicter) Accept(listener int, conn transport.Conn) transport.Session {
	return alwaysIdle{h.Handler.Accept(listener, conn)}
}

type alwaysIdle struct{ transport.Session }

func (alwaysIdle) Idle() bool { return true }

// neverIdentifies has connections closed as unidentified that have sent something valid.
type neverIdentifies struct{ passThrough }

func (neverIdentifies) handler(handler transport.Handler) transport.Handler {
	return identificationLoser{handler}
}

type identificationLoser struct{ transport.Handler }

func (h identificationLoser) Accept(listener int, conn transport.Conn) transport.Session {
	return h.Handler.Accept(listener, unidentifiable{conn})
}

type unidentifiable struct{ transport.Conn }

func (unidentifiable) MarkIdentified() {}

// redialsOnce never dials a connection again that was refused twice.
type redialsOnce struct{ passThrough }

func (redialsOnce) eventLoop(loop server.EventLoop) server.EventLoop { return secondDialIsLast{loop} }

type secondDialIsLast struct{ server.EventLoop }

func (l secondDialIsLast) Dial(addr string, open func(transport.Conn) transport.Session) (drop func()) {
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

// poolBug is a bug of the worker pool's client: it returns a connection and a session that misbehave.
type poolBug func(sent *spawns, conn transport.Conn, open func(transport.Conn) transport.Session) transport.Session

func (poolBug) handler(handler transport.Handler) transport.Handler { return handler }

func (b poolBug) eventLoop(loop server.EventLoop) server.EventLoop {
	return &poolDialer{EventLoop: loop, bug: b, sent: &spawns{commands: map[string][]byte{}}}
}

// poolDialer plants a bug in the connections to the worker pool.
type poolDialer struct {
	server.EventLoop
	bug  poolBug
	sent *spawns
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

// skipNotice binds a new connection one notice too far.
func skipNotice(_ *spawns, conn transport.Conn, open func(transport.Conn) transport.Session) transport.Session {
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

// spawns is the runs that the client has sent, and whose end it has not received.
type spawns struct {
	ids      []string // in the order in which they were sent first
	commands map[string][]byte
}

func (s *spawns) written(p []byte) {
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

func (s *spawns) finished(id string) { delete(s.commands, id) }

// sendAgain sends all of them.
func (s *spawns) sendAgain(conn transport.Conn) {
	left := s.ids[:0]
	for _, id := range s.ids {
		if command := s.commands[id]; command != nil {
			conn.Write(command)
			left = append(left, id)
		}
	}
	s.ids = left
}

// spawnBeforeNotices sends all runs again as a new connection is bound, before the missed notices are read.
func spawnBeforeNotices(
	sent *spawns, conn transport.Conn, open func(transport.Conn) transport.Session,
) transport.Session {
	session := open(&poolConn{conn, func(conn transport.Conn, p []byte) {
		sent.written(p)
		conn.Write(p)
	}})
	return &poolSession{session, func(session transport.Session, in []byte) (int, error) {
		for _, m := range poolMessages(in) {
			switch m.Kind {
			case pool.Bound:
				sent.sendAgain(conn)
			case pool.Finished:
				sent.finished(m.ID)
			default: // The others tell nothing of what has ended.
			}
		}
		return session.Receive(in)
	}}
}

// overwriteResults has each result overwritten with the one before it on its connection, as if both shared memory.
func overwriteResults(
	_ *spawns, conn transport.Conn, open func(transport.Conn) transport.Session,
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

// On its kept script each planted bug leads to its violation, and the server without it breaks no invariant there. An
// invariant that saw nothing would pass everything.
func TestPlantedTransportBugsAreSeen(t *testing.T) {
	for _, bug := range plantedTransportBugs {
		t.Run(bug.name, bug.requireSeen)
	}
}

// The search finds each planted bug.
func TestSearchFindsPlantedTransportBugs(t *testing.T) {
	t.Parallel()
	for _, bug := range plantedTransportBugs {
		t.Run(bug.name, func(t *testing.T) { bug.requireFound(t, wideSearch) })
	}
}
