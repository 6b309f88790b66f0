package invariant

import (
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// checkMost is how long a deep health check may be without an answer.
const checkMost = 1500 * microtime.Millisecond

// check is a deep health check that has reached a server and has no answer yet.
type check struct {
	conn *conn
	seq  int32
	at   microtime.Time
}

// checked takes a deep health check as it reaches the server.
func (o *Observer) checked(c *conn, m thrift.Call) {
	if m.Deep && !c.s.ended {
		c.s.checks = append(c.s.checks, check{c, m.SequenceID, o.w.Now()})
	}
}

// checkAnswered takes the answer to a health check, as the server writes it.
func (o *Observer) checkAnswered(c *conn, p thrift.Reply) {
	for i, k := range c.s.checks {
		if k.conn == c && k.seq == p.SequenceID {
			c.s.checks = append(c.s.checks[:i], c.s.checks[i+1:]...)
			if p.Good {
				o.reach(c.s, "deep check good")
			} else {
				o.reach(c.s, "deep check bad")
			}
			return
		}
	}
}

// auditChecks judges that deep health checks are answered in time, whatever becomes of the worker pool.
func (o *Observer) auditChecks(s *server, now microtime.Time) {
	kept := s.checks[:0]
	for _, k := range s.checks {
		switch {
		case k.conn.left || k.conn.broken:
		case now > k.at+checkMost+o.pausedSince(s, k.at):
			o.report("check", s, nil, "deep check unanswered: for %v", (now - k.at).Duration())
		default:
			kept = append(kept, k)
		}
	}
	s.checks = kept
}
