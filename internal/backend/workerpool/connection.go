package workerpool

import (
	"strconv"

	"pewterline/internal/protocol/pool"
	"pewterline/internal/transport"
)

// session is the transport.Session of one connection. Messages on earlier connections are ignored, because their
// notices are repeated on the current one. The close of an earlier connection is ignored too, so that the address is
// not dialled twice. On the candidate, only the bound message is handled.
type session struct {
	backend *Backend
	conn    transport.Conn
}

// dial opens a new connection, and cancels a dial that is still pending. The current connection stays in use until the
// new one is bound, in case the process at the new address accepts connections but never answers.
func (b *Backend) dial() {
	if b.cancelDial != nil {
		b.cancelDial()
	}
	b.cancelDial = b.loop.Dial(b.config.Address, b.opened)
}

// opened makes a new connection the candidate, and asks the pool to bind it.
func (b *Backend) opened(conn transport.Conn) transport.Session {
	b.cancelDial = nil
	if b.candidate != nil {
		b.candidate.Close() // a later change of the address replaces it
	}
	b.candidate = conn
	if b.current == nil {
		b.promote()
	}
	b.scratch = pool.AppendBind(b.scratch[:0], b.notices.last)
	conn.Write(b.scratch)
	return &session{backend: b, conn: conn}
}

// promote makes the candidate the current connection. Notices that were read on the previous connection after the bind
// was sent are repeated on this one.
func (b *Backend) promote() {
	previous := b.current
	b.current, b.candidate = b.candidate, nil
	b.synced = false
	b.connections++
	b.acks.connectionChanged()
	b.notices.connectionChanged()
	b.checks.connectionChanged()
	if previous != nil {
		previous.Close()
	}
}

// syncTag is the tag of the poll whose answer follows the missed notices on the current connection.
func (b *Backend) syncTag() string { return "sync" + strconv.Itoa(b.connections) }

// Receive implements transport.Session.
func (s *session) Receive(in []byte) (int, error) {
	backend := s.backend
	consumed := 0
	for {
		isCandidate := backend.candidate == s.conn
		if backend.current != s.conn && !isCandidate {
			return len(in), nil
		}
		message, size, err := pool.ParseMessage(in[consumed:])
		if err != nil || size == 0 {
			return consumed, err
		}
		consumed += size
		if isCandidate {
			if message.Kind != pool.Bound {
				continue
			}
			backend.promote()
		}
		if err := backend.handle(message); err != nil {
			return consumed, err
		}
	}
}

// Idle implements transport.Session. The connection is never evicted.
func (s *session) Idle() bool { return false }

// Closed implements transport.Session.
func (s *session) Closed() {
	backend := s.backend
	switch s.conn {
	case backend.candidate:
		backend.candidate = nil
	case backend.current:
		backend.current = nil
		backend.synced = false
		backend.checks.connectionChanged()
		backend.logf("pool: connection lost: runs_in_flight=%d", len(backend.runs))
		if backend.candidate != nil {
			backend.promote()
			return
		}
	default:
		return
	}
	if backend.cancelDial == nil {
		backend.dial()
	}
}
