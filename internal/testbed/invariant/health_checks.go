package invariant

import (
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// maxHealthCheckTime is how long a deep health check may be without an answer.
const maxHealthCheckTime = 1500 * microtime.Millisecond

// healthCheck is a deep health check that has reached a server and has no answer yet.
type healthCheck struct {
	conn       *connState
	sequenceID int32
	arrivedAt  microtime.Time
}

// healthCheckRead takes a health check as it reaches the server.
func (o *Observer) healthCheckRead(conn *connState, message thrift.Call) {
	if message.Deep && !conn.server.stopped {
		conn.server.healthChecks = append(conn.server.healthChecks, healthCheck{conn, message.SequenceID, o.world.Now()})
	}
}

// healthCheckAnswered takes the answer to a health check, as the server writes it.
func (o *Observer) healthCheckAnswered(conn *connState, reply thrift.Reply) {
	server := conn.server
	index := slices.IndexFunc(server.healthChecks, func(pending healthCheck) bool {
		return pending.conn == conn && pending.sequenceID == reply.SequenceID
	})
	if index < 0 {
		return
	}
	server.healthChecks = slices.Delete(server.healthChecks, index, index+1)
	if reply.Good {
		o.noteSituation(server, "deep check good")
	} else {
		o.noteSituation(server, "deep check bad")
	}
}

// auditHealthChecks judges that deep health checks are answered in time, whatever becomes of the worker pool.
func (o *Observer) auditHealthChecks(server *serverState, now microtime.Time) {
	pending := server.healthChecks[:0]
	for _, check := range server.healthChecks {
		switch {
		case check.conn.callerLeft || check.conn.broken:
		case now > check.arrivedAt+maxHealthCheckTime+o.pausedSince(server, check.arrivedAt):
			o.report(ruleCheck, server, nil, "deep check unanswered: for %v", (now - check.arrivedAt).Duration())
		default:
			pending = append(pending, check)
		}
	}
	server.healthChecks = pending
}
